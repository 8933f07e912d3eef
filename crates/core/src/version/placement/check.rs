//! Decides whether to ask a backend server for its speed before a request goes there.
//!
//! A figure is of value for a fraction of a second only. Where servers have slow periods, a health
//! check that takes a round trip may save much more work. Its answer has the load and the figure.

use super::{
    Choice, Placement, Tier,
    speed::{Persistence, SLOW_FACTOR},
};
use azurenotch_wire::time::Instant;
use std::time::Duration;

/// Time in which a server answers a health check, in addition to the round trip.
const ANSWER_TIME: Duration = Duration::from_millis(3);
/// Time within which a health check has to be answered on an open connection.
pub const MAX_CHECK_TIME: Duration = Duration::from_millis(30);
/// Time for which the result of a health check serves all requests.
const VALIDITY: Duration = Duration::from_millis(100);

/// Health checks of one server that this host makes before it sends requests.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Check {
    is_in_flight: bool,
    /// End of the last health check.
    ended: Option<Instant>,
}

impl Check {
    fn is_possible(self, now: Instant) -> bool {
        let is_valid = self.ended.is_some_and(|at| now.since(at) < VALIDITY);
        !self.is_in_flight && !is_valid
    }
}

/// What a health check showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// The server is as fast as usual and has a free slot.
    Good,
    /// The server is in a slow period.
    Slow,
    /// All slots of the server are in use.
    Full,
}

impl Placement {
    /// Returns whether the chosen server is to be asked for its speed before the request is sent.
    ///
    /// If so, the health check counts as under way until [`Self::end_check`].
    pub fn begin_check(&mut self, now: Instant, choice: &Choice) -> bool {
        let entry = &mut self.entries[choice.index];
        let all = &self.persistence;
        let pays = all.varies()
            && entry.backend.tier != Tier::Remote
            && entry.check.is_possible(now)
            && entry.speed.is_unknown(now, all)
            && pays(all, choice, entry.rtt());
        entry.check.is_in_flight |= pays;
        pays
    }

    /// Records that a health check ended, with whatever result.
    pub fn end_check(&mut self, now: Instant, index: usize) {
        self.entries[index].check = Check {
            is_in_flight: false,
            ended: Some(now),
        };
    }

    /// Returns what the last report of a server shows.
    pub fn finding(&self, now: Instant, index: usize) -> Finding {
        let entry = &self.entries[index];
        let factor = entry.speed.expected(now, &self.persistence);
        if factor > SLOW_FACTOR * self.persistence.mean() {
            Finding::Slow
        } else if entry.occupancy(now) >= 1.0 {
            Finding::Full
        } else {
            Finding::Good
        }
    }
}

/// Returns whether the expected gain of a health check exceeds its cost.
fn pays(all: &Persistence, choice: &Choice, rtt: Duration) -> bool {
    let (probability, extra) = all.slow_period();
    let work = choice.expected.saturating_sub(choice.wait + rtt);
    let usual = work.as_secs_f64() / choice.slowness;
    probability * extra * usual > (rtt + ANSWER_TIME).as_secs_f64()
}

#[cfg(test)]
mod tests;
