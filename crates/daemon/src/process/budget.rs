//! Actor that reports demand, applies grants and, while it holds the role, divides the budgets.

mod stop;

use crate::process::{
    admission::{Fleet, Seat},
    node::Node,
    role, tell,
    transport::{self, Transport},
};
use azurenotch_config::snapshot::Snapshot;
use azurenotch_core::process::budget::{Allocation, Ledger, Reporter, Supply, Timing, Write};
use azurenotch_platform::table::{Error as TableError, Expect, Fence};
use azurenotch_wire::{
    budget::{Grant, Report},
    event::Kind,
    peer::State as HostState,
    time::Instant,
};
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use slog::debug;
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

/// Name of the role.
pub const ROLE: &str = "budget";
/// Table key of the recorded allocation.
const ROW: &str = "budget/allocation";
/// Time between two reports.
const INTERVAL: Duration = Duration::from_secs(1);
/// Longest time for the answer to a report.
const TIMEOUT: Duration = Duration::from_millis(900);
/// Grants after which a host serves without a share: no workspace is active then.
const GRANTS_IDLE: u32 = 3;
/// Longest time that a host with a configuration waits for its share, for example because the
/// platform is down. Open routes and look-ups need none.
const SHARE_WAIT: Duration = Duration::from_secs(4);
/// Change of a share, relative to itself, that is worth an event.
const EVENT_CHANGE: f64 = 0.2;

/// Reports demand, applies grants and divides the budgets.
#[derive(Debug)]
pub struct Budget;

/// Message to the actor.
#[derive(Debug)]
pub enum Message {
    /// Time for a round.
    Round,
    /// The host's slot changed.
    Seat(Option<Seat>),
    /// A configuration came into force.
    Adopted(Arc<Snapshot>),
    /// The lease of the role was renewed or lost.
    Role(role::Change),
    /// The recorded allocation was read for a lease with this token.
    Recorded(u64, Allocation, u64),
    /// The answer to writing a proposal.
    Written(u64, Write, Option<u64>),
    /// The recorded allocation was read again after a write in doubt.
    Reread(u64, Allocation, u64),
    /// A host reports.
    Report(Box<Report>, RpcReplyPort<Option<Grant>>),
    /// The holder answered this host's report.
    Granted(Grant),
    /// Give everything back before a planned stop.
    Stop(RpcReplyPort<()>),
}

/// State of the actor.
#[derive(Debug)]
pub struct State {
    node: Arc<Node>,
    fleet: Arc<Fleet>,
    timing: Timing,
    seat: Option<Seat>,
    reporter: Option<Reporter>,
    snapshot: Option<Arc<Snapshot>>,
    ledger: Option<Ledger>,
    /// Token of the lease while the recorded allocation is being read.
    acquired: Option<(u64, Instant)>,
    /// Version of the allocation's row; zero if there is none.
    version: u64,
    busy: bool,
    stopping: bool,
    /// Answer that a planned stop waits for.
    departure: Option<RpcReplyPort<()>>,
    /// Grants accepted so far.
    grants: u32,
    /// When the first configuration came into force.
    configured: Option<Instant>,
    shown: BTreeMap<String, f64>,
}

impl Actor for Budget {
    type Msg = Message;
    type State = State;
    type Arguments = (Arc<Node>, Arc<Fleet>);

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        (node, fleet): Self::Arguments,
    ) -> Result<State, ActorProcessingErr> {
        drop(myself.send_interval(INTERVAL, || Message::Round));
        Ok(State {
            node,
            fleet,
            timing: Timing::default(),
            seat: None,
            reporter: None,
            snapshot: None,
            ledger: None,
            acquired: None,
            version: 0,
            busy: false,
            stopping: false,
            departure: None,
            grants: 0,
            configured: None,
            shown: BTreeMap::new(),
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            Message::Round => state.round(&myself),
            Message::Seat(seat) => state.on_seat(seat),
            Message::Adopted(snapshot) => state.on_adopted(snapshot),
            Message::Role(change) => state.on_role(&myself, change),
            Message::Recorded(token, recorded, version) => {
                state.on_recorded(token, recorded, version);
            }
            Message::Written(token, write, version) => state.on_written(token, write, version),
            Message::Reread(token, row, version) => state.on_reread(token, &row, version),
            Message::Report(report, reply) => {
                let answer = state.on_report(&report);
                // The host may have stopped waiting.
                let _ = reply.send(answer);
            }
            Message::Granted(grant) => state.on_granted(&grant),
            Message::Stop(reply) => state.stop(&myself, reply),
        }
        state.depart();
        Ok(())
    }
}

