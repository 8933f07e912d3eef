//! Number of requests that one host keeps running at one backend server.

use super::{Candidate, Verdict};

/// Factor of the limit after the backend server shed a request.
const DECREASE: f64 = 0.7;

/// Limit that follows what the other hosts leave free.
///
/// It starts at an even share of the slots, grows by one request per round of answers while it is
/// used up, and shrinks when the backend server sheds load. So an idle host leaves its slots to the
/// others without any messages.
#[derive(Debug)]
pub(super) struct Limit {
    slots: f64,
    most: f64,
}

impl Limit {
    pub(super) fn new(candidate: &Candidate) -> Self {
        let share = candidate.slots.div_ceil(candidate.sharers.max(1)).max(1);
        Self {
            slots: f64::from(share),
            most: f64::from(candidate.slots.max(1)),
        }
    }

    /// Returns the requests that may run at the same time.
    pub(super) const fn slots(&self) -> f64 {
        self.slots
    }

    /// Takes the end of a request; `in_flight` still counts it.
    pub(super) fn observe(&mut self, verdict: Verdict, in_flight: u32) {
        match verdict {
            Verdict::Answered if f64::from(in_flight) + 1.0 > self.slots => {
                self.slots = (self.slots + 1.0 / self.slots).min(self.most);
            }
            Verdict::Shed => self.slots = (self.slots * DECREASE).max(1.0),
            Verdict::Answered | Verdict::Failed | Verdict::Abandoned => {}
        }
    }
}
