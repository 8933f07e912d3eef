//! Gossip: messages that hosts exchange several times a second.
//!
//! In every round each host sends one datagram to each other host. It shows that the sender runs
//! and how current its replica of the platform's rows is, and contains the sender's part of shared
//! counts: admitted requests, evidence about new versions, and loads of backend servers.

use crate::{
    model::Fact,
    platform::Subject,
    process::{
        message::{self, FreshnessReport, Head, Message},
        replica::Update,
        state::State,
    },
};
use azurenotch_core::{
    process::{
        echo::Echo,
        presence::{self, Status},
        quota::Count,
    },
    version::{cutover::Evidence, placement::Load},
};
use azurenotch_wire::{hash::hash32, id::Host, time::Instant};
use parking_lot::Mutex;
use rand::random_range;
use slog::{debug, info, warn};
use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{net::UdpSocket, select, time::sleep};
use tokio_util::sync::CancellationToken;

/// Time between two rounds in a system of up to [`HOSTS_PER_BASE_ROUND`] hosts.
const BASE_ROUND_INTERVAL: Duration = Duration::from_millis(400);
/// Longest time between two rounds.
///
/// A host whose datagrams are lost three times in a row counts as unreachable.
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(650);
/// Number of other hosts per [`BASE_ROUND_INTERVAL`]; more hosts make the interval longer.
const HOSTS_PER_BASE_ROUND: usize = 16;
/// Largest datagram that is read, in bytes; with 84 hosts a datagram has about 400.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;
/// Maximum number of backend servers whose load one message contains.
const MAX_LOADS_PER_ROUND: usize = 40;
/// Shortest time between two rounds, also when a change is sent at once.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(60);
/// Maximum number of facts per subject in one message; hosts request larger updates over HTTP.
const MAX_FACTS_PER_UPDATE: usize = 4;
/// Subjects whose updates hosts that follow the store send to the others.
const UPDATE_SUBJECTS: [Subject; 2] = [Subject::Orders, Subject::Servers];
/// Age up to which the load of a backend server is sent.
const MAX_LOAD_AGE: Duration = Duration::from_millis(700);
/// Longest age of a host's last confirmation until its own feed counts as cut off from the store.
///
/// It then requests updates from a newer peer.
const MAX_STALE_FEED_AGE: Duration = Duration::from_millis(1_800);
/// The same age as a share of the time within which a configuration has to be in force.
const STALE_FEED_ADOPTION_SHARE: f64 = 0.72;
/// Time between two checks for missing messages.
const REACH_INTERVAL: Duration = Duration::from_millis(100);

/// Sender and receiver of gossip messages.
#[derive(Debug)]
pub struct Gossip {
    state: Arc<State>,
    socket: UdpSocket,
    /// Last echo of each host, returned to it in the next datagram.
    echoes: Mutex<azurenotch_wire::Map<Host, Echo>>,
    /// Share of all hosts that was reachable in the last round.
    reachable_share: Mutex<Option<f64>>,
    /// Whether this host followed the store in the last round.
    follows: AtomicBool,
}

/// A host whose replica of the platform's rows is newer than this one's.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewerPeer {
    /// Address for requests of other hosts.
    pub address: SocketAddr,
}

