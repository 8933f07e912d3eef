//! Version moves: traffic shares, evidence about the new version, and the decision to finish or
//! roll back.
//!
//! [`Rollout`] splits the requests of one host between the versions and collects evidence;
//! [`Planner`] combines the reports of all hosts and decides about the next share or the end.

mod latency;
mod pace;
mod planner;
pub(super) mod sprt;

pub use pace::Pace;
pub use planner::Planner;
pub use sprt::{FALSE_ALARM_PROBABILITY, MISS_PROBABILITY};

use azurenotch_config::{
    document::Contract,
    snapshot::{Move, MoveState},
};
use azurenotch_wire::{
    Map,
    evidence::{Count, Fault, Measure, Pair, Report},
    id::{Host, Release, Route, Service, Workspace},
    time::Instant,
};
use latency::Latency;
use pace::Split;
use sprt::{Test, Verdict};
use std::{collections::BTreeMap, time::Duration};

/// Traffic share of the new version at the start of a move.
pub const INITIAL_SHARE: f64 = 0.01;
/// Slow answers per stage and route, for the whole fleet, that are excused because caches are cold.
pub const EXCUSED_COLD_ANSWERS: u32 = 60;
/// Requests to the new version after which the tests are evaluated even without a bad answer.
const REQUESTS_PER_EVALUATION: u64 = 8;

/// State of the version moves of one service on one host.
#[derive(Debug)]
pub struct Rollout {
    service: Service,
    host: Host,
    /// Latency of the running version; kept between moves so that a move starts with a threshold.
    latency: Map<Route, Latency>,
    active: Option<ActiveMove>,
    /// Highest serial of a move that has ended; a move with this or a lower serial never restarts.
    highest_ended: u64,
    /// Highest serial of a move with a fault, detected here or on another host.
    highest_faulty: u64,
}

/// Version chosen for a request; passed to [`Rollout::record`] with the result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// Version to send the request to.
    pub release: Release,
    /// Serial of the move that was active at the time of the choice.
    serial: u64,
    is_new: bool,
}

/// Move that is in progress.
#[derive(Debug)]
struct ActiveMove {
    serial: u64,
    from: Release,
    to: Release,
    share: f64,
    splits: Map<Workspace, Split>,
    open_routes: Split,
    hosts: u32,
    routes: Map<Route, Evidence>,
    fault: Option<Fault>,
}

#[derive(Debug)]
struct Evidence {
    pair: Pair,
    failures: Test,
    latency: Test,
    excused_left: u32,
}

impl Rollout {
    /// Creates the state of a service without a move.
    pub fn new(service: Service, host: Host) -> Self {
        Self {
            service,
            host,
            latency: Map::default(),
            active: None,
            highest_ended: 0,
            highest_faulty: 0,
        }
    }

    /// Applies the service's latest move and the contracts of an adopted snapshot.
    ///
    /// `hosts` is the number of hosts in the fleet, which share the false-alarm probability and the
    /// excused answers.
    pub fn apply(
        &mut self,
        now: Instant,
        wall_ms: u64,
        latest: Option<&Move>,
        contracts: &BTreeMap<Workspace, Contract>,
        hosts: u32,
    ) {
        let Some(latest) = latest.filter(|latest| latest.serial > self.highest_ended) else {
            self.active = None;
            return;
        };
        if latest.state != MoveState::Running {
            self.highest_ended = latest.serial;
            self.active = None;
            return;
        }
        let elapsed = Duration::from_millis(wall_ms.saturating_sub(latest.started.wall_ms));
        let current = self
            .active
            .take()
            .filter(|active| active.serial == latest.serial);
        let mut active = current.unwrap_or_else(|| ActiveMove::new(now, latest, hosts));
        active.set_target(now, latest.share, contracts, elapsed);
        self.active = Some(active);
    }

    /// Chooses the version for a request; returns `None` if no move is in progress.
    pub fn choose(&mut self, now: Instant, workspace: Option<&Workspace>) -> Option<Choice> {
        let active = self.active.as_mut()?;
        let is_new = active.serial > self.highest_faulty
            && match workspace {
                None => active.open_routes.next(now),
                Some(workspace) => active
                    .splits
                    .get_mut(workspace)
                    .is_some_and(|split| split.next(now)),
            };
        let release = if is_new { &active.to } else { &active.from };
        Some(Choice {
            release: release.clone(),
            serial: active.serial,
            is_new,
        })
    }

