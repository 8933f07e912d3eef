//! Pauses that backend servers ask for when they decline requests.
//!
//! Load pattern: servers in overload decline requests and say for how long they want none. Hosts
//! that heard it at the same time must not all return at the same instant.

use crate::request::decimal;
use azurenotch_wire::time::Instant;
use std::time::Duration;

/// Longest pause; longer ones do not end while a process runs.
const MAX_PAUSE: Duration = Duration::from_hours(24 * 365);
/// Range of the jitter that spreads the return of hosts, as a share of the pause.
const JITTER_SHARE: f64 = 0.25;
/// Largest jitter.
const MAX_JITTER: Duration = Duration::from_millis(500);

/// Parses the value of a `Retry-After` header in seconds, with an optional fraction.
///
/// Returns `None` for anything else, dates included.
pub fn parse(text: &str) -> Option<Duration> {
    let seconds = decimal::parse(text)?;
    let pause = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_PAUSE);
    Some(pause.min(MAX_PAUSE))
}

/// Returns when a host sends requests again; `jitter` is a random number in 0..1.
pub fn end(now: Instant, pause: Duration, jitter: f64) -> Instant {
    now + pause + pause.mul_f64(JITTER_SHARE).min(MAX_JITTER).mul_f64(jitter)
}

#[cfg(test)]
mod tests;
