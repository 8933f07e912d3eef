//! Start and stop of the control actors.

use crate::process::{
    budget, configuration,
    daemon::{Decisions, Result, SpawnSnafu},
    directory::Hosts,
    node::Node,
    peers, planner, role, send, slot,
    versions::Versions,
};
use azurenotch_wire::{event::Kind, evidence::Report};
use parking_lot::Mutex;
use ractor::{Actor, ActorRef};
use rand::random;
use snafu::ResultExt;
use std::{collections::BTreeSet, sync::Arc, time::Duration};
use tokio::sync::mpsc::UnboundedReceiver;

/// Timeout of each step in releasing shares, slot and roles.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);

/// Control actors.
#[derive(Debug)]
pub(super) struct Actors {
    pub(super) configuration: ActorRef<configuration::Message>,
    pub(super) peers: ActorRef<peers::Message>,
    pub(super) budget: ActorRef<budget::Message>,
    pub(super) planner: ActorRef<planner::Message>,
    pub(super) slot: ActorRef<slot::Message>,
    roles: Vec<ActorRef<role::Message>>,
}

impl Actors {
    /// Starts the actors; an actor starts before those that send it messages.
    pub(super) async fn spawn(
        node: &Arc<Node>,
        decisions: &Decisions,
        faults: UnboundedReceiver<Report>,
    ) -> Result<Self> {
        let Decisions {
            shares,
            hosts,
            versions,
            ..
        } = decisions;
        let (budget, _) =
            Actor::spawn(None, budget::Budget, (Arc::clone(node), Arc::clone(shares)))
                .await
                .context(SpawnSnafu { name: "budget" })?;
        let (slot, _) = Actor::spawn(None, slot::Slot, (Arc::clone(node), budget.clone()))
            .await
            .context(SpawnSnafu { name: "slot" })?;
        let arguments = configuration::Arguments {
            node: Arc::clone(node),
            listener: adoption_listener(node, hosts, versions, &budget),
        };
        let (configuration, _) = Actor::spawn(None, configuration::Configuration, arguments)
            .await
            .context(SpawnSnafu {
                name: "configuration",
            })?;
        let arguments = peers::Arguments {
            node: Arc::clone(node),
            hosts: Arc::clone(hosts),
            configuration: configuration.clone(),
        };
        let (peers, _) = Actor::spawn(None, peers::Peers, arguments)
            .await
            .context(SpawnSnafu { name: "peers" })?;
        let arguments = planner::Arguments {
            node: Arc::clone(node),
            versions: Arc::clone(versions),
            faults,
            configuration: configuration.clone(),
            peers: peers.clone(),
        };
        let (planner, _) = Actor::spawn(None, planner::Planner, arguments)
            .await
            .context(SpawnSnafu { name: "planner" })?;
        let roles = vec![
            spawn_role(
                node,
                budget::ROLE,
                role_listener(&budget, budget::Message::Role),
            )
            .await?,
            spawn_role(
                node,
                planner::ROLE,
                role_listener(&planner, planner::Message::Role),
            )
            .await?,
        ];
        Ok(Self {
            configuration,
            peers,
            budget,
            planner,
            slot,
            roles,
        })
    }

    /// Releases shares, slot and roles; one whose release is not confirmed expires.
    pub(super) async fn release(&self) {
        let timeout = Some(RELEASE_TIMEOUT);
        let _ = self.budget.call(budget::Message::Stop, timeout).await;
        let _ = self.slot.call(slot::Message::Release, timeout).await;
        for role in &self.roles {
            let _ = role.call(role::Message::Release, timeout).await;
        }
    }

    /// Stops the actors at once.
    pub(super) fn stop(&self) {
        self.configuration.stop(None);
        self.peers.stop(None);
        self.budget.stop(None);
        self.planner.stop(None);
        self.slot.stop(None);
        for role in &self.roles {
            role.stop(None);
        }
    }
}

/// Returns the listener that applies each newly adopted snapshot to the other components.
fn adoption_listener(
    node: &Arc<Node>,
    hosts: &Arc<Hosts>,
    versions: &Arc<Versions>,
    budget: &ActorRef<budget::Message>,
) -> configuration::Listener {
    let (node, hosts, versions) = (Arc::clone(node), Arc::clone(hosts), Arc::clone(versions));
    let budget = budget.clone();
    let drains = Mutex::new(BTreeSet::new());
    Box::new(move |snapshot| {
        let before = std::mem::replace(&mut *drains.lock(), snapshot.drains.clone());
        for server in before.symmetric_difference(&snapshot.drains) {
            let draining = snapshot.drains.contains(server);
            let server = server.clone();
            node.recorder.record(Kind::Draining { server, draining });
        }
        let others = u32::try_from(node.peers.load().len()).unwrap_or(u32::MAX);
        for event in versions.adopt(&snapshot, others.saturating_add(1), node.clock.wall_ms()) {
            node.recorder.record(event);
        }
        hosts.adopt(&snapshot, &node.peers.load());
        send(&budget, budget::Message::Adopted(snapshot));
    })
}

/// Forwards lease changes of a role to the actor that acts under it.
fn role_listener<M: ractor::Message>(
    actor: &ActorRef<M>,
    message: fn(role::Change) -> M,
) -> role::Listener {
    let actor = actor.clone();
    Box::new(move |change| {
        send(&actor, message(change));
    })
}

async fn spawn_role(
    node: &Arc<Node>,
    role: &str,
    listener: role::Listener,
) -> Result<ActorRef<role::Message>> {
    let arguments = role::Arguments {
        node: Arc::clone(node),
        role: role.to_owned(),
        listener,
        seed: random(),
    };
    let (actor, _) = Actor::spawn(None, role::Role, arguments)
        .await
        .context(SpawnSnafu { name: "role" })?;
    Ok(actor)
}
