//! What a pattern changes, and how hosts learn of servers.

use super::{APPEAR, Engine, LAPSE};
use crate::{event::Event, host::Listing, pattern::Trouble, server::Presence};
use azurenotch_core::version::placement::Verdict;
use rand::Rng;

impl Engine<'_> {
    /// Tells all hosts which servers are there.
    pub(super) fn list(&mut self) {
        let now = self.now;
        for (number, server) in self.servers.iter().enumerate() {
            let present = (server.presence == Presence::Up).then_some(server.epoch);
            if self.listed[number] == present {
                continue;
            }
            self.listed[number] = present;
            let cold = server.cold_until().since(now);
            for host in 0..self.hosts.len() {
                let rtt = 2 * self.between(self.hosts[host].centre, server.centre);
                let listing = Listing {
                    server: number,
                    centre: server.centre,
                    epoch: server.epoch,
                    cold,
                    rtt,
                };
                match present {
                    Some(_) => self.hosts[host].list(now, self.site, &listing),
                    None => self.hosts[host].unlist(number),
                }
            }
        }
    }

    pub(super) fn trouble(&mut self, trouble: Trouble) {
        match trouble {
            Trouble::Rate(factor) => self.rate = factor,
            Trouble::Abuse(share, times) => self.abuse = (share, times),
            Trouble::Leave(share) => self.leave = share,
            Trouble::Hot(share) => self.hot = share,
            Trouble::Shift(share) => self.shift = share,
            Trouble::Slow(share, factor) => {
                for server in self.some(share) {
                    self.servers[server].slowness = factor;
                }
            }
            Trouble::Crash(share) => {
                let servers = self.some(share);
                self.stop(&servers, Presence::Refusing);
            }
            Trouble::Dark(share) => {
                let servers = self.some(share);
                self.stop(&servers, Presence::Silent);
            }
            Trouble::Centre => {
                let counts = self.site.centres.iter().enumerate();
                let largest = counts.max_by_key(|(_, centre)| centre.servers);
                let centre = largest.map_or(0, |(index, _)| index);
                let servers = self.servers.iter().enumerate();
                let lost: Vec<usize> = servers
                    .filter(|(_, server)| server.centre == centre)
                    .map(|(number, _)| number)
                    .collect();
                self.stop(&lost, Presence::Silent);
            }
            Trouble::Return => {
                for server in &mut self.servers {
                    if server.presence != Presence::Up {
                        server.start(self.now);
                    }
                }
                self.queue.push(self.now + APPEAR, Event::List);
            }
        }
    }

    pub(super) fn stop(&mut self, servers: &[usize], presence: Presence) {
        for server in servers {
            let lost = self.servers[*server].stop(presence);
            if presence == Presence::Silent {
                continue;
            }
            for send in lost {
                let at = self.now + self.way(send.host, *server);
                let ended = Event::Ended {
                    send,
                    verdict: Verdict::Failed,
                    load: None,
                };
                self.queue.push(at, ended);
            }
        }
        self.queue.push(self.now + LAPSE, Event::List);
    }

    /// Picks a share of the servers that are there.
    pub(super) fn some(&mut self, share: f64) -> Vec<usize> {
        let servers = self.servers.iter().enumerate();
        let mut up: Vec<usize> = servers
            .filter(|(_, server)| server.presence == Presence::Up)
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
