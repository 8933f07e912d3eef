//! Forecast of the time that the next request of a route needs.
//!
//! Load pattern: hosts are stopped one after the other while callers still use look-ups that
//! returned them. A stopping host may accept only what ends before it does. The timeout of a route
//! says little about that: most answers come far sooner, so that a host that went by it would reject
//! requests that it could have served, and one that went by a fixed share of its grace period would
//! break off those that take longer.
//!
//! A rejection costs a caller a round trip, an answer that is broken off the time that it waited, and the
//! work if it may run only once. A few long requests of a route are no reason to reject all of it, as
//! long as callers cannot know of the stop; after that nothing that may be broken off is accepted.

use azurenotch_wire::time::Instant;
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// Number of answers that a forecast covers.
///
/// While nothing changes, the next answer takes longer than all of them with a probability of 0.2 %.
const MAX_ANSWERS: usize = 500;
/// Number of last answers by which requests are accepted before [`NOTICE_TIME`] is over.
const RECENT_ANSWERS: usize = 100;
/// Number of answers below which a request is taken to need its whole timeout.
const MIN_ANSWERS: usize = 10;
/// The same once [`NOTICE_TIME`] is over.
///
/// If one request in twenty is long, all of so many are short with a probability of 0.05 %.
const MIN_LATE_ANSWERS: usize = 150;
/// Time after the start of a stop in which callers may still use the host without an outdated look-up.
///
/// Twice the lifetime of a look-up, less a delay of the signal.
pub const NOTICE_TIME: Duration = Duration::from_millis(2_900);
/// Multiple of the median above which an answer is an exception.
const EXCEPTION_FACTOR: u32 = 4;
/// Number of answers below which exceptions count in any case.
const MIN_TOLERANT_ANSWERS: usize = 50;
/// Largest share of exceptions that do not count for requests that may run again.
const MAX_EXCEPTION_SHARE: f64 = 0.1;
/// Least margin above the longest answer: scheduling and the way back to the caller.
const MIN_MARGIN: Duration = Duration::from_millis(100);
/// Largest margin for the spread of the answers, as a share of the longest one.
const MAX_SPREAD_SHARE: f64 = 0.25;
/// Factor of the margin for requests that may run only once: nobody can send them again.
const ONCE_MARGIN_FACTOR: u32 = 2;
/// Time that a request needs which has run for longer than expected, as a multiple of its age.
const OVERDUE_FACTOR: u32 = 2;

/// Times that the last requests of one route took, and those that run.
#[derive(Debug, Default)]
pub struct Forecast {
    /// Times of the last answers, the most recent one at the back.
    answers: VecDeque<Duration>,
    /// Number of answers so far.
    count: u64,
    /// Times after which requests had no answer, each with the number of answers before.
    timeouts: VecDeque<(u64, Duration)>,
    /// Number of running requests by their start.
    running: BTreeMap<Instant, u32>,
}

/// Request that arrives at a host that stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Time from the start of the stop to the arrival.
    pub since_stop: Duration,
    /// Time until the host gives the request up in any case.
    pub timeout: Duration,
    /// Whether it may run more than once.
    pub repeatable: bool,
}

impl Request {
    /// Returns whether the caller may have known of the stop.
    fn is_late(&self) -> bool {
        self.since_stop > NOTICE_TIME
    }
}

impl Forecast {
    /// Counts a request that starts.
    pub fn begin(&mut self, started: Instant) {
        *self.running.entry(started).or_default() += 1;
    }

    /// Removes a request that started at `started` and has ended.
    pub fn end(&mut self, started: Instant) {
        if let Some(count) = self.running.get_mut(&started) {
            *count -= 1;
            if *count == 0 {
                self.running.remove(&started);
            }
        }
    }

    /// Adds the time that a request took until its answer was complete.
    pub fn observe(&mut self, time: Duration) {
        if self.answers.len() == MAX_ANSWERS {
            self.answers.pop_front();
        }
        self.answers.push_back(time);
        self.count += 1;
        let oldest = self.count.saturating_sub(MAX_ANSWERS as u64);
        while self.timeouts.front().is_some_and(|(at, _)| *at < oldest) {
            self.timeouts.pop_front();
        }
    }

    /// Adds the time after which a request had no answer.
    ///
    /// It would have needed more, so that a time below that of an answer says nothing.
    pub fn observe_timeout(&mut self, time: Duration) {
        if self.timeouts.len() == MAX_ANSWERS {
            self.timeouts.pop_front();
        }
        self.timeouts.push_back((self.count, time));
    }

    /// Returns the time that a request needs which starts now, at most its timeout.
    ///
    /// That is the longest of the last answers with a margin, or more if requests that run are
    /// overdue: servers have become slow, and the answers that would show it are still to come. For
    /// requests that may run again, exceptions do not count before [`NOTICE_TIME`] is over.
    pub fn need(&self, now: Instant, request: &Request) -> Duration {
        let is_late = request.is_late();
        let (covered, least) = if is_late {
            (MAX_ANSWERS, MIN_LATE_ANSWERS)
        } else {
            (RECENT_ANSWERS, MIN_ANSWERS)
        };
        if self.answers.len() < least {
            return request.timeout;
        }
        let (times, median) = self.last(covered);
        let limit = median * EXCEPTION_FACTOR + MIN_MARGIN;
        let exceptions = times.iter().rev().take_while(|time| **time > limit).count();
        // They started one after the other, so that each count alone tells the present share.
        let share = exceptions.max(self.overdue(now, limit)) as f64 / times.len() as f64;
        let is_tolerant = request.repeatable
            && !is_late
            && times.len() >= MIN_TOLERANT_ANSWERS
            && share <= MAX_EXCEPTION_SHARE;
        let longest = times[times.len() - 1 - if is_tolerant { exceptions } else { 0 }];
        let spread = longest.saturating_sub(median);
        let margin = MIN_MARGIN + spread.min(longest.mul_f64(MAX_SPREAD_SHARE));
        let factor = if request.repeatable {
            1
        } else {
            ONCE_MARGIN_FACTOR
        };
        let expected = longest + margin * factor;
        let oldest = self.running.first_key_value();
        let age = oldest.map_or(Duration::ZERO, |(started, _)| now.since(*started));
        let need = if is_tolerant || age <= expected {
            expected
        } else if is_late {
            request.timeout
        } else {
            age * OVERDUE_FACTOR
        };
        need.min(request.timeout)
    }

    /// Returns the times of the last `covered` answers and of the timeouts among them, the longest one at
    /// the end, and the median of the answers.
    fn last(&self, covered: usize) -> (Vec<Duration>, Duration) {
        let mut times: Vec<Duration> = self.answers.iter().rev().take(covered).copied().collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        let since = self.count.saturating_sub(covered as u64);
        let timeouts = self.timeouts.iter().filter(|(at, _)| *at >= since);
        times.extend(timeouts.map(|(_, time)| *time));
        times.sort_unstable();
        (times, median)
    }

    /// Returns the number of requests that have run for longer than `limit`.
    fn overdue(&self, now: Instant, limit: Duration) -> usize {
        let running = self.running.iter();
        let overdue = running.take_while(|(started, _)| now.since(**started) > limit);
        overdue.map(|(_, count)| *count as usize).sum()
    }
}

#[cfg(test)]
mod tests;
