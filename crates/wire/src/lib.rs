//! Types that processes of azurenotch exchange.
//!
//! Messages between hosts, responses of the operators' interface and refusals to callers are
//! defined here, so that the daemon, the command line and tests share one definition.

pub mod budget;
pub mod event;
pub mod evidence;
pub mod hash;
pub mod id;
pub mod map;
pub mod operator;
pub mod peer;
pub mod refusal;
pub mod time;
pub mod version;
pub mod work;

pub use map::{Map, Set};
