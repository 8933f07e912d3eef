//! Messages that a host receives from others.

use super::{BASE_ROUND_INTERVAL, Contact, Gossip, NewerPeer, UPDATE_SUBJECTS};
use crate::{
    era::Era,
    model::Fact,
    platform::Subject,
    process::{
        change::{Origin, Source},
        message::{self, Completeness, Datagram, FreshnessReport, Speeds},
        replica::{Freshness, Update},
    },
};
use azurenotch_core::{
    process::{echo::Echo, election::Path, moment::Moment, presence::Status, quota::Count},
    version::{cutover::Evidence, placement::Load},
};
use azurenotch_wire::{
    hash::hash32,
    id::{Host, Incarnation},
    time::Instant,
};
use slog::{debug, info, warn};
use std::{net::IpAddr, sync::atomic::Ordering, time::Duration};
use tokio::{sync::watch, time::sleep};

/// Largest datagram that is read, in bytes; with 84 hosts a datagram has about 400.
pub(super) const MAX_DATAGRAM_BYTES: usize = 8 * 1024;
/// Longest age of a host's last confirmation until its own feed counts as cut off from the store.
///
/// It then requests updates from a newer peer.
const MAX_STALE_FEED_AGE: Duration = Duration::from_millis(1_800);
/// The same age as a share of the time within which a configuration has to be in force.
const STALE_FEED_ADOPTION_SHARE: f64 = 0.72;

/// What follows from a message.
#[derive(Debug, Default)]
pub(super) struct Received {
    /// The sender, if its replica is newer.
    newer_peer: Option<NewerPeer>,
    /// Whether the sender is new or was restarted.
    joined: bool,
}

