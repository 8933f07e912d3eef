//! How current this host's knowledge is, by the word of another host that knows as much.
//!
//! Clocks of hosts cannot be compared. A host that answers a message vouches for what it knew
//! when it sent the answer, which was after this host had sent the message, so that the moment is
//! bounded below on this host's own clock.

use azurenotch_wire::time::Instant;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The last message of a host, as another one returns it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Number of the start of the host that sent the message.
    pub incarnation: u64,
    /// Milliseconds on that host's clock when it sent the message.
    pub sent_ms: u64,
}

impl Echo {
    /// Creates the part of a message that the receiver returns.
    pub fn new(incarnation: u64, now: Instant) -> Self {
        let sent_ms = now.as_nanos() / 1_000_000;
        Self {
            incarnation,
            sent_ms,
        }
    }

    /// Returns the moment on this host's clock as of which knowledge is vouched for.
    ///
    /// `age` is the age of the knowledge that the other host tells. A message of a former start of
    /// this host says nothing, because its clock began anew.
    pub fn vouched(self, now: Instant, incarnation: u64, age: Duration) -> Option<Instant> {
        let sent = Instant::from_millis(self.sent_ms);
        // This clock cannot show moments before the start of the process.
        let is_known = sent <= now && age <= sent.since(Instant::ZERO);
        (self.incarnation == incarnation && is_known).then(|| sent - age)
    }
}

#[cfg(test)]
mod tests;
