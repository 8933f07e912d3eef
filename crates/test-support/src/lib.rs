//! Stand-ins for the platform, backend servers and callers, for tests and manual runs.
//!
//! No released binary depends on this crate.

pub mod backend;
pub mod caller;

pub mod fault;
pub mod memory;
pub mod platform;
mod serve;
