//! Parts of the datagrams that are about usage reports.

use super::{Gossip, inbound::MAX_DATAGRAM_BYTES, updates::Round};
use crate::process::message;
use azurenotch_core::process::usage::{Claim, Part};
use azurenotch_wire::{
    id::{Host, Incarnation},
    time::Instant,
};
use std::{borrow::Cow, time::Duration};

/// Largest encoded size of the head and of the time of day and claim, which take up to 75 bytes.
const MAX_OTHER_BYTES: usize = 96;
/// Least room for the counts in a datagram, in bytes.
const MIN_COUNTS_BYTES: usize = 512;

/// What a round says about usage.
#[derive(Debug)]
pub(super) struct UsageRound {
    wall_ms: u64,
    claim: Claim,
    /// Hosts that get the counts.
    receivers: Vec<Host>,
    /// Encoded counts of this host.
    counts: Vec<Vec<u8>>,
}

impl Gossip {
    /// Returns what a round says about usage; `None` if the settings do not ask for reports.
    ///
    /// Only a regular round has the counts.
    pub(super) fn usage_round(&self, round: &Round, is_regular: bool) -> Option<UsageRound> {
        let state = &self.state;
        let book = state.usage.as_ref()?;
        let mut said = UsageRound {
            wall_ms: state.dependencies.clock.wall_ms(),
            claim: book.lock().claim(),
            receivers: Vec::new(),
            counts: Vec::new(),
        };
        if is_regular {
            let now = state.now();
            let collectors = state.collectors(now);
            let taken = round.largest_body() + MAX_OTHER_BYTES;
            let room = MAX_DATAGRAM_BYTES.saturating_sub(taken);
            let mut book = book.lock();
            let parts = book.parts(now, room.max(MIN_COUNTS_BYTES));
            // A part consists of numbers, which can always be encoded.
            let encode = |part: &Part| rmp_serde::to_vec(part).ok();
            said.counts = parts.iter().filter_map(encode).collect();
            said.receivers = book.receivers(collectors);
        }
        Some(said)
    }

    /// Returns the ends of the datagrams for a host; at least one.
    pub(super) fn usage_ends(&self, host: Option<&Host>, round: &UsageRound) -> Vec<Vec<u8>> {
        let now = self.state.now();
        let contacts = self.contacts.lock();
        let contact = host.and_then(|host| contacts.get(host));
        let held = contact.map(|it| it.held(now).as_millis());
        drop(contacts);
        let usage = message::Usage {
            wall_ms: round.wall_ms,
            held_ms: held.map(|it| u32::try_from(it).unwrap_or(u32::MAX)),
            claim: round.claim,
        };
        let Ok(usage) = rmp_serde::to_vec(&usage) else {
            return vec![Vec::new()];
        };
        let gets_counts = host.is_some_and(|host| round.receivers.contains(host));
        if !gets_counts || round.counts.is_empty() {
            return vec![usage];
        }
        let counts = round.counts.iter();
        counts.map(|counts| [&usage[..], counts].concat()).collect()
    }

    /// Takes in what a datagram of another host says about usage.
    ///
    /// `echoed` is when this host sent the message that the other one received last.
    pub(super) fn receive_usage(
        &self,
        now: Instant,
        from: (&Host, Incarnation),
        echoed: Option<Instant>,
        usage: &message::UsageParts,
    ) {
        let (Some(book), Some(status)) = (&self.state.usage, &usage.status) else {
            return;
        };
        let counts = usage.counts.as_ref();
        let rtt = echoed.zip(status.held_ms).map(|(sent, held_ms)| {
            let held = Duration::from_millis(held_ms.into());
            now.since(sent).saturating_sub(held)
        });
        let half_rtt = rtt.unwrap_or_default() / 2;
        let steady = self.state.dependencies.clock.steady();
        book.lock()
            .receive(now, steady, from, half_rtt, status, counts);
    }

    /// Drops what is known of the usage of hosts that are unreachable or no longer run.
    pub(super) fn sweep_usage(&self, now: Instant, removed: &[Host]) {
        let state = &self.state;
        if let Some(book) = &state.usage {
            let membership = state.membership.lock();
            let is_reachable = |host: &Host| membership.presence.is_reachable(now, host);
            let clock = &state.dependencies.clock;
            let present = (now, clock.steady());
            book.lock()
                .sweep(present, clock.wall_ms(), removed, is_reachable);
        }
    }
}

/// Pairs the bodies of datagrams with their ends.
///
/// Bodies after the last end have none, and ends after the last body get `status`.
pub(super) fn with_ends<'a>(
    bodies: &[&'a [u8]],
    status: &'a [u8],
    ends: Option<Vec<Vec<u8>>>,
) -> Vec<(&'a [u8], Cow<'static, [u8]>)> {
    let ends = ends.unwrap_or_default();
    let count = bodies.len().max(ends.len());
    let mut ends = ends.into_iter();
    let pairs = (0..count).map(|index| {
        let body = bodies.get(index).copied().unwrap_or(status);
        let end = ends.next().map_or(Cow::Borrowed(&[][..]), Cow::Owned);
        (body, end)
    });
    pairs.collect()
}

#[cfg(test)]
mod tests;
