//! Order of a row's contents across eras of the store.
//!
//! A restored store gives versions out again, so that versions of different eras cannot be compared.
//! Within an era they can. Across eras, a content is ordered by what the host has seen: the numbers
//! under which the store had it, the former contents of the row, and the version of the first read
//! in the later era, which is not below that of the copy.

use crate::{era::Era, model::Item};
use azurenotch_wire::{hash::hash64, time::Instant};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// Longest age of the copy from which the store comes back.
///
/// An era that a host has followed for this long is the one from which the copy was taken.
const MAX_COPY_AGE: Duration = Duration::from_secs(20);
/// Eras that are remembered.
const MAX_ERAS: usize = 4;
/// Former contents of a row that are remembered.
const MAX_FORMER: usize = 8;

/// When a content was written, compared with the content in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Order {
    Later,
    Earlier,
    /// Cannot be told; the content in force stays until the store decides.
    Unknown,
}

/// Versions at which the store had the contents of a row.
#[derive(Debug, Clone, Default)]
pub(super) struct Lineage {
    /// Versions of the content in force, at most one for each era, in ascending order.
    versions: Vec<u64>,
    /// Contents before it, oldest first.
    former: VecDeque<Former>,
}

#[derive(Debug, Clone, Copy)]
struct Former {
    version: u64,
    /// Version of the store up to which the row had this content.
    until: u64,
    digest: u64,
}

impl Lineage {
    /// Creates the lineage of a row of which one version is known.
    pub(super) fn new(version: u64) -> Self {
        Self {
            versions: vec![version],
            former: VecDeque::new(),
        }
    }

    /// Returns the latest version of the content in force.
    pub(super) fn latest(&self) -> u64 {
        self.versions.last().copied().unwrap_or_default()
    }

    /// Returns the version of the content in force in an era.
    pub(super) fn version_in(&self, era: Era) -> Option<u64> {
        let mut versions = self.versions.iter().copied();
        versions.find(|version| Era::of(*version) == era)
    }

    /// Records that the store has the content in force at a version as well.
    pub(super) fn confirm(&mut self, version: u64) {
        let known = self
            .versions
            .iter_mut()
            .find(|known| Era::of(**known) == Era::of(version));
        match known {
            Some(known) => *known = version.max(*known),
            None => self.versions.push(version),
        }
        self.versions.sort_unstable();
        if self.versions.len() > MAX_ERAS {
            self.versions.remove(0);
        }
    }

    /// Records that other content at `version` is in force instead of `item`.
    ///
    /// `read` is the version of the store up to which all changes before it were applied.
    pub(super) fn replace(&mut self, item: &Item, version: u64, read: u64) {
        let digest = digest(item);
        for former in self.versions.drain(..) {
            let until = if Era::of(read) == Era::of(former) {
                read.max(former)
            } else {
                former
            };
            self.former.push_back(Former {
                version: former,
                until,
                digest,
            });
        }
        while self.former.len() > MAX_FORMER {
            self.former.pop_front();
        }
        self.versions.push(version);
    }
}

/// Eras of the store that a host has seen.
#[derive(Debug, Default)]
pub(super) struct Eras(BTreeMap<Era, Span>);

#[derive(Debug, Clone, Copy)]
struct Span {
    first_seen: Instant,
    last_seen: Instant,
    /// Lowest version at which all rows were read; `None` if they never were.
    first_read: Option<u64>,
}

impl Eras {
    /// Records that the store had a version at an instant.
    pub(super) fn see(&mut self, at: Instant, version: u64) {
        let era = Era::of(version);
        let span = self.0.entry(era).or_insert(Span {
            first_seen: at,
            last_seen: at,
            first_read: None,
        });
        span.first_seen = span.first_seen.min(at);
        span.last_seen = span.last_seen.max(at);
        if self.0.len() > MAX_ERAS {
            self.0.pop_first();
        }
    }

    /// Records that all rows were read at a version, by this host or another one.
    pub(super) fn read(&mut self, now: Instant, version: u64) {
        self.see(now, version);
        if let Some(span) = self.0.get_mut(&Era::of(version)) {
            let first = span.first_read.map_or(version, |first| first.min(version));
            span.first_read = Some(first);
        }
    }

    /// Returns whether a copy that the store came back from after this era was taken in it.
    ///
    /// The first era is that of a store that was never restored.
    fn is_settled(&self, era: Era) -> bool {
        let span = self.0.get(&era);
        era == Era::default()
            || span.is_some_and(|span| span.last_seen.since(span.first_seen) >= MAX_COPY_AGE)
    }

    /// Returns when `item`, which the store had at `version`, was written.
    pub(super) fn order(&self, known: &Lineage, version: u64, item: &Item) -> Order {
        let era = Era::of(version);
        if let Some(known) = known.version_in(era) {
            return if version > known {
                Order::Later
            } else {
                Order::Earlier
            };
        }
        let latest = known.latest();
        if Era::of(latest) > era {
            return Order::Unknown;
        }
        let first_read = self.0.get(&era).and_then(|span| span.first_read);
        if first_read.is_some_and(|first| version > first) {
            return Order::Later;
        }
        let number = Era::number(version);
        let digest = digest(item);
        let mut former = known.former.iter();
        if former.any(|it| it.digest == digest && Era::number(it.version) == number) {
            return Order::Earlier;
        }
        if !self.is_settled(Era::of(latest)) {
            return Order::Unknown;
        }
        // The copy cannot have a row under a number at which it had other content.
        let mut former = known.former.iter();
        let was_other = former.any(|it| {
            Era::of(it.version) == Era::of(latest)
                && (Era::number(it.version)..=Era::number(it.until)).contains(&number)
        });
        if number >= Era::number(latest) || was_other {
            return Order::Later;
        }
        Order::Unknown
    }
}

fn digest(item: &Item) -> u64 {
    hash64(&format!("{item:?}"))
}
