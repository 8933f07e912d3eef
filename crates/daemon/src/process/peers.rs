//! Actor that exchanges heartbeats and tracks the state of other hosts.

use crate::process::{
    configuration,
    directory::Hosts,
    node::{Node, Peer},
    send, transport,
};
use azurenotch_core::process::membership::{Membership, RosterEntry};
use azurenotch_platform::roster::Entry;
use azurenotch_wire::{
    Map,
    event::{Kind, Reachability},
    id::Host,
    peer::Heartbeat,
    time::Instant,
};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use rand::random;
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

/// Interval between heartbeat rounds.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Number of rounds between reads of the platform's list of hosts.
const ROUNDS_PER_ROSTER_READ: u64 = 5;
/// Timeout of one heartbeat exchange.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(900);

/// Exchanges heartbeats and tracks the state of other hosts.
#[derive(Debug)]
pub struct Peers;

/// Message to the actor.
#[derive(Debug)]
pub enum Message {
    /// Starts a periodic round.
    Round,
    /// Send heartbeats at once, because the configuration changed.
    Announce,
    /// The platform's list of hosts was read.
    Roster(Vec<Entry>),
    /// A peer sent a heartbeat.
    Received(Box<Heartbeat>),
    /// A peer answered a heartbeat: time sent, time answered, its own heartbeat.
    Answered(Instant, Instant, Box<Heartbeat>),
}

/// Arguments of the actor.
#[derive(Debug)]
pub struct Arguments {
    /// Shared state of the host.
    pub node: Arc<Node>,
    /// Directory that receives the state of the hosts.
    pub hosts: Arc<Hosts>,
    /// Actor that receives the versions that peers report.
    pub configuration: ActorRef<configuration::Message>,
}

/// State of the actor.
#[derive(Debug)]
pub struct State {
    node: Arc<Node>,
    hosts: Arc<Hosts>,
    configuration: ActorRef<configuration::Message>,
    membership: Membership,
    /// Hosts on the platform's list.
    roster: BTreeMap<Host, Entry>,
    /// Last heartbeat received from each host.
    heartbeats: Map<Host, Heartbeat>,
    rounds: u64,
    /// Whether the list of peers must be published again.
    changed: bool,
}

impl Actor for Peers {
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
            hosts,
            configuration,
        } = arguments;
        let own = &node.setting.host;
        let membership = Membership::new(own.name.clone(), own.data_centre.clone());
        myself.send_message(Message::Round)?;
        drop(myself.send_interval(HEARTBEAT_INTERVAL, || Message::Round));
        Ok(State {
            node,
            hosts,
            configuration,
            membership,
            roster: BTreeMap::new(),
            heartbeats: Map::default(),
            rounds: 0,
            changed: true,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            Message::Round => {
                state.round(&myself);
                state.changed = true;
            }
            Message::Announce => state.send_heartbeats(&myself),
            Message::Roster(entries) => state.on_roster(entries),
            Message::Received(heartbeat) => state.on_heartbeat(*heartbeat),
            Message::Answered(sent, received, heartbeat) => {
                state
                    .node
                    .evidence
                    .update(|evidence| evidence.on_answer(sent, received, &heartbeat));
                state.on_heartbeat(*heartbeat);
            }
        }
        // The list is rebuilt in each round and whenever a relevant value changes.
        if std::mem::take(&mut state.changed) {
            state.publish();
        }
        Ok(())
    }
}

impl State {
    fn round(&mut self, myself: &ActorRef<Message>) {
        let now = self.node.clock.now();
        self.node.evidence.update(|evidence| evidence.tick(now));
        let events = self.membership.tick(now);
        self.record(events);
        for event in self.node.gateway.journal().take() {
            self.node.recorder.record(event);
        }
        // A host without peers reads the list in every round, because the list may lag.
        let is_alone = self.membership.members().next().is_none();
        if is_alone || self.rounds.is_multiple_of(ROUNDS_PER_ROSTER_READ) {
            self.read_roster(myself);
        }
        self.rounds += 1;
        self.send_heartbeats(myself);
    }

    fn read_roster(&self, myself: &ActorRef<Message>) {
        let node = Arc::clone(&self.node);
        let myself = myself.clone();
        tokio::spawn(async move {
            if let Ok(entries) = node.roster.list().await {
                send(&myself, Message::Roster(entries));
            }
        });
    }

