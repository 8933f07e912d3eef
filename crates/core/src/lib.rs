//! Pure decision logic of azurenotch.
//!
//! State machines without a clock, socket, task or global random source: time, measurements and
//! seeds come in as arguments, and decisions leave as values. The folders follow the life span of
//! the state they hold.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;
