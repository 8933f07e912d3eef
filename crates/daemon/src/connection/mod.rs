//! State with the life span of a connection.

pub mod listener;
pub mod pool;
pub mod stream;
