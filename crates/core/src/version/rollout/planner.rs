//! Decisions of the holder of the planner role.

use super::{
    Pace, SHARE_FIRST,
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

/// Time after which a decision that did not take effect is repeated.
const REPEAT_AFTER: Duration = Duration::from_secs(5);
/// Shortest and longest time without requests to the running version before a move is done.
const SETTLE_MIN: Duration = Duration::from_secs(5);
const SETTLE_MAX: Duration = Duration::from_mins(1);
/// Pace where no contract says anything.
const PACE_DEFAULT: Pace = Pace {
    step: 0.1,
    interval: Duration::from_mins(1),
};

/// Planner of all version moves.
///
/// What is in force is read from the snapshot and reports hold counts since the start of a move,
/// so a new holder of the role goes on without any hand-over.
#[derive(Debug, Default)]
pub struct Planner {
    moves: Map<Service, Progress>,
}

/// What the planner knows about one move.
#[derive(Debug)]
struct Progress {
    serial: u64,
    reports: Map<Host, Report>,
    share: f64,
    /// When this planner first saw the share in force.
    since: Instant,
    /// Tests by route, and of all routes together.
    routes: Map<Route, Tests>,
    all: Tests,
    old_requests: u64,
    /// When a request to the running version was last reported.
    old_seen: Instant,
    decided: Option<Instant>,
}

#[derive(Debug)]
struct Tests {
    tests: [(Measure, Test); 2],
    /// Whether each measure was judged good since the share changed.
    good: [bool; 2],
}

impl Planner {
    /// Creates the planner of a new holder of the role.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a host's report, which replaces its earlier one.
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

    /// Returns the changes that are due; to be called once a second.
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
            since: now,
            routes: Map::default(),
            all: Tests::new(),
            old_requests: 0,
            old_seen: now,
            decided: None,
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
        let sums = self.sums();
        let all = sums.values().fold(Pair::default(), sum);
        self.observe(now, latest, &sums, &all);
        let fault = self.judge(&sums, &all);
        if self
            .decided
            .is_some_and(|decided| now.since(decided) < REPEAT_AFTER)
        {
            return None;
        }
        let change = match fault {
            Some(fault) => Some(end(service, latest, false, fault_note(&fault))),
            None => self
                .advance(now, elapsed, service, latest, paces, &all)
                .or_else(|| self.warn(now, elapsed, service, latest, paces, &all)),
        };
        self.decided = change.is_some().then_some(now);
        change
    }

    /// Takes note of the share in force and of requests to the running version.
    fn observe(&mut self, now: Instant, latest: &Move, sums: &Map<Route, Pair>, all: &Pair) {
        if self.share.is_nan() {
            self.share = latest.share;
        } else if (self.share - latest.share).abs() > f64::EPSILON {
            self.share = latest.share;
            self.since = now;
            self.decided = None;
            self.all.restart(all);
            for (route, tests) in &mut self.routes {
                tests.restart(sums.get(route).unwrap_or(&Pair::default()));
            }
        }
        if all.old.requests != self.old_requests {
            self.old_requests = all.old.requests;
            self.old_seen = now;
        }
    }

    /// Returns a fault that a host reported or that shows in the sums.
    fn judge(&mut self, sums: &Map<Route, Pair>, all: &Pair) -> Option<Fault> {
        self.all.judge(all);
        let mut reported = self.reports.values().collect::<Vec<_>>();
        reported.sort_by(|a, b| a.host.cmp(&b.host));
        let reported = reported.into_iter().find_map(|report| report.fault.clone());
        let mut found = None;
        for (route, pair) in sums {
            let tests = self.routes.entry(route.clone()).or_insert_with(Tests::new);
            if let Some(measure) = tests.judge(pair) {
                found = Some(Fault {
                    route: route.clone(),
                    measure,
                    pair: *pair,
                });
            }
        }
        reported.or(found)
    }

    /// Returns the next step, or the end once all traffic has moved.
    fn advance(
        &self,
        now: Instant,
        elapsed: Duration,
        service: &Service,
        latest: &Move,
        paces: &[(Workspace, Pace)],
        all: &Pair,
    ) -> Option<Change> {
        let pace = fastest(paces);
        // Without a first share there would never be any evidence.
        let first = SHARE_FIRST.min(pace.step);
        if latest.share < first {
            return Some(Change::ShareMove {
                service: service.clone(),
                serial: latest.serial,
                share: first,
                note: "first share".to_owned(),
            });
        }
        if now.since(self.since) < pace.interval || !self.all.is_good() {
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
        // Slower workspaces still move when the share of the move is already complete.
        let (_, slowest) = slowest(paces, 0.0);
        let settle = slowest.interval.clamp(SETTLE_MIN, SETTLE_MAX);
        let has_moved = slowest.share_after(elapsed) >= 1.0 && now.since(self.old_seen) >= settle;
        has_moved.then(|| end(service, latest, true, note))
    }

    /// Returns a change of the note alone if the deadline cannot be met any more.
    fn warn(
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
        let stage = now.since(self.since);
        let steps = ((1.0 - latest.share) / fastest.step).ceil().max(1.0);
        let note = if needed > left {
            let name = workspace.map_or("the default", Workspace::as_str);
            format!(
                "deadline will be missed: the pace of {name} allows {:.1} % every {} s",
                slowest.step * 100.0,
                slowest.interval.as_secs()
            )
        } else if !self.all.is_good() && stage.mul_f64(steps) > left {
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

    fn judge(&mut self, pair: &Pair) -> Option<Measure> {
        let mut bad = None;
        for ((measure, test), good) in self.tests.iter_mut().zip(&mut self.good) {
            match test.judge(pair) {
                Verdict::Open => {}
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

/// Returns the pace of the move; hosts hold back the workspaces with a slower one.
fn fastest(paces: &[(Workspace, Pace)]) -> Pace {
    paces
        .iter()
        .map(|(_, pace)| *pace)
        .max_by(|a, b| a.speed().total_cmp(&b.speed()))
        .unwrap_or(PACE_DEFAULT)
}

/// Returns the workspace that needs most time from `share` to all traffic, and its pace.
fn slowest(paces: &[(Workspace, Pace)], share: f64) -> (Option<&Workspace>, Pace) {
    paces
        .iter()
        .max_by_key(|(_, pace)| pace.time_from(share))
        .map_or((None, PACE_DEFAULT), |(name, pace)| (Some(name), *pace))
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
    let hits = |count: &azurenotch_wire::evidence::Count| match fault.measure {
        Measure::Failures => count.failures,
        Measure::Latency => count.slow,
    };
    format!(
        "{} on route {}: {} of {} requests on the new version, {} of {} on the old one",
        fault.measure,
        fault.route,
        hits(new),
        new.requests,
        hits(old),
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
