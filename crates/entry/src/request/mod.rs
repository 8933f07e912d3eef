//! Processing of one request, from the caller to a backend server and back.

pub mod attempt;
pub(crate) mod charge;
pub(crate) mod check;
pub mod forward;
pub mod handler;
pub mod head;
pub mod memory;
pub mod reply;
pub mod stopwatch;
pub(crate) mod suspect;
pub mod upload;
