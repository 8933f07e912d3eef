//! Whether a request is sent now or turned away at once.
//!
//! Load pattern: bursts, hot workspaces and lost data centres ask for more than the backend servers
//! can do. A queue that is longer than the latency objective makes every answer late, so that a
//! server works at full speed and nobody is served well. Requests that would wait for longer than
//! their objective allows are refused at once and told when the queue will be short again. The ones
//! that came back after a refusal, and those of a better rank, may wait for longer.

use std::time::Duration;

/// Share of the latency objective that the queue may take for requests of rank 0.
const WAIT_SHARE: f64 = 1.0;
/// Factor by which the permitted wait shrinks with each rank.
const RANK_FACTOR: f64 = 0.85;
/// Lowest rank that is told apart.
const LAST_RANK: u32 = 4;
/// Part of the time left that has to remain when the answer is expected.
const RESERVE: f64 = 0.05;
/// Shortest time after which a refused caller comes back.
const MIN_RETRY: Duration = Duration::from_millis(150);
/// Longest time after which a refused caller comes back.
const MAX_RETRY: Duration = Duration::from_secs(2);
/// Range over which callers that were refused together are spread.
const SPREAD: Duration = Duration::from_millis(300);

/// Largest part of the time for a stop that a request has to have left.
///
/// A route whose time is longer is served after the stop was announced all the same.
const STOP_SHARE: f64 = 0.42;

/// A request at the best place for it.
#[derive(Debug, Clone, Copy)]
pub struct Offer {
    /// Expected time until the answer.
    pub expected: Duration,
    /// Part of it in the server's queue.
    pub wait: Duration,
    /// Time left until the deadline.
    pub left: Duration,
    /// Latency objective of the route.
    pub objective: Duration,
    /// Rank of the request; 0 is served first.
    pub rank: u32,
}

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It is sent.
    Send,
    /// It is refused; its caller may come back after a time.
    Refuse(Duration),
}

/// Decides about a request; `spread` in 0..1 is random.
pub fn decide(offer: &Offer, spread: f64) -> Decision {
    let rank = f64::from(offer.rank.min(LAST_RANK));
    let permitted = offer.objective.mul_f64(WAIT_SHARE * RANK_FACTOR.powf(rank));
    let late = offer.expected.mul_f64(1.0 + RESERVE) > offer.left;
    if !late && offer.wait <= permitted {
        return Decision::Send;
    }
    let drained = offer.wait.saturating_sub(permitted);
    Decision::Refuse(retry_after(drained, spread))
}

/// Returns whether a host that is stopping takes a request that may last for `time`.
///
/// Load pattern: hosts are stopped in turn while callers still use look-ups that named them, and
/// slow servers use the whole time of a route. A request that might still run when the process ends
/// is refused while that is true, instead of being cut with an unknown outcome. `left` is the time
/// until requests are cut, and `grace` that from the announcement of the stop.
pub fn ends_before_stop(time: Duration, left: Duration, grace: Duration) -> bool {
    time.min(grace.mul_f64(STOP_SHARE)) <= left
}

/// Returns when a refused caller comes back, given the time until there is room.
pub fn retry_after(room: Duration, spread: f64) -> Duration {
    room.clamp(MIN_RETRY, MAX_RETRY) + SPREAD.mul_f64(spread.clamp(0.0, 1.0))
}

#[cfg(test)]
mod tests;
