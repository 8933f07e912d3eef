//! Choice of the hosts to probe in a large fleet.

use super::Member;
use azurenotch_wire::{
    Map, Set,
    id::{DataCentre, Host},
};
use rand::{SeedableRng, rngs::SmallRng, seq::SliceRandom};
use std::collections::VecDeque;

/// Hosts probed per second in a large fleet.
pub const PROBE_FANOUT: usize = 6;
/// Largest number of other hosts at which a host probes all of them every second.
pub const SMALL_FLEET_HOSTS: usize = 32;

/// Largest number of probes per second to hosts that did not answer.
const MAX_REPEATED_PROBES: usize = 2;
/// Probes per second to other data centres.
const REMOTE_PROBES: usize = 2;

/// Order in which hosts are probed; the host at the front of a ring is next.
#[derive(Debug, Default)]
pub struct Rings {
    /// Hosts that are in a ring or in `added`.
    known: Set<Host>,
    added: Vec<Host>,
    own: VecDeque<Host>,
    remote: VecDeque<Host>,
}

impl Rings {
    /// Adds a host, which is probed before the hosts that were probed already.
    pub fn add(&mut self, host: Host) {
        if self.known.insert(host.clone()) {
            self.added.push(host);
        }
    }

    /// Returns the next hosts to probe; hosts that are no longer members are dropped.
    pub fn next(
        &mut self,
        members: &Map<Host, Member>,
        data_centre: &DataCentre,
        watched: &Set<Host>,
        seed: u64,
    ) -> Vec<Host> {
        self.insert_added(members, data_centre, seed);
        let mut hosts = oldest_unanswered(members, watched);
        let remote = REMOTE_PROBES.min(self.remote.len());
        self.take(Ring::Remote, members, &mut hosts, remote);
        let own = PROBE_FANOUT - hosts.len();
        self.take(Ring::Own, members, &mut hosts, own);
        // A small data centre does not use all its probes; the other data centres get the rest.
        let rest = PROBE_FANOUT - hosts.len();
        self.take(Ring::Remote, members, &mut hosts, rest);
        hosts
    }

    fn insert_added(&mut self, members: &Map<Host, Member>, data_centre: &DataCentre, seed: u64) {
        let mut added = std::mem::take(&mut self.added);
        // Each host shuffles with another seed, so that the probes of all hosts are spread.
        added.sort();
        added.shuffle(&mut SmallRng::seed_from_u64(seed));
        for host in added {
            match members.get(&host) {
                Some(member) if member.data_centre == *data_centre => self.own.push_front(host),
                Some(_) => self.remote.push_front(host),
                None => {
                    self.known.remove(&host);
                }
            }
        }
    }

    /// Moves up to `count` members from the front of the ring to its end and adds them to `hosts`.
    fn take(
        &mut self,
        ring: Ring,
        members: &Map<Host, Member>,
        hosts: &mut Vec<Host>,
        count: usize,
    ) {
        let ring = match ring {
            Ring::Own => &mut self.own,
            Ring::Remote => &mut self.remote,
        };
        let wanted = hosts.len() + count;
        for _ in 0..ring.len() {
            if hosts.len() >= wanted {
                return;
            }
            let Some(host) = ring.pop_front() else {
                return;
            };
            if !members.contains_key(&host) {
                self.known.remove(&host);
                continue;
            }
            if !hosts.contains(&host) {
                hosts.push(host.clone());
            }
            ring.push_back(host);
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Ring {
    Own,
    Remote,
}

/// Returns the watched hosts whose last probe is the oldest.
fn oldest_unanswered(members: &Map<Host, Member>, watched: &Set<Host>) -> Vec<Host> {
    let mut silent = watched
        .iter()
        .filter_map(|host| members.get(host))
        .collect::<Vec<_>>();
    silent.sort_by(|a, b| (a.probed, &a.host).cmp(&(b.probed, &b.host)));
    silent
        .into_iter()
        .take(MAX_REPEATED_PROBES)
        .map(|member| member.host.clone())
        .collect()
}
