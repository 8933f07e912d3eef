//! Reports the result of an attempt to the balancer and the version move.

use crate::{
    request::{
        clock::Clock,
        release::{Choice, Observation, Selector},
    },
    version::current::ServerSlot,
};
use azurenotch_core::{request::access::Grant, version::balance::Verdict};
use prometheus::IntCounter;
use std::{sync::Arc, time::Duration};

/// Reports the result of an attempt to the balancer and the version move.
///
/// The attempt counts as running at its backend server until this value is dropped.
#[derive(Debug)]
pub struct Observer {
    slot: ServerSlot,
    grant: Grant,
    choice: Choice,
    clock: Arc<dyn Clock>,
    selector: Arc<dyn Selector>,
    broken_answers: IntCounter,
}

impl Observer {
    /// Creates the observer of an attempt; `broken_answers` counts answers whose body breaks.
    pub fn new(
        slot: ServerSlot,
        grant: Grant,
        choice: Choice,
        clock: Arc<dyn Clock>,
        selector: Arc<dyn Selector>,
        broken_answers: IntCounter,
    ) -> Self {
        Self {
            slot,
            grant,
            choice,
            clock,
            selector,
            broken_answers,
        }
    }

    /// Records the verdict on the attempt and the latency of the answer's header.
    pub fn record_end(&mut self, verdict: Verdict, latency: Duration) {
        self.slot.set_result(self.clock.now(), verdict, latency);
        if verdict != Verdict::Abandoned {
            self.record(verdict != Verdict::Answered, latency);
        }
    }

    /// Records that the body of the answer broke after its header was passed on.
    ///
    /// `by_server` is false if the host itself ended the body because the key was withdrawn.
    pub fn record_broken_body(&mut self, by_server: bool) {
        self.broken_answers.inc();
        if by_server {
            // The header was already recorded as an answer; the failure is recorded in addition.
            self.slot
                .set_result(self.clock.now(), Verdict::Failed, Duration::ZERO);
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
        self.selector.record(self.clock.now(), &observation);
    }
}
