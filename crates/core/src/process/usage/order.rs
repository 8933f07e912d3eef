//! Hosts that collect the counts of all others.

use crate::process::election::Path;
use azurenotch_wire::{
    hash,
    id::{Host, Region},
};

/// Number of collectors.
const COLLECTORS: usize = 3;

/// A host as the others know it.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Name of the host.
    pub host: &'a Host,
    /// Its region.
    pub region: &'a Region,
    /// Whether it is reachable, serves callers and is not leaving.
    ///
    /// This host counts as reachable if it hears at least half of the other hosts.
    pub is_serving: bool,
    /// Its way to the store.
    pub path: Path,
}

/// Returns the collectors in the order in which they act.
///
/// `holder` is the hash of the known holder's name ([`Claim::holder`](super::Claim::holder)). It comes
/// first, so that the duty moves only when it has to. The others are ordered by the hash of their
/// names, those of regions without a collector first.
///
/// A host that hears of nobody gets no collectors. It should go on sending its counts to the last ones,
/// as its datagrams may still arrive.
pub fn collectors<'a>(
    own: Candidate<'a>,
    others: impl IntoIterator<Item = Candidate<'a>>,
    holder: Option<u32>,
) -> Vec<&'a Host> {
    let hosts = others.into_iter().chain([own]);
    let eligible = hosts.filter(|it| it.is_serving && it.path != Path::Lost);
    let mut order: Vec<_> = eligible
        .map(|it| {
            let is_holder = holder == Some(hash::hash32(it.host.as_str()));
            (!is_holder, hash::hash64(it.host.as_str()), it)
        })
        .collect();
    order.sort_unstable_by_key(|(rank, hash, it)| (*rank, *hash, it.host));
    let mut chosen: Vec<Candidate<'a>> = Vec::with_capacity(COLLECTORS);
    for is_any_region in [false, true] {
        for (_, _, it) in &order {
            let is_new = chosen.iter().all(|other| other.host != it.host);
            let is_apart = chosen.iter().all(|other| other.region != it.region);
            if chosen.len() < COLLECTORS && is_new && (is_apart || is_any_region) {
                chosen.push(*it);
            }
        }
    }
    chosen.into_iter().map(|it| it.host).collect()
}
