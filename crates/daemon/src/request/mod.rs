//! Data path of one request from a caller to a backend server and back.

pub mod admission;
mod attempt;
pub mod body;
pub use azurenotch_platform::clock;
pub mod directory;
pub mod forward;
pub mod freshness;
pub mod gateway;
mod head;
pub mod idempotency;
pub mod journal;
pub mod metrics;
pub mod observer;
pub mod refuse;
pub mod release;
pub mod running;
mod tee;
pub mod upload;
