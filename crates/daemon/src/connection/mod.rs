//! State that lives as long as a connection.

pub mod listener;
pub mod pool;
pub mod stream;
