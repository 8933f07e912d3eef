//! What learns how an attempt ended.

use crate::{
    request::{
        clock::Clock,
        shift::{Choice, Observation, Shift},
    },
    version::current::Place,
};
use azurenotch_core::{request::access::Grant, version::balance::Verdict};
use prometheus::IntCounter;
use std::{sync::Arc, time::Duration};

/// Tells the choice of backend servers and the version move how an attempt ended.
///
/// The attempt counts as running at its backend server until this value is dropped.
#[derive(Debug)]
pub struct Watch {
    place: Place,
    grant: Grant,
    choice: Choice,
    clock: Arc<dyn Clock>,
    shift: Arc<dyn Shift>,
    broken: IntCounter,
}

impl Watch {
    /// Creates a watch over an attempt; `broken` counts answers whose body breaks.
    pub fn new(
        place: Place,
        grant: Grant,
        choice: Choice,
        clock: Arc<dyn Clock>,
        shift: Arc<dyn Shift>,
        broken: IntCounter,
    ) -> Self {
        Self {
            place,
            grant,
            choice,
            clock,
            shift,
            broken,
        }
    }

    /// Takes note of the answer's header or of the failure of the attempt.
    pub fn end(&mut self, verdict: Verdict, latency: Duration) {
        self.place.end(self.clock.now(), verdict, latency);
        if verdict != Verdict::Abandoned {
            self.record(verdict != Verdict::Answered, latency);
        }
    }

    /// Takes note that the body of the answer broke after its header was passed on.
    ///
    /// `by_server` is whether the backend server broke it off.
    pub fn break_off(&mut self, by_server: bool) {
        self.broken.inc();
        if by_server {
            // The header was recorded as an answer; the failure is recorded in addition to it.
            self.place
                .end(self.clock.now(), Verdict::Failed, Duration::ZERO);
            self.record(true, Duration::ZERO);
        }
    }

    fn record(&self, failed: bool, latency: Duration) {
        let holder = self.grant.holder.as_ref();
        let observation = Observation {
            service: &self.grant.route.service,
            choice: &self.choice,
            route: &self.grant.name,
            workspace: holder.map(|holder| &holder.workspace),
            failed,
            latency,
        };
        self.shift.record(self.clock.now(), &observation);
    }
}