impl State {
    fn round(&mut self, myself: &ActorRef<Message>) {
        self.lead(myself);
        let now = self.node.clock.now();
        if self
            .configured
            .is_some_and(|since| now.since(since) >= SHARE_WAIT)
        {
            self.node.set_serving();
        }
        if !self.stopping && self.seat.is_some() {
            self.report(myself, false);
        }
        self.record_shares();
    }

    fn on_seat(&mut self, seat: Option<Seat>) {
        let now = self.node.clock.now();
        let is_same_slot =
            self.seat.as_ref().map(|seat| seat.slot) == seat.as_ref().map(|seat| seat.slot);
        if !is_same_slot {
            // The elastic shares belong to the former slot, whose next holder may get them.
            self.fleet.stop(now);
            if let Some(seat) = &seat {
                self.claim(seat);
            }
        }
        self.seat.clone_from(&seat);
        if let Some(snapshot) = &self.snapshot {
            self.fleet.set_seat(now, seat, snapshot);
        }
    }

    fn claim(&mut self, seat: &Seat) {
        if let Some(reporter) = &mut self.reporter {
            reporter.move_to_slot(seat.slot);
            return;
        }
        let (host, region) = (self.node.host().clone(), seat.region.clone());
        let incarnation = self.node.incarnation;
        self.reporter = Some(Reporter::new(
            host,
            incarnation,
            seat.slot,
            region,
            self.timing,
        ));
    }

    fn on_adopted(&mut self, snapshot: Arc<Snapshot>) {
        let now = self.node.clock.now();
        if let Some(ledger) = &mut self.ledger {
            ledger.set_supplies(now, supplies(&snapshot));
        }
        self.fleet.set_seat(now, self.seat.clone(), &snapshot);
        self.snapshot = Some(snapshot);
        self.configured.get_or_insert(now);
    }

    fn on_role(&mut self, myself: &ActorRef<Message>, change: role::Change) {
        match change {
            role::Change::Lost => {
                self.ledger = None;
                self.acquired = None;
            }
            role::Change::Renewed { token, sent } => {
                match &mut self.ledger {
                    Some(ledger) if ledger.token() == token => ledger.lease_renewed(sent),
                    _ => {
                        self.ledger = None;
                        self.acquired = Some((token, sent));
                    }
                }
                if self.ledger.is_none() {
                    self.read(myself, token, Message::Recorded);
                }
            }
        }
    }

    /// Reads the recorded allocation and sends it back with `message`.
    fn read(
        &self,
        myself: &ActorRef<Message>,
        token: u64,
        message: fn(u64, Allocation, u64) -> Message,
    ) {
        let table = Arc::clone(&self.node.table);
        let myself = myself.clone();
        tokio::spawn(async move {
            let Ok(row) = table.get(ROW).await else {
                return;
            };
            let (value, version) = row.map_or((Vec::new(), 0), |row| (row.value, row.version));
            let allocation = if value.is_empty() {
                Ok(Allocation::default())
            } else {
                rmp_serde::from_slice(&value)
            };
            if let Ok(allocation) = allocation {
                tell(&myself, message(token, allocation, version));
            }
        });
    }

    fn on_recorded(&mut self, token: u64, recorded: Allocation, version: u64) {
        let Some((_, sent)) = self.acquired.take_if(|(acquired, _)| *acquired == token) else {
            return;
        };
        let now = self.node.clock.now();
        let mut ledger = Ledger::new(token, self.timing, now, recorded);
        ledger.lease_renewed(sent);
        if let Some(snapshot) = &self.snapshot {
            ledger.set_supplies(now, supplies(snapshot));
        }
        self.ledger = Some(ledger);
        self.version = version;
        self.busy = false;
    }

    /// Divides the budgets while this host holds the role.
    fn lead(&mut self, myself: &ActorRef<Message>) {
        let now = self.node.clock.now();
        let Some(ledger) = &mut self.ledger else {
            return;
        };
        let token = ledger.token();
        if ledger.must_reread() {
            self.read(myself, token, Message::Reread);
            return;
        }
        if self.busy {
            return;
        }
        if let Some(allocation) = ledger.tick(now) {
            self.busy = true;
            self.write(myself, token, &allocation);
        }
    }

