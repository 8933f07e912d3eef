//! Configuration of azurenotch: INI documents, snapshots, changes and daemon settings.

pub mod change;
pub mod delta;
pub mod diff;
pub mod document;
pub mod ini;
pub mod setting;
pub mod snapshot;
pub mod value;

mod apply;
mod validate;

pub use azurenotch_wire::{Map, Set};
