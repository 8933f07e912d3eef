//! Messages that a host sends to others.

use super::{
    Gossip, MAX_UPDATE_BYTES, UPDATE_SUBJECTS,
    updates::{Round, Updates},
    usage::with_ends,
};
use crate::process::{
    message::{Access, Completeness, Head, Speeds},
    replica::Update,
};
use azurenotch_core::process::{echo::Echo, election::Path, spread};
use azurenotch_wire::id::Host;
use slog::{debug, warn};
use std::{net::SocketAddr, sync::atomic::Ordering};

impl Gossip {
    /// Sends a round of messages to these hosts; `joined` says that they have just started.
    ///
    /// `is_regular` says that the round goes to all hosts, so that it has the counts of usage.
    pub(super) async fn send_round(
        &self,
        targets: &[(Option<Host>, SocketAddr)],
        joined: bool,
        is_regular: bool,
    ) {
        let round = match self.encode_round(joined) {
            Ok(round) => round,
            Err(error) => {
                warn!(self.state.log(), "gossip: cannot encode message"; "error" => %error);
                return;
            }
        };
        let usage = self.usage_round(&round, is_regular);
        let receivers = self.receivers();
        for target in targets {
            let (host, address) = target;
            let gets_changes = host.is_none() || receivers.contains(target);
            let (echo, bodies) = self.prepare(host.as_ref(), &round, gets_changes);
            let Ok(head) = rmp_serde::to_vec(&Head { echo }) else {
                continue;
            };
            let ends = usage.as_ref().map(|it| self.usage_ends(host.as_ref(), it));
            for (body, end) in with_ends(&bodies, &round.status, ends) {
                let bytes = [head.as_slice(), body, &end].concat();
                // The next round makes up for a lost datagram.
                if let Err(error) = self.socket.send_to(&bytes, *address).await {
                    debug!(self.state.log(), "gossip: cannot send datagram"; "to" => %address,
                        "error" => %error);
                }
            }
        }
    }

    /// Returns the echo and the bodies of the datagrams for a host.
    ///
    /// `gets_changes` says whether the host gets changes of the rows from this one.
    fn prepare<'r>(
        &self,
        host: Option<&Host>,
        round: &'r Round,
        gets_changes: bool,
    ) -> (Option<Echo>, Vec<&'r [u8]>) {
        let now = self.state.now();
        // A host that starts takes an echo for a sign that the round has what it needs. It may have
        // been heard of only after the round was encoded.
        let is_late = !round.for_starting
            && host.is_some_and(|host| {
                let membership = self.state.membership.lock();
                membership.presence.is_starting(now, host)
            });
        let mut contacts = self.contacts.lock();
        let mut contact = host.and_then(|host| contacts.get_mut(host));
        let echo = contact.as_ref().filter(|_| !is_late).map(|it| it.echo);
        if !gets_changes {
            return (echo, vec![&round.status]);
        }
        let lacks = |part: &[Update; 2]| contact.as_ref().is_none_or(|it| it.lacks(now, part));
        let parts = round.parts.iter().filter(|(part, _)| lacks(part));
        let bodies: Vec<&[u8]> = parts.map(|(_, body)| body.as_slice()).collect();
        if bodies.is_empty() {
            return (echo, vec![&round.rest]);
        }
        if let Some(contact) = &mut contact {
            contact.tell(now, round.versions);
        }
        (echo, bodies)
    }

    /// Encodes the datagrams of a round, as far as they are the same for all receivers.
    fn encode_round(&self, joined: bool) -> Result<Round, rmp_serde::encode::Error> {
        let round = self.round.load(Ordering::Relaxed);
        let mut message = self.message();
        let tail = rmp_serde::to_vec(&self.tail())?;
        let now = self.state.now();
        let limits = self.state.limit_news(now);
        let is_proven = self.state.store_path(now) == Path::Proven;
        // A lost datagram must not leave a host that starts without a part of what it needs.
        let starting = joined || self.state.membership.lock().presence.has_starting(now);
        let suspects = self.state.suspects.lock().news(now, round, starting);
        let completeness = self.state.replica.lock().shared_completeness(starting);
        let completeness = completeness.map(|it| Completeness::new(now, it));
        let speeds = self.speeds();
        let mut encode = |updates: Option<[Update; 2]>| {
            let mut end = Vec::new();
            // A part needs all those before it.
            let has_usage_part = self.state.usage.is_some();
            let has_speeds_part = has_usage_part || !speeds.figures.is_empty();
            let has_completeness_part = completeness.is_some() || has_speeds_part;
            let has_suspects_part = has_completeness_part || !suspects.is_empty();
            if updates.is_some() || has_suspects_part || !limits.reports.is_empty() {
                rmp_serde::encode::write(&mut end, &limits)?;
            }
            if updates.is_some() || has_suspects_part {
                rmp_serde::encode::write(&mut end, &Access { is_proven })?;
            }
            if has_suspects_part {
                rmp_serde::encode::write(&mut end, &suspects)?;
            }
            if has_completeness_part {
                rmp_serde::encode::write(&mut end, &completeness.unwrap_or_default())?;
            }
            if has_speeds_part {
                rmp_serde::encode::write(&mut end, &speeds)?;
            }
            message.updates = updates;
            let body = rmp_serde::to_vec(&message)?;
            Ok::<_, rmp_serde::encode::Error>([body.as_slice(), &tail, &end].concat())
        };
        let Updates {
            parts,
            rest,
            versions,
        } = self.updates();
        let status = encode(is_proven.then(|| rest.clone()))?;
        let rest = encode(Some(rest))?;
        let parts = parts.into_iter().map(|part| {
            let body = encode(Some(part.clone()))?;
            Ok((part, body))
        });
        let parts = parts.collect::<Result<_, rmp_serde::encode::Error>>()?;
        Ok(Round {
            for_starting: starting,
            parts,
            rest,
            status,
            versions,
        })
    }

    /// Returns the figures of servers that differ most from those of the other servers.
    fn speeds(&self) -> Speeds {
        let now = self.state.now();
        let fleets = self.state.fleets.lock();
        let figures = fleets.values().flat_map(|it| it.placement.figures(now));
        Speeds::new(figures.collect())
    }

    /// Returns the recent changes of the rows.
    fn updates(&self) -> Updates {
        let now = self.state.now();
        let replica = self.state.replica.lock();
        let recent =
            UPDATE_SUBJECTS.map(|subject| replica.recent_updates(now, subject, MAX_UPDATE_BYTES));
        let versions = UPDATE_SUBJECTS.map(|subject| replica.freshness(subject).version);
        Updates::new(recent, versions)
    }

    /// Returns the hosts that get changes of the rows from this one.
    pub(super) fn receivers(&self) -> Vec<(Option<Host>, SocketAddr)> {
        let now = self.state.now();
        let path = self.state.store_path(now);
        let membership = self.state.membership.lock();
        let own = &self.state.own;
        let others = membership.presence.reachable(now);
        let others = others.filter_map(|host| {
            let peer = membership.peers.get(host)?;
            Some((host, &peer.data_centre))
        });
        let receivers = spread::receivers((&own.host, &own.data_centre), path, others);
        let addresses = receivers.into_iter().filter_map(|host| {
            let peer = membership.peers.get(host)?;
            Some((Some(host.clone()), peer.address))
        });
        addresses.collect()
    }

    /// Returns the targets of the next round: all known hosts.
    ///
    /// The seeds are added in the first round and while no host is reachable.
    pub(super) fn targets(&self, first: bool) -> Vec<(Option<Host>, SocketAddr)> {
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
}
