//! Latency, ejection and ramp-up of one backend server.

use super::{RAMP_START_SHARE, Transition, Verdict};
use azurenotch_wire::time::Instant;
use std::time::Duration;

/// Consecutive failures after which a backend server is ejected.
const FAILURES_TO_EJECT: u32 = 5;
/// Duration of the first ejection; each further one lasts twice as long.
const FIRST_EJECTION: Duration = Duration::from_secs(5);
/// Upper bound of the duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_mins(1);
/// Time over which the share of a cold or restored backend server grows to its full value.
const RAMP_UP: Duration = Duration::from_secs(10);
/// Weight of a new measurement in the exponential moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.1;
/// Latency assumed before the first measurement.
const INITIAL_LATENCY: Duration = Duration::from_millis(5);
/// Lower bound of the average latency, so that a server that fails fast does not attract requests.
const MIN_LATENCY: Duration = Duration::from_micros(100);

/// Health of one backend server, measured from this host's own requests.
#[derive(Debug)]
pub(super) struct Health {
    latency: Duration,
    /// Consecutive failures since the last answer or ejection.
    failures: u32,
    /// Ejections since the server last completed a ramp-up.
    ejections: u32,
    ejected_until: Option<Instant>,
    /// Start of the ramp-up, or `None` if the backend server never had one.
    ramp_start: Option<Instant>,
}

impl Health {
    pub(super) fn new(now: Instant, cold: bool) -> Self {
        Self {
            latency: INITIAL_LATENCY,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            ramp_start: cold.then_some(now),
        }
    }

    pub(super) const fn latency(&self) -> Duration {
        self.latency
    }

    pub(super) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the share of its slots that the server may use at `now`.
    pub(super) fn ramp_share(&self, now: Instant) -> f64 {
        let Some(start) = self.ramp_start else {
            return 1.0;
        };
        let progress = now.since(start).as_secs_f64() / RAMP_UP.as_secs_f64();
        (RAMP_START_SHARE + (1.0 - RAMP_START_SHARE) * progress).min(1.0)
    }

    pub(super) fn observe(
        &mut self,
        now: Instant,
        verdict: Verdict,
        latency: Duration,
        may_eject: bool,
    ) -> Option<Transition> {
        match verdict {
            Verdict::Answered => self.answered(now, latency),
            Verdict::Failed => self.failed(now, may_eject),
            Verdict::Shed | Verdict::Abandoned => None,
        }
    }

    fn answered(&mut self, now: Instant, latency: Duration) -> Option<Transition> {
        let average = self.latency.as_secs_f64() * (1.0 - LATENCY_WEIGHT)
            + latency.as_secs_f64() * LATENCY_WEIGHT;
        self.latency = Duration::from_secs_f64(average).max(MIN_LATENCY);
        self.failures = 0;
        let ejection_ended = self.ejected_until.is_some_and(|until| now >= until);
        if ejection_ended && self.ramp_share(now) >= 1.0 {
            self.ejections = 0;
            self.ejected_until = None;
            return Some(Transition::Restored);
        }
        None
    }

    fn failed(&mut self, now: Instant, may_eject: bool) -> Option<Transition> {
        self.failures += 1;
        if self.failures < FAILURES_TO_EJECT || self.is_ejected(now) || !may_eject {
            return None;
        }
        let factor = 2_u32.saturating_pow(self.ejections);
        let until = now + FIRST_EJECTION.saturating_mul(factor).min(MAX_EJECTION);
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = Some(until);
        self.ramp_start = Some(until);
        Some(Transition::Ejected)
    }
}
