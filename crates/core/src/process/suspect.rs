//! Requests that may crash the backend servers that run them.
//!
//! Load pattern: one request crashes each server that begins to run it. It is lost, so that hosts and
//! callers send it again, at any host and under a new id, until no server is left. Each crash also
//! cuts off other requests, which come again as well and harm nobody.
//!
//! Every request that a server was running when it crashed is a suspect. Its runs follow from one
//! another in generations: a run that began when all hosts knew of one generation of crashes makes the
//! next one if its server crashes too, and takes that one away if it is answered. A loss of many
//! servers at the same moment, of which a popular request may have met several, is one generation. A
//! request that crashes most of its servers, but not all, gains more generations than it loses.
//!
//! | Crashes that no answer took away | What hosts do with the request |
//! | --- | --- |
//! | none | run it |
//! | one | run it; a host that repeats it claims it first, and others wait for that run |
//! | two or more | run it alone in the fleet: one host at a time claims it |
//! | three generations | reject it; a few tries, alone, after pauses that grow |
//!
//! A run whose caller has left has no answer that could speak for the request. Its server may outlive
//! it instead ([`super::orphan`]), which takes away crashes under such runs, and no others: the server
//! may have dropped the run when its connection closed. The hash of the software tells the two kinds
//! of evidence apart ([`without_caller`]), so that builds which know one kind only read both. Several
//! such runs together (`outlived::RUNS_PER_ANSWER`) speak against other crashes too, since a request whose
//! callers always leave may meet one while a caller is still there.
//!
//! Hosts tell each other of the crashes and the answers that they saw. Messages may be lost, late, or
//! come twice.

mod claim;
mod decision;
mod news;
mod outlived;
mod record;
mod report;
mod row;

pub use decision::Decision;
pub use report::{Clearance, CrashReport, News, Report};
pub use row::{Comparison, Row};

use crate::request::identity::Identity;
use azurenotch_wire::{Map, time::Instant};
use outlived::Outlived;
use record::{Crash, Record};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time in which a claim, or the news of a crash, reaches the other hosts.
///
/// Two datagrams may have to be 60 ms apart, and distant regions are 50 ms away.
pub const SETTLE_TIME: Duration = Duration::from_millis(150);
/// Retry delay for callers whose request runs at another host for long.
pub const CLAIMED_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Crashes from which a request runs alone in the fleet.
const ALONE_FROM: usize = 2;
/// Crashes, or generations of them, that the fleet tolerates.
const TOLERATED: u8 = 3;
/// Time after the third crash in which runs are not counted as tries.
///
/// When many servers are lost at once, those that come back may decline the first requests. It is
/// shorter than the time in which all hosts have to know of the crashes.
const FREE_TIME: Duration = Duration::from_secs(2);
/// Longest time for which a host claims a request.
const MAX_CLAIM_TIME: Duration = Duration::from_secs(10);
/// Time for which a host keeps a claim whose caller left before the run.
///
/// Callers that always leave before a claim has settled would never see the request run alone.
const VACANT_CLAIM_TIME: Duration = Duration::from_secs(2);
/// Time for which a request with more than one crash is remembered.
pub const MAX_MEMORY: Duration = Duration::from_hours(24);
/// Time for which a request with one crash is.
const MIN_MEMORY: Duration = Duration::from_mins(10);
/// Time for which an answer voids crashes before it that hosts report later.
const CLEARANCE_MEMORY: Duration = Duration::from_secs(10);
/// Largest number of requests that are remembered; those with the fewest crashes leave first.
const MAX_RECORDS: usize = 1024;
/// Time for which a host tells the others what it saw.
const NEWS_TIME: Duration = Duration::from_secs(3);

/// Process of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Process {
    /// Hash of the server's name.
    pub server: u32,
    /// Start of the process.
    pub incarnation: u64,
    /// Hash of the service and the version that it runs; [`without_caller`] under an abandoned run.
    pub software: u32,
}

impl Process {
    /// Returns what identifies the process, whatever it ran.
    const fn id(&self) -> (u32, u64) {
        (self.server, self.incarnation)
    }
}

/// Returns the hash that stands for a service and version in evidence from abandoned runs.
pub const fn without_caller(software: u32) -> u32 {
    !software
}

/// Returns whether a hash stands for this software, whether or not callers had left.
const fn is_software(hash: u32, software: u32) -> bool {
    hash == software || hash == without_caller(software)
}

