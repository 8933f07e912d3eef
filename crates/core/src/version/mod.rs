//! State that lives as long as one configuration version.

pub mod balance;
pub mod rollout;
pub mod steering;
