//! The path of one request from a caller to a backend server and back.

pub mod attempt;
pub mod forward;
pub mod gate;
pub mod head;
pub mod memory;
pub mod reply;
pub mod upload;