/// Change of what is known of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// Another server crashed while it ran the request.
    Suspected {
        /// Crashes so far.
        crashes: usize,
        /// Generations of crashes so far.
        generation: u8,
    },
    /// It is rejected from now on.
    Confirmed,
    /// It was answered, or outlived by a server.
    Cleared,
}

/// Answer to a suspect, or the end of an abandoned run that its server outlived.
#[derive(Debug, Clone)]
struct Answer {
    /// Generation that it took away.
    generation: u8,
    at: Instant,
    /// Whether it ended a rejection; copies of the store may still have it.
    lifts: bool,
    /// Processes whose crashes it took away; reports of them may arrive later.
    processes: Vec<Process>,
}

impl Answer {
    /// Returns whether the answer took a crash of the same software away.
    fn voids(&self, crash: &Crash) -> bool {
        let is_earlier = self.generation <= crash.generation && crash.at <= self.at;
        is_earlier || self.processes.contains(&crash.process)
    }
}

/// Requests under which servers crashed, as known to one host.
#[derive(Debug)]
pub struct Table {
    /// Hash of this host's name.
    own: u32,
    records: Map<Identity, Record>,
    /// Last answers by the hash of the software that gave them.
    cleared: Map<(Identity, u32), Answer>,
    /// Answers that the other hosts are told of, and until when.
    cleared_news: Vec<((Identity, u32), Instant)>,
    /// Abandoned runs of requests that servers of this host outlived lately, by their software.
    outlived: Map<(Identity, u32), Outlived>,
    /// Number of times that a request was rejected, or was not rejected any more.
    changes: u64,
}

impl Table {
    /// Creates an empty table for the host whose name has the hash `own`.
    pub fn new(own: u32) -> Self {
        Self {
            own,
            records: Map::default(),
            cleared: Map::default(),
            cleared_news: Vec::new(),
            outlived: Map::default(),
            changes: 0,
        }
    }

    /// Returns whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of suspected requests, and of those that are rejected.
    pub fn counts(&self) -> (usize, usize) {
        let confirmed = self.records.values().filter(|it| it.is_confirmed());
        (self.records.len(), confirmed.count())
    }

    /// Returns whether a request is rejected.
    pub fn is_confirmed(&self, identity: Identity) -> bool {
        self.records
            .get(&identity)
            .is_some_and(Record::is_confirmed)
    }

    /// Returns what is known of a request; `None` if it is not suspected.
    pub fn report(&self, now: Instant, identity: Identity) -> Option<Report> {
        let record = self.records.get(&identity)?;
        Some(Report::new(now, identity, record, self.own))
    }

    /// Returns the crashes of a request that are known, and their generations.
    pub fn crashes(&self, identity: Identity) -> (usize, u8) {
        let record = self.records.get(&identity);
        record.map_or((0, 0), |record| (record.count(), record.generation()))
    }

    /// Records that a request is sent to a server.
    pub fn begin(&mut self, now: Instant, identity: Identity) {
        let Some(record) = self.records.get_mut(&identity) else {
            return;
        };
        let bounded = record.bounded_since();
        if bounded.is_some_and(|at| now.since(at) >= FREE_TIME) {
            record.tries = record.tries.saturating_add(1);
            record.changed = now;
            record.news_until = now + NEWS_TIME;
        }
    }

    /// Records that a process crashed under a run that began when `generation` was known.
    ///
    /// If servers have just outlived several abandoned runs of the request, further ones clear it of
    /// the crash.
    pub fn crash(
        &mut self,
        now: Instant,
        identity: Identity,
        mut process: Process,
        generation: u8,
    ) -> Option<Event> {
        let outlived = self.outlived.get(&(identity, process.software));
        if outlived.is_some_and(|it| it.is_answer(now)) {
            process.software = without_caller(process.software);
        }
        let crash = Crash {
            process,
            generation: generation.saturating_add(1),
            at: now,
        };
        let event = self.add(now, identity, &[crash])?;
        if let Some(record) = self.records.get_mut(&identity) {
            record.news_until = now + NEWS_TIME;
            record.changed = now;
        }
        Some(event)
    }

