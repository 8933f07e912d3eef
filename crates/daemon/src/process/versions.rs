//! Service versions that requests use, and evidence about version moves.

use crate::request::{
    clock::Clock,
    release::{Choice, Observation, Selector},
};
use azurenotch_config::snapshot::{Move, MoveState, Snapshot};
use azurenotch_core::{request::access::Grant, version::rollout::Rollout};
use azurenotch_wire::{
    Map,
    event::{Ending, Kind},
    evidence::Report,
    id::{Host, Service},
    time::Instant,
};
use parking_lot::{Mutex, RwLock};
use std::sync::Arc;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};

/// Service versions that requests use, and evidence about version moves.
#[derive(Debug)]
pub struct Versions {
    host: Host,
    clock: Arc<dyn Clock>,
    rollouts: RwLock<Map<Service, Mutex<Rollout>>>,
    /// Serial, state and share of each move in its last recorded event.
    recorded_moves: Mutex<Map<Service, (u64, MoveState, f64)>>,
    /// Sender of faults detected at this host, at most one per move.
    faults: UnboundedSender<Report>,
}

impl Versions {
    /// Creates the state of a host without a configuration, and the receiver of its faults.
    pub fn new(host: Host, clock: Arc<dyn Clock>) -> (Self, UnboundedReceiver<Report>) {
        let (faults, receiver) = mpsc::unbounded_channel();
        (
            Self {
                host,
                clock,
                rollouts: RwLock::default(),
                recorded_moves: Mutex::default(),
                faults,
            },
            receiver,
        )
    }

    /// Applies the moves of a snapshot and returns an event for each that changed.
    ///
    /// `hosts` is the number of hosts in the fleet.
    pub fn adopt(&self, snapshot: &Snapshot, hosts: u32, wall_ms: u64) -> Vec<Kind> {
        let now = self.clock.now();
        let document = &snapshot.document;
        let mut rollouts = self.rollouts.write();
        rollouts.retain(|service, _| document.services.contains_key(service));
        for service in document.services.keys() {
            let rollout = rollouts
                .entry(service.clone())
                .or_insert_with(|| Mutex::new(Rollout::new(service.clone(), self.host.clone())));
            let latest = snapshot.moves.get(service);
            rollout
                .lock()
                .apply(now, wall_ms, latest, &document.workspaces, hosts);
        }
        let mut recorded_moves = self.recorded_moves.lock();
        let moves = snapshot.moves.iter();
        moves
            .filter(|(service, latest)| {
                let recorded = (latest.serial, latest.state, latest.share);
                recorded_moves.insert((*service).clone(), recorded) != Some(recorded)
            })
            .map(|(service, latest)| event(service, latest))
            .collect()
    }

    /// Returns the evidence about the moves in progress.
    pub fn reports(&self) -> Vec<Report> {
        self.rollouts
            .read()
            .values()
            .filter_map(|rollout| rollout.lock().report())
            .collect()
    }

    /// Records a fault that another host reported.
    pub fn on_fault(&self, service: &Service, serial: u64) {
        if let Some(rollout) = self.rollouts.read().get(service) {
            rollout.lock().on_fault(serial);
        }
    }
}

impl Selector for Versions {
    fn choose(&self, now: Instant, snapshot: &Snapshot, grant: &Grant) -> Option<Choice> {
        let service = &grant.route.service;
        let workspace = grant.holder.as_ref().map(|holder| &holder.workspace);
        let rollouts = self.rollouts.read();
        let moving = rollouts
            .get(service)
            .and_then(|rollout| rollout.lock().choose(now, workspace));
        match moving {
            Some(choice) => Some(Choice {
                release: choice.release.clone(),
                rollout: Some(choice),
            }),
            None => snapshot.release(service).cloned().map(Choice::settled),
        }
    }

    fn record(&self, now: Instant, observation: &Observation<'_>) {
        let rollouts = self.rollouts.read();
        let Some(rollout) = rollouts.get(observation.service) else {
            return;
        };
        let mut rollout = rollout.lock();
        let choice = observation.choice.rollout.as_ref();
        let fault = rollout.record(
            now,
            observation.route,
            choice,
            observation.failed,
            observation.latency,
        );
        if fault.is_some()
            && let Some(report) = rollout.report()
        {
            // The receiver is gone only when the process stops.
            let _ = self.faults.send(report);
        }
    }
}

fn event(service: &Service, latest: &Move) -> Kind {
    let (service, release) = (service.clone(), latest.to.clone());
    let ending = match latest.state {
        MoveState::Running => {
            return Kind::MoveShare {
                service,
                release,
                share: latest.share,
            };
        }
        MoveState::Done => Ending::Done,
        MoveState::TakenBack => Ending::TakenBack,
        MoveState::Cancelled => Ending::Cancelled,
    };
    Kind::MoveEnded {
        service,
        release,
        result: ending,
    }
}
