//! Decisions about version moves, made by the holder of the planner role.

use super::{
    INITIAL_SHARE, Pace,
    sprt::{Test, Verdict},
};
use azurenotch_config::{
    change::Change,
    snapshot::{Move, MoveState, Snapshot},
};
use azurenotch_wire::{
    Map,
    evidence::{Fault, Measure, Pair, Report},
    id::{Host, Route, Service, Workspace},
    time::Instant,
};
use std::time::Duration;

/// Time after which a decision is repeated if it has not taken effect.
const DECISION_RETRY_INTERVAL: Duration = Duration::from_secs(5);
/// Bounds of the time without requests to the running version before a move is finished.
const MIN_SETTLE_TIME: Duration = Duration::from_secs(5);
const MAX_SETTLE_TIME: Duration = Duration::from_mins(1);
/// Pace that applies if there are no contracts.
const DEFAULT_PACE: Pace = Pace {
    step: 0.1,
    interval: Duration::from_mins(1),
};

/// Planner of all version moves.
///
/// The current shares are read from the snapshot, and reports contain counts since the start of a
/// move, so a new holder of the role can continue without a hand-over of state.
#[derive(Debug, Default)]
pub struct Planner {
    moves: Map<Service, Progress>,
}

/// Progress of one move, as seen by this planner.
#[derive(Debug)]
struct Progress {
    serial: u64,
    reports: Map<Host, Report>,
    share: f64,
    /// Time at which this planner first saw the current share.
    share_since: Instant,
    /// Tests per route; `all` tests the sum over all routes.
    routes: Map<Route, Tests>,
    all: Tests,
    old_requests: u64,
    /// Time at which a report last contained new requests to the running version.
    old_reported_at: Instant,
    decided_at: Option<Instant>,
}

#[derive(Debug)]
struct Tests {
    tests: [(Measure, Test); 2],
    /// Whether each measure was found good since the share last changed.
    good: [bool; 2],
}

impl Planner {
    /// Creates a planner without reports, for a new holder of the role.
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores a host's report, which replaces its earlier one; reports of older moves are ignored.
    pub fn on_report(&mut self, now: Instant, report: Report) {
        let progress = self
            .moves
            .entry(report.service.clone())
            .or_insert_with(|| Progress::new(now, report.serial));
        if report.serial > progress.serial {
            *progress = Progress::new(now, report.serial);
        }
        if report.serial == progress.serial {
            progress.reports.insert(report.host.clone(), report);
        }
    }

    /// Returns the changes that are due; must be called about once per second.
    pub fn decide(&mut self, now: Instant, wall_ms: u64, snapshot: &Snapshot) -> Vec<Change> {
        self.moves.retain(|service, progress| {
            snapshot
                .moves
                .get(service)
                .is_some_and(|latest| latest.serial <= progress.serial)
        });
        let paces = paces(snapshot);
        snapshot
            .moves
            .iter()
            .filter(|(_, latest)| latest.state == MoveState::Running)
            .filter_map(|(service, latest)| {
                let elapsed = Duration::from_millis(wall_ms.saturating_sub(latest.started.wall_ms));
                let progress = self
                    .moves
                    .entry(service.clone())
                    .or_insert_with(|| Progress::new(now, latest.serial));
                progress.decide(now, elapsed, service, latest, &paces)
            })
            .collect()
    }
}

impl Progress {
    fn new(now: Instant, serial: u64) -> Self {
        Self {
            serial,
            reports: Map::default(),
            share: f64::NAN,
            share_since: now,
            routes: Map::default(),
            all: Tests::new(),
            old_requests: 0,
            old_reported_at: now,
            decided_at: None,
        }
    }

