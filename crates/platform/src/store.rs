//! Interface of the object store.

use async_trait::async_trait;
use snafu::Snafu;
use std::fmt::Debug;

/// Result of an object store operation.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Immutable objects by name.
#[async_trait]
pub trait Store: Debug + Send + Sync {
    /// Returns the object, or `None` if there is none.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] if the store does not answer within its timeout.
    async fn get(&self, name: &str) -> Result<Option<Vec<u8>>>;

    /// Writes the object; repeating the same write has no further effect.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] if the store does not confirm the write in time.
    async fn put(&self, name: &str, bytes: &[u8]) -> Result<()>;
}

/// Why an object store operation failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The store did not answer.
    #[snafu(display("object store is unavailable for {name}"))]
    Unavailable {
        /// Name of the object.
        name: String,
    },
    /// The store returned a status that the protocol does not define.
    #[snafu(display("object store answered {name} with unexpected status {status}"))]
    Protocol {
        /// Name of the object.
        name: String,
        /// HTTP status.
        status: u16,
    },
}