    /// Records a whole answer to a run that began at `began`.
    ///
    /// It takes the last generation of crashes of the same software away, if these came before.
    pub fn answer(
        &mut self,
        now: Instant,
        identity: Identity,
        software: u32,
        began: Instant,
    ) -> Option<Event> {
        let record = self.records.get(&identity)?;
        let last = record.crashes.last()?.generation;
        let mut crashes = record.crashes.iter();
        if crashes.any(|crash| crash.generation == last && crash.at > began) {
            return None;
        }
        // The answer also speaks for runs without callers.
        let kinds = [software, without_caller(software)];
        let events = kinds.map(|kind| self.clear_here(now, identity, kind, last));
        events.into_iter().flatten().next()
    }

    /// Clears a request of crashes, and tells the other hosts.
    fn clear_here(
        &mut self,
        now: Instant,
        identity: Identity,
        software: u32,
        generation: u8,
    ) -> Option<Event> {
        let event = self.clear(identity, software, generation, now)?;
        let until = now + NEWS_TIME;
        self.cleared_news.push(((identity, software), until));
        Some(event)
    }

    /// Forgets what is too old, and what exceeds the size of the table.
    pub fn sweep(&mut self, now: Instant) {
        self.records.retain(|_, record| {
            let memory = if record.count() >= ALONE_FROM {
                MAX_MEMORY
            } else {
                MIN_MEMORY
            };
            now.since(record.changed) < memory
        });
        self.cleared.retain(|_, answer| {
            let memory = if answer.lifts {
                MAX_MEMORY
            } else {
                CLEARANCE_MEMORY
            };
            now.since(answer.at) < memory
        });
        self.cleared_news.retain(|(_, until)| *until > now);
        self.outlived.retain(|_, it| it.is_recent(now));
        self.shrink();
    }

    fn shrink(&mut self) {
        let excess = self.records.len().saturating_sub(MAX_RECORDS);
        if excess == 0 {
            return;
        }
        let mut order: Vec<(usize, Instant, Identity)> = self
            .records
            .iter()
            .map(|(identity, it)| (it.count(), it.changed, *identity))
            .collect();
        order.sort_unstable();
        for (.., identity) in order.into_iter().take(excess) {
            self.records.remove(&identity);
        }
    }

    /// Adds crashes to the record of a request; returns the event if there is a new one.
    fn add(&mut self, now: Instant, identity: Identity, crashes: &[Crash]) -> Option<Event> {
        let answer = |crash: &Crash| self.cleared.get(&(identity, crash.process.software));
        let is_void = |crash: &Crash| answer(crash).is_some_and(|answer| answer.voids(crash));
        let crashes: Vec<Crash> = crashes.iter().filter(|it| !is_void(it)).copied().collect();
        if crashes.is_empty() {
            return None;
        }
        let record = self.records.entry(identity);
        let record = record.or_insert_with(|| Record::new(now));
        let was_confirmed = record.is_confirmed();
        let mut is_new = false;
        for crash in crashes {
            is_new |= record.insert(crash);
        }
        if !is_new {
            return None;
        }
        let event = Event::Suspected {
            crashes: record.count(),
            generation: record.generation(),
        };
        if record.is_confirmed() && !was_confirmed {
            self.changes += 1;
            return Some(Event::Confirmed);
        }
        self.shrink();
        Some(event)
    }

    /// Takes the crashes of this software from a generation on, up to `at`, from a request.
    fn clear(
        &mut self,
        identity: Identity,
        software: u32,
        generation: u8,
        at: Instant,
    ) -> Option<Event> {
        let answer = self.cleared.entry((identity, software));
        let answer = answer.or_insert_with(|| Answer {
            generation,
            at,
            lifts: false,
            processes: Vec::new(),
        });
        if answer.at <= at {
            (answer.generation, answer.at) = (generation, at);
        }
        let record = self.records.get_mut(&identity)?;
        let was_confirmed = record.is_confirmed();
        let is_void = |crash: &Crash| {
            crash.process.software == software && crash.generation >= generation && crash.at <= at
        };
        let crashes = record.crashes.iter().copied();
        let (voided, left): (Vec<Crash>, Vec<Crash>) = crashes.partition(is_void);
        if voided.is_empty() {
            return None;
        }
        answer.processes.extend(voided.iter().map(|it| it.process));
        record.crashes = left;
        record.tries = 0;
        if was_confirmed && !record.is_confirmed() {
            answer.lifts = true;
            self.changes += 1;
        }
        let own = self.own;
        if record.crashes.is_empty() {
            self.records.remove(&identity);
        } else if record.count() < ALONE_FROM {
            record.claim.take_if(|claim| claim.is_vacant_at(own));
        }
        Some(Event::Cleared)
    }
}

#[cfg(test)]
mod tests;
