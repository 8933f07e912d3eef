//! Whether a server ran a send, and since when.

use azurenotch_wire::time::Instant;
use std::time::Duration;

/// Status by which a server says that another one is responsible for the request.
const MISDIRECTED: u16 = 421;
/// Status of a server that pauses, if it names the time to come back.
const UNAVAILABLE: u16 = 503;

/// One send of a request to a server, with what was known when it was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// When the first byte was sent.
    pub sent: Instant,
    /// One-way delay to the server.
    pub delay: Duration,
    /// Expected wait at the server until it begins to run the request.
    pub wait: Duration,
    /// Average work of a request for an object that the server has in its cache.
    pub warm: Duration,
    /// Average work of other requests.
    pub cold: Duration,
    /// Whether the connection had served another request before.
    pub is_reused: bool,
}

/// End of a send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// No byte was sent.
    Unsent,
    /// The head of a valid answer arrived.
    Answered {
        /// Arrival of the first byte.
        at: Instant,
        /// Status.
        status: u16,
        /// Whether the answer has the header by which the server declines the request.
        is_declined: bool,
        /// Whether the answer names the time to come back.
        has_retry_after: bool,
    },
    /// The answer was malformed, unsigned or broken off.
    Broken {
        /// Arrival of its first byte.
        at: Instant,
    },
    /// The connection closed without an answer.
    Closed {
        /// When it closed.
        at: Instant,
    },
    /// No answer arrived until the host stopped waiting.
    Silent {
        /// When it stopped.
        at: Instant,
    },
}

/// Returns when the server began to run the request, or `None` if it did not run it.
pub fn begin(attempt: &Attempt, end: End) -> Option<Instant> {
    match end {
        End::Unsent => None,
        End::Answered {
            at,
            status,
            is_declined,
            has_retry_after,
        } => {
            let is_paused = status == UNAVAILABLE && has_retry_after;
            let has_run = !is_declined && !is_paused && status != MISDIRECTED;
            has_run.then(|| before_answer(attempt, at))
        }
        End::Broken { at } => Some(before_answer(attempt, at)),
        End::Closed { at } if attempt.is_reused && at.since(attempt.sent) <= 2 * attempt.delay => {
            None
        }
        End::Closed { at } | End::Silent { at } => {
            let began = attempt.sent + attempt.delay + attempt.wait;
            (at > began).then_some(began)
        }
    }
}

/// Returns when the run began whose answer arrived at `at`.
fn before_answer(attempt: &Attempt, at: Instant) -> Instant {
    let at_server = at.since(attempt.sent).saturating_sub(2 * attempt.delay);
    let is_cold = at_server.abs_diff(attempt.cold) < at_server.abs_diff(attempt.warm);
    let work = if is_cold { attempt.cold } else { attempt.warm };
    (at - attempt.delay - work).max(attempt.sent + attempt.delay)
}
