//! Choice of a backend server.

use azurenotch_wire::time::Instant;
use std::{fmt::Debug, time::Duration};

/// Chooses among the backend servers of one service and version, by their position.
pub trait Select: Debug + Send {
    /// Returns the backend server for the next attempt, or `None` if none can take it.
    fn pick(&mut self, now: Instant, excluded: &[usize]) -> Option<usize>;

    /// Counts an attempt that starts.
    fn begin(&mut self, server: usize);

    /// Counts an attempt that ended.
    fn end(&mut self, server: usize, now: Instant, verdict: Verdict, latency: Duration);
}

/// What an attempt says about a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It answered.
    Answered,
    /// It did not answer, or not properly.
    Failed,
    /// The attempt ended for a reason that says nothing about it.
    Neutral,
}

/// Chooses the backend server with the fewest requests in flight, and the next in turn among equals.
#[derive(Debug, Clone)]
pub struct LeastInFlight {
    in_flight: Vec<u32>,
    next: usize,
}

impl LeastInFlight {
    /// Creates a choice among `servers` backend servers.
    pub fn new(servers: usize) -> Self {
        Self {
            in_flight: vec![0; servers],
            next: 0,
        }
    }
}

impl Select for LeastInFlight {
    fn pick(&mut self, _now: Instant, excluded: &[usize]) -> Option<usize> {
        let count = self.in_flight.len();
        let chosen = (0..count)
            .map(|offset| (self.next + offset) % count)
            .filter(|server| !excluded.contains(server))
            .min_by_key(|server| self.in_flight[*server])?;
        self.next = (chosen + 1) % count;
        Some(chosen)
    }

    fn begin(&mut self, server: usize) {
        self.in_flight[server] += 1;
    }

    fn end(&mut self, server: usize, _now: Instant, _verdict: Verdict, _latency: Duration) {
        self.in_flight[server] = self.in_flight[server].saturating_sub(1);
    }
}
