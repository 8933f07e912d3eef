//! Lower bound for the time of a peer's reply, on this host's own clock.
//!
//! Clocks of hosts cannot be compared. A host that answers a message reports the age of its data
//! as of the reply. It replied after this host had sent the message, so the time of sending bounds
//! the time of the reply from below on this host's own clock.

use azurenotch_wire::time::Instant;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Identifies the last message received from a host; the receiver returns it to the sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Incarnation of the host that sent the message.
    pub incarnation: u64,
    /// Milliseconds on that host's clock when it sent the message.
    pub sent_ms: u64,
}

impl Echo {
    /// Creates the echo of a message that this host sends at `now`.
    pub fn new(incarnation: u64, now: Instant) -> Self {
        let sent_ms = now.as_nanos() / 1_000_000;
        Self {
            incarnation,
            sent_ms,
        }
    }

    /// Returns when this host sent the message, in whole milliseconds.
    ///
    /// Returns `None` for an echo of an earlier incarnation and for times in the future.
    pub fn sent_at(self, now: Instant, incarnation: u64) -> Option<Instant> {
        let sent = Instant::from_millis(self.sent_ms);
        (self.incarnation == incarnation && sent <= now).then_some(sent)
    }

    /// Returns the time on this host's clock up to which the peer's data is confirmed.
    ///
    /// `age` is the age of the data that the peer reported. Returns `None` for an echo of an
    /// earlier incarnation, because the clock restarts with the process, and for times in the
    /// future or before the start of the process.
    pub fn confirmed_at(self, now: Instant, incarnation: u64, age: Duration) -> Option<Instant> {
        let sent = self.sent_at(now, incarnation)?;
        // `Instant` cannot represent times before the start of the process.
        (age <= sent.since(Instant::ZERO)).then(|| sent - age)
    }
}

#[cfg(test)]
mod tests;