    fn decide(
        &mut self,
        now: Instant,
        elapsed: Duration,
        service: &Service,
        latest: &Move,
        paces: &[(Workspace, Pace)],
    ) -> Option<Change> {
        // A report can belong to a later move than the snapshot that this host has adopted.
        if self.serial != latest.serial {
            return None;
        }
        let sums = self.sums();
        let all = sums.values().fold(Pair::default(), sum);
        self.update_share(now, latest, &sums, &all);
        let fault = self.find_fault(&sums, &all);
        if self
            .decided_at
            .is_some_and(|decided_at| now.since(decided_at) < DECISION_RETRY_INTERVAL)
        {
            return None;
        }
        let change = match fault {
            Some(fault) => Some(end(service, latest, false, fault_note(&fault))),
            None => self
                .next_step(now, elapsed, service, latest, paces, &all)
                .or_else(|| self.deadline_warning(now, elapsed, service, latest, paces, &all)),
        };
        self.decided_at = change.is_some().then_some(now);
        change
    }

    /// Updates the current share and the time of the last requests to the running version.
    ///
    /// A changed share restarts all tests.
    fn update_share(&mut self, now: Instant, latest: &Move, sums: &Map<Route, Pair>, all: &Pair) {
        if self.share.is_nan() {
            self.share = latest.share;
        } else if (self.share - latest.share).abs() > f64::EPSILON {
            self.share = latest.share;
            self.share_since = now;
            self.decided_at = None;
            self.all.restart(all);
            for (route, tests) in &mut self.routes {
                tests.restart(sums.get(route).unwrap_or(&Pair::default()));
            }
        }
        if all.old.requests != self.old_requests {
            self.old_requests = all.old.requests;
            self.old_reported_at = now;
        }
    }

    /// Returns a fault that a host reported, or one that the sums of all hosts reveal.
    fn find_fault(&mut self, sums: &Map<Route, Pair>, all: &Pair) -> Option<Fault> {
        self.all.evaluate(all);
        let mut reported = self.reports.values().collect::<Vec<_>>();
        reported.sort_by(|a, b| a.host.cmp(&b.host));
        let reported = reported.into_iter().find_map(|report| report.fault.clone());
        let mut found = None;
        for (route, pair) in sums {
            let tests = self.routes.entry(route.clone()).or_insert_with(Tests::new);
            if let Some(measure) = tests.evaluate(pair) {
                found = Some(Fault {
                    route: route.clone(),
                    measure,
                    pair: *pair,
                });
            }
        }
        reported.or(found)
    }

    /// Returns the next increase of the share, or the end of the move once all traffic has moved.
    fn next_step(
        &self,
        now: Instant,
        elapsed: Duration,
        service: &Service,
        latest: &Move,
        paces: &[(Workspace, Pace)],
        all: &Pair,
    ) -> Option<Change> {
        let pace = fastest(paces);
        // Evidence accumulates only once the new version has some traffic.
        let first = INITIAL_SHARE.min(pace.step);
        if latest.share < first {
            return Some(Change::ShareMove {
                service: service.clone(),
                serial: latest.serial,
                share: first,
                note: "first share".to_owned(),
            });
        }
        if now.since(self.share_since) < pace.interval || !self.all.is_good() {
            return None;
        }
        let note = format!(
            "{} requests on version {}: {} failed, {} slow",
            all.new.requests, latest.to, all.new.failures, all.new.slow
        );
        if latest.share < 1.0 {
            let share = (latest.share + pace.step).min(1.0);
            return Some(Change::ShareMove {
                service: service.clone(),
                serial: latest.serial,
                share,
                note,
            });
        }
        // Workspaces with a slower pace may still be moving when the share has reached all traffic.
        let (_, slowest) = slowest(paces, 0.0);
        let settle_time = slowest.interval.clamp(MIN_SETTLE_TIME, MAX_SETTLE_TIME);
        let has_moved =
            slowest.share_after(elapsed) >= 1.0 && now.since(self.old_reported_at) >= settle_time;
        has_moved.then(|| end(service, latest, true, note))
    }

