//! Interface of the transactional table.

use async_trait::async_trait;
use snafu::Snafu;
use std::fmt::Debug;

/// Result of a table operation.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Key-value table with conditional, optionally fenced writes.
#[async_trait]
pub trait Table: Debug + Send + Sync {
    /// Returns the row, or `None` if there is none.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] if the table does not answer within its timeout.
    async fn get(&self, key: &str) -> Result<Option<Row>>;

    /// Writes a row if the condition and the fence hold, and returns its new version.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Conflict`] if the condition does not hold, [`Error::Fenced`] if the
    /// fence does not, [`Error::Unavailable`] if nothing was written, and [`Error::Ambiguous`]
    /// if the write may have taken effect.
    async fn put(
        &self,
        key: &str,
        value: &[u8],
        expect: Expect,
        fence: Option<&Fence>,
    ) -> Result<u64>;

    /// Deletes a row if it has the given version.
    ///
    /// # Errors
    ///
    /// As for [`Table::put`].
    async fn delete(&self, key: &str, version: u64, fence: Option<&Fence>) -> Result<()>;
}

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Version of the row; every write raises it.
    pub version: u64,
    /// Value of the row in bytes.
    pub value: Vec<u8>,
}

/// Condition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expect {
    /// There is no row with this key.
    Absent,
    /// The row has this version.
    Version(u64),
}

/// Lease and token that a row must still hold for a write to take effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fence {
    /// Key of the lease row.
    pub key: String,
    /// Fencing token; the row's value starts with the token's eight bytes, big-endian.
    pub token: u64,
}

/// Why a table operation failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The row has another version.
    #[snafu(display("row {key} was changed by another writer"))]
    Conflict {
        /// Key of the row.
        key: String,
        /// The row as it is now, if there is one.
        row: Option<Row>,
    },
    /// Another holder has acquired the lease.
    #[snafu(display("lease {key} has passed on from token {token}"))]
    Fenced {
        /// Key of the lease row.
        key: String,
        /// Token of the writer.
        token: u64,
    },
    /// The table did not answer and nothing was written.
    #[snafu(display("table is unavailable for row {key}"))]
    Unavailable {
        /// Key of the row.
        key: String,
    },
    /// The answer was lost; the write may have taken effect.
    #[snafu(display("answer for row {key} was lost after the write was sent"))]
    Ambiguous {
        /// Key of the row.
        key: String,
    },
    /// The table returned a status or body that the protocol does not define.
    #[snafu(display("table answered row {key} with unexpected status {status}"))]
    Protocol {
        /// Key of the row.
        key: String,
        /// HTTP status.
        status: u16,
    },
}
