//! State that lives as long as the process, and the background tasks that keep it up to date.

pub mod change;
pub mod control;
pub mod entry;
pub mod feed;
pub mod gossip;
pub mod journal;
pub mod lag;
pub mod ledger;
mod message;
pub mod metrics;
pub mod move_state;
pub mod orphans;
pub mod probe;
pub mod relay;
pub mod replica;
pub(crate) mod server_limit;
pub mod state;
pub(crate) mod suspects;
pub mod usage;
mod warmup;