/// What follows from a message.
#[derive(Debug, Default)]
struct Received {
    /// The sender, if its replica is newer.
    newer_peer: Option<NewerPeer>,
    /// Whether the sender is new or was restarted.
    joined: bool,
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
            echoes: Mutex::default(),
            reachable_share: Mutex::default(),
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
            first = false;
            self.send_round(&targets).await;
            // Jitter keeps hosts that started together from sending together.
            let round = round_interval(targets.len()).mul_f64(random_range(0.9..1.1));
            sleep(MIN_ROUND_INTERVAL).await;
            select! {
                () = sleep(round.saturating_sub(MIN_ROUND_INTERVAL)) => {}
                // A change is sent at once, and again in the following rounds.
                () = self.state.gossip_wakeup.notified() => {}
            }
        }
    }

    /// Tells the quotas which hosts are silent and which counts have arrived, whenever that changes.
    async fn watch_reach(&self) {
        let mut last = None;
        loop {
            sleep(REACH_INTERVAL).await;
            let now = self.state.now();
            let membership = self.state.membership.lock();
            let silence = presence::missing_after(round_interval(membership.presence.count()));
            let reach = membership.presence.reach(now, silence);
            drop(membership);
            if last.as_ref() == Some(&reach) {
                continue;
            }
            for quota in self.state.quotas.lock().values_mut() {
                quota.on_reach(now, &reach);
            }
            last = Some(reach);
        }
    }

    async fn send_round(&self, targets: &[(Option<Host>, SocketAddr)]) {
        let body = match rmp_serde::to_vec(&self.message()) {
            Ok(body) => body,
            Err(error) => {
                warn!(self.state.log(), "gossip: cannot encode message"; "error" => %error);
                return;
            }
        };
        for (host, address) in targets {
            let echo = host.as_ref().and_then(|host| {
                let echoes = self.echoes.lock();
                echoes.get(host).copied()
            });
            let Ok(mut bytes) = rmp_serde::to_vec(&Head { echo }) else {
                continue;
            };
            bytes.extend_from_slice(&body);
            // The next round makes up for a lost datagram.
            if let Err(error) = self.socket.send_to(&bytes, *address).await {
                debug!(self.state.log(), "gossip: cannot send datagram"; "to" => %address,
                    "error" => %error);
            }
        }
    }

    /// Returns the targets of the next round: all known hosts.
    ///
    /// The seeds are added in the first round and while no host is reachable.
    fn targets(&self, first: bool) -> Vec<(Option<Host>, SocketAddr)> {
        let now = self.state.now();
        let membership = self.state.membership.lock();
        let peers = membership.peers.values();
        let mut targets: Vec<_> = peers
            .map(|peer| (Some(peer.host.clone()), peer.address))
            .collect();
        let alone = membership.presence.reachable(now).next().is_none();
        drop(membership);
        if first || alone {
            let port = self.state.own.address.port();
            let setting = self.state.setting();
            let seeds = setting.host.seeds.iter();
            let seeds = seeds.map(|seed| SocketAddr::new(seed.ip(), port));
            let unknown = seeds.filter(|seed| {
                *seed != self.state.own.address && targets.iter().all(|(_, known)| known != seed)
            });
            let unknown: Vec<_> = unknown.map(|seed| (None, seed)).collect();
            targets.extend(unknown);
        }
        targets
    }

    /// Removes unreachable hosts and updates what depends on the number of reachable ones.
    fn sweep(&self) {
        let now = self.state.now();
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
            self.echoes.lock().remove(host);
        }
        for quota in self.state.quotas.lock().values_mut() {
            for host in &removed {
                quota.forget(host);
            }
        }
        self.state.update_warmup_senders(now);
        for (service, fleet) in self.state.fleets.lock().iter_mut() {
            fleet.sweep(now);
            for host in &removed {
                fleet.spill.remove_host(host);
            }
            let under_way = fleet.ended().is_none();
            if let Some(cutover) = &mut fleet.cutover
                && under_way
                && cutover.evaluate()
            {
                warn!(self.state.log(), "move: version judged bad"; "service" => %service,
                    "to" => %cutover.to);
            }
        }
    }

    fn message(&self) -> Message {
        let state = &self.state;
        let now = state.now();
        let follows = state.follows_store(now);
        self.follows.store(follows, Ordering::Relaxed);
        let replica = state.replica.lock();
        let (orders, servers) = (
            replica.freshness(Subject::Orders),
            replica.freshness(Subject::Servers),
        );
        let updates = follows.then(|| {
            UPDATE_SUBJECTS.map(|subject| replica.recent_update(now, subject, MAX_FACTS_PER_UPDATE))
        });
        let outcomes = replica.outcomes();
        drop(replica);
        let mut usage = Vec::new();
        for (workspace, quota) in state.quotas.lock().iter_mut() {
            quota.on_sent(now);
            if quota.is_active(now) {
                usage.push((hash32(workspace.as_str()), quota.count()));
            }
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
            reaches_store: state.reaches_store(),
            sent: Echo::new(state.own.incarnation, now),
            orders: FreshnessReport::new(now, orders),
            servers: FreshnessReport::new(now, servers),
            updates,
            outcomes,
            usage,
            rates,
            evidence,
            loads,
        }
    }

    async fn receive(&self, newer_peers: tokio::sync::watch::Sender<Option<NewerPeer>>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    debug!(self.state.log(), "gossip: cannot receive datagram"; "error" => %error);
                    sleep(BASE_ROUND_INTERVAL).await;
                    continue;
                }
            };
            match message::decode(&buffer[..length]) {
                Ok((head, message)) => {
                    let target = (Some(message.peer.host.clone()), message.peer.address);
                    let received = self.receive_message(from.ip(), head, message);
                    if let Some(newer_peer) = received.newer_peer {
                        newer_peers.send_replace(Some(newer_peer));
                    }
                    if received.joined {
                        // A host that has just started learns from the answer what it missed.
                        self.send_round(&[target]).await;
                    }
                }
                Err(error) => {
                    warn!(self.state.log(), "gossip: cannot decode datagram"; "from" => %from,
                        "error" => %error);
                }
            }
        }
    }

    fn receive_message(&self, from: IpAddr, head: Head, message: Message) -> Received {
        let state = &self.state;
        let now = state.now();
        let host = message.peer.host.clone();
        // Drops own messages, and those that name another address than they come from. The name
        // identifies a host, since an address can be given to another machine.
        if host == state.own.host || message.peer.address.ip() != from {
            return Received::default();
        }
        let incarnation = message.peer.incarnation;
        let mut membership = state.membership.lock();
        let status = Status {
            incarnation,
            serving: message.serving,
            leaving: message.leaving,
            reaches_store: message.reaches_store,
        };
        // Hosts that do not call the store learn of its faults from those that do.
        let lost_store = membership.presence.reaches_store(&host) && !status.reaches_store;
        let joined = membership.presence.on_status(now, &host, status);
        if lost_store {
            state.slew.lock().suspend(now);
        }
        if joined {
            state.slew.lock().suspend(now);
            info!(state.log(), "hosts: peer joined or restarted"; "peer" => %host,
                "incarnation" => incarnation);
        }
        if let Some(sent) = head
            .echo
            .and_then(|echo| echo.sent_at(now, state.own.incarnation))
        {
            membership.presence.on_confirmation(&host, sent);
        }
        let address = message.peer.address;
        let is_near = message.peer.region == state.own.region;
        membership.peers.insert(host.clone(), message.peer);
        drop(membership);
        self.echoes.lock().insert(host.clone(), message.sent);
        self.receive_shared_counts(now, &host, incarnation, &message.usage, &message.evidence);
        if is_near {
            self.receive_rates(now, &host, &message.rates);
        }
        self.receive_loads(now, &message.loads);
        self.receive_updates(message.updates);
        self.receive_outcomes(message.outcomes);
        let newer = self.confirm(
            now,
            head.echo,
            &[
                (Subject::Orders, message.orders),
                (Subject::Servers, message.servers),
            ],
        );
        Received {
            newer_peer: newer.then_some(NewerPeer { address }),
            joined,
        }
    }

    fn receive_shared_counts(
        &self,
        now: Instant,
        host: &Host,
        incarnation: u64,
        usage: &[(u32, Count)],
        evidence: &[(u32, Evidence)],
    ) {
        let workspaces = self.state.workspaces_by_hash.lock();
        let mut quotas = self.state.quotas.lock();
        for (hash, count) in usage {
            let workspace = workspaces.get(hash);
            if let Some(quota) = workspace.and_then(|it| quotas.get_mut(it)) {
                quota.on_report(now, host, incarnation, *count);
            }
        }
        drop(quotas);
        drop(workspaces);
        if evidence.is_empty() {
            return;
        }
        for (service, fleet) in self.state.fleets.lock().iter_mut() {
            let hash = hash32(service.as_str());
            let found = evidence.iter().find(|(it, _)| *it == hash);
            if let Some(((_, evidence), cutover)) = found.zip(fleet.cutover.as_mut()) {
                cutover.receive_evidence(now, host, evidence);
            }
        }
    }

    fn receive_rates(&self, now: Instant, host: &Host, rates: &[(u32, f32)]) {
        for (service, fleet) in self.state.fleets.lock().iter_mut() {
            let hash = hash32(service.as_str());
            if let Some((_, rate)) = rates.iter().find(|(it, _)| *it == hash) {
                fleet.spill.receive_rate(now, host, f64::from(*rate));
            }
        }
    }

    fn receive_updates(&self, updates: Option<[Update; 2]>) {
        let mut changes = Vec::new();
        let mut replica = self.state.replica.lock();
        for (subject, update) in UPDATE_SUBJECTS
            .into_iter()
            .zip(updates.into_iter().flatten())
        {
            changes.extend(
                replica
                    .apply_peer_update(subject, update)
                    .into_iter()
                    .flatten(),
            );
        }
        drop(replica);
        self.state.apply(changes, "peer");
    }

    /// Applies states of version moves, so that hosts that do not write them need not read them.
    fn receive_outcomes(&self, outcomes: Vec<Fact>) {
        if outcomes.is_empty() {
            return;
        }
        let changes = self.state.replica.lock().apply(outcomes);
        self.state.apply(changes, "peer");
    }

    fn receive_loads(&self, now: Instant, loads: &[(u32, u16, u16, u16)]) {
        let mut fleets = self.state.fleets.lock();
        for (server, running, waiting, slots) in loads {
            let load = Load {
                running: u32::from(*running),
                waiting: u32::from(*waiting),
                slots: u32::from(*slots),
            };
            for fleet in fleets.values_mut() {
                fleet.placement.receive_load(now, *server, load);
            }
        }
    }

    /// Confirms the subjects of which this host and the sender have the same version.
    ///
    /// The sender's confirmation counts from the time that the echo proves. Returns whether the
    /// sender has a newer version that this host's own feed is not expected to deliver.
    fn confirm(
        &self,
        now: Instant,
        echo: Option<Echo>,
        reports: &[(Subject, FreshnessReport)],
    ) -> bool {
        let incarnation = self.state.own.incarnation;
        let follows = self.follows.load(Ordering::Relaxed);
        let adoption = self.state.setting().bounds.adoption;
        let stale_age = adoption
            .mul_f64(STALE_FEED_ADOPTION_SHARE)
            .min(MAX_STALE_FEED_AGE);
        let mut newer = false;
        let mut replica = self.state.replica.lock();
        for (subject, theirs) in reports {
            let own = replica.freshness(*subject);
            if theirs.version > own.version {
                // This host's own feed delivers the change sooner, unless it has lost the store.
                let stale = own.confirmed.is_none_or(|at| now.since(at) > stale_age);
                newer |= stale || !follows;
            } else if theirs.version == own.version
                && let Some((echo, age_ms)) = echo.zip(theirs.age_ms)
                && let Some(at) =
                    echo.confirmed_at(now, incarnation, Duration::from_millis(age_ms.into()))
            {
                replica.confirm(*subject, theirs.version, at);
            }
        }
        newer
    }
}

/// Returns the usual time between two rounds in a system of `hosts` hosts.
fn round_interval(hosts: usize) -> Duration {
    let factor = u32::try_from(hosts / HOSTS_PER_BASE_ROUND).unwrap_or(1);
    (BASE_ROUND_INTERVAL * factor.max(1)).min(MAX_ROUND_INTERVAL)
}
