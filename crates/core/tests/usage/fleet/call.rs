//! Polls of the duty, and calls to the store and the endpoint.

use super::{Answer, Event, Fleet, Life};
use crate::{
    cloud::Arrival,
    host::PATH_LOST_MS,
    net::Place,
    verdict::{Flaw, Kind},
};
use azurenotch_core::process::usage::{Action, Claims, Read, Row, Sent, Stored, View, Write};
use azurenotch_wire::time::Instant;
use rand::Rng;
use std::time::Duration;

/// Time limits of calls to the store and to the endpoint.
const STORE_TIMEOUT_MS: u64 = 500;
const CLOUD_TIMEOUT_MS: u64 = 1_000;
/// Probability that a host is suspended just after it sent a write.
const SUSPENSION: f64 = 0.04;

impl Fleet {
    pub(super) fn poll(&mut self, index: usize) {
        let now = self.now;
        let life = self.life(index);
        let host = &mut self.hosts[index];
        let mut moments = host.moments(now);
        if self.flaw == Flaw::SteadyOnly {
            moments.boot = moments.steady;
        }
        let collectors = host.collectors(now);
        let no_claims = Claims::default();
        let view = View {
            rank: collectors.iter().position(|it| *it == index),
            era: host.era,
            claims: match self.flaw {
                Flaw::NoClaims => &no_claims,
                _ => &host.claims,
            },
            ledger: &host.ledger,
        };
        let action = host.reporter.poll(moments, &view);
        host.reporter.take_events();
        self.perform(life, moments.steady, action);
    }

    fn perform(&mut self, life: Life, now: Instant, action: Action) {
        let Life(index, incarnation) = life;
        match action {
            Action::Wait(until) => {
                let delay = until.since(now).as_millis() as u64;
                self.polls[index] += 1;
                self.at(delay.max(1), Event::Poll(life, self.polls[index]));
            }
            Action::Read => {
                self.verdict.reads += 1;
                let lost = Answer::Read(Read::Unavailable);
                let call = self.begin(life, STORE_TIMEOUT_MS, lost);
                self.call(life, Place::Store, Event::Read(life, call));
            }
            Action::Write {
                row,
                expected_version,
            } => self.begin_write(life, row, expected_version),
            Action::Send { report, token } => {
                self.verdict.sends += 1;
                let lost = Answer::Sent(Sent::Unanswered);
                let call = self.begin(life, CLOUD_TIMEOUT_MS, lost);
                let arrival = Arrival {
                    host: index,
                    incarnation,
                    token: token - u64::from(self.hosts[index].is_lowered),
                    report,
                };
                self.call(life, Place::Cloud, Event::Report(life, call, arrival));
            }
        }
    }

    fn begin_write(&mut self, life: Life, mut row: Row, expected: Option<u64>) {
        self.verdict.writes += 1;
        if self.kind == Kind::Faults && self.rng.random_bool(SUSPENSION) {
            let delay = self.rng.random_range(0..60);
            self.at(delay, Event::Suspend(life));
        }
        let host = &mut self.hosts[life.0];
        if self.flaw == Flaw::SameToken {
            let last = host.last_row.as_ref();
            let is_takeover = last.is_some_and(|last| last.token + 1 == row.token);
            host.is_lowered = is_takeover;
            row.token -= u64::from(is_takeover);
        }
        let call = self.begin(life, STORE_TIMEOUT_MS, Answer::Write(Write::Ambiguous));
        let token = row.token;
        self.call(life, Place::Store, Event::Write(life, call, row, expected));
        if self.flaw == Flaw::SendFirst {
            let written = Write::Written {
                version: expected.map_or(0, |version| version + 1),
                era: (token >> 32) as u32,
                clock: None,
            };
            self.answer(life, call, Answer::Write(written));
        }
    }

    /// Begins a call that gets `lost` as its result after the time limit.
    fn begin(&mut self, life: Life, timeout_ms: u64, lost: Answer) -> u64 {
        self.calls[life.0] += 1;
        let call = self.calls[life.0];
        self.at(timeout_ms, Event::Answer(life, call, lost));
        call
    }

    fn call(&mut self, life: Life, to: Place, event: Event) {
        let from = Place::Host(life.0);
        if let Some(delay) = self.net.call(&mut self.rng, self.now, from, to) {
            self.at(delay, event);
        }
    }

    pub(super) fn reply(
        &mut self,
        life: Life,
        call: u64,
        from: Place,
        down_until: u64,
        answer: Answer,
    ) {
        let to = Place::Host(life.0);
        let delay = self.net.call(&mut self.rng, self.now, from, to);
        if let Some(delay) = delay.filter(|_| self.now >= down_until) {
            self.at(delay, Event::Answer(life, call, answer));
        }
    }

    pub(super) fn write(&mut self, life: Life, call: u64, row: Row, expected: Option<u64>) {
        if self.now < self.store.down_until {
            return;
        }
        let write = match self.store.write(self.now, row, expected) {
            None => Write::Conflict,
            Some(version) => Write::Written {
                version,
                era: self.store.era(),
                clock: Some(self.store.clock(self.now)),
            },
        };
        self.reply(life, call, Place::Store, 0, Answer::Write(write));
    }

    pub(super) fn answer(&mut self, life: Life, call: u64, answer: Answer) {
        if self.calls[life.0] != call {
            return;
        }
        let copy = answer.clone();
        let Some(index) = self.awake(life, || Event::Answer(life, call, copy)) else {
            return;
        };
        // A later result of the same call is ignored.
        self.calls[index] += 1;
        let no_wait = self.flaw == Flaw::NoWait;
        let now = self.now;
        let host = &mut self.hosts[index];
        let mut moments = host.moments(now);
        if self.flaw == Flaw::SteadyOnly {
            moments.boot = moments.steady;
        }
        match answer {
            Answer::Read(mut read) => {
                match &mut read {
                    Read::Stored(Stored {
                        row: Some((_, row)),
                        ..
                    }) => {
                        host.last_row = Some(row.clone());
                        if no_wait {
                            row.clock = Duration::ZERO;
                        }
                    }
                    Read::Stored(_) => {}
                    Read::Unavailable => host.path_lost_until = now + PATH_LOST_MS,
                }
                host.reporter.on_read(moments, read);
            }
            Answer::Write(write) => {
                if write == Write::Ambiguous {
                    host.path_lost_until = now + PATH_LOST_MS;
                }
                host.reporter.on_write(moments, write);
            }
            Answer::Sent(sent) => host.reporter.on_sent(moments, sent),
        }
        self.poll(index);
    }
}