    /// Returns a change that only sets a warning as the note if the deadline can no longer be met.
    fn deadline_warning(
        &self,
        now: Instant,
        elapsed: Duration,
        service: &Service,
        latest: &Move,
        paces: &[(Workspace, Pace)],
        all: &Pair,
    ) -> Option<Change> {
        let left = latest.deadline.saturating_sub(elapsed);
        let fastest = fastest(paces);
        let (workspace, slowest) = slowest(paces, latest.share);
        let reached = latest.share.min(slowest.share_after(elapsed));
        let needed = fastest
            .time_from(latest.share)
            .max(slowest.time_from(reached));
        let stage_time = now.since(self.share_since);
        let steps = ((1.0 - latest.share) / fastest.step).ceil().max(1.0);
        let note = if needed > left {
            let name = workspace.map_or("the default", Workspace::as_str);
            format!(
                "deadline will be missed: the pace of {name} allows {:.1} % every {} s",
                slowest.step * 100.0,
                slowest.interval.as_secs()
            )
        } else if !self.all.is_good() && stage_time.mul_f64(steps) > left {
            let cause = if all.new.requests == 0 {
                "no requests reach"
            } else {
                "too few requests reach"
            };
            format!(
                "deadline will be missed: {cause} version {} to judge it",
                latest.to
            )
        } else {
            return None;
        };
        (note != latest.note).then(|| Change::ShareMove {
            service: service.clone(),
            serial: latest.serial,
            share: latest.share,
            note,
        })
    }

    fn sums(&self) -> Map<Route, Pair> {
        let mut sums = Map::<Route, Pair>::default();
        for (route, pair) in self.reports.values().flat_map(|report| &report.routes) {
            let total = sums.entry(route.clone()).or_default();
            *total = sum(*total, pair);
        }
        sums
    }
}

impl Tests {
    fn new() -> Self {
        Self {
            tests: [Measure::Failures, Measure::Latency]
                .map(|measure| (measure, Test::new(measure, 1))),
            good: [false; 2],
        }
    }

    fn restart(&mut self, pair: &Pair) {
        for (_, test) in &mut self.tests {
            test.restart(pair);
        }
        self.good = [false; 2];
    }

    fn evaluate(&mut self, pair: &Pair) -> Option<Measure> {
        let mut bad = None;
        for ((measure, test), good) in self.tests.iter_mut().zip(&mut self.good) {
            match test.evaluate(pair) {
                Verdict::Undecided => {}
                Verdict::Good => *good = true,
                Verdict::Bad => bad = bad.or(Some(*measure)),
            }
        }
        bad
    }

    fn is_good(&self) -> bool {
        self.good == [true; 2]
    }
}

/// Returns the paces of all contracts.
fn paces(snapshot: &Snapshot) -> Vec<(Workspace, Pace)> {
    let contracts = &snapshot.document.workspaces;
    contracts
        .iter()
        .map(|(name, contract)| (name.clone(), Pace::new(contract)))
        .collect()
}

/// Returns the pace of the move, which is the fastest of all contracts.
///
/// Hosts delay the workspaces that have a slower pace.
fn fastest(paces: &[(Workspace, Pace)]) -> Pace {
    paces
        .iter()
        .map(|(_, pace)| *pace)
        .max_by(|a, b| a.share_per_second().total_cmp(&b.share_per_second()))
        .unwrap_or(DEFAULT_PACE)
}

/// Returns the workspace that needs the longest time from `share` to all traffic, and its pace.
fn slowest(paces: &[(Workspace, Pace)], share: f64) -> (Option<&Workspace>, Pace) {
    paces
        .iter()
        .max_by_key(|(_, pace)| pace.time_from(share))
        .map_or((None, DEFAULT_PACE), |(name, pace)| (Some(name), *pace))
}

fn end(service: &Service, latest: &Move, done: bool, note: String) -> Change {
    Change::EndMove {
        service: service.clone(),
        serial: latest.serial,
        done,
        note,
    }
}

fn fault_note(fault: &Fault) -> String {
    let (old, new) = (&fault.pair.old, &fault.pair.new);
    let events = |count: &azurenotch_wire::evidence::Count| match fault.measure {
        Measure::Failures => count.failures,
        Measure::Latency => count.slow,
    };
    format!(
        "{} on route {}: {} of {} requests on the new version, {} of {} on the old one",
        fault.measure,
        fault.route,
        events(new),
        new.requests,
        events(old),
        old.requests
    )
}

fn sum(mut total: Pair, pair: &Pair) -> Pair {
    for (total, count) in [(&mut total.old, &pair.old), (&mut total.new, &pair.new)] {
        total.requests += count.requests;
        total.failures += count.failures;
        total.slow += count.slow;
    }
    total
}
