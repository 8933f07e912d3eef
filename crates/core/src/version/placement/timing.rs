//! Times of a send, for the time at which the server began to run it.

use super::{Choice, Placement};
use crate::process::usage::Attempt;
use azurenotch_wire::time::Instant;
use std::time::Duration;

impl Placement {
    /// Returns what is known of the times of a send to the chosen server.
    pub fn attempt(&self, choice: &Choice, sent: Instant, is_reused: bool) -> Attempt {
        let work = self.estimates(choice.route);
        Attempt {
            sent,
            delay: self.entries[choice.index].rtt() / 2,
            wait: choice.wait,
            warm: Duration::from_secs_f64(work.expected(1.0)),
            cold: Duration::from_secs_f64(work.cold()),
            is_reused,
        }
    }
}