    fn write(&self, myself: &ActorRef<Message>, token: u64, allocation: &Allocation) {
        let table = Arc::clone(&self.node.table);
        let myself = myself.clone();
        let expect = if self.version == 0 {
            Expect::Absent
        } else {
            Expect::Version(self.version)
        };
        let value = rmp_serde::to_vec(allocation);
        tokio::spawn(async move {
            let Ok(value) = value else {
                tell(&myself, Message::Written(token, Write::Unavailable, None));
                return;
            };
            let fence = Fence {
                key: role::row(ROLE),
                token,
            };
            let (write, version) = match table.put(ROW, &value, expect, Some(&fence)).await {
                Ok(version) => (Write::Done, Some(version)),
                Err(TableError::Conflict { row, .. }) => {
                    (Write::Conflict, row.map(|row| row.version))
                }
                Err(TableError::Fenced { .. }) => (Write::Fenced, None),
                Err(TableError::Unavailable { .. }) => (Write::Unavailable, None),
                Err(_) => (Write::Ambiguous, None),
            };
            tell(&myself, Message::Written(token, write, version));
        });
    }

    fn on_written(&mut self, token: u64, write: Write, version: Option<u64>) {
        let Some(ledger) = self
            .ledger
            .as_mut()
            .filter(|ledger| ledger.token() == token)
        else {
            return;
        };
        self.busy = false;
        ledger.write_finished(write);
        if let (Write::Done, Some(version)) = (write, version) {
            self.version = version;
        }
    }

    fn on_reread(&mut self, token: u64, row: &Allocation, version: u64) {
        let Some(ledger) = self
            .ledger
            .as_mut()
            .filter(|ledger| ledger.token() == token)
        else {
            return;
        };
        self.version = version;
        ledger.resolve_write(row);
    }

    /// Answers a report, unless this host does not hold the role or must not answer.
    fn on_report(&mut self, report: &Report) -> Option<Grant> {
        let now = self.node.clock.now();
        let answer = self.ledger.as_mut()?.report(now, report);
        if let Err(rejection) = &answer {
            debug!(self.node.log, "budget: report was not answered";
                "from" => %report.host, "reason" => %rejection);
        }
        answer.ok()
    }

    /// Reports to the holder with the highest token that is known.
    fn report(&mut self, myself: &ActorRef<Message>, leaving: bool) {
        let own = self.ledger.as_ref().map(|ledger| (ledger.token(), None));
        let peer = self
            .node
            .holder(ROLE)
            .map(|(token, peer)| (token, Some(peer)));
        let Some((token, address)) = own.into_iter().chain(peer).max_by_key(|(token, _)| *token)
        else {
            return;
        };
        let now = self.node.clock.now();
        let Some(reporter) = &mut self.reporter else {
            return;
        };
        let report = reporter.report(now, token, leaving, || self.fleet.usage(now));
        match address {
            None => {
                if let Some(grant) = self.on_report(&report) {
                    self.on_granted(&grant);
                }
            }
            Some(address) => {
                let transport = Arc::clone(&self.node.transport);
                let myself = myself.clone();
                tokio::spawn(async move {
                    if let Ok(grant) = send_report(&*transport, address, &report).await {
                        tell(&myself, Message::Granted(grant));
                    }
                });
            }
        }
    }

    fn on_granted(&mut self, grant: &Grant) {
        let now = self.node.clock.now();
        let Some(reporter) = &mut self.reporter else {
            return;
        };
        if let Some(until) = reporter.accept(now, grant)
            && !self.stopping
        {
            self.fleet.grant(now, grant, until);
            self.grants = self.grants.saturating_add(1);
            // Without another host that serves, waiting for a share helps no caller.
            let is_first = !self
                .node
                .peers
                .load()
                .iter()
                .any(|peer| peer.own_state == HostState::Live);
            if is_first || !grant.capacity.is_empty() || self.grants >= GRANTS_IDLE {
                self.node.set_serving();
            }
        }
    }

    fn record_shares(&mut self) {
        for (workspace, usable) in self.fleet.usable(self.node.clock.now()) {
            let shown = self.shown.entry(workspace.to_string()).or_default();
            if (usable.rate - *shown).abs() > EVENT_CHANGE * shown.max(1.0) {
                *shown = usable.rate;
                let kind = Kind::Share {
                    workspace,
                    rate: usable.rate,
                    burst: usable.burst,
                };
                self.node.recorder.record(kind);
            }
        }
    }
}

async fn send_report(
    transport: &dyn Transport,
    address: SocketAddr,
    report: &Report,
) -> transport::Result<Grant> {
    transport::call(transport, address, "/peer/budget", report, TIMEOUT).await
}

fn supplies(snapshot: &Snapshot) -> BTreeMap<azurenotch_wire::id::Workspace, Supply> {
    let document = &snapshot.document;
    document
        .workspaces
        .iter()
        .map(|(workspace, contract)| {
            let supply = Supply::from_contract(workspace, contract, document.fleet.slots);
            (workspace.clone(), supply)
        })
        .collect()
}
