//! Election of the hosts that read the store for all others and of those that write to it.
//!
//! Calls to the store are limited and paid for, so few hosts read it and send updates to the
//! others. All hosts derive the same readers from the set of reachable hosts. While their sets
//! differ, more hosts may read the store, which is harmless.

use azurenotch_wire::{
    hash,
    id::{Host, Region},
};
use std::time::Duration;

/// Number of hosts that attempt a write, one after the other.
const MAX_WRITERS: u32 = 4;
/// Delay between the attempts of two hosts; long enough for a call to the store and its reply.
const WRITE_TURN_DELAY: Duration = Duration::from_millis(400);

/// What is known of a host's way to the store; of several subjects, the greatest counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Path {
    /// It has made no call lately.
    Untried,
    /// The store has answered it lately.
    Proven,
    /// The store has not answered its last call.
    Lost,
}

/// A host as the others know it.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Name of the host.
    pub host: &'a Host,
    /// Its region.
    pub region: &'a Region,
    /// Its way to the store.
    pub path: Path,
}

/// Part of a host in reading the store for all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Reads the store all the time.
    Reader,
    /// Waits for changes too, in another region than the reader if there is one.
    Standby,
    /// Reads the store if no other host does; the number of hosts that take over before it.
    Deputy(usize),
}

/// Returns the part of a host among the other reachable ones.
///
/// Load pattern: the store refuses some hosts and serves the others, and the readers are among the
/// refused ones. Hosts whose way to the store is proven come first, so that the role does not pass
/// through others that have lost the store and do not know it. A host that has not lost the store
/// compares itself only with others that have not, so the next host takes over as soon as the loss
/// is reported. A host that has lost it compares itself with all hosts, so it keeps trying if it is
/// the first.
///
/// Otherwise hosts are ordered by the hash of their name. A rolling restart goes through the hosts in the
/// order of their names; with that order here too, the role would pass again and again to the very
/// host that is restarted next.
pub fn role<'a>(own: Candidate<'a>, reachable: impl IntoIterator<Item = Candidate<'a>>) -> Role {
    let others = reachable
        .into_iter()
        .filter(|other| own.path == Path::Lost || other.path != Path::Lost);
    let rank = |it: &Candidate<'a>| (it.path != Path::Proven, rank(it.host));
    let mut order: Vec<_> = others.map(|other| (rank(&other), other)).collect();
    let own_rank = rank(&own);
    order.push((own_rank, own));
    order.sort_unstable_by_key(|(rank, _)| *rank);
    let (first, reader) = order[0];
    if first == own_rank {
        return Role::Reader;
    }
    let elsewhere = order.iter().find(|(_, it)| it.region != reader.region);
    let (standby, _) = *elsewhere.unwrap_or(&order[1]);
    if standby == own_rank {
        return Role::Standby;
    }
    let before = order.iter().take_while(|(rank, _)| *rank < own_rank);
    let before = before.filter(|(rank, _)| *rank != first && *rank != standby);
    Role::Deputy(before.count())
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
