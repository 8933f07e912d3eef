//! Interfaces to the platform: a table, an object store, a list of hosts and a clock.
//!
//! Each is an object-safe trait, so that the daemon, embedding programs and tests can supply
//! their own implementation.

pub mod clock;
pub mod http;
pub mod roster;
pub mod store;
pub mod table;

pub use clock::Clock;
pub use roster::Roster;
pub use store::Store;
pub use table::Table;
