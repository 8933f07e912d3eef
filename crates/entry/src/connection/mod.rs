//! State that lives as long as a connection.

pub mod front;
pub mod head;
pub mod pool;
