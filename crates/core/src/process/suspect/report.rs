//! What hosts tell each other of suspected requests, with ages instead of times.

use super::{
    MAX_CLAIM_TIME, Process, SETTLE_TIME,
    record::{Claim, Crash, Record},
};
use crate::request::identity::Identity;
use azurenotch_wire::time::Instant;
use serde::{Deserialize, Serialize};
use std::{cmp::Reverse, time::Duration};

/// Largest number of crashes of one request in a message.
const MAX_CRASHES: usize = 6;

/// What one message tells of suspected requests.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// Requests under which servers crashed.
    pub records: Vec<Report>,
    /// Requests that were answered.
    pub cleared: Vec<Clearance>,
}

impl News {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.cleared.is_empty()
    }
}

/// What a host knows of a request under which servers crashed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The request.
    pub identity: Identity,
    crashes: Vec<CrashReport>,
    /// Runs since it has more crashes than are tolerated.
    pub(super) tries: u8,
    /// Milliseconds since the last crash or try.
    age_ms: u32,
    /// The sender's own claim: whether the run has begun, and the milliseconds left.
    claim: Option<(bool, u32)>,
}

/// Crash of a server under a request.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct CrashReport {
    process: Process,
    generation: u8,
    /// Milliseconds since it was found out.
    age_ms: u32,
}

/// Answer to a suspected request.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Clearance {
    /// The request.
    pub identity: Identity,
    /// Hash of the service and the version that answered.
    pub software: u32,
    /// Generation of crashes that the answer took away.
    pub generation: u8,
    /// Milliseconds since the answer.
    pub(super) age_ms: u32,
}

impl Report {
    pub(super) fn new(now: Instant, identity: Identity, record: &Record, own: u32) -> Self {
        let mut crashes = record.crashes.clone();
        crashes.sort_by_key(|crash| Reverse(crash.at));
        let crashes = crashes.iter().take(MAX_CRASHES).map(|crash| CrashReport {
            process: crash.process,
            generation: crash.generation,
            age_ms: millis(now.since(crash.at)),
        });
        let claim = record.active_claim(now).filter(|claim| claim.holder == own);
        Self {
            identity,
            crashes: crashes.collect(),
            tries: record.tries,
            age_ms: millis(now.since(record.changed)),
            claim: claim.map(|claim| (claim.runs, millis(claim.until.since(now)))),
        }
    }

    /// Returns the report as it is some time later.
    #[must_use]
    pub fn aged(mut self, time: Duration) -> Self {
        let ms = millis(time);
        self.age_ms = self.age_ms.saturating_add(ms);
        for crash in &mut self.crashes {
            crash.age_ms = crash.age_ms.saturating_add(ms);
        }
        self.claim = None;
        self
    }

    /// Returns the crashes by the receiver's clock.
    pub(super) fn crashes(&self, now: Instant) -> impl Iterator<Item = Crash> {
        let crashes = self.crashes.iter().take(MAX_CRASHES);
        crashes.map(move |it| Crash {
            process: it.process,
            generation: it.generation,
            at: now - Duration::from_millis(it.age_ms.into()),
        })
    }

    /// Returns the time since the last crash or try.
    pub(super) fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms.into())
    }

    /// Returns the claim of the sender by the receiver's clock.
    pub(super) fn claim(&self, now: Instant, sender: u32) -> Option<Claim> {
        let (runs, left_ms) = self.claim?;
        let left = Duration::from_millis(left_ms.into());
        Some(Claim {
            holder: sender,
            runs,
            settles: now,
            is_vacant: false,
            until: now + left.min(SETTLE_TIME + MAX_CLAIM_TIME),
        })
    }
}

impl Clearance {
    /// Returns the time since the answer.
    pub(super) fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms.into())
    }
}

pub(super) fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
