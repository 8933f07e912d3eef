//! State machine of the duty to report.
//!
//! Each write of the row gives the right to send the reports in it for [`validity`]. Another host may
//! take the duty over [`takeover_time`] after the write, so that no send of the former holder arrives
//! after the first one of its successor.

mod call;
mod store;

use super::{
    Action, Claim, Event, Moments, Read, Report, Row, Sent, Setting, View, Window, Write,
    row::Holder,
};
use crate::process::wall::Time;
use azurenotch_wire::{
    hash,
    id::{Host, Incarnation},
    time::Instant,
};
use call::{BackOff, Call, Update};
use std::time::Duration;
use store::{Known, Origin, Reading, era_of};

/// Longest time for which the holder may send after a write.
const MAX_VALIDITY: Duration = Duration::from_secs(2);
/// Time beyond the lease after which another host may take the duty over.
///
/// It covers clock rates that differ and a send that is under way when the right to send ends.
const TAKEOVER_MARGIN: Duration = Duration::from_secs(1);
/// Delay between the first attempts of two collectors to write a window.
const WRITE_TURN_DELAY: Duration = Duration::from_millis(1_200);
/// Additional delay of a collector that may lack the counts of hosts that stopped.
///
/// It is longer than the turns of the others, and two such collectors write before the report is due.
const INCOMPLETE_DELAY: Duration = Duration::from_millis(2_600);
/// Delay between the attempts of two collectors to take over a report that was not accepted.
///
/// All have to fit between the earliest takeover and the time at which the report is due, one second.
const RESEND_TURN_DELAY: Duration = Duration::from_millis(250);
/// Time for which a host must have been a collector before it writes.
///
/// Hosts that begin to send it their counts need a round to notice, and one to send.
const COLLECT_TIME: Duration = Duration::from_millis(1_500);
/// Time between two polls after which the host was stopped and lacks counts.
const STALL: Duration = Duration::from_millis(1_500);
/// Change of the true time, beside the progress of the steady clock, after which it is unreliable.
const MAX_TIME_STEP: Duration = Duration::from_millis(500);
/// Longest wait between two polls.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// The same for a collector.
const COLLECTOR_WAIT: Duration = Duration::from_millis(100);
/// Number of unanswered sends after which the holder lets another collector try.
///
/// With a time limit of a second for each, they end before the second collector may take over.
const MAX_UNANSWERED: u32 = 2;

/// Returns for how long the holder may send after it sent a write.
fn validity(setting: &Setting) -> Duration {
    MAX_VALIDITY.min(setting.lease * 2 / 3)
}

/// Returns how old the last write must be for another host to take the duty over.
fn takeover_time(setting: &Setting) -> Duration {
    setting.lease + TAKEOVER_MARGIN
}

/// State of the duty at one host.
///
/// The caller performs one [`Action`] at a time and reports its result before it polls again. All
/// times of results are those at which the answers arrived.
#[derive(Debug)]
pub struct Reporter {
    setting: Setting,
    own: Holder,
    known: Claim,
    /// Highest window that is accepted, given up or left to nobody, as far as this host is concerned.
    settled: Window,
    /// Present era of the store.
    origin: Option<Origin>,
    /// Row as it was last read or written; `None` if it has to be read.
    row: Option<Known>,
    reading: Option<Reading>,
    /// When the last write was sent by which this host may send.
    lease: Option<Moments>,
    call: Option<Call>,
    store: BackOff,
    cloud: BackOff,
    started: Option<Instant>,
    /// Since when this host has been a collector without a stop.
    collector_since: Option<Instant>,
    /// Since when it has also had a reliable true time.
    ready_since: Option<Instant>,
    /// Time of the last poll.
    polled: Option<Moments>,
    events: Vec<Event>,
}

impl Reporter {
    /// Creates the state of a host that has just started.
    pub fn new(setting: Setting, host: Host, incarnation: Incarnation) -> Self {
        Self {
            setting,
            own: Holder { host, incarnation },
            known: Claim::default(),
            settled: Window::default(),
            origin: None,
            row: None,
            reading: None,
            lease: None,
            call: None,
            store: BackOff::default(),
            cloud: BackOff::default(),
            started: None,
            collector_since: None,
            ready_since: None,
            polled: None,
            events: Vec::new(),
        }
    }

