//! Content of a lease row.

use azurenotch_wire::id::{Host, Incarnation, Operation};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// Bytes of the fencing token at the start of the value.
const TOKEN_BYTES: usize = 8;

/// Result of reading a lease row.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a lease row could not be read.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The value is too short for a fencing token.
    #[snafu(display("lease row has {length} bytes and holds no fencing token"))]
    NoToken {
        /// Length of the value.
        length: usize,
    },
    /// The holder after the token cannot be decoded.
    #[snafu(display("lease row with token {token} holds no readable holder"))]
    Holder {
        /// Fencing token.
        token: u64,
        /// Cause.
        source: rmp_serde::decode::Error,
    },
}

/// A row as the table returned it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Version of the row; every write raises it.
    pub version: u64,
    /// Content.
    pub value: Vec<u8>,
}

/// Holder of a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Name of the host.
    pub host: Host,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Identity of the write, by which a writer recognises a write whose answer was lost.
    pub operation: Operation,
    /// Number of renewals since the takeover.
    pub counter: u64,
}

/// Decoded content of a lease row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Fencing token; every takeover and every release raises it.
    pub token: u64,
    /// Holder, or `None` after a graceful release.
    pub holder: Option<Holder>,
}

impl Record {
    /// Encodes the record as a row value.
    ///
    /// # Panics
    ///
    /// Never for this type: encoding names and numbers into memory does not fail.
    pub fn encode(&self) -> Vec<u8> {
        let mut value = self.token.to_be_bytes().to_vec();
        rmp_serde::encode::write(&mut value, &self.holder).expect("a holder is encodable");
        value
    }

    /// Decodes a row value.
    ///
    /// # Errors
    ///
    /// Returns an error if the token or the holder cannot be read.
    pub fn decode(value: &[u8]) -> Result<Self> {
        let Some((token, holder)) = value.split_first_chunk::<TOKEN_BYTES>() else {
            return NoTokenSnafu {
                length: value.len(),
            }
            .fail();
        };
        let token = u64::from_be_bytes(*token);
        let holder = rmp_serde::from_slice(holder).context(HolderSnafu { token })?;
        Ok(Self { token, holder })
    }
}
