//! Memory accounting for request and answer bodies that a host buffers until the request ends.
//!
//! Load pattern: many callers send large bodies at once or send them slowly, and the host has
//! little memory. All memory of a body of known length is reserved before its first byte is read,
//! so reading never has to stop half-way for lack of memory; a body that does not fit is refused at
//! once. The reservation of a body of unknown length grows while it is read.

use snafu::Snafu;

/// Reservation that exceeds the memory limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("cannot reserve {requested} bytes: {reserved} of {limit} bytes are in use"))]
pub struct Exhausted {
    /// Requested bytes.
    pub requested: u64,
    /// Bytes that are already reserved.
    pub reserved: u64,
    /// Memory limit in bytes.
    pub limit: u64,
}

/// Memory that the bodies of all requests on one host may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Account {
    limit: u64,
    reserved: u64,
}

impl Account {
    /// Creates an account with a limit in bytes.
    pub const fn new(limit: u64) -> Self {
        Self { limit, reserved: 0 }
    }

    /// Sets the limit in bytes; reservations above it stay valid until they are released.
    pub const fn set_limit(&mut self, limit: u64) {
        self.limit = limit;
    }

    /// Returns the number of reserved bytes.
    pub const fn reserved(&self) -> u64 {
        self.reserved
    }

    /// Reserves memory.
    ///
    /// # Errors
    ///
    /// Returns [`Exhausted`] and reserves nothing if the limit would be exceeded.
    pub const fn reserve(&mut self, bytes: u64) -> Result<(), Exhausted> {
        let reserved = self.reserved.saturating_add(bytes);
        if reserved > self.limit {
            return Err(Exhausted {
                requested: bytes,
                reserved: self.reserved,
                limit: self.limit,
            });
        }
        self.reserved = reserved;
        Ok(())
    }

    /// Releases reserved memory.
    pub const fn release(&mut self, bytes: u64) {
        self.reserved = self.reserved.saturating_sub(bytes);
    }
}

/// Returns the next buffer capacity, in bytes, for a body of unknown length.
///
/// The capacity doubles up to `limit`, so that a growing body is copied only a few times. It is
/// never less than `required`.
pub fn next_capacity(current: u64, required: u64, limit: u64) -> u64 {
    (current * 2).max(required).min(limit.max(required))
}

#[cfg(test)]
mod tests;
