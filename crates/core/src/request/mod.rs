//! Decisions about one request.

pub mod access;
pub mod admission;
pub mod deadline;
pub mod header;
pub mod hold;
pub mod once;
pub mod path;
pub mod retry;
