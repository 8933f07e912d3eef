//! Memory for bodies that are held until their request ends.
//!
//! Load pattern: many callers send large bodies at once, or send them slowly, while the host's
//! memory is small. A body of known length gets its whole memory before its first byte is read, so
//! that a body that was begun is never given up for lack of memory; one that does not fit is
//! refused at once. A body of unknown length grows step by step.

use snafu::Snafu;

/// The memory is in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("{wanted} bytes do not fit besides {held} of {limit}"))]
pub struct Full {
    /// Bytes that were asked for.
    pub wanted: u64,
    /// Bytes in use.
    pub held: u64,
    /// Bytes in all.
    pub limit: u64,
}

/// Memory for bodies of all requests of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Account {
    limit: u64,
    held: u64,
}

impl Account {
    /// Creates an account of `limit` bytes.
    pub const fn new(limit: u64) -> Self {
        Self { limit, held: 0 }
    }

    /// Sets the limit; what is held above it stays until it is given back.
    pub const fn set_limit(&mut self, limit: u64) {
        self.limit = limit;
    }

    /// Returns the bytes in use.
    pub const fn held(&self) -> u64 {
        self.held
    }

    /// Takes memory.
    ///
    /// # Errors
    ///
    /// Fails if it does not fit; nothing is taken then.
    pub const fn take(&mut self, bytes: u64) -> Result<(), Full> {
        let held = self.held.saturating_add(bytes);
        if held > self.limit {
            return Err(Full {
                wanted: bytes,
                held: self.held,
                limit: self.limit,
            });
        }
        self.held = held;
        Ok(())
    }

    /// Gives memory back.
    pub const fn give_back(&mut self, bytes: u64) {
        self.held = self.held.saturating_sub(bytes);
    }
}

/// Returns the memory that a growing body takes next, given what it has and needs.
///
/// Doubling keeps the copies of a body of unknown length few.
pub fn grown(has: u64, needs: u64, most: u64) -> u64 {
    (has * 2).max(needs).min(most.max(needs))
}

#[cfg(test)]
mod tests;
