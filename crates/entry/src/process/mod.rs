//! State that lives as long as the process, and the tasks that keep it up to date.

mod change;
pub mod counter;
pub mod directory;
pub mod entry;
pub mod feed;
pub mod gossip;
pub mod journal;
mod message;
pub mod orders;
pub mod probe;
pub mod relay;
pub mod state;
pub mod world;
