//! Sends that arrive at a server, and the limits that it names.

use azurenotch_wire::{Map, time::Instant};
use std::{collections::VecDeque, time::Duration};

/// Length of the windows in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time from an answer with a limit from which the host that got it has to know.
const TOLD: Duration = Duration::from_millis(500);
/// Factor on a limit that a window may have, and requests in addition.
const ALLOWED: (f64, f64) = (1.5, 5.0);

/// What a server got under its limits, over one or several servers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usage {
    /// Largest share of the allowed requests in a window.
    pub worst: f64,
    /// Requests while limits were in force, from hosts that had been told.
    pub sent: f64,
    /// Requests that the limits would have taken.
    pub taken: f64,
}

impl Usage {
    /// Adds what another server got.
    pub fn add(&mut self, other: &Self) {
        self.worst = self.worst.max(other.worst);
        self.sent += other.sent;
        self.taken += other.taken;
    }
}

#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: Instant,
    /// Whether its host had been told of the limit.
    told: bool,
}

/// Arrivals of the last 4 s, with the server's limit.
#[derive(Debug, Clone, Default)]
pub struct Arrivals {
    recent: VecDeque<Arrival>,
    /// Limit in requests per second, and since when.
    limit: Option<(f64, Instant)>,
    /// When hosts first got an answer with the limit.
    told: Map<usize, Instant>,
    usage: Usage,
}

impl Arrivals {
    /// Returns the limit that the server names.
    pub fn limit(&self) -> Option<f64> {
        self.limit.map(|(limit, _)| limit)
    }

    /// Names a part of the rate of the last seconds as the limit, if there was any.
    pub fn set_limit(&mut self, now: Instant, part: f64) {
        self.forget(now);
        let usual = self.recent.len() as f64 / WINDOW.as_secs_f64();
        self.limit = (usual > 0.0).then_some((part * usual, now));
        self.told.clear();
    }

    /// Records that a host got an answer with the limit.
    pub fn tell(&mut self, now: Instant, host: usize) {
        if self.limit.is_some() {
            self.told.entry(host).or_insert(now);
        }
    }

    /// Ends the limit.
    pub fn end_limit(&mut self, now: Instant) {
        if let Some((limit, since)) = self.limit.take() {
            self.usage.taken += limit * now.since(since + TOLD).as_secs_f64();
        }
    }

    /// Counts an arrival from a host.
    pub fn count(&mut self, now: Instant, host: usize) {
        self.forget(now);
        let told = self.told.get(&host).is_some_and(|at| now >= *at + TOLD);
        let told = told && self.limit.is_some();
        self.recent.push_back(Arrival { at: now, told });
        if let Some((limit, _)) = self.limit.filter(|_| told) {
            let counted = self.recent.iter().filter(|it| it.told).count();
            let allowed = ALLOWED.0.mul_add(limit * WINDOW.as_secs_f64(), ALLOWED.1);
            self.usage.worst = self.usage.worst.max(counted as f64 / allowed);
            self.usage.sent += 1.0;
        }
    }

    /// Returns what the server got under limits that have ended.
    pub fn usage(&self) -> &Usage {
        &self.usage
    }

    fn forget(&mut self, now: Instant) {
        while self
            .recent
            .pop_front_if(|it| now.since(it.at) >= WINDOW)
            .is_some()
        {}
    }
}
