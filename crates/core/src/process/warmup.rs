//! Limit on the rate of requests that all hosts together send to a cold backend server.
//!
//! Load pattern: a data centre returns with all its backend servers cold while every host has
//! requests waiting, and a cold server that receives more than its permitted rate crashes. A few
//! hosts ([`senders`](crate::process::senders)) share the rate of a cold server. The others send it
//! nothing.

/// Largest number of hosts that send to one cold backend server.
pub const MAX_SENDERS: usize = 3;
/// Requests that one host may send at once.
pub const BURST: f64 = 1.0;
/// Share of the permitted rate that the senders use; each may exceed it by one request.
const USED_RATE_SHARE: f64 = 0.7;

/// Returns the requests per second that one of `senders` hosts may send to a cold server.
///
/// `per_second` is the rate that all hosts together may send to it.
pub fn rate(per_second: f64, senders: usize) -> f64 {
    USED_RATE_SHARE * per_second / senders.max(1) as f64
}

#[cfg(test)]
mod tests;
