//! Configuration of azurenotch: INI documents, snapshots, changes and daemon settings.

pub mod change;
pub mod document;
pub mod snapshot;

pub use azurenotch_wire::{Map, Set};
