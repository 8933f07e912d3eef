//! What is known of one request under which servers crashed.

use super::{Process, TOLERATED, is_software, report::Report};
use azurenotch_wire::{Set, time::Instant};

/// Largest number of crashes that are remembered of one request.
const MAX_CRASHES: usize = 16;

/// Crash of a backend server while it ran the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Crash {
    pub(super) process: Process,
    /// One more than the generations that were known when the run began.
    pub(super) generation: u8,
    /// When a host found out, by this host's clock.
    pub(super) at: Instant,
}

/// Right of one host to run a request alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Claim {
    /// Hash of the host's name.
    pub(super) holder: u32,
    /// Whether the run has begun; until then, the lowest hash has precedence.
    pub(super) runs: bool,
    /// When the other hosts know of it; for the holder's own claims only.
    pub(super) settles: Instant,
    /// Whether the holder keeps it for the next caller.
    pub(super) is_vacant: bool,
    pub(super) until: Instant,
}

impl Claim {
    /// Returns whether a host has kept the claim for its next caller.
    pub(super) fn is_vacant_at(&self, host: u32) -> bool {
        self.is_vacant && self.holder == host
    }
}

/// What is known of one request.
#[derive(Debug, Clone)]
pub(super) struct Record {
    /// By generation, then in the order in which this host learnt of them.
    pub(super) crashes: Vec<Crash>,
    /// Runs since the request has more crashes than are tolerated.
    pub(super) tries: u8,
    /// Last crash or try.
    pub(super) changed: Instant,
    pub(super) claim: Option<Claim>,
    /// Until when the other hosts are told.
    pub(super) news_until: Instant,
}

impl Record {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            crashes: Vec::new(),
            tries: 0,
            changed: now,
            claim: None,
            news_until: Instant::ZERO,
        }
    }

    /// Returns the number of processes that crashed.
    ///
    /// One that ran the request with its caller and without counts once.
    pub(super) fn count(&self) -> usize {
        distinct(self.crashes.iter())
    }

    /// Returns the number of generations of crashes.
    pub(super) fn generation(&self) -> u8 {
        self.generation_of(self.count())
    }

    /// Returns the number of generations if only so many of the crashes count.
    pub(super) fn generation_of(&self, crashes: usize) -> u8 {
        let last = self.crashes.last().map_or(0, |crash| crash.generation);
        last.min(u8::try_from(crashes).unwrap_or(u8::MAX))
    }

    /// Returns whether the request is rejected.
    pub(super) fn is_confirmed(&self) -> bool {
        self.generation() >= TOLERATED
    }

    /// Returns when the request had as many crashes as are tolerated; `None` if it has fewer.
    pub(super) fn bounded_since(&self) -> Option<Instant> {
        let mut crashes: Vec<&Crash> = self.crashes.iter().collect();
        crashes.sort_unstable_by_key(|crash| crash.at);
        let mut known = Set::default();
        let mut firsts = crashes
            .into_iter()
            .filter(|it| known.insert(it.process.id()));
        firsts.nth(usize::from(TOLERATED) - 1).map(|it| it.at)
    }

    /// Returns whether the process crashed under the request.
    pub(super) fn has(&self, process: &Process) -> bool {
        self.crashes
            .iter()
            .any(|it| it.process.id() == process.id())
    }

    /// Returns whether this software crashed under the request.
    pub(super) fn ran_on(&self, software: u32) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|it| is_software(it.process.software, software))
    }

    /// Returns the claim that has not expired.
    pub(super) fn active_claim(&self, now: Instant) -> Option<&Claim> {
        self.claim.as_ref().filter(|claim| claim.until > now)
    }

    /// Adds a crash; returns whether it was not known.
    pub(super) fn insert(&mut self, crash: Crash) -> bool {
        let known = self.crashes.iter_mut();
        let known = known.into_iter().find(|it| it.process == crash.process);
        let is_new = known.is_none();
        match known {
            Some(known) => known.generation = known.generation.max(crash.generation),
            None => self.crashes.push(crash),
        }
        self.crashes.sort_by_key(|it| it.generation);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.changed = self.changed.max(crash.at);
        is_new
    }

    /// Takes over the tries and the claim of another host.
    pub(super) fn receive(&mut self, now: Instant, own: u32, sender: u32, report: &Report) {
        if report.tries > self.tries {
            self.tries = report.tries;
            self.changed = self.changed.max(now - report.age());
        }
        let theirs = report.claim(now, sender);
        let claim = self.active_claim(now).copied();
        self.claim = match (claim, theirs) {
            (Some(claim), None) if claim.holder == sender => None,
            (Some(claim), Some(theirs)) if claim.holder == own => {
                let order = |claim: &Claim| (!claim.runs, claim.holder);
                Some(if order(&theirs) < order(&claim) && !claim.runs {
                    theirs
                } else {
                    claim
                })
            }
            (claim, theirs) => theirs.or(claim),
        };
    }
}

/// Returns the number of different processes in a list of crashes.
pub(super) fn distinct<'c>(crashes: impl Iterator<Item = &'c Crash>) -> usize {
    let processes: Set<(u32, u64)> = crashes.map(|crash| crash.process.id()).collect();
    processes.len()
}