    /// Returns the claim to send in each datagram.
    pub fn claim(&self) -> Claim {
        self.known
    }

    /// Returns whether this host holds the duty, as far as it knows.
    pub fn is_holder(&self) -> bool {
        self.own_row().is_some()
    }

    /// Returns whether a report may still be sent at `now`.
    ///
    /// To be checked immediately before the send; if not, the caller reports [`Sent::Unanswered`].
    pub fn may_send(&self, now: Moments) -> bool {
        let validity = validity(&self.setting);
        let is_valid = self.lease.is_some_and(|lease| {
            now.steady < lease.steady + validity && now.boot < lease.boot + validity
        });
        is_valid && self.own_row().is_some()
    }

    /// Returns what to do at `now`.
    pub fn poll(&mut self, now: Moments, view: &View<'_>) -> Action {
        self.hear(now, view);
        let wait = view.rank.map_or(MAX_WAIT, |_| COLLECTOR_WAIT);
        let until = now.steady + wait;
        let Some(time) = now.time.filter(|_| self.call.is_none()) else {
            return Action::Wait(until);
        };
        self.give_up(time);
        if let Some(report) = self.due_send(now) {
            return self.send(report);
        }
        let action = view
            .rank
            .and_then(|rank| self.call_store(now, time, rank, view));
        action.unwrap_or_else(|| Action::Wait(until.min(self.next_window(now, time, view))))
    }

    /// Handles the result of a read.
    pub fn on_read(&mut self, now: Moments, read: Read) {
        let Some(Call::Read { sent }) = self.call.take() else {
            return;
        };
        let current = self.origin.map_or(0, |origin| origin.era);
        match read {
            // An answer of an earlier era was under way while the store was restored.
            Read::Stored(stored) if stored.era >= current => {
                self.store.succeed();
                self.see_era(now, stored.era);
                self.reading = Some(Reading {
                    clock: stored.clock,
                    asked: sent.boot,
                });
                if let Some((_, row)) = &stored.row {
                    self.known = self.known.merge(row_claim(row));
                }
                let free_at = self.free_at(now, &stored);
                self.row = Some(Known {
                    stored: stored.row,
                    read: now.steady,
                    free_at,
                });
            }
            Read::Stored(_) | Read::Unavailable => self.store.fail(now.steady),
        }
    }

    /// Handles the result of a write.
    pub fn on_write(&mut self, now: Moments, write: Write) {
        let Some(Call::Write { sent, update }) = self.call.take() else {
            return;
        };
        match write {
            Write::Written {
                version,
                era,
                clock,
            } if era == era_of(update.row.token) => {
                self.store.succeed();
                if let Some(clock) = clock {
                    self.reading = Some(Reading {
                        clock,
                        asked: sent.boot,
                    });
                }
                self.lease = Some(sent);
                self.keep_written(now, version, update);
            }
            // The store was restored while the write was under way.
            Write::Written { era, .. } => {
                self.see_era(now, era);
                self.row = None;
            }
            Write::Conflict => self.row = None,
            Write::Unavailable => self.store.fail(now.steady),
            Write::Ambiguous => {
                self.store.fail(now.steady);
                self.row = None;
            }
        }
    }

