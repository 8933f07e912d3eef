//! Content of a lease row.

use azurenotch_wire::id::{Host, Incarnation, Operation};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// Length of the fencing token at the start of the value, in bytes.
const TOKEN_BYTES: usize = 8;

/// Result of decoding a lease row.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a lease row could not be decoded.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The value is too short for a fencing token.
    #[snafu(display("lease row of {length} bytes is too short for a fencing token"))]
    NoToken {
        /// Length of the value in bytes.
        length: usize,
    },
    /// The holder after the token cannot be decoded.
    #[snafu(display("cannot decode the holder in the lease row with token {token}"))]
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
    /// Version of the row; every write increases it.
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
    /// Random identifier of the write, by which the writer recognises it after its answer was lost.
    pub operation: Operation,
    /// Number of renewals since the takeover.
    pub counter: u64,
}

/// Decoded content of a lease row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Fencing token; every takeover and every release increases it.
    pub token: u64,
    /// Holder, or `None` after a graceful release.
    pub holder: Option<Holder>,
}

impl Record {
    /// Encodes the record as a row value.
    ///
    /// # Panics
    ///
    /// Does not panic: encoding strings and numbers into memory does not fail.
    pub fn encode(&self) -> Vec<u8> {
        let mut value = self.token.to_be_bytes().to_vec();
        rmp_serde::encode::write(&mut value, &self.holder).expect("a holder can be encoded");
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
