//! Memory for bodies that are held as a whole.

use azurenotch_core::request::body_memory::{Account, Exhausted};
use parking_lot::Mutex;
use std::sync::Arc;

/// Memory of one body, given back when it is dropped.
#[derive(Debug)]
pub struct Part {
    account: Arc<Mutex<Account>>,
    bytes: u64,
}

impl Part {
    /// Creates a part without memory.
    pub fn new(account: &Arc<Mutex<Account>>) -> Self {
        Self {
            account: Arc::clone(account),
            bytes: 0,
        }
    }

    /// Returns the bytes that the part has.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Lets the part have `bytes` in all, unless it has as much.
    ///
    /// # Errors
    ///
    /// Fails if the memory of all bodies is in use; the part keeps what it has.
    pub fn grow(&mut self, bytes: u64) -> Result<(), Exhausted> {
        let added = bytes.saturating_sub(self.bytes);
        self.account.lock().reserve(added)?;
        self.bytes += added;
        Ok(())
    }
}

impl Drop for Part {
    fn drop(&mut self) {
        self.account.lock().release(self.bytes);
    }
}
