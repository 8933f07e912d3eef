//! The binary against a stand-in for the operators' interface.

mod command;
mod confirm;
mod exit_code;
mod explain;
mod support;
mod timeline;
