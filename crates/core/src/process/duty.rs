//! Which hosts follow the store for all others, and which write to it.
//!
//! Calls to the store are limited and paid for, so that one host of each region follows it and
//! tells the others. All hosts derive the same one from who is heard; while they disagree, two
//! hosts follow the store, which does no harm.

use azurenotch_wire::{hash, id::Host};
use std::time::Duration;

/// Hosts that take turns at a write.
const TURNS: u32 = 4;
/// Time that a host leaves to the one before it, for a call to the store and its answer.
const TURN: Duration = Duration::from_millis(400);

/// Returns whether this host follows the store for those of its region that it hears.
///
/// Load pattern: the store refuses some hosts and serves the others, and those that follow it are
/// among the refused ones. A host that the store answers counts only others that it answers as
/// well, so that the next one takes over as soon as it hears of the loss. A host that has lost the
/// store counts all, so that it goes on trying if it is the first.
///
/// The order is that of hashes, not of names, because restarts go through hosts by name.
pub fn follows<'a>(
    own: &Host,
    reaches: bool,
    heard: impl IntoIterator<Item = (&'a Host, bool)>,
) -> bool {
    let mine = rank(own);
    let mut counted = heard.into_iter().filter(|(_, other)| !reaches || *other);
    counted.all(|(host, _)| rank(host) >= mine)
}

/// Returns how long after a write has become due this host makes it, unless another one has.
///
/// The first host by name writes at once. If its calls are lost, or the store refuses it, the next
/// ones take their turns; `None` if this host is none of them. The store accepts only one write per
/// version of a row, so that hosts that disagree do no harm.
pub fn turn<'a>(own: &Host, heard: impl IntoIterator<Item = &'a Host>) -> Option<Duration> {
    let before = heard.into_iter().filter(|host| *host < own).count();
    let before = u32::try_from(before).ok()?;
    (before < TURNS).then(|| TURN * before)
}

fn rank(host: &Host) -> (u64, &Host) {
    (hash::name(host.as_str()), host)
}

#[cfg(test)]
mod tests;