    /// Records the result of a request and returns a fault that it revealed.
    ///
    /// `choice` is `None` for a request that was sent while no move was in progress.
    pub fn record(
        &mut self,
        now: Instant,
        route: &Route,
        choice: Option<&Choice>,
        failed: bool,
        latency: Duration,
    ) -> Option<Fault> {
        let reference = self
            .latency
            .entry(route.clone())
            .or_insert_with(|| Latency::new(now));
        let slow = reference.is_slow(latency);
        if !failed && choice.is_none_or(|choice| !choice.is_new) {
            reference.record(now, latency);
        }
        let choice = choice?;
        let active = self.active.as_mut()?;
        if active.serial != choice.serial {
            return None;
        }
        let fault = active.record(route, choice.is_new, failed, slow)?;
        self.highest_faulty = self.highest_faulty.max(active.serial);
        Some(fault)
    }

    /// Records a fault that another host reported; this host stops sending to the new version.
    ///
    /// The report may arrive before the move itself.
    pub fn on_fault(&mut self, serial: u64) {
        self.highest_faulty = self.highest_faulty.max(serial);
    }

    /// Returns whether a move is in progress and this host no longer sends to its new version.
    pub fn is_stopped(&self) -> bool {
        self.active
            .as_ref()
            .is_some_and(|active| active.serial <= self.highest_faulty)
    }

    /// Returns the report for the planner, or `None` if no move is in progress.
    pub fn report(&self) -> Option<Report> {
        let active = self.active.as_ref()?;
        let routes = active.routes.iter();
        Some(Report {
            host: self.host.clone(),
            service: self.service.clone(),
            release: active.to.clone(),
            serial: active.serial,
            routes: routes
                .map(|(route, evidence)| (route.clone(), evidence.pair))
                .collect(),
            fault: active.fault.clone(),
        })
    }
}

impl ActiveMove {
    fn new(now: Instant, latest: &Move, hosts: u32) -> Self {
        Self {
            serial: latest.serial,
            from: latest.from.clone(),
            to: latest.to.clone(),
            share: latest.share,
            splits: Map::default(),
            open_routes: Split::new(now, None, latest.share, Duration::ZERO),
            hosts: hosts.max(1),
            routes: Map::default(),
            fault: None,
        }
    }

    fn set_target(
        &mut self,
        now: Instant,
        share: f64,
        contracts: &BTreeMap<Workspace, Contract>,
        elapsed: Duration,
    ) {
        self.splits
            .retain(|workspace, _| contracts.contains_key(workspace));
        for (workspace, contract) in contracts {
            let pace = Some(Pace::new(contract));
            self.splits
                .entry(workspace.clone())
                .or_insert_with(|| Split::new(now, pace, share, elapsed))
                .set_target(now, pace, share);
        }
        self.open_routes.set_target(now, None, share);
        if (self.share - share).abs() > f64::EPSILON {
            self.share = share;
            let excused_answers = self.excused_answers();
            for evidence in self.routes.values_mut() {
                evidence.failures.restart(&evidence.pair);
                evidence.latency.restart(&evidence.pair);
                evidence.excused_left = excused_answers;
            }
        }
    }

    fn excused_answers(&self) -> u32 {
        EXCUSED_COLD_ANSWERS.div_ceil(self.hosts)
    }

    fn record(&mut self, route: &Route, is_new: bool, failed: bool, slow: bool) -> Option<Fault> {
        let excused_answers = self.excused_answers();
        let hosts = self.hosts;
        let evidence = self
            .routes
            .entry(route.clone())
            .or_insert_with(|| Evidence {
                pair: Pair::default(),
                failures: Test::new(Measure::Failures, hosts),
                latency: Test::new(Measure::Latency, hosts),
                excused_left: excused_answers,
            });
        let excused = is_new && slow && evidence.excused_left > 0;
        evidence.excused_left -= u32::from(excused);
        let count = if is_new {
            &mut evidence.pair.new
        } else {
            &mut evidence.pair.old
        };
        add(count, failed, slow && !excused);
        // A request that neither failed nor was slow reveals no fault, but it can complete a round
        // of the tests.
        let is_due = failed
            || slow
            || evidence
                .pair
                .new
                .requests
                .is_multiple_of(REQUESTS_PER_EVALUATION);
        if !is_new || !is_due || self.fault.is_some() {
            return None;
        }
        let measure = evidence.detect_fault()?;
        let fault = Fault {
            route: route.clone(),
            measure,
            pair: evidence.pair,
        };
        self.fault = Some(fault.clone());
        Some(fault)
    }
}

impl Evidence {
    fn detect_fault(&mut self) -> Option<Measure> {
        let failures = self.failures.evaluate(&self.pair) == Verdict::Bad;
        let latency = self.latency.evaluate(&self.pair) == Verdict::Bad;
        (failures || latency).then_some(if failures {
            Measure::Failures
        } else {
            Measure::Latency
        })
    }
}

fn add(count: &mut Count, failed: bool, slow: bool) {
    count.requests += 1;
    count.failures += u64::from(failed);
    count.slow += u64::from(slow);
}

#[cfg(test)]
mod tests;
