//! Actor that reports evidence and, as role holder, plans version moves.

use crate::process::{
    configuration,
    node::{Node, Peer},
    peers, role, send,
    transport::{self, Transport},
    versions::Versions,
};
use azurenotch_config::change::Change;
use azurenotch_core::{process::lease::VALIDITY, version::rollout::Planner as StateMachine};
use azurenotch_platform::table::Fence;
use azurenotch_wire::{event::Kind, evidence::Report, time::Instant};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use slog::info;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::sync::mpsc::UnboundedReceiver;

/// Name of the role.
pub const ROLE: &str = "planner";
/// Interval between evidence reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of one report to a peer.
const REPORT_TIMEOUT: Duration = Duration::from_millis(900);
/// Attempts to report a fault to a peer; the planner's decision also reaches it as a change.
const MAX_FAULT_ATTEMPTS: u32 = 3;
/// Timeout for a planned change to be accepted.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Reports evidence and plans version moves.
#[derive(Debug)]
pub struct Planner;

/// Message to the actor.
#[derive(Debug)]
pub enum Message {
    /// Starts a periodic round.
    Round,
    /// This host detected a fault of a version move.
    Fault(Report),
    /// Evidence reports were received from a host.
    Evidence(Vec<Report>),
    /// The lease of the role was renewed or lost.
    Role(role::Change),
}

/// Arguments of the actor.
#[derive(Debug)]
pub struct Arguments {
    /// Shared state of the host.
    pub node: Arc<Node>,
    /// Versions that requests use.
    pub versions: Arc<Versions>,
    /// Faults detected at this host.
    pub faults: UnboundedReceiver<Report>,
    /// Actor that accepts changes.
    pub configuration: ActorRef<configuration::Message>,
    /// Actor that announces an accepted change at once.
    pub peers: ActorRef<peers::Message>,
}

/// State of the actor.
#[derive(Debug)]
pub struct State {
    node: Arc<Node>,
    versions: Arc<Versions>,
    configuration: ActorRef<configuration::Message>,
    peers: ActorRef<peers::Message>,
    planner: StateMachine,
    /// Token and expiry of the role's lease.
    held: Option<(u64, Instant)>,
}

impl Actor for Planner {
    type Msg = Message;
    type State = State;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        arguments: Arguments,
    ) -> Result<State, ActorProcessingErr> {
        let Arguments {
            node,
            versions,
            mut faults,
            configuration,
            peers,
        } = arguments;
        drop(myself.send_interval(REPORT_INTERVAL, || Message::Round));
        tokio::spawn(async move {
            while let Some(report) = faults.recv().await {
                if myself.send_message(Message::Fault(report)).is_err() {
                    break;
                }
            }
        });
        Ok(State {
            node,
            versions,
            configuration,
            peers,
            planner: StateMachine::new(),
            held: None,
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            Message::Round => state.round(),
            Message::Fault(report) => state.on_own_fault(&report),
            Message::Evidence(reports) => state.on_evidence(reports),
            Message::Role(role::Change::Lost) => state.held = None,
            Message::Role(role::Change::Renewed { token, sent }) => {
                state.held = Some((token, sent + VALIDITY));
            }
        }
        Ok(())
    }
}

impl State {
    fn round(&mut self) {
        let reports = self.versions.reports();
        if !reports.is_empty() {
            self.report(reports);
        }
        self.plan();
    }

    /// Sends the evidence to the known role holder with the highest token.
    fn report(&mut self, reports: Vec<Report>) {
        let now = self.node.clock.now();
        let own = self
            .held
            .filter(|(_, until)| now < *until)
            .map(|(token, _)| (token, None));
        let peer = self
            .node
            .holder(ROLE)
            .map(|(token, peer)| (token, Some(peer)));
        match own.into_iter().chain(peer).max_by_key(|(token, _)| *token) {
            None => {}
            Some((_, None)) => self.on_evidence(reports),
            Some((_, Some(address))) => {
                let transport = Arc::clone(&self.node.transport);
                tokio::spawn(async move {
                    // Counts are cumulative, so the next report replaces a lost one.
                    let _ = send_reports(&*transport, address, &reports).await;
                });
            }
        }
    }

    fn on_evidence(&mut self, reports: Vec<Report>) {
        let now = self.node.clock.now();
        for report in reports {
            if report.fault.is_some() {
                self.versions.on_fault(&report.service, report.serial);
            }
            self.planner.on_report(now, report);
        }
    }

    /// Reports a fault detected at this host to all other hosts at once.
    fn on_own_fault(&mut self, report: &Report) {
        if let Some(fault) = &report.fault {
            self.node.recorder.record(Kind::MoveFault {
                service: report.service.clone(),
                release: report.release.clone(),
                route: fault.route.clone(),
                measure: fault.measure,
            });
        }
        for peer in self.node.peers.load().iter() {
            self.send_fault(peer, report.clone());
        }
        self.planner
            .on_report(self.node.clock.now(), report.clone());
        self.plan();
    }

    fn send_fault(&self, peer: &Peer, report: Report) {
        let transport = Arc::clone(&self.node.transport);
        let address = peer.peer;
        tokio::spawn(async move {
            let reports = vec![report];
            for _ in 0..MAX_FAULT_ATTEMPTS {
                if send_reports(&*transport, address, &reports).await.is_ok() {
                    return;
                }
            }
        });
    }

    /// Requests the changes that are due, if this host holds a valid lease.
    fn plan(&mut self) {
        let now = self.node.clock.now();
        let held = self.held.filter(|(_, until)| now < *until);
        let (Some((token, _)), Some(snapshot)) = (held, self.node.snapshot()) else {
            return;
        };
        for change in self
            .planner
            .decide(now, self.node.clock.wall_ms(), &snapshot)
        {
            let fence = Fence {
                key: role::lease_key(ROLE),
                token,
            };
            self.request_change(change, fence);
        }
    }

    fn request_change(&self, change: Change, fence: Fence) {
        let configuration = self.configuration.clone();
        let peers = self.peers.clone();
        let log = self.node.log.clone();
        tokio::spawn(async move {
            let text = change.describe().to_string();
            let outcome =
                configuration::request(&configuration, change, Some(fence), CHANGE_TIMEOUT).await;
            match outcome {
                // Without the announcement, the change would reach other hosts a round later.
                Ok(_) => send(&peers, peers::Message::Announce),
                Err(error) => info!(log, "planner: change not accepted";
                    "change" => text, "reason" => %error),
            }
        });
    }
}

async fn send_reports(
    transport: &dyn Transport,
    address: SocketAddr,
    reports: &Vec<Report>,
) -> transport::Result<()> {
    transport::call(
        transport,
        address,
        "/peer/evidence",
        reports,
        REPORT_TIMEOUT,
    )
    .await
}
