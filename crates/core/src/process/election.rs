//! Election of the host that reads the store for all others and of those that write to it.
//!
//! Calls to the store are limited and paid for, so one host reads it and sends
//! updates to the others. All hosts derive the same reader from the set of reachable hosts. While
//! their sets differ, two hosts may read the store, which is harmless.

use azurenotch_wire::{hash, id::Host};
use std::time::Duration;

/// Number of hosts that attempt a write, one after the other.
const MAX_WRITERS: u32 = 4;
/// Delay between the attempts of two hosts; long enough for a call to the store and its reply.
const WRITE_TURN_DELAY: Duration = Duration::from_millis(400);

/// Returns whether this host reads the store for the reachable hosts.
///
/// `reachable` has the other reachable hosts and whether each reaches the store.
///
/// Load pattern: the store refuses some hosts and serves the others, and the readers are among the
/// refused ones. A host that reaches the store compares itself only with others that reach it, so
/// the next host takes over as soon as the loss is reported. A host that cannot reach the store
/// compares itself with all hosts, so it keeps trying if it is the first.
///
/// Hosts are ordered by the hash of their name. A rolling restart goes through the hosts in the
/// order of their names; with that order here too, the role would pass again and again to the very
/// host that is restarted next.
pub fn is_store_reader<'a>(
    own: &Host,
    reaches_store: bool,
    reachable: impl IntoIterator<Item = (&'a Host, bool)>,
) -> bool {
    let own_rank = rank(own);
    let mut candidates = reachable
        .into_iter()
        .filter(|(_, other)| !reaches_store || *other);
    candidates.all(|(host, _)| rank(host) >= own_rank)
}

/// Returns how long after a write becomes due this host attempts it, unless another one has.
///
/// The first host by name writes at once. If its calls are lost or the store refuses it, the next
/// hosts attempt the write in turn. Returns `None` if this host is not among the writers. The store
/// accepts only one write per version of a row, so hosts with different views do no harm.
pub fn write_delay<'a>(
    own: &Host,
    reachable: impl IntoIterator<Item = &'a Host>,
) -> Option<Duration> {
    let before = reachable.into_iter().filter(|host| *host < own).count();
    let before = u32::try_from(before).ok()?;
    (before < MAX_WRITERS).then(|| WRITE_TURN_DELAY * before)
}

fn rank(host: &Host) -> (u64, &Host) {
    (hash::hash64(host.as_str()), host)
}

#[cfg(test)]
mod tests;
