//! Chooses which hosts may send requests to backend servers that are cold.

use crate::process::state::State;
use azurenotch_core::{
    process::{
        senders::{Place, Roster},
        warmup,
    },
    version::placement::Backend,
};
use azurenotch_wire::{
    hash::hash64,
    id::{Server, Service},
    time::Instant,
};

impl State {
    /// Chooses the senders of all cold servers again if other hosts are reachable than before.
    pub(super) fn update_warmup_senders(&self, now: Instant) {
        let roster = self.reachable_hosts(now);
        let mut known = self.warmup_roster.lock();
        if *known == roster {
            return;
        }
        for fleet in self.fleets.lock().values_mut() {
            let cold = fleet
                .placement
                .backends()
                .filter(|(index, _)| fleet.placement.is_cold(now, *index));
            let senders = cold.map(|(index, backend)| (index, self.senders(&roster, backend)));
            for (index, senders) in senders.collect::<Vec<_>>() {
                fleet.placement.set_warmup_senders(index, senders);
            }
        }
        *known = roster;
    }

    /// Chooses the senders of servers that have just become cold.
    pub(super) fn place_cold_servers(&self, servers: &[(Service, Server)]) {
        let roster = self.warmup_roster.lock();
        let mut fleets = self.fleets.lock();
        for (service, server) in servers {
            let Some(fleet) = fleets.get_mut(service) else {
                continue;
            };
            if let Some(index) = fleet.placement.find(server) {
                let senders = self.senders(&roster, fleet.placement.backend(index));
                fleet.placement.set_warmup_senders(index, senders);
            }
        }
    }

    /// Returns how many hosts may send to a server while it is cold; `None` if this one may not.
    ///
    /// If the server's region has hosts, only they may.
    fn senders(&self, roster: &Roster, backend: &Backend) -> Option<usize> {
        let region = backend.region.as_ref();
        let near = region.and_then(|region| roster.region(region));
        if near.is_some() && region != Some(&self.own.region) {
            return None;
        }
        let all = near.is_none().then(|| roster.all());
        let hosts = near.or(all.as_deref()).unwrap_or_default();
        let server = hash64(backend.server.as_str());
        let place = Place::new(server, self.own_hash, hosts, warmup::MAX_SENDERS);
        place.map(|it| it.senders)
    }

    /// Returns the hosts that are reachable, this one included.
    fn reachable_hosts(&self, now: Instant) -> Roster {
        let membership = self.membership.lock();
        let reachable = membership.presence.reachable(now);
        let known = reachable.filter_map(|host| Some((&membership.peers.get(host)?.region, host)));
        Roster::new(known.chain([(&self.own.region, &self.own.host)]))
    }
}
