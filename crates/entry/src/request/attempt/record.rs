//! Records how sends end, for the choice of servers and the evidence about a version move.

use super::Target;
use crate::process::state::State;
use azurenotch_core::{process::usage::End, version::placement::Verdict};
use azurenotch_wire::time::Instant;
use slog::info;
use std::{pin::pin, time::Duration};
use tokio::time::timeout;

/// Multiple of the expected work on an uncached object above which an answer counts as slow.
///
/// Slow answers are evidence against the new version of a move.
const SLOW_ANSWER_FACTOR: f64 = 2.2;

/// Send under way, recorded as abandoned if it is dropped before its end.
pub(super) struct Record<'a> {
    pub(super) state: &'a State,
    pub(super) target: &'a Target,
    /// Id of the request as sent by the caller, for logs.
    id: &'a str,
    pub(super) sent: Instant,
    /// Whether the connection has carried another request before.
    pub(super) reused: bool,
    /// End of the exchange; `None` while no answer has come.
    pub(super) end: Option<End>,
    /// Whether the send was counted as slow before its end.
    overdue: bool,
    ended: bool,
}

impl<'a> Record<'a> {
    pub(super) fn new(state: &'a State, target: &'a Target, id: &'a str) -> Self {
        Self {
            state,
            target,
            id,
            sent: state.now(),
            reused: false,
            end: Some(End::Unsent),
            overdue: false,
            ended: false,
        }
    }

    /// Waits for the end of an exchange that begins now, and counts it as slow as soon as it is.
    ///
    /// A server that hangs would otherwise be evidence only at the end of the time for an answer,
    /// when its version may have got all requests.
    pub(super) async fn watch<T>(&mut self, exchange: impl Future<Output = T>) -> T {
        let mut exchange = pin!(exchange);
        if let Some(limit) = self.slow_after() {
            if let Ok(ended) = timeout(limit, &mut exchange).await {
                return ended;
            }
            self.record_overdue();
        }
        exchange.await
    }

    /// Records the end of the send.
    pub(super) fn end(&mut self, verdict: Verdict) {
        self.ended = true;
        let now = self.state.now();
        self.count(now);
        let latency = now.since(self.sent);
        if verdict == Verdict::Unreachable {
            self.state.slew.lock().record_failure(now);
        }
        let mut fleets = self.state.fleets.lock();
        let Some(fleet) = fleets.get_mut(&self.target.service) else {
            return;
        };
        let choice = &self.target.choice;
        let slow = fleet
            .placement
            .slow_after(now, choice, SLOW_ANSWER_FACTOR)
            .is_some_and(|limit| latency > limit);
        if slow {
            info!(self.state.log(), "attempt: slower than expected"; "id" => self.id,
                "server" => %self.target.server, "version" => %self.target.release,
                "verdict" => ?verdict, "ms" => latency.as_millis() as u64,
                "expected-ms" => choice.expected.as_millis() as u64,
                "wait-ms" => choice.wait.as_millis() as u64, "warm" => choice.hit_probability);
        }
        fleet.placement.end(now, choice, verdict, latency);
        let failed = match verdict {
            Verdict::Answered => false,
            Verdict::Failed => true,
            // A send cut off after it was already slow is the same evidence as a slow answer.
            Verdict::Abandoned if slow => false,
            Verdict::Abandoned | Verdict::Shed | Verdict::Paused | Verdict::Unreachable => return,
        };
        let route = &self.target.grant.entry.name;
        let release = &self.target.release;
        if !self.overdue {
            fleet.observe_release(route, release, failed, slow);
        } else if failed {
            fleet.observe_failure(route, release);
        }
    }

    /// Returns the time after which the send is slow; `None` if that is no evidence.
    fn slow_after(&self) -> Option<Duration> {
        let fleets = self.state.fleets.lock();
        let fleet = fleets.get(&self.target.service)?;
        if fleet.cutover.is_none() || fleet.ended().is_some() {
            return None;
        }
        let choice = &self.target.choice;
        fleet
            .placement
            .slow_after(self.sent, choice, SLOW_ANSWER_FACTOR)
    }

    fn record_overdue(&mut self) {
        self.overdue = true;
        let mut fleets = self.state.fleets.lock();
        if let Some(fleet) = fleets.get_mut(&self.target.service) {
            let route = &self.target.grant.entry.name;
            fleet.observe_release(route, &self.target.release, false, true);
        }
    }
}

impl Drop for Record<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.end(Verdict::Abandoned);
        }
    }
}
