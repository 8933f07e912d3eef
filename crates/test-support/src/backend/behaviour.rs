//! Behaviour of a backend server.

use azurenotch_wire::id::Release;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

const HISTORY_LIMIT: usize = 10_000;

/// How a backend server answers; all of it can be changed while it runs.
#[derive(Debug, Clone)]
pub struct Behaviour {
    /// Release label.
    pub release: Release,
    /// Number of requests that run at once; further ones are shed with `503`.
    pub slots: usize,
    /// Time until the answer starts.
    pub latency: Duration,
    /// Largest random addition to `latency`.
    pub jitter: Duration,
    /// Share of requests, from 0 to 1, that are answered with `500`.
    pub error_share: f64,
    /// Slowness after the start.
    pub cold: Cold,
    /// Fault of the answers.
    pub mode: Mode,
    /// Whether the server is healthy; an unhealthy one still answers requests.
    pub healthy: bool,
    /// What `/health` reports.
    pub health_reported: Reported<bool>,
    /// What `/load` reports.
    pub load_reported: Reported<usize>,
    /// Seed of jitter and errors, read at the start.
    pub seed: u64,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            release: "1".into(),
            slots: 9,
            latency: Duration::ZERO,
            jitter: Duration::ZERO,
            error_share: 0.0,
            cold: Cold::default(),
            mode: Mode::Right,
            healthy: true,
            health_reported: Reported::Truth,
            load_reported: Reported::Truth,
            seed: 1,
        }
    }
}

/// Slowness after the start: a request is slow while either bound holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Cold {
    /// Number of first requests that are slow.
    pub requests: u64,
    /// Time during which requests are slow.
    pub time: Duration,
    /// Addition to the latency of a slow request.
    pub extra: Duration,
}

/// Fault of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// The answer is right.
    Right,
    /// The answer echoes another request id.
    WrongId,
    /// The answer echoes no request id.
    MissingId,
    /// The connection closes after half of the body.
    Truncated,
    /// The answer arrives late by this time.
    Late(Duration),
    /// The connection closes without an answer.
    Hangup,
}

/// What a report endpoint answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reported<T> {
    /// The current value.
    Truth,
    /// This value, whatever is true.
    Lie(T),
    /// The value as it was this long ago.
    Lag(Duration),
}

impl<T: Copy> Reported<T> {
    pub(super) fn report(self, history: &History<T>) -> T {
        match self {
            Self::Truth => history.before(Duration::ZERO),
            Self::Lie(value) => value,
            Self::Lag(time) => history.before(time),
        }
    }
}

/// Answer of `/load`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in flight.
    pub in_flight: usize,
    /// Slots of the server.
    pub slots: usize,
}

/// Bounded record of a value over time.
#[derive(Debug)]
pub(super) struct History<T>(Mutex<VecDeque<(Instant, T)>>);

impl<T: Copy> History<T> {
    pub(super) fn new(value: T) -> Self {
        Self(Mutex::new(VecDeque::from([(Instant::now(), value)])))
    }

    pub(super) fn push(&self, value: T) {
        let mut values = self.0.lock();
        if values.len() == HISTORY_LIMIT {
            values.pop_front();
        }
        values.push_back((Instant::now(), value));
    }

    /// Returns the value as it was, or the oldest known one.
    fn before(&self, time: Duration) -> T {
        let values = self.0.lock();
        let found = values.iter().rev().find(|(at, _)| at.elapsed() >= time);
        let (_, value) = found
            .or_else(|| values.front())
            .expect("a history is never empty");
        *value
    }
}
