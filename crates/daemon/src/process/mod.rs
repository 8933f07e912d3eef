//! What lives as long as the process: control actors, peers' and operators' interfaces.

mod actors;
pub mod admission;
pub mod budget;
pub mod change;
pub mod configuration;
pub mod daemon;
pub mod directory;
pub mod freshness;
pub mod node;
pub mod operator_api;
pub mod peer_api;
pub mod peers;
pub mod planner;
pub mod recorder;
pub mod records;
pub mod role;
pub mod serve;
pub mod slot;
pub mod transport;
pub mod versions;

use ractor::ActorRef;

/// Sends a message to an actor, which is gone only when the process stops.
fn send<M: ractor::Message>(actor: &ActorRef<M>, message: M) {
    // A message to a stopped actor has nobody left to act on it.
    let _ = actor.send_message(message);
}
