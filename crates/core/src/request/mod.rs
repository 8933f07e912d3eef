//! Decision logic for a single request: access, admission, deadline, retries and replay.

pub mod access;
pub mod admission;
pub mod backlog;
pub mod body_memory;
pub mod deadline;
pub mod decimal;
pub mod forecast;
pub mod gate;
pub mod header;
pub mod identity;
pub mod once;
pub mod path;
pub mod pause;
pub mod retry;
pub mod returning;
pub mod share;
