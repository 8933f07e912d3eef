//! Actor that reports demand, applies grants and, as role holder, allocates the budgets.

mod stop;

use crate::process::{
    admission::{HeldSlot, Shares},
    node::Node,
    role, send,
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
/// Table key of the stored allocation.
const ALLOCATION_KEY: &str = "budget/allocation";
/// Interval between reports to the role holder.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of one report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(900);
/// Number of grants after which a host serves even without a share, as no workspace is active.
const GRANTS_UNTIL_SERVING: u32 = 3;
/// Maximum time that a configured host waits for its share before it serves, for example while
/// the platform is down. Open routes and look-ups need no share.
const MAX_SHARE_WAIT: Duration = Duration::from_secs(4);
/// Relative change of a share's rate above which an event is recorded.
const MIN_EVENT_CHANGE_RATIO: f64 = 0.2;

/// Reports demand, applies grants and allocates the budgets.
#[derive(Debug)]
pub struct Budget;

/// Message to the actor.
#[derive(Debug)]
pub enum Message {
    /// Starts a periodic round.
    Round,
    /// The host's slot changed.
    HeldSlot(Option<HeldSlot>),
    /// A configuration came into force.
    Adopted(Arc<Snapshot>),
    /// The lease of the role was renewed or lost.
    Role(role::Change),
    /// The stored allocation was read: lease token, allocation, row version.
    AllocationRead(u64, Allocation, u64),
    /// A write of the allocation ended: lease token, result, new row version.
    Written(u64, Write, Option<u64>),
    /// The stored allocation was read again after an ambiguous write.
    Reread(u64, Allocation, u64),
    /// A host reported its demand; the reply is `None` if the report is rejected.
    Report(Box<Report>, RpcReplyPort<Option<Grant>>),
    /// The role holder answered this host's report.
    Granted(Grant),
    /// Release all elastic shares before a planned stop.
    Stop(RpcReplyPort<()>),
}

/// State of the actor.
#[derive(Debug)]
pub struct State {
    node: Arc<Node>,
    shares: Arc<Shares>,
    timing: Timing,
    held_slot: Option<HeldSlot>,
    reporter: Option<Reporter>,
    snapshot: Option<Arc<Snapshot>>,
    ledger: Option<Ledger>,
    /// Token and renewal time of the lease while the stored allocation is being read.
    acquired: Option<(u64, Instant)>,
    /// Version of the allocation's row; zero if the row does not exist.
    version: u64,
    writing: bool,
    stopping: bool,
    /// Reply port of a planned stop that waits for the allocation to be written.
    stop_reply: Option<RpcReplyPort<()>>,
    /// Grants accepted so far.
    grants: u32,
    /// When the first configuration came into force.
    configured: Option<Instant>,
    /// Rate of each workspace in its last recorded event.
    recorded_rates: BTreeMap<String, f64>,
}

impl Actor for Budget {
    type Msg = Message;
    type State = State;
    type Arguments = (Arc<Node>, Arc<Shares>);

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        (node, shares): Self::Arguments,
    ) -> Result<State, ActorProcessingErr> {
        drop(myself.send_interval(REPORT_INTERVAL, || Message::Round));
        Ok(State {
            node,
            shares,
            timing: Timing::default(),
            held_slot: None,
            reporter: None,
            snapshot: None,
            ledger: None,
            acquired: None,
            version: 0,
            writing: false,
            stopping: false,
            stop_reply: None,
            grants: 0,
            configured: None,
            recorded_rates: BTreeMap::new(),
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
            Message::HeldSlot(held_slot) => state.on_held_slot(held_slot),
            Message::Adopted(snapshot) => state.on_adopted(snapshot),
            Message::Role(change) => state.on_role(&myself, change),
            Message::AllocationRead(token, recorded, version) => {
                state.on_allocation_read(token, recorded, version);
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
        state.reply_to_stop();
        Ok(())
    }
}

impl State {
    fn round(&mut self, myself: &ActorRef<Message>) {
        self.allocate(myself);
        let now = self.node.clock.now();
        if self
            .configured
            .is_some_and(|since| now.since(since) >= MAX_SHARE_WAIT)
        {
            self.node.set_serving();
        }
        if !self.stopping && self.held_slot.is_some() {
            self.report(myself, false);
        }
        self.record_shares();
    }

    fn on_held_slot(&mut self, held_slot: Option<HeldSlot>) {
        let now = self.node.clock.now();
        let is_same_slot = self.held_slot.as_ref().map(|held_slot| held_slot.slot)
            == held_slot.as_ref().map(|held_slot| held_slot.slot);
        if !is_same_slot {
            // The elastic shares belong to the former slot and may be granted to its next holder.
            self.shares.release_elastic(now);
            if let Some(held_slot) = &held_slot {
                self.set_reporter_slot(held_slot);
            }
        }
        self.held_slot.clone_from(&held_slot);
        if let Some(snapshot) = &self.snapshot {
            self.shares.set_held_slot(now, held_slot, snapshot);
        }
    }

    fn set_reporter_slot(&mut self, held_slot: &HeldSlot) {
        if let Some(reporter) = &mut self.reporter {
            reporter.move_to_slot(held_slot.slot);
            return;
        }
        let (host, region) = (self.node.host().clone(), held_slot.region.clone());
        let incarnation = self.node.incarnation;
        self.reporter = Some(Reporter::new(
            host,
            incarnation,
            held_slot.slot,
            region,
            self.timing,
        ));
    }

    fn on_adopted(&mut self, snapshot: Arc<Snapshot>) {
        let now = self.node.clock.now();
        if let Some(ledger) = &mut self.ledger {
            ledger.set_supplies(now, supplies(&snapshot));
        }
        self.shares
            .set_held_slot(now, self.held_slot.clone(), &snapshot);
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
                    self.read(myself, token, Message::AllocationRead);
                }
            }
        }
    }

    /// Reads the stored allocation in the background and sends it to the actor as `message`.
    fn read(
        &self,
        myself: &ActorRef<Message>,
        token: u64,
        message: fn(u64, Allocation, u64) -> Message,
    ) {
        let table = Arc::clone(&self.node.table);
        let myself = myself.clone();
        tokio::spawn(async move {
            let Ok(row) = table.get(ALLOCATION_KEY).await else {
                return;
            };
            let (value, version) = row.map_or((Vec::new(), 0), |row| (row.value, row.version));
            let allocation = if value.is_empty() {
                Ok(Allocation::default())
            } else {
                rmp_serde::from_slice(&value)
            };
            if let Ok(allocation) = allocation {
                send(&myself, message(token, allocation, version));
            }
        });
    }

    fn on_allocation_read(&mut self, token: u64, recorded: Allocation, version: u64) {
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
        self.writing = false;
    }

    /// Computes and writes a new allocation if one is due and this host holds the role.
    fn allocate(&mut self, myself: &ActorRef<Message>) {
        let now = self.node.clock.now();
        let Some(ledger) = &mut self.ledger else {
            return;
        };
        let token = ledger.token();
        if ledger.must_reread() {
            self.read(myself, token, Message::Reread);
            return;
        }
        if self.writing {
            return;
        }
        if let Some(allocation) = ledger.tick(now) {
            self.writing = true;
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
                send(&myself, Message::Written(token, Write::Unavailable, None));
                return;
            };
            let fence = Fence {
                key: role::lease_key(ROLE),
                token,
            };
            let (write, version) = match table
                .put(ALLOCATION_KEY, &value, expect, Some(&fence))
                .await
            {
                Ok(version) => (Write::Done, Some(version)),
                Err(TableError::Conflict { row, .. }) => {
                    (Write::Conflict, row.map(|row| row.version))
                }
                Err(TableError::Fenced { .. }) => (Write::Fenced, None),
                Err(TableError::Unavailable { .. }) => (Write::Unavailable, None),
                Err(_) => (Write::Ambiguous, None),
            };
            send(&myself, Message::Written(token, write, version));
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
        self.writing = false;
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

    /// Answers a report; `None` if this host does not hold the role or rejects the report.
    fn on_report(&mut self, report: &Report) -> Option<Grant> {
        let now = self.node.clock.now();
        let answer = self.ledger.as_mut()?.report(now, report);
        if let Err(rejection) = &answer {
            debug!(self.node.log, "budget: report rejected";
                "from" => %report.host, "reason" => %rejection);
        }
        answer.ok()
    }

    /// Sends a report to the known role holder with the highest token.
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
        let report = reporter.report(now, token, leaving, || self.shares.usage(now));
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
                        send(&myself, Message::Granted(grant));
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
            self.shares.grant(now, grant, until);
            self.grants = self.grants.saturating_add(1);
            // If no other host is live, a delay would only leave callers without a host.
            let is_only_live = !self
                .node
                .peers
                .load()
                .iter()
                .any(|peer| peer.own_state == HostState::Live);
            if is_only_live || !grant.capacity.is_empty() || self.grants >= GRANTS_UNTIL_SERVING {
                self.node.set_serving();
            }
        }
    }

    fn record_shares(&mut self) {
        for (workspace, usable) in self.shares.usable(self.node.clock.now()) {
            let recorded_rate = self
                .recorded_rates
                .entry(workspace.to_string())
                .or_default();
            if (usable.rate - *recorded_rate).abs()
                > MIN_EVENT_CHANGE_RATIO * recorded_rate.max(1.0)
            {
                *recorded_rate = usable.rate;
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
    transport::call(transport, address, "/peer/budget", report, REPORT_TIMEOUT).await
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
