//! Model of the systems served, in virtual time, with the decision code of the daemon.
//!
//! [`engine::Engine`] plays a [`pattern::Pattern`] of load on a [`site::Site`] and lets each
//! [`host::Host`] decide with the code of `azurenotch-core`, in the [`variant::Variant`] that is
//! asked for. Nothing is measured in real time, so that a run repeats exactly with its seed.

pub mod engine;
pub mod event;
pub mod host;
pub mod pattern;
pub mod plot;
pub mod report;
pub mod server;
pub mod site;
pub mod variant;
