//! State that lasts for one configuration, or for as long as its backend servers are listed.

pub mod catalog;
pub mod fleet;
