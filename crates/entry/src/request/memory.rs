//! Memory reservations for bodies that are buffered as a whole.

use azurenotch_core::request::body_memory::{Account, Exhausted};
use bytes::Bytes;
use parking_lot::Mutex;
use std::sync::Arc;

/// Memory reserved for one body, released when the reservation is dropped.
#[derive(Debug)]
pub struct Reservation {
    account: Arc<Mutex<Account>>,
    bytes: u64,
}

impl Reservation {
    /// Creates a reservation of 0 bytes.
    pub fn new(account: &Arc<Mutex<Account>>) -> Self {
        Self {
            account: Arc::clone(account),
            bytes: 0,
        }
    }

    /// Returns the number of reserved bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Increases the reservation to `bytes` in total; a larger one stays as it is.
    ///
    /// # Errors
    ///
    /// Fails if the memory limit of all bodies would be exceeded; the reservation does not change.
    pub fn grow(&mut self, bytes: u64) -> Result<(), Exhausted> {
        let additional = bytes.saturating_sub(self.bytes);
        self.account.lock().reserve(additional)?;
        self.bytes += additional;
        Ok(())
    }

    /// Binds the reservation to `bytes`: it is released with the last reference to them.
    ///
    /// A connection may keep a body's bytes queued for its caller after the body itself is dropped.
    #[must_use]
    pub fn hold(self, bytes: Bytes) -> Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        Bytes::from_owner(Held {
            bytes,
            _reservation: self,
        })
    }
}

/// Bytes with the reservation of their memory.
struct Held {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.account.lock().release(self.bytes);
    }
}

#[cfg(test)]
mod tests;
