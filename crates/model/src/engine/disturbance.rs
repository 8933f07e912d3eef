//! Disturbances of a pattern, and updates of the list of servers.

use super::{Engine, LIST_DELAY, UNLIST_DELAY};
use crate::{event::Event, host::Listing, pattern::Disturbance, server::Availability};
use azurenotch_core::version::placement::Verdict;
use rand::Rng;

impl Engine<'_> {
    /// Updates the list of servers at all hosts.
    pub(super) fn update_listings(&mut self) {
        let now = self.now;
        for (number, server) in self.servers.iter().enumerate() {
            let listed_epoch = (server.availability == Availability::Up).then_some(server.epoch);
            if self.listed[number] == listed_epoch {
                continue;
            }
            self.listed[number] = listed_epoch;
            let cold = server.cold_until().since(now);
            for host in 0..self.hosts.len() {
                let rtt = 2 * self.delay_between(self.hosts[host].centre, server.centre);
                let listing = Listing {
                    server: number,
                    centre: server.centre,
                    epoch: server.epoch,
                    cold,
                    rtt,
                };
                match listed_epoch {
                    Some(_) => self.hosts[host].add_server(now, self.site, &listing),
                    None => self.hosts[host].remove_server(number),
                }
            }
        }
    }

    pub(super) fn apply_disturbance(&mut self, disturbance: Disturbance) {
        match disturbance {
            Disturbance::Rate(factor) => self.rate = factor,
            Disturbance::Abuse(share, times) => self.abuse = (share, times),
            Disturbance::GiveUp(share) => self.give_up_share = share,
            Disturbance::Hot(share) => self.hot = share,
            Disturbance::Large(share) => self.large = share,
            Disturbance::Shift(share) => self.shift = share,
            Disturbance::Slow(share, factor) => {
                for server in self.pick_servers(share) {
                    self.servers[server].slowness = factor;
                }
            }
            Disturbance::Crash(share) => {
                let servers = self.pick_servers(share);
                self.stop(&servers, Availability::Refusing);
            }
            Disturbance::Silence(share) => {
                let servers = self.pick_servers(share);
                self.stop(&servers, Availability::Silent);
            }
            Disturbance::LoseCentre => {
                let counts = self.site.centres.iter().enumerate();
                let largest = counts.max_by_key(|(_, centre)| centre.servers);
                let centre = largest.map_or(0, |(index, _)| index);
                let servers = self.servers.iter().enumerate();
                let lost: Vec<usize> = servers
                    .filter(|(_, server)| server.centre == centre)
                    .map(|(number, _)| number)
                    .collect();
                self.stop(&lost, Availability::Silent);
            }
            Disturbance::Limit(share, part) => {
                for server in self.pick_servers(share) {
                    self.servers[server].arrivals.set_limit(self.now, part);
                }
            }
            Disturbance::EndLimits => {
                for server in &mut self.servers {
                    server.arrivals.end_limit(self.now);
                }
            }
            Disturbance::Restart => {
                for server in &mut self.servers {
                    if server.availability != Availability::Up {
                        server.start(self.now);
                    }
                }
                self.queue.push(self.now + LIST_DELAY, Event::List);
            }
        }
    }

    pub(super) fn stop(&mut self, servers: &[usize], availability: Availability) {
        for server in servers {
            let lost = self.servers[*server].stop(availability);
            if availability == Availability::Silent {
                continue;
            }
            for send in lost {
                let at = self.now + self.one_way_delay(send.host, *server);
                let ended = Event::SendEnded {
                    send,
                    verdict: Verdict::Failed,
                    load: None,
                    limit: None,
                };
                self.queue.push(at, ended);
            }
        }
        self.queue.push(self.now + UNLIST_DELAY, Event::List);
    }

    /// Picks a random share of the servers that are up, rounded up.
    pub(super) fn pick_servers(&mut self, share: f64) -> Vec<usize> {
        let servers = self.servers.iter().enumerate();
        let mut up: Vec<usize> = servers
            .filter(|(_, server)| server.availability == Availability::Up)
            .map(|(number, _)| number)
            .collect();
        let count = (share * up.len() as f64).ceil() as usize;
        let mut picked = Vec::new();
        while picked.len() < count && !up.is_empty() {
            picked.push(up.swap_remove(self.random.random_range(0..up.len())));
        }
        picked
    }
}
