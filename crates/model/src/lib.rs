//! Simulation of deployments in virtual time, with the decision code of the daemon.
//!
//! [`engine::Engine`] replays a [`pattern::Pattern`] of load on a [`site::Site`]. Each
//! [`host::Host`] decides with the code of `azurenotch-core`, as a [`variant::Variant`] selects.
//! Real time has no influence, so equal seeds give equal runs.

pub mod arrival;
pub mod engine;
pub mod event;
pub mod host;
pub mod pattern;
pub mod plot;
pub mod report;
pub mod server;
pub mod site;
pub mod variant;
