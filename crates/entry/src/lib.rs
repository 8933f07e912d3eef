//! An entry host that reads its configuration, backend servers and orders from a platform's store.
//!
//! The data path and the control tasks perform I/O; `azurenotch-core` makes the decisions.
//! [`platform::Store`], [`platform::Format`] and [`protocol::Protocol`] hide the platform's names
//! and formats.

pub mod connection;
pub mod era;
pub mod model;
pub mod platform;
pub mod process;
pub mod protocol;
pub mod request;
pub mod setting;
pub mod version;