impl Gossip {
    /// Processes messages; never returns.
    pub(super) async fn receive(&self, newer_peers: watch::Sender<Option<NewerPeer>>) {
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
                Ok(datagram) => {
                    let peer = &datagram.message.peer;
                    let target = (Some(peer.host.clone()), peer.address);
                    let received = self.receive_datagram(from.ip(), datagram);
                    if let Some(newer_peer) = received.newer_peer {
                        newer_peers.send_replace(Some(newer_peer));
                    }
                    if received.joined {
                        // A host that has just started learns from the answer what it missed.
                        self.send_round(&[target], true, false).await;
                    }
                }
                Err(error) => {
                    warn!(self.state.log(), "gossip: cannot decode datagram"; "from" => %from,
                        "error" => %error);
                }
            }
        }
    }

    pub(super) fn receive_datagram(&self, from: IpAddr, datagram: Datagram) -> Received {
        let Datagram {
            head,
            message,
            tail,
            limits,
            access,
            suspects,
            completeness,
            speeds,
            usage,
        } = datagram;
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
            path: match &message.updates {
                _ if !message.reaches_store => Path::Lost,
                Some(_) if access.is_proven => Path::Proven,
                _ => Path::Untried,
            },
        };
        // Hosts that do not call the store learn of its faults from those that do.
        let lost_store = membership.presence.path(&host) != Path::Lost && status.path == Path::Lost;
        let joined = membership.presence.on_status(now, &host, status);
        if lost_store {
            state.slew.lock().suspend(now);
        }
        if joined {
            state.slew.lock().suspend(now);
            info!(state.log(), "hosts: peer joined or restarted"; "peer" => %host,
                "incarnation" => incarnation);
        }
        let echoed = head
            .echo
            .and_then(|echo| echo.sent_at(now, state.own.incarnation));
        if let Some(sent) = echoed {
            membership.presence.on_confirmation(&host, sent);
        }
        let address = message.peer.address;
        let is_near = message.peer.region == state.own.region;
        let forwards =
            status.path == Path::Proven && message.peer.data_centre != state.own.data_centre;
        let known = self.freshness();
        membership.peers.insert(host.clone(), message.peer);
        drop(membership);
        let versions = [message.orders.version, message.servers.version];
        self.contacts
            .lock()
            .entry(host.clone())
            .or_insert_with(|| Contact::new(message.sent, versions))
            .update(now, message.sent, versions);
        self.receive_shared_counts(now, &host, incarnation, &message.usage, &message.evidence);
        if is_near {
            self.receive_rates(now, &host, &message.rates);
        }
        self.receive_loads(now, &message.loads);
        self.receive_speeds(now, &speeds);
        self.receive_leaving(now, &tail.leaving);
        if let Some(echoed) = echoed {
            state.receive_limits(now, echoed, &limits.reports);
        }
        state.receive_suspects(now, &host, &suspects);
        // The echo shows that the peer knows of this host, so that its rounds have all rejections.
        if echoed.is_some() && status.serving {
            state.record_rejections("peer");
        }
        self.receive_usage(now, (&host, Incarnation(incarnation)), echoed, &usage);
        self.receive_updates(message.updates);
        self.receive_shared(message.shared);
        self.receive_completeness(echoed, completeness);
        let newer_configuration = tail.configuration > state.configuration_version();
        let newer = self.confirm(
            now,
            head.echo,
            &[
                (Subject::Orders, message.orders),
                (Subject::Servers, message.servers),
            ],
            newer_configuration,
        );
        if forwards && self.freshness() != known {
            state.update_wakeup.notify_one();
        }
        Received {
            newer_peer: (newer || newer_configuration).then_some(NewerPeer {
                address,
                versions: [
                    (Subject::Orders, versions[0]),
                    (Subject::Servers, versions[1]),
                ],
                configuration: tail.configuration,
            }),
            joined,
        }
    }

    /// Records up to when the sender's configuration is complete, from the time that its echo proves.
    fn receive_completeness(&self, echoed: Option<Instant>, completeness: Completeness) {
        if let (Some(sent), Some(age_ms)) = (echoed, completeness.age_ms) {
            let at = Moment::from(sent) - Duration::from_millis(age_ms.into());
            let mut replica = self.state.replica.lock();
            replica.learn_completeness(completeness.configuration, at);
        }
    }

    /// Returns up to when this host has changes, and when it heard of the last confirmation.
    fn freshness(&self) -> [Freshness; 2] {
        let replica = self.state.replica.lock();
        UPDATE_SUBJECTS.map(|subject| replica.freshness(subject))
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
        for (hash, count) in message::unpack_usage(usage) {
            let workspace = workspaces.get(&hash);
            if let Some(quota) = workspace.and_then(|it| quotas.get_mut(it)) {
                quota.on_report(now, host, incarnation, count);
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
        let now = self.state.now();
        let mut applied = Vec::new();
        let mut replica = self.state.replica.lock();
        for (subject, update) in UPDATE_SUBJECTS
            .into_iter()
            .zip(updates.into_iter().flatten())
        {
            let source = Source {
                origin: Origin::Peer,
                confirmed: replica.freshness(subject).confirmed,
            };
            let changes = replica.apply_peer_update(now, subject, update);
            applied.extend(changes.map(|changes| (changes, source)));
        }
        drop(replica);
        for (changes, source) in applied {
            self.state.apply(changes, source);
        }
    }

    /// Applies states of version moves, so that hosts that do not write them need not read them, and
    /// rows that the store has lost.
    fn receive_shared(&self, facts: Vec<Fact>) {
        if facts.is_empty() {
            return;
        }
        let now = self.state.now();
        let changes = self.state.replica.lock().apply(now, facts);
        self.state.apply(changes, Origin::Peer);
    }

    fn receive_leaving(&self, now: Instant, leaving: &[(u32, u64)]) {
        let mut fleets = self.state.fleets.lock();
        for (server, incarnation) in leaving {
            // Which service an unlisted server belongs to is not known; its row may return.
            let is_listed = fleets.values().any(|it| it.placement.lists(*server));
            for (service, fleet) in fleets.iter_mut() {
                if is_listed && !fleet.placement.lists(*server) {
                    continue;
                }
                if fleet.placement.record_leaving(now, *server, *incarnation) {
                    info!(self.state.log(), "servers: server is leaving";
                        "server-hash" => server, "service" => %service, "source" => "peer");
                }
            }
        }
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

    /// Records the speed of servers that told it to another host.
    fn receive_speeds(&self, now: Instant, speeds: &Speeds) {
        let mut fleets = self.state.fleets.lock();
        for (server, figure) in speeds.figures() {
            for fleet in fleets.values_mut() {
                fleet.placement.receive_figure(now, server, figure);
            }
        }
    }

    /// Confirms the subjects of which this host has all rows of the sender.
    ///
    /// The sender's confirmation counts from the time that the echo proves. Returns whether the
    /// sender has a newer version that this host's own feed is not expected to deliver.
    /// `newer_configuration` says whether the sender has a newer configuration.
    fn confirm(
        &self,
        now: Instant,
        echo: Option<Echo>,
        reports: &[(Subject, FreshnessReport)],
        newer_configuration: bool,
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
            } else if Era::of(theirs.version) == Era::of(own.version)
                // The sender's confirmation includes a configuration that the store has lost.
                && !(newer_configuration && *subject == Subject::Orders)
                && let Some(age_ms) = theirs.age_ms
            {
                // This host has all that the sender had when the store had nothing later.
                let age = Duration::from_millis(age_ms.into());
                if age <= now.since(Instant::ZERO) {
                    replica.hear(*subject, now - age);
                }
                let at = echo.and_then(|echo| echo.confirmed_at(now, incarnation, age));
                if let Some(at) = at {
                    replica.confirm(*subject, theirs.version, at);
                }
            }
        }
        newer
    }
}
