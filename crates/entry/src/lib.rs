//! An entry host whose configuration, backend servers and orders lie on a platform.
//!
//! The data path and the control tasks use the decisions of `azurenotch-core`. The platform's names
//! and formats stay behind [`platform::Store`], [`platform::Format`] and [`protocol::Protocol`].

pub mod connection;
pub mod model;
pub mod platform;
pub mod process;
pub mod protocol;
pub mod request;
pub mod setting;
pub mod version;
