//! Admission control: sends a request now or refuses it at once.
//!
//! Load pattern: bursts, hot workspaces and lost data centres demand more than the backend servers
//! can serve. Once a server's queue is longer than the latency objective, every answer is late
//! although the server works at full speed. A request that would wait longer than its objective
//! allows is therefore refused at once, with the time after which the queue should be short enough.
//! Requests that return after a refusal, and requests of a better rank, may wait longer.

use std::time::Duration;

/// Longest permitted wait for rank 0, as a share of the latency objective.
const MAX_WAIT_SHARE: f64 = 1.0;
/// Factor applied to the permitted wait for each further rank.
const WAIT_FACTOR_PER_RANK: f64 = 0.85;
/// Highest rank number that is distinguished; higher ones are treated like it.
const MAX_RANK: u32 = 4;
/// Safety margin before the deadline, as a share of the expected time until the answer.
const DEADLINE_MARGIN: f64 = 0.05;
/// Factor applied to the permitted wait of a request that has to leave room for others.
///
/// The queue then stays short enough for those, while capacity that they leave is still used.
const SHORTER_WAIT_SHARE: f64 = 0.3;
/// Factor applied to the permitted wait of a caller that was refused before.
///
/// Longer waits cost more late answers than they avoid second refusals: at 1.25, 1.5 and 2, the
/// model's pattern `burst` refuses 66, 63 and 60 in 100 returning callers again on the site `wide`
/// (73 without), and its credit per request is 0.415, 0.408 and 0.394 (0.425 without).
const LONGER_WAIT_SHARE: f64 = 1.25;
/// Shortest delay before a refused caller retries.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Longest delay before a refused caller retries, without jitter.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Range of the jitter that spreads the retries of callers refused together.
const RETRY_JITTER: Duration = Duration::from_millis(300);

/// Expected service of a request at the backend server chosen for it.
#[derive(Debug, Clone, Copy)]
pub struct Estimate {
    /// Expected time until the answer.
    pub expected: Duration,
    /// Part of the expected time that is spent in the server's queue.
    pub wait: Duration,
    /// Time until the deadline.
    pub left: Duration,
    /// Latency objective of the route.
    pub objective: Duration,
    /// Rank of the request; rank 0 is served first.
    pub rank: u32,
    /// How long the request may wait, compared with others of its rank.
    pub allowance: Allowance,
}

/// How long a request may wait for a server, compared with others of its rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Allowance {
    /// A share of that, to leave room for other requests.
    Shorter,
    /// What the objective and the rank permit.
    #[default]
    Usual,
    /// A multiple of that, as far as its deadline permits.
    Longer,
}

/// Result of admission control.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request is sent.
    Send,
    /// The request is refused; the caller may retry after this delay.
    Refuse(Duration),
}

/// Decides whether a request is sent; `jitter` is a random number in 0..1.
pub fn decide(estimate: &Estimate, jitter: f64) -> Decision {
    match until_admissible(estimate) {
        None => Decision::Send,
        Some(until_admissible) => Decision::Refuse(retry_after(until_admissible, jitter)),
    }
}

/// Returns the expected time until a request would be admitted; `None` if it is admitted now.
pub fn until_admissible(estimate: &Estimate) -> Option<Duration> {
    let permitted = permitted_wait(estimate);
    let late = estimate.expected.mul_f64(1.0 + DEADLINE_MARGIN) > estimate.left;
    (late || estimate.wait > permitted).then(|| estimate.wait.saturating_sub(permitted))
}

/// Returns the longest wait with which a request is sent.
fn permitted_wait(estimate: &Estimate) -> Duration {
    let rank = f64::from(estimate.rank.min(MAX_RANK));
    let usual = estimate
        .objective
        .mul_f64(MAX_WAIT_SHARE * WAIT_FACTOR_PER_RANK.powf(rank));
    match estimate.allowance {
        Allowance::Shorter => usual.mul_f64(SHORTER_WAIT_SHARE),
        Allowance::Usual => usual,
        Allowance::Longer => usual.mul_f64(LONGER_WAIT_SHARE),
    }
}

/// Returns the delay before a refused caller retries.
///
/// `until_admissible` is the expected time until the request would be admitted; `jitter` is a random
/// number in 0..1.
pub fn retry_after(until_admissible: Duration, jitter: f64) -> Duration {
    until_admissible.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
        + RETRY_JITTER.mul_f64(jitter.clamp(0.0, 1.0))
}

/// Returns the delay before a caller retries whose servers have all asked for a pause.
///
/// `until_first_end` is the time until the first pause ends; `jitter` is a random number in 0..1.
pub fn retry_after_pause(until_first_end: Duration, jitter: f64) -> Duration {
    until_first_end + RETRY_JITTER.mul_f64(jitter.clamp(0.0, 1.0))
}

#[cfg(test)]
mod tests;
