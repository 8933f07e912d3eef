//! The daemon of an entry host: port for callers, backend connection pools and control actors.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;
