//! Ways on which changes of the rows spread from the hosts that read the store to all others.
//!
//! Load pattern: hundreds of servers appear or leave within seconds. If the reader sent each change
//! to every host, its link would be the bottleneck. It sends them to the hosts of its own data centre
//! and to two hosts of each other one, which pass them on within theirs.

use super::election::Path;
use azurenotch_wire::{
    Map, hash,
    id::{DataCentre, Host},
};

/// Hosts of a data centre that pass changes on within it, so that one may fail.
const DELEGATES: usize = 2;

/// Returns the hosts to which a host sends changes of the rows.
///
/// `path` is the host's own way to the store, and `reachable` has the other reachable hosts. All hosts
/// derive the same delegates from the set of reachable hosts; while their sets differ, a host gets
/// changes from more or fewer others, and requests what it lacks.
pub fn receivers<'a>(
    own: (&'a Host, &'a DataCentre),
    path: Path,
    reachable: impl IntoIterator<Item = (&'a Host, &'a DataCentre)>,
) -> Vec<&'a Host> {
    let mut by_data_centre: Map<&DataCentre, Vec<&Host>> = Map::default();
    for (host, data_centre) in reachable {
        by_data_centre.entry(data_centre).or_default().push(host);
    }
    let near = by_data_centre.remove(own.1).unwrap_or_default();
    let rank = |host: &Host| hash::hash64(host.as_str());
    let before = near.iter().filter(|host| rank(host) < rank(own.0)).count();
    let is_proven = path == Path::Proven;
    if !is_proven && before >= DELEGATES {
        return Vec::new();
    }
    let mut receivers = near;
    if is_proven {
        for hosts in by_data_centre.values_mut() {
            hosts.sort_unstable_by_key(|host| rank(host));
            receivers.extend(hosts.iter().take(DELEGATES).copied());
        }
    }
    receivers
}

#[cfg(test)]
mod tests;
