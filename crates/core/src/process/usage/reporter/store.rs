//! Reads and writes of the row.

use super::{
    COLLECT_TIME, Call, INCOMPLETE_DELAY, MAX_UNANSWERED, RESEND_TURN_DELAY, Reporter,
    TAKEOVER_MARGIN, Update, WRITE_TURN_DELAY, takeover_time, turn,
};
use crate::process::{
    usage::{Action, Claims, Moments, Report, Row, Stored, View, Window},
    wall::Time,
};
use azurenotch_wire::time::Instant;
use std::time::Duration;

/// Bits of a token below the era of the store.
const COUNTER_BITS: u32 = 32;
/// Age of a reading of the store's clock above which the row is read again before a write.
///
/// Clock rates differ by less than 0.1 %, so that the estimate is off by less than 60 ms.
const MAX_READING_AGE: Duration = Duration::from_mins(1);
/// Age above which a row that another host wrote is read again before a write.
const MAX_ROW_AGE: Duration = Duration::from_secs(6);
/// Longest time that a claim takes to arrive, and largest difference of true time between two hosts.
const CLAIM_DELAY: Duration = Duration::from_secs(1);

/// Returns the era of the store in which a token was taken.
pub(super) fn era_of(token: u64) -> u32 {
    (token >> COUNTER_BITS) as u32
}

/// Row as this host knows it.
#[derive(Debug)]
pub(super) struct Known {
    /// The row with its version; `None` if there is none.
    pub(super) stored: Option<(u64, Row)>,
    /// When it was read or written.
    pub(super) read: Instant,
    /// When this host may write it.
    pub(super) free_at: Instant,
}

/// Era of the store, since this host has known of it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Origin {
    pub(super) era: u32,
    pub(super) seen: Instant,
    pub(super) time: Option<Time>,
}

/// Reading of the store's clock.
#[derive(Debug, Clone, Copy)]
pub(super) struct Reading {
    pub(super) clock: Duration,
    /// When the call was sent, on the clock that counts suspensions.
    pub(super) asked: Instant,
}

impl Reporter {
    /// Records the era of the store; a row of an earlier one has to be read again.
    pub(super) fn see_era(&mut self, now: Moments, era: u32) {
        if self.origin.is_none_or(|origin| origin.era < era) {
            self.origin = Some(Origin {
                era,
                seen: now.steady,
                time: now.time,
            });
            self.row = None;
        }
    }

    /// Returns when this host may write a row that it has just read.
    pub(super) fn free_at(&self, now: Moments, stored: &Stored) -> Instant {
        let current = stored.row.as_ref().map(|(_, row)| row);
        let current = current.filter(|row| era_of(row.token) == stored.era);
        let wait = takeover_time(&self.setting);
        match current {
            Some(row) if row.holder == self.own && row.token >= self.known.token => now.steady,
            Some(row) => now.steady + wait.saturating_sub(stored.clock.saturating_sub(row.clock)),
            // The holder may have written after the copy was made that the store came back from.
            None => self.origin.map_or(now.steady, |origin| origin.seen) + wait,
        }
    }

    /// Returns the call to the store that is due, if any.
    pub(super) fn call_store(
        &mut self,
        now: Moments,
        time: Time,
        rank: usize,
        view: &View<'_>,
    ) -> Option<Action> {
        let is_ready = self
            .ready_since
            .is_some_and(|since| now.steady.since(since) >= COLLECT_TIME);
        let is_due =
            self.is_write_due(now, time, rank, view.claims) || self.is_resend_due(now, time, rank);
        if !is_ready || !is_due || !self.store.is_due(now.steady) {
            return None;
        }
        let Some(reading) = self.fresh_reading(now) else {
            self.call = Some(Call::Read { sent: now });
            return Some(Action::Read);
        };
        let known = self.row.as_ref()?;
        if known.free_at > now.steady {
            return None;
        }
        let expected_version = known.stored.as_ref().map(|(version, _)| *version);
        let clock = reading.clock + now.boot.since(reading.asked);
        let update = self.update(time, clock, view)?;
        if update.is_takeover {
            self.pass_over_due(time);
        }
        let row = update.row.clone();
        self.call = Some(Call::Write { sent: now, update });
        Some(Action::Write {
            row,
            expected_version,
        })
    }

    /// Returns whether this host should write a new window, as nobody is known to have written it.
    ///
    /// Hosts send their counts to collectors only, so that a host that became one after another host
    /// stopped may lack counts of that one. It lets the others write first.
    fn is_write_due(&self, now: Moments, time: Time, rank: usize, claims: &Claims) -> bool {
        let delay = turn(rank, WRITE_TURN_DELAY);
        let newest = self.newest(time - delay);
        let age = time.since(newest.begin(&self.setting));
        // The counts of an earlier incarnation of this host may be missing too.
        let has_run = self.started.is_some_and(|at| now.steady.since(at) >= age);
        let collects_from = self.collector_since.unwrap_or(now.steady) + COLLECT_TIME;
        let newest = if has_run && !claims.has_lost(now.steady, age, collects_from) {
            newest
        } else {
            self.newest(time - delay - INCOMPLETE_DELAY)
        };
        newest.0 > self.known.written && newest.due(&self.setting) > time
    }

