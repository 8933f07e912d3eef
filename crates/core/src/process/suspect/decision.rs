//! Whether a request may run, runs alone, or is rejected.

use super::{
    ALONE_FROM, MAX_MEMORY, Table,
    record::{Crash, Record, distinct},
};
use crate::request::identity::Identity;
use azurenotch_wire::{Set, time::Instant};
use std::time::Duration;

/// Time after a request was confirmed in which callers wait instead of being rejected.
///
/// Other hosts may have lost other suspects with the same server. A message that is lost comes again
/// within a round of 400 ms.
pub(super) const DOUBT_TIME: Duration = Duration::from_millis(500);
/// Time within which crashes of many servers count as one loss.
const LOSS_TIME: Duration = Duration::from_millis(200);
/// Other servers that crashed in that time from which a request need not be the cause.
const LOSS_SERVERS: usize = 4;
/// Pauses before a rejected request is tried again; none follows the last.
pub(super) const PAUSES: [Duration; 3] = [
    Duration::from_mins(2),
    Duration::from_mins(20),
    Duration::from_hours(2),
];
/// Tries without a pause of a request whose crashes may all have had one other cause.
const EARLY_TRIES: u8 = 3;

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It may run; a crash under the run would belong to the next generation after this one.
    Run {
        /// Generations of crashes so far.
        generation: u8,
    },
    /// It may run alone in the fleet, once this host has claimed it.
    Claim,
    /// It runs alone somewhere in the fleet; its outcome decides.
    Wait,
    /// It is not run before this time has passed.
    Reject(Duration),
}

impl Table {
    /// Decides about a request.
    ///
    /// `software` is what would run it, `None` if that is not known. `is_repeat` says whether this
    /// host has run it before.
    pub fn decide(
        &self,
        now: Instant,
        identity: Identity,
        software: Option<u32>,
        is_repeat: bool,
    ) -> Decision {
        let Some(record) = self.records.get(&identity) else {
            return Decision::Run { generation: 0 };
        };
        let crashes = self.unexplained(record);
        let claim = record.active_claim(now);
        let is_claimed = claim.is_some_and(|claim| !claim.is_vacant_at(self.own));
        let is_recent = record.is_confirmed() && now.since(record.changed) < DOUBT_TIME;
        if crashes > 0 && (is_claimed || is_recent) {
            return Decision::Wait;
        }
        if crashes < ALONE_FROM {
            let repeats = is_repeat && crashes > 0;
            let generation = record.generation_of(crashes);
            return if repeats {
                Decision::Claim
            } else {
                Decision::Run { generation }
            };
        }
        let wait = self.next_try(record, software).since(now);
        if wait.is_zero() {
            Decision::Claim
        } else {
            Decision::Reject(wait)
        }
    }

    /// Returns when a request may be tried again.
    fn next_try(&self, record: &Record, software: Option<u32>) -> Instant {
        if record.bounded_since().is_none() {
            return record.changed;
        }
        let is_confirmed = record.is_confirmed();
        if !is_confirmed && record.tries < EARLY_TRIES {
            return record.changed;
        }
        let early = if is_confirmed { 0 } else { EARLY_TRIES };
        let Some(pause) = PAUSES.get(usize::from(record.tries - early)) else {
            return record.changed + MAX_MEMORY;
        };
        let is_new = software.is_some_and(|it| !record.ran_on(it));
        if is_new || (record.tries < EARLY_TRIES && self.is_doubtful(record)) {
            return record.changed;
        }
        record.changed + *pause
    }

    /// Returns whether the last crash may have had another cause.
    ///
    /// That is another request under which servers crashed in a row, or a loss of many servers.
    fn is_doubtful(&self, record: &Record) -> bool {
        let Some(last) = record.crashes.last() else {
            return false;
        };
        let others = self
            .records
            .values()
            .filter(|it| !std::ptr::eq(*it, record));
        let mut ended: Set<(u32, u64)> = Set::default();
        for other in others {
            if other.generation() > 1 && other.has(&last.process) {
                return true;
            }
            let near = other.crashes.iter().filter(|it| {
                let (first, second) = (it.at.min(last.at), it.at.max(last.at));
                it.process.id() != last.process.id() && second.since(first) < LOSS_TIME
            });
            ended.extend(near.map(|it| it.process.id()));
        }
        ended.len() >= LOSS_SERVERS
    }

    /// Returns whether a request that is rejected ran on the server too, and may have crashed it.
    fn is_explained(&self, record: &Record, crash: &Crash) -> bool {
        let confirmed = self.records.values().filter(|it| it.is_confirmed());
        let mut others = confirmed.filter(|it| !std::ptr::eq(*it, record));
        others.any(|it| it.has(&crash.process))
    }

    /// Returns the number of crashes that speak against a request.
    ///
    /// Those of a request that is not rejected itself count only if no rejected one explains them.
    pub(super) fn unexplained(&self, record: &Record) -> usize {
        let crashes = record.crashes.iter();
        if record.is_confirmed() {
            return record.count();
        }
        distinct(crashes.filter(|crash| !self.is_explained(record, crash)))
    }

    /// Returns whether a request that was decided about may be sent now.
    ///
    /// `is_claimed` says whether this host has claimed it.
    pub fn may_send(&self, now: Instant, identity: Identity, is_claimed: bool) -> bool {
        let Some(record) = self.records.get(&identity) else {
            return true;
        };
        let claim = record.active_claim(now);
        let holds = claim.is_some_and(|claim| claim.holder == self.own);
        is_claimed && holds || self.unexplained(record) < ALONE_FROM
    }
}
