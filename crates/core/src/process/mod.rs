//! State that is kept for the lifetime of the process.

pub mod adoption;
pub mod bucket;
pub mod budget;
pub mod echo;
pub mod election;
pub mod follow;
pub mod freshness;
pub mod lease;
pub mod membership;
pub mod moment;
pub mod orphan;
pub mod passage;
pub mod presence;
pub mod quota;
pub mod retry;
pub mod room;
pub mod senders;
pub mod slot;
pub mod spread;
pub mod suspect;
pub mod timeline;
pub mod usage;
pub mod wall;
pub mod warmup;
