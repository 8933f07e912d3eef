//! Known hosts, grouped by grade and region for look-ups.

use azurenotch_wire::{
    Map,
    event::Reachability,
    id::{DataCentre, Host, Region},
    operator::Choice,
    peer::State,
};
use std::net::SocketAddr;

/// Weight of a host without load in an answer.
const MAX_WEIGHT: f32 = 100.0;

/// State of a host on which look-ups depend.
#[derive(Debug, Clone, PartialEq)]
pub struct HostStatus {
    /// Name of the host.
    pub host: Host,
    /// Address on which it accepts requests of callers.
    pub address: SocketAddr,
    /// Region of its data centre.
    pub region: Region,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether it answers other hosts.
    pub reachability: Reachability,
    /// State that it reports of itself.
    pub state: State,
    /// Share of its capacity in use, 0 to 1; NaN counts as 1.
    pub load: f32,
}

/// Preference of a host in answers, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Grade {
    /// Answers other hosts and serves requests.
    Live,
    /// Has not answered for a short time.
    Suspect,
    /// Still serves requests, but is about to stop.
    Leaving,
    /// Dead, or without a configuration yet.
    Unavailable,
}

/// Hosts by grade and region; rebuilt when the hosts change, at most once a second.
#[derive(Debug, Default)]
pub struct Fleet {
    groups: Map<Grade, Vec<Group>>,
}

/// Hosts of one grade in one region.
#[derive(Debug)]
pub struct Group {
    pub(super) region: Region,
    /// Hosts, with those of different data centres alternating.
    pub(super) hosts: Vec<Choice>,
    /// Mean load of the hosts, 0 to 1.
    pub(super) load: f32,
}

impl Fleet {
    /// Groups the hosts by grade and region.
    pub fn new(hosts: &[HostStatus]) -> Self {
        let mut sorted = hosts.iter().collect::<Vec<_>>();
        sorted.sort_by(|a, b| {
            (&a.region, &a.data_centre, &a.host).cmp(&(&b.region, &b.data_centre, &b.host))
        });
        let mut counts = Map::<_, usize>::default();
        let mut ranked = sorted
            .into_iter()
            .map(|host| {
                let grade = Grade::new(host);
                let position = counts.entry((grade, &host.data_centre)).or_default();
                *position += 1;
                (grade, &host.region, *position, host)
            })
            .collect::<Vec<_>>();
        ranked.sort_by_key(|(grade, region, position, _)| (*grade, (*region).clone(), *position));
        let mut fleet = Self::default();
        for (grade, _, _, host) in ranked {
            fleet.add(grade, host);
        }
        for group in fleet.groups.values_mut().flatten() {
            group.load /= group.hosts.len() as f32;
        }
        fleet
    }

    /// Returns the groups of a grade, at most one for each region.
    pub(super) fn groups(&self, grade: Grade) -> &[Group] {
        self.groups.get(&grade).map_or(&[], Vec::as_slice)
    }

    fn add(&mut self, grade: Grade, host: &HostStatus) {
        let groups = self.groups.entry(grade).or_default();
        if groups
            .last()
            .is_none_or(|group| group.region != host.region)
        {
            groups.push(Group {
                region: host.region.clone(),
                hosts: Vec::new(),
                load: 0.0,
            });
        }
        // A load that is not a number counts as full.
        let load = if host.load.is_nan() {
            1.0
        } else {
            host.load.clamp(0.0, 1.0)
        };
        if let Some(group) = groups.last_mut() {
            group.load += load;
            group.hosts.push(Choice {
                host: host.host.clone(),
                address: host.address,
                weight: (((1.0 - load) * MAX_WEIGHT) as u32).max(1),
            });
        }
    }
}

impl Grade {
    fn new(host: &HostStatus) -> Self {
        match (host.reachability, host.state) {
            (Reachability::Dead, _) | (_, State::Starting) => Self::Unavailable,
            (Reachability::Leaving, _) | (_, State::Leaving) => Self::Leaving,
            (Reachability::Suspect, State::Live) => Self::Suspect,
            (Reachability::Live, State::Live) => Self::Live,
        }
    }
}
