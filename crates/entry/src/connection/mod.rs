//! Code whose state lasts for one connection.

pub mod listener;
pub mod phase;
pub mod pipeline;
pub mod pool;
pub mod probe;
pub mod register;
