//! State that lives as long as the process.

pub mod bucket;
pub mod lease;
