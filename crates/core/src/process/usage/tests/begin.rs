//! Guards against sends that are counted although they did not run, or in another window.

use crate::process::usage::{Attempt, End, begin};
use azurenotch_wire::time::Instant;
use std::time::Duration;
use test_case::test_case;

const SENT_MS: u64 = 1_000;

fn at(after_ms: u64) -> Instant {
    Instant::from_millis(SENT_MS + after_ms)
}

fn answered(after_ms: u64, status: u16, is_declined: bool, has_retry_after: bool) -> End {
    End::Answered {
        at: at(after_ms),
        status,
        is_declined,
        has_retry_after,
    }
}

// One-way delay 20 ms, expected wait 50 ms, work 100 ms or 400 ms.
#[test_case(false, End::Unsent => None; "no byte was sent")]
#[test_case(false, answered(140, 200, false, false) => Some(20); "warm work without wait")]
#[test_case(false, answered(240, 200, false, false) => Some(120); "warm work after a wait")]
#[test_case(false, answered(440, 200, false, false) => Some(20); "cold work")]
#[test_case(false, answered(60, 200, false, false) => Some(20); "not before the request arrived")]
#[test_case(false, answered(140, 500, false, false) => Some(20); "an error ran")]
#[test_case(false, answered(140, 429, false, true) => Some(20); "status 429 without the header ran")]
#[test_case(false, answered(140, 503, false, false) => Some(20); "status 503 without the time ran")]
#[test_case(false, answered(140, 503, false, true) => None; "paused")]
#[test_case(false, answered(140, 421, false, false) => None; "misdirected")]
#[test_case(false, answered(140, 200, true, false) => None; "declined")]
#[test_case(false, End::Broken { at: at(140) } => Some(20); "broken answer")]
#[test_case(true, End::Closed { at: at(40) } => None; "reused connection closed at once")]
#[test_case(true, End::Closed { at: at(71) } => Some(70); "reused connection closed later")]
#[test_case(false, End::Closed { at: at(40) } => None; "new connection closed before the run")]
#[test_case(false, End::Silent { at: at(70) } => None; "silent for as long as the wait")]
#[test_case(false, End::Silent { at: at(71) } => Some(70); "silent for longer")]
fn a_run_begins(is_reused: bool, end: End) -> Option<u64> {
    let attempt = Attempt {
        sent: at(0),
        delay: Duration::from_millis(20),
        wait: Duration::from_millis(50),
        warm: Duration::from_millis(100),
        cold: Duration::from_millis(400),
        is_reused,
    };
    begin(&attempt, end).map(|began| began.as_nanos() / 1_000_000 - SENT_MS)
}