    /// Returns whether this host should write the row to send a report that is in it.
    fn is_resend_due(&self, now: Moments, time: Time, rank: usize) -> bool {
        let setting = &self.setting;
        if let Some((_, row)) = self.own_row() {
            let has_open = row.reports.iter().any(|report| self.is_open(report));
            // The path from this host to the endpoint may be lost. Another collector takes over unless
            // the row is written again.
            let pause = takeover_time(setting) + TAKEOVER_MARGIN;
            let pauses = self.cloud.failures() >= MAX_UNANSWERED
                && self.lease.is_some_and(|at| now.steady < at.steady + pause);
            return has_open && !pauses && self.cloud.is_due(now.steady);
        }
        let written = Window(self.known.written);
        let delay = setting.settle_time() + takeover_time(setting) + turn(rank, RESEND_TURN_DELAY);
        let is_late = written.end(setting) + delay <= time && time < written.due(setting);
        let is_accepted = self.known.written <= self.known.accepted || written <= self.settled;
        is_late && !is_accepted && self.may_have_open(time)
    }

    /// Returns whether the row, as far as it is known, has a report that another host did not send.
    fn may_have_open(&self, time: Time) -> bool {
        let row = self.row.as_ref().and_then(|known| known.stored.as_ref());
        let Some((_, row)) = row.filter(|(_, row)| row.last().0 >= self.known.written) else {
            return true;
        };
        let mut reports = row.reports.iter();
        reports.any(|report| self.is_open(report) && report.window.due(&self.setting) > time)
    }

    /// Returns the reading of the store's clock if it and the row are recent enough for a write.
    fn fresh_reading(&self, now: Moments) -> Option<Reading> {
        let known = self.row.as_ref()?;
        let is_recent = now.steady.since(known.read) < MAX_ROW_AGE || self.own_row().is_some();
        let reading = self.reading.filter(|_| is_recent)?;
        (now.boot.since(reading.asked) < MAX_READING_AGE).then_some(reading)
    }

    /// Returns the newest window whose report may be written.
    fn newest(&self, time: Time) -> Window {
        let ended = time - self.setting.settle_time();
        Window(Window::at(ended, &self.setting).0.saturating_sub(1))
    }

    /// Returns the next content of the row, or `None` if there is nothing to write.
    fn update(&self, time: Time, clock: Duration, view: &View<'_>) -> Option<Update> {
        let current = self.row.as_ref()?.stored.as_ref().map(|(_, row)| row);
        let floor = Window(self.known.written).max(self.unknown_until(view.claims));
        let windows = (floor.0 + 1..=self.newest(time).0).rev().map(Window);
        let windows = windows.take_while(|window| window.due(&self.setting) > time);
        let mut fresh: Vec<Report> = windows
            .map(|window| Report {
                window,
                counts: view.ledger.total(window),
            })
            .collect();
        fresh.reverse();
        let former = current.map_or(&[][..], |row| &row.reports);
        let is_open = |report: &Report| {
            self.is_open(report)
                && (self.own_row().is_some() || report.window.due(&self.setting) > time)
        };
        if fresh.is_empty() && !former.iter().any(is_open) {
            return None;
        }
        let mut reports = [former, &fresh].concat();
        let surplus = reports.len().saturating_sub(self.setting.kept_reports());
        reports.drain(..surplus);
        let token = self.next_token();
        let row = Row {
            token,
            holder: self.own.clone(),
            reports,
            floor: floor.max(current.map_or(Window::default(), |row| row.floor)),
            clock,
        };
        Some(Update {
            row,
            fresh,
            is_takeover: self.own_row().is_none(),
        })
    }

    /// Returns the token of the next write.
    fn next_token(&self) -> u64 {
        if let Some((_, row)) = self.own_row() {
            return row.token;
        }
        let known = self.row.as_ref().and_then(|known| known.stored.as_ref());
        let token = known.map_or(0, |(_, row)| row.token);
        let era = self.origin.map_or(0, |origin| origin.era);
        let first = u64::from(era) << COUNTER_BITS;
        token.max(self.known.token).max(first) + 1
    }

    /// Returns the highest window that may have been sent although neither the row nor a claim says so.
    ///
    /// A store that came back from an older copy has lost the last writes. A host that wrote a window
    /// before that and was lost cannot tell of it.
    fn unknown_until(&self, claims: &Claims) -> Window {
        let stored = self.row.as_ref().and_then(|known| known.stored.as_ref());
        let Some(origin) = self.origin else {
            return Window::default();
        };
        let is_current = stored.is_some_and(|(_, row)| era_of(row.token) == origin.era);
        let memory = self.setting.late;
        let has_seen = self.started.is_some_and(|at| at + memory <= origin.seen);
        if is_current || (has_seen && claims.is_complete(origin.seen + CLAIM_DELAY, memory)) {
            return Window::default();
        }
        let until = origin.time.unwrap_or_default() + CLAIM_DELAY;
        self.newest(until)
    }

    /// Leaves out the reports in the row that were due before this host took the duty over.
    fn pass_over_due(&mut self, time: Time) {
        let row = self.row.as_ref().and_then(|known| known.stored.as_ref());
        let reports = row.into_iter().flat_map(|(_, row)| &row.reports);
        let due = reports.filter(|report| report.window.due(&self.setting) <= time);
        let last = due.map(|report| report.window).max();
        self.settled = self.settled.max(last.unwrap_or_default());
    }
}
