//! One host of the search.

use azurenotch_core::process::{
    election::Path,
    usage::{
        Claim, Claims, Ledger, Moments, Part, Reporter, Row, Setting, Tally,
        order::{Candidate, collectors},
    },
    wall::Clock,
};
use azurenotch_wire::{
    id::{Host as Name, Incarnation, Region},
    time::Instant,
};
use std::time::Duration;

/// Time without a datagram after which a host is unreachable, and after which it is removed.
const UNREACHABLE_MS: u64 = 2_000;
const REMOVAL_MS: u64 = 8_000;
/// Time for which a host that lost a call to the store says so.
pub const PATH_LOST_MS: u64 = 3_000;
/// Time from the start until a host serves callers.
pub const START_MS: u64 = 1_500;

/// Datagram without the small parts that do not concern usage.
#[derive(Debug, Clone)]
pub struct Datagram {
    pub from: usize,
    pub incarnation: u64,
    pub wall_ms: u64,
    pub delay_ms: u64,
    pub status: Status,
    pub claim: Claim,
    pub parts: Vec<Part>,
}

#[derive(Debug, Clone, Copy)]
pub struct Status {
    pub is_serving: bool,
    pub path: Path,
}

/// Last datagram of another host.
#[derive(Debug, Clone, Copy)]
struct Heard {
    /// Steady time of this host, in milliseconds.
    at: u64,
    incarnation: u64,
    status: Status,
}

#[derive(Debug)]
pub struct Host {
    pub index: usize,
    /// Number of starts.
    pub incarnation: u64,
    pub started: u64,
    /// When it runs again after it was killed or frozen.
    pub down_until: u64,
    pub frozen_until: u64,
    /// Milliseconds that the steady clock did not run.
    suspended_ms: u64,
    pub wall_offset_ms: i64,
    pub is_leaving: bool,
    pub path_lost_until: u64,
    pub era: u32,
    pub clock: Clock,
    pub tally: Tally,
    pub ledger: Ledger,
    pub claims: Claims,
    pub reporter: Reporter,
    /// Last collectors that it knew; a host that hears nobody goes on sending to them.
    pub receivers: Vec<usize>,
    heard: Vec<Option<Heard>>,
    names: Vec<Name>,
    regions: [Region; 3],
    /// Row of the last read, and whether the token in use is that of its holder (for a flaw).
    pub last_row: Option<Row>,
    pub is_lowered: bool,
}

pub fn name(index: usize) -> Name {
    Name::from(format!("host-{index}"))
}

impl Host {
    pub fn new(index: usize, hosts: usize, incarnation: u64, now: u64, setting: Setting) -> Self {
        Self {
            index,
            incarnation,
            started: now,
            down_until: 0,
            frozen_until: 0,
            suspended_ms: 0,
            wall_offset_ms: 0,
            is_leaving: false,
            path_lost_until: 0,
            era: 0,
            clock: Clock::default(),
            tally: Tally::new(setting),
            ledger: Ledger::new(setting),
            claims: Claims::default(),
            reporter: Reporter::new(setting, name(index), Incarnation(incarnation)),
            receivers: Vec::new(),
            heard: vec![None; hosts],
            names: (0..hosts).map(name).collect(),
            regions: ["a", "b", "c"].map(Region::from),
            last_row: None,
            is_lowered: false,
        }
    }

    /// Stops the host for a while; a suspension also stops its steady clock.
    pub fn freeze(&mut self, now: u64, until: u64, is_suspended: bool) {
        if is_suspended {
            self.suspended_ms += until.saturating_sub(now.max(self.frozen_until));
        }
        self.frozen_until = self.frozen_until.max(until);
    }

    pub fn is_serving(&self, now: u64) -> bool {
        !self.is_leaving && now >= self.started + START_MS
    }

    fn steady_ms(&self, now: u64) -> u64 {
        now - self.started - self.suspended_ms
    }

    pub fn steady(&self, now: u64) -> Instant {
        Instant::from_millis(self.steady_ms(now))
    }

