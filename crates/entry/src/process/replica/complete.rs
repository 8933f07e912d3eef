//! Up to when a host knows all accepted changes of the configuration, across restores of the store.

use super::Replica;
use crate::era::Era;
use azurenotch_core::process::moment::Moment;
use azurenotch_wire::time::Instant;
use std::time::Duration;

/// Time from a host's first read in an era until the operator has written again what was lost.
///
/// Writers do so within about two seconds of the store's return; the rest is for the host's own read.
const REWRITE_TIME: Duration = Duration::from_millis(2_500);
/// Time without a further write of the operator after which it has written all that was lost.
///
/// It writes several lost versions in their order, so that the first write is not the last one.
const REWRITE_PAUSE: Duration = Duration::from_millis(1_500);

/// Up to when the configuration has all changes that the operator was told are accepted.
///
/// A store that has come back from an older copy confirms what the copy has. Changes that it lost are
/// missing until the operator has written them again. A host that starts in a later era cannot tell how
/// long ago the store came back, unless another host knows up to when its configuration has all changes.
#[derive(Debug, Default)]
pub(super) struct Completeness {
    /// Latest time as of which no accepted change is missing.
    at: Option<Moment>,
    /// The same by what another host says, with the configuration that it has and this one lacks.
    told: Option<(u64, Moment)>,
    /// Version of the store at the first read in the present era; 0 before any read.
    first_read: u64,
    /// Time in which changes may be missing, since the store is in a later era.
    gap: Option<Gap>,
}

/// Time in which the operator may not have written again what a restored store lacks.
#[derive(Debug, Clone, Copy)]
struct Gap {
    /// Instant from which confirmations count.
    until: Instant,
    /// Latest such instant.
    limit: Instant,
}

impl Completeness {
    /// Records a read of all orders at a version of the store.
    pub(super) fn enter_era(&mut self, now: Instant, version: u64) {
        if Era::of(version) <= Era::of(self.first_read) && self.first_read != 0 {
            return;
        }
        // A store that was never restored has lost nothing.
        if self.first_read != 0 || Era::of(version) > Era::FIRST {
            let limit = now + REWRITE_TIME;
            self.gap = Some(Gap {
                until: limit,
                limit,
            });
        }
        self.first_read = version;
    }

    /// Records that the store had no later change at an instant.
    pub(super) fn confirm(&mut self, at: Instant) {
        if self.gap.is_none_or(|gap| at >= gap.until) {
            self.at = self.at.max(Some(at.into()));
        }
    }

    /// Records that a version of the configuration, which another host has, has all changes up to `at`.
    ///
    /// `known` is the version that this host has.
    fn learn(&mut self, known: u64, version: u64, at: Moment) {
        if version <= known {
            self.at = self.at.max(Some(at));
        } else if self.told.is_none_or(|(_, told)| told < at) {
            self.told = Some((version, at));
        }
    }

    /// Records that the host has this version of the configuration.
    pub(super) fn adopt(&mut self, version: u64) {
        if let Some((_, at)) = self.told.take_if(|(told, _)| *told <= version) {
            self.at = self.at.max(Some(at));
        }
    }

    /// Records that the operator has written again in this era, which may not be its last write.
    pub(super) fn record_rewrite(&mut self, now: Instant) {
        if let Some(gap) = &mut self.gap {
            gap.until = gap.limit.min(now + REWRITE_PAUSE);
        }
    }

    /// Returns whether the operator wrote a row of the configuration after the restore.
    ///
    /// `known_row` and `known` are the versions of the known row and of its content, `row` and
    /// `content` those of the row in question. A copy has a content under the number under which it
    /// was first read.
    pub(super) fn is_rewrite(&self, known_row: u64, known: u64, row: u64, content: u64) -> bool {
        let is_restored = Era::of(known_row) < Era::of(row);
        let renumbered = content == known && Era::number(row) != Era::number(known_row);
        let is_later = Era::of(row) == Era::of(self.first_read) && row > self.first_read;
        content >= known && ((is_restored && renumbered) || is_later)
    }
}

impl Replica {
    /// Returns the latest time as of which the configuration has all accepted changes.
    ///
    /// `None` if neither the store nor another host has ever confirmed it.
    pub fn complete(&self) -> Option<Moment> {
        self.completeness.at
    }

    /// Returns the version of the configuration and [`Replica::complete`], for hosts that start now.
    ///
    /// If the store was never restored, hosts that run have nothing to learn from it, and it is
    /// `None` unless a host is `starting`. Confirmations alone tell that one nothing until it has run
    /// for as long as they are old.
    pub(crate) fn shared_completeness(&self, starting: bool) -> Option<(u64, Moment)> {
        let (_, config) = self.config.as_ref()?;
        let at = self.complete()?;
        let is_restored = Era::of(self.completeness.first_read) > Era::FIRST;
        (is_restored || starting).then_some((config.version, at))
    }

    /// Records that, at another host, a version of the configuration has all changes up to `at`.
    ///
    /// Versions are the operator's own, so that eras need not be the same.
    pub(crate) fn learn_completeness(&mut self, version: u64, at: Moment) {
        let known = self.config.as_ref().map_or(0, |(_, config)| config.version);
        self.completeness.learn(known, version, at);
    }
}

#[cfg(test)]
mod tests;
