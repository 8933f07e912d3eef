//! Failure detector: which hosts answer, and which are suspect, dead, leaving or partitioned.

mod member;
mod probe;

pub use member::{Member, RosterEntry};
pub use probe::{PROBE_FANOUT, SMALL_FLEET_HOSTS};

use azurenotch_wire::{
    Map, Set,
    event::{Kind, Reachability},
    id::{DataCentre, Host},
    peer::{Heartbeat, State},
    time::Instant,
};
use member::DEAD_MAX;
use probe::Rings;
use std::time::Duration;

/// Silence after which a host of another data centre counts towards a network partition.
const PARTITION_SILENCE: Duration = Duration::from_secs(2);
/// Time for which a probed host belongs to the sample that shows a network partition.
const PARTITION_SAMPLE_AGE: Duration = Duration::from_secs(8);
/// Fewest hosts of other data centres in a sample that can show a network partition.
const PARTITION_MIN_HOSTS: usize = 2;
/// Time between two ticks after which this host assumes that its own process was paused.
const OWN_PAUSE_THRESHOLD: Duration = Duration::from_millis(2_500);

/// Other hosts, from the platform's list and from heartbeats.
#[derive(Debug)]
pub struct Membership {
    host: Host,
    data_centre: DataCentre,
    members: Map<Host, Member>,
    /// Hosts with an unanswered probe, or that are suspect or recovering.
    watched: Set<Host>,
    /// Hosts of other data centres that were probed within [`PARTITION_SAMPLE_AGE`].
    sample: Set<Host>,
    rings: Rings,
    is_partitioned: bool,
    last_tick: Option<Instant>,
}

impl Membership {
    /// Creates the state of `host` without any other host.
    pub fn new(host: Host, data_centre: DataCentre) -> Self {
        Self {
            host,
            data_centre,
            members: Map::default(),
            watched: Set::default(),
            sample: Set::default(),
            rings: Rings::default(),
            is_partitioned: false,
            last_tick: None,
        }
    }

    /// Returns the other hosts.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns one other host.
    pub fn get(&self, host: &Host) -> Option<&Member> {
        self.members.get(host)
    }

    /// Returns whether most probed hosts of other data centres became silent together.
    ///
    /// The silent hosts are then suspect and not declared dead.
    pub fn is_partitioned(&self) -> bool {
        self.is_partitioned
    }

    /// Applies the platform's list of hosts, which may be outdated, and returns the changes.
    pub fn on_roster(&mut self, now: Instant, list: &[RosterEntry]) -> Vec<Kind> {
        let mut events = Vec::new();
        for member in self.members.values_mut() {
            member.is_listed = false;
        }
        for entry in list.iter().filter(|entry| entry.host != self.host) {
            let member = self.members.entry(entry.host.clone()).or_insert_with(|| {
                self.rings.add(entry.host.clone());
                Member::from_entry(entry)
            });
            member.is_listed = true;
            member.address = entry.address;
            member.data_centre = entry.data_centre.clone();
            events.extend(member.set_removing(entry.leaving));
        }
        // A host that answers may be newer than the list.
        self.members
            .retain(|_, member| member.is_listed || member.has_recent_heartbeat(now));
        self.watched.retain(|host| self.members.contains_key(host));
        self.sample.retain(|host| self.members.contains_key(host));
        events
    }

    /// Handles a heartbeat, which may be the answer to a probe, and returns the change.
    ///
    /// A heartbeat of an earlier incarnation changes nothing.
    pub fn on_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) -> Option<Kind> {
        if heartbeat.host == self.host {
            return None;
        }
        let member = self
            .members
            .entry(heartbeat.host.clone())
            .or_insert_with(|| {
                self.rings.add(heartbeat.host.clone());
                Member::from_heartbeat(heartbeat)
            });
        if heartbeat.incarnation < member.incarnation {
            return None;
        }
        let event = member.on_heartbeat(now, heartbeat);
        if member.is_settled() {
            self.watched.remove(&heartbeat.host);
        } else {
            self.watched.insert(heartbeat.host.clone());
        }
        event
    }

    /// Returns the hosts to send a heartbeat to; due once a second.
    ///
    /// All hosts are probed in a fleet of at most [`SMALL_FLEET_HOSTS`]. Otherwise there are
    /// [`PROBE_FANOUT`] probes: to silent hosts, to this data centre and to the others. Every host
    /// is probed within as many calls as there are hosts.
    pub fn probes(&mut self, now: Instant, seed: u64) -> Vec<Host> {
        let hosts = if self.members.len() <= SMALL_FLEET_HOSTS {
            let mut hosts = self.members.keys().cloned().collect::<Vec<_>>();
            hosts.sort();
            hosts
        } else {
            self.rings
                .next(&self.members, &self.data_centre, &self.watched, seed)
        };
        for host in &hosts {
            if let Some(member) = self.members.get_mut(host) {
                member.on_probe(now);
                self.watched.insert(host.clone());
                if member.data_centre != self.data_centre {
                    self.sample.insert(host.clone());
                }
            }
        }
        hosts
    }

    /// Updates the state of silent hosts and returns the changes; due once a second.
    pub fn tick(&mut self, now: Instant) -> Vec<Kind> {
        let paused = self
            .last_tick
            .is_some_and(|last_tick| now.since(last_tick) > OWN_PAUSE_THRESHOLD);
        self.last_tick = Some(now);
        let was_partitioned = self.is_partitioned;
        if !paused {
            self.update_partition(now);
        }
        let healed = was_partitioned && !self.is_partitioned;
        let mut events = Vec::new();
        for host in &self.watched {
            let Some(member) = self.members.get_mut(host) else {
                continue;
            };
            let is_remote = member.data_centre != self.data_centre;
            // Silence while this host was paused or partitioned does not show that a peer is dead.
            if paused {
                member.restart_silence(now);
            } else if healed && is_remote {
                member.end_partition(now);
            }
            events.extend(member.check_silence(now, self.is_partitioned && is_remote));
        }
        self.watched.retain(|host| {
            let Some(member) = self.members.get(host) else {
                return false;
            };
            if member.is_gone() && !member.is_listed {
                self.members.remove(host);
                return false;
            }
            !member.is_settled() && !member.is_gone()
        });
        events
    }

    fn update_partition(&mut self, now: Instant) {
        self.sample.retain(|host| {
            self.members.get(host).is_some_and(|member| {
                now.since(member.probed) <= PARTITION_SAMPLE_AGE
                    && member.state != Reachability::Dead
            })
        });
        let silent = self
            .sample
            .iter()
            .filter_map(|host| self.members.get(host))
            .filter(|member| member.silence(now) >= PARTITION_SILENCE)
            .count();
        let total = self.sample.len();
        // Hysteresis: a partition ends at a lower share than it begins at, so it does not flap.
        self.is_partitioned = if self.is_partitioned {
            silent * 3 > total
        } else {
            total >= PARTITION_MIN_HOSTS && silent * 2 > total
        };
    }
}

impl Member {
    fn has_recent_heartbeat(&self, now: Instant) -> bool {
        self.last_heartbeat
            .is_some_and(|last| now.since(last) <= DEAD_MAX && self.state != Reachability::Dead)
    }
}

/// Returns the state of a host that answers, from its own state and the platform's list.
const fn answering(state: State, removing: bool) -> Reachability {
    if removing || matches!(state, State::Leaving) {
        Reachability::Leaving
    } else {
        Reachability::Live
    }
}

#[cfg(test)]
mod tests;
