//! What hosts tell one another several times a second.
//!
//! Each host sends one datagram to each other host in every round: that it is there, how current
//! its knowledge of the platform is, and its part of what all hosts share: admitted requests,
//! evidence about new versions, and loads of backend servers.

use crate::{
    platform::Subject,
    process::{
        message::{self, Head, Knowledge, Message},
        state::State,
        world::Bulletin,
    },
};
use azurenotch_core::{
    process::{echo::Echo, presence::Status, quota::Count},
    version::{cutover::Evidence, placement::Load},
};
use azurenotch_wire::{hash::hash32, id::Host, time::Instant};
use parking_lot::Mutex;
use rand::random_range;
use slog::{debug, info, warn};
use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use tokio::{net::UdpSocket, select, time::sleep};
use tokio_util::sync::CancellationToken;

/// Time between two rounds of a small system.
const ROUND: Duration = Duration::from_millis(400);
/// Longest time between two rounds; three lost datagrams in a row make a host silent.
const LAST_ROUND: Duration = Duration::from_millis(650);
/// Hosts up to which rounds keep their shortest time.
const SMALL: usize = 16;
/// Largest datagram that is read, in bytes; one of 84 hosts has about 400.
const DATAGRAM: usize = 8 * 1024;
/// Loads of backend servers told in one round.
const LOADS: usize = 40;
/// Shortest time between two rounds.
const SHORTEST: Duration = Duration::from_millis(60);
/// Facts told about one subject in one round; larger news is asked for.
const NEWS: usize = 4;
/// Subjects of which hosts that follow the store tell the others.
const TOLD: [Subject; 2] = [Subject::Orders, Subject::Servers];
/// Time for which the load of a backend server is worth telling.
const LOAD_AGE: Duration = Duration::from_millis(700);

/// Exchange of messages between hosts.
#[derive(Debug)]
pub struct Gossip {
    state: Arc<State>,
    socket: UdpSocket,
    echoes: Mutex<azurenotch_wire::Map<Host, Echo>>,
    /// Share of all hosts that was heard in the last round.
    share: Mutex<Option<f64>>,
}

/// A host that knows more than this one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Better {
    /// Where it is asked.
    pub address: SocketAddr,
}

