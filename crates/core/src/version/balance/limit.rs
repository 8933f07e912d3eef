//! Adaptive concurrency limit of one host for one backend server.

use super::{Candidate, Verdict};

/// Factor applied to the limit when the backend server sheds a request.
const SHED_FACTOR: f64 = 0.7;

/// Concurrency limit that adapts to the slots which other hosts leave free.
///
/// It starts at an even share of the slots, grows additively by about one request per round of
/// answers while it is fully used, and shrinks by [`SHED_FACTOR`] when the backend server sheds
/// load. Other hosts can thus use the slots of an idle host without any coordination.
#[derive(Debug)]
pub(super) struct Limit {
    slots: f64,
    max: f64,
}

impl Limit {
    pub(super) fn new(candidate: &Candidate) -> Self {
        let share = candidate
            .slots
            .div_ceil(candidate.sharing_hosts.max(1))
            .max(1);
        Self {
            slots: f64::from(share),
            max: f64::from(candidate.slots.max(1)),
        }
    }

    /// Returns the number of requests that may run concurrently.
    pub(super) const fn slots(&self) -> f64 {
        self.slots
    }

    /// Adjusts the limit at the end of a request, which `in_flight` still includes.
    pub(super) fn observe(&mut self, verdict: Verdict, in_flight: u32) {
        match verdict {
            Verdict::Answered if f64::from(in_flight) + 1.0 > self.slots => {
                self.slots = (self.slots + 1.0 / self.slots).min(self.max);
            }
            Verdict::Shed => self.slots = (self.slots * SHED_FACTOR).max(1.0),
            Verdict::Answered | Verdict::Failed | Verdict::Abandoned => {}
        }
    }
}
