//! Gossip: messages that hosts exchange several times a second.
//!
//! In every round each host sends one datagram to each other host. It shows that the sender runs
//! and how current its replica of the platform's rows is, and contains the sender's part of shared
//! counts: admitted requests, evidence about new versions, and loads of backend servers.

mod contact;
mod inbound;
mod outbound;
mod updates;
mod usage;

use crate::{
    platform::Subject,
    process::{
        message::{FreshnessReport, Message, Tail, pack_usage},
        state::State,
    },
};
use azurenotch_core::process::{
    echo::Echo,
    election::{Path, Role},
    presence::{self, Reach},
};
use azurenotch_wire::{hash::hash32, id::Host};
use contact::Contact;
use parking_lot::Mutex;
use rand::random_range;
use slog::info;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    net::UdpSocket,
    select,
    time::{Instant, sleep, sleep_until},
};
use tokio_util::sync::CancellationToken;

/// Time between two rounds in a system of up to [`HOSTS_PER_BASE_ROUND`] hosts.
const BASE_ROUND_INTERVAL: Duration = Duration::from_millis(400);
/// Longest time between two rounds.
///
/// A host whose datagrams are lost three times in a row counts as unreachable.
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(650);
/// Number of other hosts per [`BASE_ROUND_INTERVAL`]; more hosts make the interval longer.
const HOSTS_PER_BASE_ROUND: usize = 16;
/// Maximum number of backend servers whose load one message contains.
const MAX_LOADS_PER_ROUND: usize = 40;
/// Shortest time between two rounds, also when a change is sent at once.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(60);
/// Maximum size of the rows of one subject in one message, in bytes; more rows take more messages.
const MAX_UPDATE_BYTES: usize = 1_000;
/// Subjects whose updates hosts that follow the store send to the others.
const UPDATE_SUBJECTS: [Subject; 2] = [Subject::Orders, Subject::Servers];
/// Age up to which the load of a backend server is sent.
const MAX_LOAD_AGE: Duration = Duration::from_millis(700);
/// Time for which a host tells the others that a backend server is leaving.
const MAX_LEAVING_AGE: Duration = Duration::from_secs(4);
/// Maximum number of leaving servers that one message names.
const MAX_LEAVING_PER_ROUND: usize = 40;
/// Maximum number of rows that the store has lost in one message.
const MAX_HELD_PER_ROUND: usize = 16;
/// Time between two checks for missing messages.
const REACH_INTERVAL: Duration = Duration::from_millis(100);

/// Sender and receiver of gossip messages.
#[derive(Debug)]
pub struct Gossip {
    state: Arc<State>,
    socket: UdpSocket,
    /// What each host said last.
    contacts: Mutex<azurenotch_wire::Map<Host, Contact>>,
    /// Share of all hosts that was reachable in the last round.
    reachable_share: Mutex<Option<f64>>,
    /// Number of rounds so far.
    round: AtomicUsize,
    /// Whether this host followed the store in the last round.
    follows: AtomicBool,
}

/// A host whose replica of the platform's rows is newer than this one's.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewerPeer {
    /// Address for requests of other hosts.
    pub address: SocketAddr,
    /// Versions of its rows, by subject.
    pub versions: [(Subject, u64); 2],
    /// Version of its configuration.
    pub configuration: u64,
}