impl Gossip {
    /// Opens the port for other hosts.
    ///
    /// # Errors
    ///
    /// Fails if the port cannot be used.
    pub async fn bind(state: Arc<State>) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(state.own.address).await?;
        Ok(Self {
            state,
            socket,
            echoes: Mutex::default(),
            share: Mutex::default(),
        })
    }

    /// Exchanges messages until `stop` is cancelled; `better` hears of hosts that know more.
    pub async fn run(
        self,
        better: tokio::sync::watch::Sender<Option<Better>>,
        stop: CancellationToken,
    ) {
        select! {
            () = stop.cancelled() => {}
            () = self.send_rounds() => {}
            () = self.receive(better) => {}
        }
    }

    async fn send_rounds(&self) {
        let mut first = true;
        loop {
            self.housekeep();
            let targets = self.targets(first);
            first = false;
            self.send_round(&targets).await;
            let round = ROUND * u32::try_from(targets.len() / SMALL).unwrap_or(1).max(1);
            // Hosts that started together do not send together.
            let round = round.min(LAST_ROUND).mul_f64(random_range(0.9..1.1));
            sleep(SHORTEST).await;
            select! {
                () = sleep(round.saturating_sub(SHORTEST)) => {}
                // What has just changed is told at once, and in the usual rounds after it.
                () = self.state.news.notified() => {}
            }
        }
    }

    async fn send_round(&self, targets: &[(Option<Host>, SocketAddr)]) {
        let body = match rmp_serde::to_vec(&self.message()) {
            Ok(body) => body,
            Err(error) => {
                warn!(self.state.log(), "gossip: cannot encode"; "error" => %error);
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
            // A datagram that is lost is made up for by the next round.
            if let Err(error) = self.socket.send_to(&bytes, *address).await {
                debug!(self.state.log(), "gossip: cannot send"; "to" => %address,
                    "error" => %error);
            }
        }
    }

    /// Returns where the next round goes: known hosts, or the seeds if none is heard.
    fn targets(&self, first: bool) -> Vec<(Option<Host>, SocketAddr)> {
        let now = self.state.now();
        let company = self.state.company.lock();
        let peers = company.peers.values();
        let mut targets: Vec<_> = peers
            .map(|peer| (Some(peer.host.clone()), peer.address))
            .collect();
        let lonely = company.presence.reachable(now).next().is_none();
        drop(company);
        if first || lonely {
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

    /// Drops hosts that are gone and follows what changed with the others.
    fn housekeep(&self) {
        let now = self.state.now();
        let mut company = self.state.company.lock();
        let gone = company.presence.remove_expired(now);
        for host in &gone {
            company.peers.remove(host);
        }
        let share = company.presence.reachable_share(now);
        drop(company);
        let fell = self
            .share
            .lock()
            .replace(share)
            .is_some_and(|former| former > share);
        if fell {
            self.state.slew.lock().suspend(now);
        }
        for host in &gone {
            info!(self.state.log(), "hosts: gone"; "peer" => %host);
            self.echoes.lock().remove(host);
        }
        for quota in self.state.quotas.lock().values_mut() {
            quota.set_share(now, share);
            for host in &gone {
                quota.forget(host);
            }
        }
        self.state.sponsor(now);
        for (service, fleet) in self.state.fleets.lock().iter_mut() {
            fleet.sweep(now);
            for host in &gone {
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
        let follows = state.follows(now);
        let world = state.world.lock();
        let (orders, servers) = (world.view(Subject::Orders), world.view(Subject::Servers));
        let news = follows.then(|| TOLD.map(|subject| world.bulletin(now, subject, NEWS)));
        drop(world);
        let usage = state.quotas.lock();
        let usage = usage
            .iter()
            .filter(|(_, quota)| quota.is_active(now))
            .map(|(workspace, quota)| (hash32(workspace.as_str()), quota.count()))
            .collect();
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
            let told = fleet.placement.reported_loads(now, LOAD_AGE);
            loads.extend(told.map(|(server, load)| {
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
        loads.truncate(LOADS);
        Message {
            peer: state.own.clone(),
            serving: state.is_ready(),
            leaving: state.is_leaving(),
            reaches_store: state.reaches_store(),
            sent: Echo::new(state.own.incarnation, now),
            orders: Knowledge::new(now, orders),
            servers: Knowledge::new(now, servers),
            news,
            usage,
            rates,
            evidence,
            loads,
        }
    }

    async fn receive(&self, better: tokio::sync::watch::Sender<Option<Better>>) {
        let mut buffer = vec![0; DATAGRAM];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    debug!(self.state.log(), "gossip: cannot receive"; "error" => %error);
                    sleep(ROUND).await;
                    continue;
                }
            };
            match message::decode(&buffer[..length]) {
                Ok((head, message)) => {
                    if let Some(found) = self.take(from.ip(), head, message) {
                        better.send_replace(Some(found));
                    }
                }
                Err(error) => {
                    warn!(self.state.log(), "gossip: unreadable"; "from" => %from,
                        "error" => %error);
                }
            }
        }
    }

    /// Takes in a message; returns its sender if it knows more of the platform.
    fn take(&self, from: IpAddr, head: Head, message: Message) -> Option<Better> {
        let state = &self.state;
        let now = state.now();
        let host = message.peer.host.clone();
        // A machine that was given another host's address is told by its name.
        if host == state.own.host || message.peer.address.ip() != from {
            return None;
        }
        let incarnation = message.peer.incarnation;
        let mut company = state.company.lock();
        let status = Status {
            incarnation,
            serving: message.serving,
            leaving: message.leaving,
            reaches_store: message.reaches_store,
        };
        if company.presence.on_status(now, &host, status) {
            state.slew.lock().suspend(now);
            info!(state.log(), "hosts: heard"; "peer" => %host, "incarnation" => incarnation);
        }
        let address = message.peer.address;
        let is_near = message.peer.region == state.own.region;
        company.peers.insert(host.clone(), message.peer);
        drop(company);
        self.echoes.lock().insert(host.clone(), message.sent);
        self.take_shared(now, &host, incarnation, &message.usage, &message.evidence);
        if is_near {
            self.take_rates(now, &host, &message.rates);
        }
        self.take_loads(now, &message.loads);
        self.take_news(message.news);
        self.confirm(
            now,
            head.echo,
            &[
                (Subject::Orders, message.orders),
                (Subject::Servers, message.servers),
            ],
        )
        .then_some(Better { address })
    }

    fn take_shared(
        &self,
        now: Instant,
        host: &Host,
        incarnation: u64,
        usage: &[(u32, Count)],
        evidence: &[(u32, Evidence)],
    ) {
        let mut quotas = self.state.quotas.lock();
        for (workspace, quota) in quotas.iter_mut() {
            let hash = hash32(workspace.as_str());
            if let Some((_, count)) = usage.iter().find(|(it, _)| *it == hash) {
                quota.on_report(now, host, incarnation, *count);
            }
        }
        drop(quotas);
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

    fn take_rates(&self, now: Instant, host: &Host, rates: &[(u32, f32)]) {
        for (service, fleet) in self.state.fleets.lock().iter_mut() {
            let hash = hash32(service.as_str());
            if let Some((_, rate)) = rates.iter().find(|(it, _)| *it == hash) {
                fleet.spill.receive_rate(now, host, f64::from(*rate));
            }
        }
    }

    fn take_news(&self, news: Option<[Bulletin; 2]>) {
        let mut changes = Vec::new();
        let mut world = self.state.world.lock();
        for (subject, news) in TOLD.into_iter().zip(news.into_iter().flatten()) {
            changes.extend(world.hear(subject, news).into_iter().flatten());
        }
        drop(world);
        self.state.apply(changes, "peer");
    }

    fn take_loads(&self, now: Instant, loads: &[(u32, u16, u16, u16)]) {
        if loads.is_empty() {
            return;
        }
        for fleet in self.state.fleets.lock().values_mut() {
            fleet.placement.receive_loads(now, |server| {
                let hash = hash32(server.as_str());
                let load = loads.iter().find(|(it, ..)| *it == hash);
                load.map(|(_, running, waiting, slots)| Load {
                    running: u32::from(*running),
                    waiting: u32::from(*waiting),
                    slots: u32::from(*slots),
                })
            });
        }
    }

    /// Takes over how current the sender's knowledge is, as far as this host knows as much.
    ///
    /// Returns whether the sender knows more than this host is told by the platform.
    fn confirm(&self, now: Instant, echo: Option<Echo>, known: &[(Subject, Knowledge)]) -> bool {
        let incarnation = self.state.own.incarnation;
        let follows = self.state.follows(now);
        let mut more = false;
        let mut world = self.state.world.lock();
        for (subject, theirs) in known {
            let own = world.view(*subject);
            if theirs.version > own.version {
                // The own feed brings the change first unless it is cut off.
                let stale = own.confirmed.is_none_or(|at| now.since(at) > STALE);
                more |= stale || !follows;
            } else if theirs.version == own.version
                && let Some((echo, age_ms)) = echo.zip(theirs.age_ms)
                && let Some(at) =
                    echo.confirmed_at(now, incarnation, Duration::from_millis(age_ms.into()))
            {
                world.confirm(*subject, theirs.version, at);
            }
        }
        more
    }
}

/// Age of the own knowledge from which a host asks another one for what it knows.
const STALE: Duration = Duration::from_millis(1_800);
