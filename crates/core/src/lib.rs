//! Pure decision logic of azurenotch.
//!
//! The state machines use no clock, socket, task or global random source: time, measurements and
//! seeds are arguments, and decisions are return values. Modules are grouped by the life span of
//! their state.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;
