//! The daemon of an entry host: caller port, backend pools and control.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;
