//! Behaviour of a backend server.

use azurenotch_wire::id::Release;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

const MAX_HISTORY_ENTRIES: usize = 10_000;

/// Configurable behaviour of a backend server; everything but the seed can change while it runs.
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
            mode: Mode::Normal,
            healthy: true,
            health_reported: Reported::Actual,
            load_reported: Reported::Actual,
            seed: 1,
        }
    }
}

/// Slowness after the start; a request is slow while either limit is not yet reached.
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
    /// The answer has no fault.
    Normal,
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

/// Value that a report endpoint returns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reported<T> {
    /// The current value.
    Actual,
    /// This value, regardless of the current one.
    Fixed(T),
    /// The value of this long ago.
    Delayed(Duration),
}

impl<T: Copy> Reported<T> {
    pub(super) fn report(self, history: &History<T>) -> T {
        match self {
            Self::Actual => history.before(Duration::ZERO),
            Self::Fixed(value) => value,
            Self::Delayed(time) => history.before(time),
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

/// Bounded history of a value over time.
#[derive(Debug)]
pub(super) struct History<T>(Mutex<VecDeque<(Instant, T)>>);

impl<T: Copy> History<T> {
    pub(super) fn new(value: T) -> Self {
        Self(Mutex::new(VecDeque::from([(Instant::now(), value)])))
    }

    pub(super) fn push(&self, value: T) {
        let mut values = self.0.lock();
        if values.len() == MAX_HISTORY_ENTRIES {
            values.pop_front();
        }
        values.push_back((Instant::now(), value));
    }

    /// Returns the value of the given time ago, or the oldest recorded one.
    fn before(&self, time: Duration) -> T {
        let values = self.0.lock();
        let found = values.iter().rev().find(|(at, _)| at.elapsed() >= time);
        let (_, value) = found
            .or_else(|| values.front())
            .expect("a history is never empty");
        *value
    }
}
