//! State that lives as long as one configuration version.

pub mod balance;
pub mod cutover;
pub mod limit;
pub mod placement;
pub mod rollout;
pub mod slew;
pub mod spill;
pub mod steering;
