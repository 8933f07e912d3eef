//! State that lives as long as the process.

pub mod adoption;
pub mod bucket;
pub mod slot;
pub mod budget;
pub mod lease;
