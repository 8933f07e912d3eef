//! Stand-ins for the systems around azurenotch, for tests and for starting by hand.
//!
//! No shipped binary links this crate.

pub mod backend;
pub mod caller;

pub mod fault;
pub mod memory;
pub mod platform;
mod serve;
