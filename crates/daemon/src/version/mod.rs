//! State with the life span of one configuration version.

pub mod current;
