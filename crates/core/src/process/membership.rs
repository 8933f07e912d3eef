//! Which hosts answer, and which are suspect, dead, leaving or cut off.

mod member;
mod probe;

pub use member::{Listed, Member};
pub use probe::{PROBE_FANOUT, SMALL_FLEET};

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

/// Silence after which a host of another data centre counts towards a cut.
const CUT_SILENCE: Duration = Duration::from_secs(2);
/// Time for which a probed host belongs to the sample that decides about a cut.
const CUT_SAMPLE: Duration = Duration::from_secs(8);
/// Fewest hosts of other data centres in a sample that can show a cut.
const CUT_HOSTS_MIN: usize = 2;
/// Time between two ticks after which this host assumes that it was paused itself.
const OWN_PAUSE: Duration = Duration::from_millis(2_500);

/// Hosts as one host knows them from the platform's list and from heartbeats.
#[derive(Debug)]
pub struct Membership {
    host: Host,
    data_centre: DataCentre,
    members: Map<Host, Member>,
    /// Hosts with an unanswered probe or on their way back from silence.
    watched: Set<Host>,
    /// Hosts of other data centres that were probed within [`CUT_SAMPLE`].
    sample: Set<Host>,
    rings: Rings,
    is_cut_off: bool,
    ticked: Option<Instant>,
}

impl Membership {
    /// Creates the state of `host`, which knows nobody yet.
    pub fn new(host: Host, data_centre: DataCentre) -> Self {
        Self {
            host,
            data_centre,
            members: Map::default(),
            watched: Set::default(),
            sample: Set::default(),
            rings: Rings::default(),
            is_cut_off: false,
            ticked: None,
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

    /// Returns whether most hosts of the other data centres fell silent together.
    ///
    /// They are suspect then and not declared dead.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Takes the platform's list of hosts, which may lag, and returns the changes.
    pub fn on_roster(&mut self, now: Instant, list: &[Listed]) -> Vec<Kind> {
        let mut events = Vec::new();
        for member in self.members.values_mut() {
            member.is_listed = false;
        }
        for entry in list.iter().filter(|entry| entry.host != self.host) {
            let member = self.members.entry(entry.host.clone()).or_insert_with(|| {
                self.rings.add(entry.host.clone());
                Member::listed(entry)
            });
            member.is_listed = true;
            member.address = entry.address;
            member.data_centre = entry.data_centre.clone();
            events.extend(member.set_removing(entry.leaving));
        }
        // A host that answers may be newer than the list.
        self.members
            .retain(|_, member| member.is_listed || member.was_heard_lately(now));
        self.watched.retain(|host| self.members.contains_key(host));
        self.sample.retain(|host| self.members.contains_key(host));
        events
    }

    /// Takes a heartbeat, which may also be the answer to a probe, and returns the changes.
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
                Member::heard(heartbeat)
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
    /// All hosts are probed in a fleet of at most [`SMALL_FLEET`]. Otherwise there are
    /// [`PROBE_FANOUT`] probes: to silent hosts, to this data centre and to the others. Every host
    /// gets its turn within as many calls as there are hosts.
    pub fn probes(&mut self, now: Instant, seed: u64) -> Vec<Host> {
        let hosts = if self.members.len() <= SMALL_FLEET {
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

    /// Judges silent hosts and returns the changes; due once a second.
    pub fn tick(&mut self, now: Instant) -> Vec<Kind> {
        let paused = self
            .ticked
            .is_some_and(|ticked| now.since(ticked) > OWN_PAUSE);
        self.ticked = Some(now);
        let was_cut_off = self.is_cut_off;
        if !paused {
            self.judge_cut(now);
        }
        let healed = was_cut_off && !self.is_cut_off;
        let mut events = Vec::new();
        for host in &self.watched {
            let Some(member) = self.members.get_mut(host) else {
                continue;
            };
            let is_remote = member.data_centre != self.data_centre;
            // Silence during a pause of this host or during a cut says nothing about the peer.
            if paused || (healed && is_remote) {
                member.restart_silence(now);
            }
            events.extend(member.judge(now, self.is_cut_off && is_remote));
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

    fn judge_cut(&mut self, now: Instant) {
        self.sample.retain(|host| {
            self.members.get(host).is_some_and(|member| {
                now.since(member.probed) <= CUT_SAMPLE && member.state != Reachability::Dead
            })
        });
        let silent = self
            .sample
            .iter()
            .filter_map(|host| self.members.get(host))
            .filter(|member| member.silence(now) >= CUT_SILENCE)
            .count();
        let total = self.sample.len();
        // The cut ends at a lower share than it begins, so that it does not flap.
        self.is_cut_off = if self.is_cut_off {
            silent * 3 > total
        } else {
            total >= CUT_HOSTS_MIN && silent * 2 > total
        };
    }
}

impl Member {
    fn was_heard_lately(&self, now: Instant) -> bool {
        self.heard
            .is_some_and(|heard| now.since(heard) <= DEAD_MAX && self.state != Reachability::Dead)
    }
}

/// Returns the state that a heartbeat or the platform's list gives to a host that answers.
const fn answering(state: State, removing: bool) -> Reachability {
    if removing || matches!(state, State::Leaving) {
        Reachability::Leaving
    } else {
        Reachability::Live
    }
}

#[cfg(test)]
mod tests;