    pub fn moments(&self, now: u64) -> Moments {
        let steady = self.steady(now);
        Moments {
            steady,
            boot: Instant::from_millis(now - self.started),
            time: self.clock.time(steady),
        }
    }

    fn status(&self, now: u64) -> Status {
        Status {
            is_serving: self.is_serving(now),
            path: if now < self.path_lost_until {
                Path::Lost
            } else {
                Path::Proven
            },
        }
    }

    /// Takes in a datagram.
    pub fn receive(&mut self, now: u64, datagram: &Datagram, ledger_incarnation: u64) {
        let steady = self.steady(now);
        let from = self.names[datagram.from].clone();
        let incarnation = Incarnation(datagram.incarnation);
        let known = self.heard[datagram.from];
        let is_new = known.is_none_or(|known| known.incarnation <= datagram.incarnation);
        if is_new {
            let half_rtt = Duration::from_millis(datagram.delay_ms);
            self.clock
                .observe(&from, steady, datagram.wall_ms, half_rtt);
            self.heard[datagram.from] = Some(Heard {
                at: self.steady_ms(now),
                incarnation: datagram.incarnation,
                status: datagram.status,
            });
        }
        self.claims
            .receive(steady, &from, incarnation, datagram.claim);
        if let Some(time) = self.clock.time(steady) {
            for part in &datagram.parts {
                self.ledger
                    .receive(time, &from, Incarnation(ledger_incarnation), part);
            }
        }
    }

    /// Removes the hosts that are no longer reachable, and reads the own time of day.
    pub fn refresh(&mut self, now: u64, epoch_ms: u64) {
        let steady = self.steady(now);
        let wall = (epoch_ms + now).saturating_add_signed(self.wall_offset_ms);
        self.clock.set_own(steady, wall);
        for index in 0..self.heard.len() {
            let Some(heard) = self.heard[index] else {
                continue;
            };
            let silence = self.steady_ms(now) - heard.at;
            if silence >= UNREACHABLE_MS {
                self.clock.forget(&self.names[index]);
            }
            if silence >= REMOVAL_MS {
                self.heard[index] = None;
                self.claims.forget(steady, &self.names[index]);
            }
        }
    }

    /// Returns the collectors as this host sees them.
    pub fn collectors(&self, now: u64) -> Vec<usize> {
        let steady_ms = self.steady_ms(now);
        let known = self.heard.iter().flatten();
        let known_count = known.clone().count();
        let is_reached = |heard: &&Heard| steady_ms - heard.at < UNREACHABLE_MS;
        let reached = known.filter(is_reached).count();
        let candidate = |index: usize, status: Status, is_reachable: bool| Candidate {
            host: &self.names[index],
            region: &self.regions[index % 3],
            is_serving: status.is_serving && is_reachable,
            path: status.path,
        };
        let own = candidate(self.index, self.status(now), 2 * reached >= known_count);
        let others = self.heard.iter().enumerate().filter_map(|(index, heard)| {
            let heard = heard.as_ref()?;
            Some(candidate(index, heard.status, is_reached(&heard)))
        });
        let claim = self.reporter.claim();
        let holder = (claim.token > 0).then_some(claim.holder);
        let chosen = collectors(own, others, holder);
        let index = |host: &&Name| self.names.iter().position(|name| name == *host);
        chosen.iter().filter_map(index).collect()
    }

    /// Returns the datagram of a round to another host.
    pub fn datagram(&mut self, now: u64, epoch_ms: u64) -> Datagram {
        let time = self.clock.time(self.steady(now));
        Datagram {
            from: self.index,
            incarnation: self.incarnation,
            wall_ms: (epoch_ms + now).saturating_add_signed(self.wall_offset_ms),
            delay_ms: 0,
            status: self.status(now),
            claim: self.reporter.claim(),
            parts: time.map_or_else(Vec::new, |time| self.tally.parts(time, 4_000)),
        }
    }
}
