//! State with the life span of a connection.

pub mod latency;
