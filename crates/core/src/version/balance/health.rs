//! Latency, ejection and ramp-up of one backend server.

use super::{RAMP_START, Shift, Verdict};
use azurenotch_wire::time::Instant;
use std::time::Duration;

/// Failures in a row after which a backend server is ejected.
const FAILURES_TO_EJECT: u32 = 5;
/// Length of the first ejection; each following one is twice as long.
const FIRST_EJECTION: Duration = Duration::from_secs(5);
/// Longest ejection.
const LONGEST_EJECTION: Duration = Duration::from_mins(1);
/// Time over which a cold or restored backend server returns to its full share.
const RAMP_UP: Duration = Duration::from_secs(10);
/// Weight of a new measurement in the moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.1;
/// Latency assumed before the first measurement.
const FIRST_LATENCY: Duration = Duration::from_millis(5);
/// Lower bound of the latency, so that a server that answers errors at once does not attract work.
const LEAST_LATENCY: Duration = Duration::from_micros(100);

/// What is known about one backend server from requests of this host.
#[derive(Debug)]
pub(super) struct Health {
    latency: Duration,
    /// Failures since the last answer.
    failures: u32,
    /// Ejections since the last time without failures.
    ejections: u32,
    ejected_until: Option<Instant>,
    /// Start of the ramp-up, or `None` for a backend server with its full share.
    ramp_from: Option<Instant>,
}

impl Health {
    pub(super) fn new(now: Instant, cold: bool) -> Self {
        Self {
            latency: FIRST_LATENCY,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            ramp_from: cold.then_some(now),
        }
    }

    pub(super) const fn latency(&self) -> Duration {
        self.latency
    }

    pub(super) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the share of its slots that the server takes now.
    pub(super) fn ramp(&self, now: Instant) -> f64 {
        let Some(from) = self.ramp_from else {
            return 1.0;
        };
        let progress = now.since(from).as_secs_f64() / RAMP_UP.as_secs_f64();
        (RAMP_START + (1.0 - RAMP_START) * progress).min(1.0)
    }

    pub(super) fn observe(
        &mut self,
        now: Instant,
        verdict: Verdict,
        latency: Duration,
        may_eject: bool,
    ) -> Option<Shift> {
        match verdict {
            Verdict::Answered => self.answered(now, latency),
            Verdict::Failed => self.failed(now, may_eject),
            Verdict::Shed | Verdict::Abandoned => None,
        }
    }

    fn answered(&mut self, now: Instant, latency: Duration) -> Option<Shift> {
        let blend = self.latency.as_secs_f64() * (1.0 - LATENCY_WEIGHT)
            + latency.as_secs_f64() * LATENCY_WEIGHT;
        self.latency = Duration::from_secs_f64(blend).max(LEAST_LATENCY);
        self.failures = 0;
        let over = self.ejected_until.is_some_and(|until| now >= until);
        if over && self.ramp(now) >= 1.0 {
            self.ejections = 0;
            self.ejected_until = None;
            return Some(Shift::Restored);
        }
        None
    }

    fn failed(&mut self, now: Instant, may_eject: bool) -> Option<Shift> {
        self.failures += 1;
        if self.failures < FAILURES_TO_EJECT || self.is_ejected(now) || !may_eject {
            return None;
        }
        let factor = 2_u32.saturating_pow(self.ejections);
        let until = now + FIRST_EJECTION.saturating_mul(factor).min(LONGEST_EJECTION);
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = Some(until);
        self.ramp_from = Some(until);
        Some(Shift::Ejected)
    }
}
