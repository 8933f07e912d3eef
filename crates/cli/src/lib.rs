//! The operators' command line.
//!
//! [`option`] reads the arguments, [`command::run`] executes them against the operators' interface of
//! a host, and the binary prints the [`answer::Answer`] and ends with its exit code.

pub mod answer;
pub mod client;
pub mod command;
pub mod confirm;
pub mod error;
pub mod explain;
pub mod option;
pub mod page;
pub mod table;
