//! How sends and requests end.

use super::{ATTEMPTS, DECLINED, Engine};
use crate::{event::Send, report::End};
use azurenotch_core::{
    request::admission,
    version::placement::{Load, Verdict},
};
use azurenotch_wire::time::Instant;
use rand::Rng;
use std::{mem, time::Duration};

impl Engine<'_> {
    /// Lets a host learn how a send ended.
    pub(super) fn ended(&mut self, send: Send, verdict: Verdict, load: Option<Load>) {
        let now = self.now;
        let it = &mut self.requests[send.request];
        if it.over || it.current != Some(send) {
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
            Verdict::Answered => self.answer(send.request),
            Verdict::Shed | Verdict::Unreachable => {
                it.declined += 1;
                if it.declined > DECLINED || !own.repeats(now) {
                    let wait = admission::retry_after(Duration::ZERO, self.random.random());
                    self.refuse(send.request, wait);
                } else {
                    self.dispatch(send.request, send.host);
                }
            }
            Verdict::Failed | Verdict::Abandoned => {
                it.runs += 1;
                if it.runs < ATTEMPTS && own.repeats(now) {
                    self.dispatch(send.request, send.host);
                } else {
                    self.fail(send.request);
                }
            }
        }
    }

    /// Gives a send up; its caller gets its final answer at once.
    pub(super) fn expire(&mut self, send: Send) {
        let it = &mut self.requests[send.request];
        if it.over || it.current != Some(send) {
            return;
        }
        it.current = None;
        let took = self.now.since(send.at);
        let placement = &mut self.hosts[send.host].placement;
        placement.end(self.now, &send.choice, Verdict::Abandoned, took);
        if self.now >= it.leaves {
            self.leave(send.request);
        } else {
            self.fail(send.request);
        }
    }

    pub(super) fn answer(&mut self, request: usize) {
        let it = &self.requests[request];
        let took = (self.now + self.site.access).since(it.begun);
        if self.now + self.site.access > it.leaves {
            self.leave(request);
            return;
        }
        let end = End::Answered {
            ms: took.as_millis() as u64,
            in_time: took <= self.site.objective,
        };
        self.end(request, end);
    }

    pub(super) fn fail(&mut self, request: usize) {
        self.end(request, End::Failed);
    }

    /// Tells a caller to come back, if it does.
    pub(super) fn refuse(&mut self, request: usize, wait: Duration) {
        let it = &mut self.requests[request];
        it.current = None;
        if it.returns == 0 {
            self.end(request, End::Refused);
            return;
        }
        it.returns -= 1;
        let pause = if it.abusive { Duration::ZERO } else { wait };
        self.approach(request, self.site.access + pause);
    }

    /// Ends a request whose caller has left; one that left early counts for nothing.
    pub(super) fn leave(&mut self, request: usize) {
        let it = &self.requests[request];
        let early = it.leaves.since(it.begun) < self.site.objective;
        if early {
            self.requests[request].over = true;
        } else {
            self.end(request, End::Failed);
        }
    }

    pub(super) fn end(&mut self, request: usize, end: End) {
        let it = &mut self.requests[request];
        if mem::replace(&mut it.over, true) {
            return;
        }
        let begun = it.begun.since(Instant::ZERO).as_secs_f64();
        self.report.end(begun, end);
    }
}