    fn on_roster(&mut self, entries: Vec<Entry>) {
        let listed = entries
            .iter()
            .map(|entry| RosterEntry {
                host: entry.host.clone(),
                data_centre: entry.data_centre.clone(),
                address: entry.address,
                leaving: entry.leaving,
            })
            .collect::<Vec<_>>();
        let events = self.membership.on_roster(self.node.clock.now(), &listed);
        self.record(events);
        let hosts = entries.iter().map(|entry| &entry.host);
        self.node
            .evidence
            .update(|evidence| evidence.on_roster(hosts));
        self.roster = entries
            .into_iter()
            .map(|entry| (entry.host.clone(), entry))
            .collect();
    }

    fn on_heartbeat(&mut self, heartbeat: Heartbeat) {
        self.node.recorder.merge(heartbeat.stamp);
        let now = self.node.clock.now();
        let event = self.membership.on_heartbeat(now, &heartbeat);
        self.record(event);
        let announced =
            configuration::Message::Announced(heartbeat.host.clone(), heartbeat.version);
        send(&self.configuration, announced);
        let known = self.heartbeats.get(&heartbeat.host);
        self.changed |= known.is_none_or(|known| {
            known.version != heartbeat.version
                || known.state != heartbeat.state
                || known.roles != heartbeat.roles
                || known.peer != heartbeat.peer
        });
        if known.is_none_or(|known| known.incarnation <= heartbeat.incarnation) {
            self.heartbeats.insert(heartbeat.host.clone(), heartbeat);
        }
    }

    /// Sends heartbeats to the hosts selected for this round.
    fn send_heartbeats(&mut self, myself: &ActorRef<Message>) {
        let hosts = self.membership.probes(self.node.clock.now(), random());
        let known = hosts
            .iter()
            .filter_map(|host| self.peer_address(host))
            .collect::<Vec<_>>();
        // While the platform is down, a starting host has only the peers in its settings.
        let seeds = if self.membership.members().next().is_none() {
            self.node.setting.host.seeds.clone()
        } else {
            Vec::new()
        };
        for address in known.into_iter().chain(seeds) {
            self.exchange(myself, address);
        }
    }

    fn peer_address(&self, host: &Host) -> Option<SocketAddr> {
        let reported = self.heartbeats.get(host).map(|heartbeat| heartbeat.peer);
        reported.or_else(|| self.roster.get(host).map(|entry| entry.peer))
    }

    fn exchange(&self, myself: &ActorRef<Message>, address: SocketAddr) {
        let node = Arc::clone(&self.node);
        let myself = myself.clone();
        tokio::spawn(async move {
            let heartbeat = node.heartbeat();
            let sent = node.clock.now();
            let answer = transport::call::<_, Heartbeat>(
                &*node.transport,
                address,
                "/peer/heartbeat",
                &heartbeat,
                HEARTBEAT_TIMEOUT,
            );
            if let Ok(answer) = answer.await {
                let answered = Message::Answered(sent, node.clock.now(), Box::new(answer));
                send(&myself, answered);
            }
        });
    }

    fn record(&mut self, events: impl IntoIterator<Item = Kind>) {
        for event in events {
            self.changed = true;
            if let Kind::Peer {
                peer,
                state: Reachability::Dead,
            } = &event
            {
                self.heartbeats.remove(peer);
            }
            self.node.recorder.record(event);
        }
    }

    /// Publishes the current state of the peers for the directory and operators.
    fn publish(&self) {
        let mut peers = self
            .membership
            .members()
            .filter_map(|member| {
                let heartbeat = self.heartbeats.get(&member.host);
                let listed = self.roster.get(&member.host);
                let peer = heartbeat
                    .map(|heartbeat| heartbeat.peer)
                    .or(listed.map(|entry| entry.peer))?;
                let operator = heartbeat
                    .map(|heartbeat| heartbeat.operator)
                    .or(listed.map(|entry| entry.operator))?;
                Some(Peer {
                    host: member.host.clone(),
                    data_centre: member.data_centre.clone(),
                    address: member.address,
                    peer,
                    operator,
                    state: member.state,
                    own_state: member.own_state,
                    version: heartbeat
                        .map(|heartbeat| heartbeat.version)
                        .unwrap_or_default(),
                    load: heartbeat.map_or(0.0, |heartbeat| heartbeat.load),
                    roles: heartbeat
                        .map(|heartbeat| heartbeat.roles.clone())
                        .unwrap_or_default(),
                })
            })
            .collect::<Vec<_>>();
        peers.sort_by(|a, b| a.host.cmp(&b.host));
        if **self.node.peers.load() != peers {
            self.hosts.update(&peers);
            self.node.peers.store(Arc::new(peers));
        }
    }
}
