//! Known hosts, grouped for look-ups.

use azurenotch_wire::{
    Map,
    event::Reachability,
    id::{DataCentre, Host, Region},
    operator::Choice,
    peer::State,
};
use std::net::SocketAddr;

/// Weight of a host without load.
const WEIGHT_MAX: f32 = 100.0;

/// A host as look-ups see it.
#[derive(Debug, Clone, PartialEq)]
pub struct Site {
    /// Name of the host.
    pub host: Host,
    /// Address where it takes callers.
    pub address: SocketAddr,
    /// Region of its data centre.
    pub region: Region,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether it answers.
    pub reachability: Reachability,
    /// State in which it sees itself.
    pub state: State,
    /// Share of its capacity in use, 0 to 1.
    pub load: f32,
}

/// Fitness of a host, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Grade {
    /// Live and serving.
    Live,
    /// Silent for a short while.
    Suspect,
    /// Still serving, but on its way out.
    Leaving,
    /// Live without a configuration, or dead.
    Out,
}

/// Hosts by grade and region; built when the hosts change, at most once a second.
#[derive(Debug, Default)]
pub struct Fleet {
    groups: Map<Grade, Vec<Group>>,
}

/// Hosts of one grade in one region.
#[derive(Debug)]
pub struct Group {
    pub(super) region: Region,
    /// Hosts of different data centres alternate.
    pub(super) hosts: Vec<Choice>,
    /// Mean load of the hosts.
    pub(super) load: f32,
}

impl Fleet {
    /// Groups the hosts.
    pub fn new(sites: &[Site]) -> Self {
        let mut sorted = sites.iter().collect::<Vec<_>>();
        sorted.sort_by(|a, b| {
            (&a.region, &a.data_centre, &a.host).cmp(&(&b.region, &b.data_centre, &b.host))
        });
        let mut counts = Map::<_, usize>::default();
        let mut placed = sorted
            .into_iter()
            .map(|site| {
                let grade = Grade::new(site);
                let place = counts.entry((grade, &site.data_centre)).or_default();
                *place += 1;
                (grade, &site.region, *place, site)
            })
            .collect::<Vec<_>>();
        placed.sort_by_key(|(grade, region, place, _)| (*grade, (*region).clone(), *place));
        let mut fleet = Self::default();
        for (grade, _, _, site) in placed {
            fleet.add(grade, site);
        }
        for group in fleet.groups.values_mut().flatten() {
            group.load /= group.hosts.len() as f32;
        }
        fleet
    }

    /// Returns the groups of a grade, one for each region.
    pub(super) fn groups(&self, grade: Grade) -> &[Group] {
        self.groups.get(&grade).map_or(&[], Vec::as_slice)
    }

    fn add(&mut self, grade: Grade, site: &Site) {
        let groups = self.groups.entry(grade).or_default();
        if groups
            .last()
            .is_none_or(|group| group.region != site.region)
        {
            groups.push(Group {
                region: site.region.clone(),
                hosts: Vec::new(),
                load: 0.0,
            });
        }
        // A load that is not a number is taken as full.
        let load = if site.load.is_nan() {
            1.0
        } else {
            site.load.clamp(0.0, 1.0)
        };
        if let Some(group) = groups.last_mut() {
            group.load += load;
            group.hosts.push(Choice {
                host: site.host.clone(),
                address: site.address,
                weight: (((1.0 - load) * WEIGHT_MAX) as u32).max(1),
            });
        }
    }
}

impl Grade {
    fn new(site: &Site) -> Self {
        match (site.reachability, site.state) {
            (Reachability::Dead, _) | (_, State::Starting) => Self::Out,
            (Reachability::Leaving, _) | (_, State::Leaving) => Self::Leaving,
            (Reachability::Suspect, State::Live) => Self::Suspect,
            (Reachability::Live, State::Live) => Self::Live,
        }
    }
}
