//! Calls in progress.

use crate::process::usage::{Moments, Report, Row};
use azurenotch_wire::time::Instant;
use std::time::Duration;

const BACK_OFF_MIN: Duration = Duration::from_millis(250);
const BACK_OFF_MAX: Duration = Duration::from_secs(2);

/// Call whose result is not known yet.
#[derive(Debug)]
pub(super) enum Call {
    Read { sent: Moments },
    Write { sent: Moments, update: Update },
    Send { report: Report, token: u64 },
}

/// Write of the row.
#[derive(Debug, Clone)]
pub(super) struct Update {
    pub(super) row: Row,
    /// Reports that the row did not have before.
    pub(super) fresh: Vec<Report>,
    pub(super) is_takeover: bool,
}

/// Time until the next call after calls without an answer.
#[derive(Debug, Default)]
pub(super) struct BackOff {
    failures: u32,
    until: Option<Instant>,
}

impl BackOff {
    pub(super) fn succeed(&mut self) {
        *self = Self::default();
    }

    pub(super) fn fail(&mut self, now: Instant) {
        let delay = BACK_OFF_MIN * 2_u32.saturating_pow(self.failures.min(8));
        self.failures = self.failures.saturating_add(1);
        self.until = Some(now + delay.min(BACK_OFF_MAX));
    }

    pub(super) fn is_due(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| until <= now)
    }

    pub(super) fn failures(&self) -> u32 {
        self.failures
    }
}