    /// Handles the result of a send.
    pub fn on_sent(&mut self, now: Moments, sent: Sent) {
        let Some(Call::Send { report, token }) = self.call.take() else {
            return;
        };
        match sent {
            Sent::Accepted => {
                self.cloud.succeed();
                self.known.accepted = self.known.accepted.max(report.window.0);
                self.settled = self.settled.max(report.window);
                self.events.push(Event::Accepted { report, token });
            }
            Sent::Unanswered => self.cloud.fail(now.steady),
        }
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Returns the row if this host wrote it and no other one has taken the duty over.
    fn own_row(&self) -> Option<(u64, &Row)> {
        let (version, row) = self.row.as_ref()?.stored.as_ref()?;
        let era = self.origin.map_or(0, |origin| origin.era);
        let is_current = row.token >= self.known.token && era_of(row.token) == era;
        (is_current && row.holder == self.own).then_some((*version, row))
    }

    /// Takes in what other hosts know.
    fn hear(&mut self, now: Moments, view: &View<'_>) {
        self.started.get_or_insert(now.steady);
        let last = self.polled.replace(now);
        let is_stopped = last.is_some_and(|last| now.boot.since(last.boot) > STALL);
        if view.rank.is_none() || is_stopped {
            self.collector_since = None;
            self.ready_since = None;
        }
        if last.is_some_and(|last| is_stepped(&last, &now)) {
            self.ready_since = None;
        }
        if view.rank.is_some() {
            self.collector_since.get_or_insert(now.steady);
            self.ready_since.get_or_insert(now.steady);
        }
        self.known = self.known.merge(view.claims.merged());
        self.see_era(now, view.era.max(era_of(self.known.token)));
    }

    /// Gives up the reports that are overdue for longer than they were not due.
    fn give_up(&mut self, time: Time) {
        let overdue =
            |report: &Report| report.window.due(&self.setting) + self.setting.late <= time;
        let Some((_, row)) = self.own_row() else {
            return;
        };
        let token = row.token;
        let open = row.reports.iter().filter(|report| self.is_open(report));
        let reports: Vec<Report> = open.filter(|report| overdue(report)).cloned().collect();
        for report in reports {
            self.settled = self.settled.max(report.window);
            self.events.push(Event::GivenUp { report, token });
        }
    }

    /// Returns whether a report in the row is not known to be accepted or given up.
    fn is_open(&self, report: &Report) -> bool {
        report.window > self.settled && report.window.0 > self.known.accepted
    }

    /// Returns the report to send next, if it may be sent now.
    fn due_send(&self, now: Moments) -> Option<Report> {
        let (_, row) = self.own_row()?;
        let mut open = row.reports.iter().filter(|report| self.is_open(report));
        let report = open.next()?;
        (self.may_send(now) && self.cloud.is_due(now.steady)).then(|| report.clone())
    }

    fn send(&mut self, report: Report) -> Action {
        let token = self.known.token;
        self.call = Some(Call::Send {
            report: report.clone(),
            token,
        });
        Action::Send { report, token }
    }

    /// Keeps the row that this host has written.
    fn keep_written(&mut self, now: Moments, version: u64, update: Update) {
        let Update {
            row,
            fresh,
            is_takeover,
            ..
        } = update;
        let token = row.token;
        if is_takeover {
            self.events.push(Event::Acquired { token });
            self.cloud.succeed();
        }
        let written = fresh
            .into_iter()
            .map(|report| Event::Written { report, token });
        self.events.extend(written);
        self.known = self.known.merge(row_claim(&row));
        self.row = Some(Known {
            stored: Some((version, row)),
            read: now.steady,
            free_at: now.steady,
        });
    }

    /// Returns when the next window is to be written by this host, on the steady clock.
    fn next_window(&self, now: Moments, time: Time, view: &View<'_>) -> Instant {
        let delay = self.setting.settle_time() + turn(view.rank.unwrap_or(0), WRITE_TURN_DELAY);
        let end = Window::at(time - delay, &self.setting).end(&self.setting);
        now.steady + (end + delay).since(time).max(Duration::from_millis(1))
    }
}

/// Returns whether the true time changed between two polls.
fn is_stepped(last: &Moments, now: &Moments) -> bool {
    let (Some(before), Some(after)) = (last.time, now.time) else {
        return true;
    };
    let expected = before + now.steady.since(last.steady);
    after.since(expected).max(expected.since(after)) > MAX_TIME_STEP
}

/// Returns the delay of the collector with this rank.
fn turn(rank: usize, delay: Duration) -> Duration {
    delay * u32::try_from(rank).unwrap_or(u32::MAX)
}

/// Returns what a row says of the duty.
fn row_claim(row: &Row) -> Claim {
    Claim {
        token: row.token,
        holder: hash::hash32(row.holder.host.as_str()),
        written: row.last().0,
        accepted: 0,
    }
}
