//! What the server and the callers saw, and the bound on it.

use azurenotch_wire::Map;
use std::fmt;

/// Length of a window. The first one begins when the server names a limit.
pub(crate) const CONTACT_MS: u64 = 4_000;
/// Time from an answer with a limit from which the host that passed it on has to know.
const TOLD_MS: u64 = 500;
/// Factor on the limit that a window may have.
const FACTOR: f64 = 1.5;
/// Requests that a window may have in addition.
const SLACK: f64 = 5.0;
/// Step between the starts of two windows.
const WINDOW_STEP_MS: u64 = 20;

/// Request that reached the server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival {
    pub(crate) at: u64,
    pub(crate) host: usize,
    /// Number of the host's process.
    pub(crate) run: u64,
}

/// Time for which a host is excused, with the time after its fault.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Excuse {
    pub(crate) host: usize,
    pub(crate) from: u64,
    pub(crate) until: u64,
}

/// History of one schedule.
#[derive(Debug, Default)]
pub(crate) struct Record {
    /// Changes of the server's limit: when, and the limit from then on.
    pub(crate) changes: Vec<(u64, Option<f64>)>,
    pub(crate) arrivals: Vec<Arrival>,
    /// When a process of a host first passed on an answer with a limit.
    ///
    /// By the numbers of the host, of its process and of the change of the limit.
    pub(crate) told: Map<(usize, u64, usize), u64>,
    pub(crate) excuses: Vec<Excuse>,
    pub(crate) end: u64,
}

/// Window above the bound.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Breach {
    at: u64,
    requests: usize,
    allowed: f64,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            at,
            requests,
            allowed,
        } = self;
        write!(f, "{requests} requests from {at} ms, allowed {allowed:.1}")
    }
}

/// Result of schedules.
#[derive(Debug, Default)]
pub(crate) struct Verdict {
    /// Worst window of each schedule that broke the bound.
    pub(crate) broken: Vec<Breach>,
    /// Largest share of the allowed requests that a window had.
    worst: f64,
    /// Requests while a limit had held for a while, and what the limit would have taken.
    used: (f64, f64),
}

impl Verdict {
    pub(crate) fn add(&mut self, other: Self) {
        self.broken.extend(other.broken);
        self.worst = self.worst.max(other.worst);
        self.used.0 += other.used.0;
        self.used.1 += other.used.1;
    }

    pub(crate) fn used_share(&self) -> f64 {
        self.used.0 / self.used.1.max(1.0)
    }
}

impl Record {
    /// Returns the number of the change in force at `at`, with its limit.
    fn in_force(&self, at: u64) -> (usize, Option<f64>) {
        let change = self.changes.partition_point(|(from, _)| *from <= at);
        let limit = change.checked_sub(1).and_then(|last| self.changes[last].1);
        (change, limit)
    }

    /// Returns whether the bound counts a request: its host has been told of the limit in force.
    fn counts(&self, arrival: &Arrival) -> bool {
        let (change, limit) = self.in_force(arrival.at);
        let told = self.told.get(&(arrival.host, arrival.run, change));
        let was_told = told.is_some_and(|first| first + TOLD_MS <= arrival.at);
        let is_excused = self
            .excuses
            .iter()
            .any(|it| it.host == arrival.host && (it.from..it.until).contains(&arrival.at));
        limit.is_some() && was_told && !is_excused
    }

    pub(crate) fn verdict(&self) -> Verdict {
        let mut verdict = Verdict::default();
        let first = self.changes.iter().find(|(_, limit)| limit.is_some());
        let Some((named, _)) = first else {
            return verdict;
        };
        let counted: Vec<u64> = self
            .arrivals
            .iter()
            .filter(|it| self.counts(it))
            .map(|it| it.at)
            .collect();
        let mut worst: Option<Breach> = None;
        let last = self.end.saturating_sub(CONTACT_MS);
        for at in (*named..last).step_by(WINDOW_STEP_MS as usize) {
            let end = at + CONTACT_MS;
            let from = counted.partition_point(|it| *it < at);
            let requests = counted.partition_point(|it| *it < end) - from;
            let allowed = FACTOR.mul_add(self.taken(at, end), SLACK);
            verdict.worst = verdict.worst.max(requests as f64 / allowed);
            let excess = |breach: &Breach| breach.requests as f64 - breach.allowed;
            let breach = Breach {
                at,
                requests,
                allowed,
            };
            if excess(&breach) > worst.as_ref().map_or(0.0, excess) {
                worst = Some(breach);
            }
        }
        verdict.broken.extend(worst);
        let settled = self.changes.iter().enumerate().filter_map(|(number, it)| {
            let end = self.changes.get(number + 1).map_or(self.end, |next| next.0);
            let from = it.0 + CONTACT_MS / 2;
            (it.1? >= 1.0 && from < end).then_some((from, end))
        });
        for (from, end) in settled {
            let requests = self
                .arrivals
                .iter()
                .filter(|it| (from..end).contains(&it.at));
            verdict.used.0 += requests.count() as f64;
            verdict.used.1 += self.taken(from, end);
        }
        verdict
    }

    /// Returns the requests that the limits in force from `from` to `end` take.
    fn taken(&self, from: u64, end: u64) -> f64 {
        let ends = self.changes.iter().skip(1).map(|it| it.0).chain([u64::MAX]);
        let spans = self.changes.iter().zip(ends);
        let taken = spans.map(|((start, limit), stop)| {
            let time = end.min(stop).saturating_sub(from.max(*start));
            limit.unwrap_or(0.0) * time as f64 / 1e3
        });
        taken.sum()
    }
}
