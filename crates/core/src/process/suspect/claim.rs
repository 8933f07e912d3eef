//! Right of one host to run a request alone in the fleet.

use super::{
    ALONE_FROM, MAX_CLAIM_TIME, NEWS_TIME, SETTLE_TIME, Table, VACANT_CLAIM_TIME, record::Claim,
};
use crate::request::identity::Identity;
use azurenotch_wire::time::Instant;
use std::time::Duration;

impl Table {
    /// Claims a request for a run that ends within `max_time` after the claim has settled.
    ///
    /// Returns when the claim has settled: [`SETTLE_TIME`] from now, or earlier if this host has kept
    /// the claim of a caller that left.
    pub fn claim(&mut self, now: Instant, identity: Identity, max_time: Duration) -> Instant {
        let Some(record) = self.records.get_mut(&identity) else {
            return now;
        };
        let own = self.own;
        let kept = record.active_claim(now).filter(|it| it.is_vacant_at(own));
        let settles = kept.map_or(now + SETTLE_TIME, |claim| claim.settles);
        record.claim = Some(Claim {
            holder: own,
            runs: false,
            settles,
            is_vacant: false,
            until: settles.max(now) + max_time.min(MAX_CLAIM_TIME),
        });
        record.news_until = now + NEWS_TIME;
        settles
    }

    /// Keeps this host's claim for the next caller, since its own left before the run.
    ///
    /// A request that need not run alone is given up instead: its next caller needs no claim.
    pub fn vacate(&mut self, now: Instant, identity: Identity) {
        let own = self.own;
        let Some(record) = self.records.get(&identity) else {
            return;
        };
        if self.unexplained(record) < ALONE_FROM {
            self.release(now, identity);
            return;
        }
        if let Some(record) = self.records.get_mut(&identity)
            && let Some(claim) = record.claim.as_mut().filter(|it| it.holder == own)
        {
            claim.is_vacant = true;
            claim.until = claim.until.min(now + VACANT_CLAIM_TIME);
            record.news_until = now + NEWS_TIME;
        }
    }

    /// Begins the run that this host has claimed, once the claim has settled; returns its generation.
    ///
    /// Returns `None` if another host claimed the request too and has precedence. A request that was
    /// cleared meanwhile may run without the claim.
    pub fn settle(&mut self, now: Instant, identity: Identity) -> Option<u8> {
        let own = self.own;
        if let Some(record) = self.records.get(&identity)
            && self.unexplained(record) == 0
        {
            return Some(0);
        }
        let Some(record) = self.records.get_mut(&identity) else {
            return Some(0);
        };
        let claim = record.claim.as_mut();
        let claim = claim.filter(|claim| claim.holder == own && claim.until > now)?;
        claim.runs = true;
        record.news_until = now + NEWS_TIME;
        Some(record.generation())
    }

    /// Gives this host's claim up; returns whether there was one.
    pub fn release(&mut self, now: Instant, identity: Identity) -> bool {
        let own = self.own;
        let Some(record) = self.records.get_mut(&identity) else {
            return false;
        };
        let held = record.claim.take_if(|claim| claim.holder == own).is_some();
        if held {
            record.news_until = now + NEWS_TIME;
        }
        held
    }
}
