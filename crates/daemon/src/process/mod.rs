//! State that lasts as long as the process: control actors and the peer and operator APIs.

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

/// Sends a message to an actor; does nothing if the actor has stopped.
fn send<M: ractor::Message>(actor: &ActorRef<M>, message: M) {
    // Actors stop only together with the process.
    let _ = actor.send_message(message);
}
