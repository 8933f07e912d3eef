//! Global traffic steering with contracts that hold per workspace.
//!
//! This facade re-exports the crates that another program can embed:
//!
//! * [`core`]: pure decision logic, without clock or sockets;
//! * [`config`]: the configuration document, snapshots and changes;
//! * [`platform`]: traits for the table, the object store and the list of hosts;
//! * [`wire`]: types of the data exchanged between processes.

pub use azurenotch_config as config;
pub use azurenotch_core as core;
pub use azurenotch_platform as platform;
pub use azurenotch_wire as wire;
