//! Outcomes of sends and requests.

use super::{Engine, MAX_DECLINED_SENDS, MAX_RUNS};
use crate::{event::Send, report::Outcome};
use azurenotch_core::{
    request::admission,
    version::{
        limit::Statement,
        placement::{Load, Verdict},
    },
};
use azurenotch_wire::time::Instant;
use rand::Rng;
use std::{mem, time::Duration};

impl Engine<'_> {
    /// Records the outcome of a send at its host, which answers, retries or refuses the request.
    pub(super) fn receive_outcome(&mut self, send: Send, verdict: Verdict, load: Option<Load>) {
        let now = self.now;
        let it = &mut self.requests[send.request];
        if it.ended || it.current != Some(send) {
            return;
        }
        it.current = None;
        let own = &mut self.hosts[send.host];
        if let Some(load) = load {
            own.placement.observe_load(now, send.choice.index, load);
        }
        let took = now.since(send.at);
        own.placement.end(now, &send.choice, verdict, took);
        match verdict {
            Verdict::Answered => {
                own.gate.on_answer(now, &it.applicant);
                self.answer(send.request);
            }
            Verdict::Shed | Verdict::Paused | Verdict::Unreachable => {
                it.declined += 1;
                if it.declined > MAX_DECLINED_SENDS || !own.take_retry(now) {
                    let wait = admission::retry_after(Duration::ZERO, self.random.random());
                    self.refuse(send.request, wait);
                } else {
                    self.dispatch(send.request, send.host);
                }
            }
            Verdict::Failed | Verdict::Abandoned => {
                it.runs += 1;
                if it.runs < MAX_RUNS && own.take_retry(now) {
                    self.dispatch(send.request, send.host);
                } else {
                    self.fail(send.request);
                }
            }
        }
    }

    /// Takes in the limit that a server named in an answer, or that it named none.
    pub(super) fn hear_limit(&mut self, send: Send, verdict: Verdict, limit: Option<f64>) {
        if limit.is_some() {
            let server = self.hosts[send.host].server(&send.choice);
            self.servers[server].arrivals.tell(self.now, send.host);
        }
        if self.variant.limits && (verdict == Verdict::Answered || limit.is_some()) {
            let statement = Statement {
                limit,
                sent: send.at,
                received: self.now,
            };
            self.hosts[send.host].hear_limit(self.now, send.choice.index, statement);
        }
    }

    /// Abandons a send that has timed out; the request ends without another attempt.
    pub(super) fn expire(&mut self, send: Send) {
        let it = &mut self.requests[send.request];
        if it.ended || it.current != Some(send) {
            return;
        }
        it.current = None;
        let took = self.now.since(send.at);
        let placement = &mut self.hosts[send.host].placement;
        placement.end(self.now, &send.choice, Verdict::Abandoned, took);
        if self.now >= it.gives_up_at {
            self.give_up(send.request);
        } else {
            self.fail(send.request);
        }
    }

    pub(super) fn answer(&mut self, request: usize) {
        let it = &self.requests[request];
        let took = (self.now + self.site.access).since(it.started);
        if self.now + self.site.access > it.gives_up_at {
            self.give_up(request);
            return;
        }
        let outcome = Outcome::Answered {
            ms: took.as_millis() as u64,
            in_time: took <= self.site.objective,
        };
        self.record_outcome(request, outcome);
    }

    pub(super) fn fail(&mut self, request: usize) {
        self.record_outcome(request, Outcome::Failed);
    }

    /// Refuses an attempt; the caller retries after `wait`, or the request ends.
    pub(super) fn refuse(&mut self, request: usize, wait: Duration) {
        let it = &mut self.requests[request];
        it.current = None;
        let counted = self.now.since(Instant::ZERO).as_secs_f64() >= self.pattern.counted_from_s;
        if it.returned && counted {
            self.report.refused_again += 1;
        }
        it.returned = true;
        if it.retries_left == 0 {
            self.record_outcome(request, Outcome::Refused);
            return;
        }
        it.retries_left -= 1;
        let pause = if it.retries_at_once {
            Duration::ZERO
        } else {
            wait
        };
        self.schedule_attempt(request, self.site.access + pause);
    }

    /// Ends a request whose caller has given up; it is not counted if that was before the objective.
    pub(super) fn give_up(&mut self, request: usize) {
        let it = &self.requests[request];
        let early = it.gives_up_at.since(it.started) < self.site.objective;
        if early {
            self.requests[request].ended = true;
        } else {
            self.record_outcome(request, Outcome::Failed);
        }
    }

    pub(super) fn record_outcome(&mut self, request: usize, outcome: Outcome) {
        let it = &mut self.requests[request];
        if mem::replace(&mut it.ended, true) {
            return;
        }
        let started = it.started.since(Instant::ZERO).as_secs_f64();
        self.report.record(started, it.workspace, outcome);
    }
}