impl Gossip {
    /// Opens the UDP port for messages of other hosts.
    ///
    /// # Errors
    ///
    /// Fails if the port cannot be opened.
    pub async fn bind(state: Arc<State>) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(state.own.address).await?;
        Ok(Self {
            state,
            socket,
            contacts: Mutex::default(),
            reachable_share: Mutex::default(),
            round: AtomicUsize::new(0),
            follows: AtomicBool::new(false),
        })
    }

    /// Exchanges messages until `stop` is cancelled.
    ///
    /// Sends each host whose replica is newer than this host's to `newer_peers`.
    pub async fn run(
        self,
        newer_peers: tokio::sync::watch::Sender<Option<NewerPeer>>,
        stop: CancellationToken,
    ) {
        select! {
            () = stop.cancelled() => {}
            () = self.send_rounds() => {}
            () = self.watch_reach() => {}
            () = self.receive(newer_peers) => {}
        }
    }

    async fn send_rounds(&self) {
        let mut first = true;
        loop {
            self.sweep();
            let targets = self.targets(first);
            self.send_round(&targets, first, true).await;
            first = false;
            // Jitter keeps hosts that started together from sending together.
            let round = round_interval(targets.len()).mul_f64(random_range(0.9..1.1));
            self.send_changes_until(Instant::now() + round).await;
        }
    }

    /// Sends changes of the rows at once, until a round is due.
    async fn send_changes_until(&self, due: Instant) {
        loop {
            sleep(MIN_ROUND_INTERVAL).await;
            select! {
                () = sleep_until(due) => return,
                // What is sent at once is sent again in the following rounds.
                () = self.state.gossip_wakeup.notified() => return,
                () = self.state.update_wakeup.notified() => {
                    let receivers = self.receivers();
                    self.send_round(&receivers, false, false).await;
                }
            }
        }
    }

    /// Tells the quotas which hosts are silent and which counts have arrived, whenever that changes.
    async fn watch_reach(&self) {
        let mut last = None;
        loop {
            sleep(REACH_INTERVAL).await;
            self.update_reach(&mut last);
        }
    }

    /// Tells the quotas about the contact with the other hosts, unless it is the same as `last`.
    fn update_reach(&self, last: &mut Option<Reach>) {
        let now = self.state.now();
        let membership = self.state.membership.lock();
        let silence = presence::missing_after(round_interval(membership.presence.count()));
        let reach = membership.presence.reach(now, silence);
        let incarnation = self.state.own.incarnation;
        let has_common_start = membership.presence.has_common_start(now, incarnation);
        drop(membership);
        if has_common_start {
            for quota in self.state.quotas.lock().values_mut() {
                quota.on_common_start(now);
            }
        }
        if last.as_ref() == Some(&reach) {
            return;
        }
        for quota in self.state.quotas.lock().values_mut() {
            quota.on_reach(now, &reach);
        }
        *last = Some(reach);
    }

    /// Removes unreachable hosts and updates what depends on the number of reachable ones.
    fn sweep(&self) {
        let now = self.state.now();
        self.state.log_restore();
        let mut membership = self.state.membership.lock();
        let removed = membership.presence.remove_expired(now);
        for host in &removed {
            membership.peers.remove(host);
        }
        let share = membership.presence.reachable_share(now);
        drop(membership);
        let fell = self
            .reachable_share
            .lock()
            .replace(share)
            .is_some_and(|former| former > share);
        if fell {
            self.state.slew.lock().suspend(now);
        }
        for host in &removed {
            info!(self.state.log(), "hosts: unreachable peer removed"; "peer" => %host);
            self.contacts.lock().remove(host);
        }
        for quota in self.state.quotas.lock().values_mut() {
            for host in &removed {
                quota.forget(host);
            }
        }
        self.sweep_usage(now, &removed);
        self.state.update_warmup_senders(now);
        self.state.update_limit_senders(now);
        self.state.sweep_suspects(now);
        for fleet in self.state.fleets.lock().values_mut() {
            fleet.sweep(now);
            for host in &removed {
                fleet.spill.remove_host(host);
            }
        }
    }

    fn tail(&self) -> Tail {
        let now = self.state.now();
        let fleets = self.state.fleets.lock();
        let leaving = fleets
            .values()
            .flat_map(|fleet| fleet.placement.leaving(now, MAX_LEAVING_AGE));
        Tail {
            configuration: self.state.configuration_version(),
            leaving: leaving.take(MAX_LEAVING_PER_ROUND).collect(),
        }
    }

    fn message(&self) -> Message {
        let state = &self.state;
        let now = state.now();
        let follows = !matches!(state.store_role(now), Role::Deputy(_));
        self.follows.store(follows, Ordering::Relaxed);
        let replica = state.replica.lock();
        let (orders, servers) = (
            replica.freshness(Subject::Orders),
            replica.freshness(Subject::Servers),
        );
        let round = self.round.fetch_add(1, Ordering::Relaxed);
        let shared = replica.shared(round, MAX_HELD_PER_ROUND);
        drop(replica);
        let joined = state.membership.lock().presence.joined();
        let mut reports = Vec::new();
        for (workspace, quota) in state.quotas.lock().iter_mut() {
            quota.on_sent(now);
            let report = quota.report(now, joined);
            reports.extend(report.map(|report| (hash32(workspace.as_str()), report)));
        }
        let mut evidence = Vec::new();
        let mut loads = Vec::new();
        let mut rates = Vec::new();
        for (service, fleet) in state.fleets.lock().iter() {
            if let Some(cutover) = &fleet.cutover
                && fleet.ended().is_none()
            {
                evidence.push((hash32(service.as_str()), cutover.evidence(now)));
            }
            rates.push((hash32(service.as_str()), fleet.spill.rate(now) as f32));
            let loads_known = fleet.placement.reported_loads(now, MAX_LOAD_AGE);
            loads.extend(loads_known.map(|(server, load)| {
                let small = |count: u32| u16::try_from(count).unwrap_or(u16::MAX);
                let hash = hash32(server.as_str());
                (
                    hash,
                    small(load.running),
                    small(load.waiting),
                    small(load.slots),
                )
            }));
        }
        loads.truncate(MAX_LOADS_PER_ROUND);
        Message {
            peer: state.own.clone(),
            serving: state.is_ready(),
            leaving: state.is_leaving(),
            reaches_store: state.store_path(now) != Path::Lost,
            sent: Echo::new(state.own.incarnation, now),
            orders: FreshnessReport::new(now, orders),
            servers: FreshnessReport::new(now, servers),
            updates: None,
            shared,
            usage: pack_usage(reports),
            rates,
            evidence,
            loads,
        }
    }
}

/// Returns the usual time between two rounds in a system of `hosts` hosts.
fn round_interval(hosts: usize) -> Duration {
    let factor = u32::try_from(hosts / HOSTS_PER_BASE_ROUND).unwrap_or(1);
    (BASE_ROUND_INTERVAL * factor.max(1)).min(MAX_ROUND_INTERVAL)
}

#[cfg(test)]
mod tests;
