//! Rate limits that backend servers state in their answers.
//!
//! Load pattern: a server in need names the requests per second that it takes from all hosts
//! together, and names others or none as it recovers. Answers overtake each other, and so do the
//! messages in which hosts tell each other what they heard. A few hosts
//! ([`senders`](crate::process::senders)) share the rate, more of them for a higher limit.

use crate::{
    process::senders::{Limiter, Place},
    request::decimal,
};
use azurenotch_wire::time::Instant;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::time::Duration;

/// Age from which a statement no longer holds.
///
/// Servers state their limit in every answer, so nobody has sent to the server for that long.
const MAX_AGE: Duration = Duration::from_secs(10);
/// Share of a limit that the senders use.
///
/// The rest makes up for hosts that join or leave, which not all others hear of at once.
const USED_SHARE: f64 = 0.9;
/// Least requests per second that all hosts together send to a server, whatever its limit.
///
/// The answers tell whether the limit still holds.
const MIN_RATE: f64 = 0.25;
/// Senders of a server whose limit is zero.
const MIN_SENDERS: f64 = 3.0;
/// Further senders for each request per second of the limit.
///
/// A window of 4 s may have one and a half times the limit and 5 requests. The senders use
/// [`USED_SHARE`] of the limit, and what they have saved up before: one request each on average.
const SENDERS_PER_RATE: f64 = 1.5;
/// Time for whose requests a sender may save up, beyond one request.
const SAVED_TIME: Duration = Duration::from_millis(500);
/// Age of a message from which its reports are ignored.
///
/// A host that was paused reads messages that have waited for it.
const MAX_MESSAGE_AGE: Duration = Duration::from_secs(3);
/// Shortest time between two reports of one server's changes.
const MIN_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Relative difference from which a limit counts as changed in reports.
const REPORTED_DIFFERENCE: f64 = 0.1;

/// Error of a limit that cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("not a decimal number of requests per second"))]
pub struct Error;

/// Result of reading a limit.
pub type Result<T> = std::result::Result<T, Error>;

/// Parses the values of a header that names requests per second, with an optional fraction.
///
/// Returns `None` without a value, and the smallest of several.
///
/// # Errors
///
/// Fails if one of the values is anything but decimal digits with at most one point between them.
pub fn parse<'a>(values: impl IntoIterator<Item = &'a [u8]>) -> Result<Option<f64>> {
    let mut least: Option<f64> = None;
    for value in values {
        let Ok(text) = str::from_utf8(value) else {
            return Err(Error);
        };
        for item in text.split(',') {
            let limit = parse_number(item).ok_or(Error)?;
            least = Some(least.map_or(limit, |known| known.min(limit)));
        }
    }
    Ok(least)
}

fn parse_number(text: &str) -> Option<f64> {
    decimal::parse(text.trim_matches([' ', '\t'])).map(|number| number.min(f64::MAX))
}

/// What one answer of a backend server said about its limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Statement {
    /// Requests per second from all hosts together; `None` if the answer named no limit.
    pub limit: Option<f64>,
    /// When the request was sent; the server made the statement after that.
    pub sent: Instant,
    /// When the answer arrived; the server made the statement before that.
    pub received: Instant,
}

impl Statement {
    fn is_stricter_than(&self, other: &Self) -> bool {
        match (self.limit, other.limit) {
            (Some(own), Some(other)) => own < other,
            (own, other) => own.is_some() && other.is_none(),
        }
    }
}

/// Statement as one host passes it on to another, with ages instead of times of its own clock.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Requests per second from all hosts together; `None` if there is no limit any more.
    limit: Option<f64>,
    /// Milliseconds since the request was sent.
    sent_age_ms: u32,
    /// Milliseconds since the answer arrived.
    received_age_ms: u32,
}

impl Report {
    /// Creates the report of a statement that this host heard.
    pub fn new(now: Instant, statement: Statement) -> Self {
        let age = |at| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        Self {
            limit: statement.limit,
            sent_age_ms: age(statement.sent),
            received_age_ms: age(statement.received),
        }
    }

    /// Returns the statement by the receiver's clock, between whose times it was made.
    ///
    /// `echoed` is when the receiver sent the message that the message with the report answers.
    /// Returns `None` if that may be too old, or if the limit is no number of requests.
    pub fn statement(&self, now: Instant, echoed: Instant) -> Option<Statement> {
        let is_number = self.limit.is_none_or(|limit| limit >= 0.0);
        if !is_number || now.since(echoed) > MAX_MESSAGE_AGE {
            return None;
        }
        let age = |ms: u32| Duration::from_millis(ms.into());
        Some(Statement {
            limit: self.limit,
            // Ages are in whole milliseconds.
            sent: echoed - age(self.sent_age_ms) - Duration::from_millis(1),
            received: now - age(self.received_age_ms),
        })
    }
}

/// Change of the limit of a server, for reports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// The server named a limit, or a different one.
    Named(f64),
    /// The server answered without a limit.
    Ended,
}

/// Returns the largest number of hosts that may send to a server with this limit.
pub fn max_senders(limit: f64) -> usize {
    // Truncation is intended; a larger limit than `usize` has more senders than there are hosts.
    max_saved(limit) as usize
}

/// Returns the requests that all senders together may save up, at least one for each of them.
fn max_saved(limit: f64) -> f64 {
    SENDERS_PER_RATE.mul_add(limit, MIN_SENDERS)
}

/// Returns when a limit ended by a statement that arrived at `received`, unless it had before.
fn end_of(limit: Option<f64>, former: Option<Instant>, received: Instant) -> Option<Instant> {
    limit.is_none().then(|| former.unwrap_or(received))
}

/// Returns the requests per second that all senders together send to a server with this limit.
fn total_rate(limit: f64) -> f64 {
    (USED_SHARE * limit).max(MIN_RATE)
}

/// Part of a limit that one host may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Part {
    /// Requests per second.
    pub rate: f64,
    /// Requests that the host may save up while it has none to send.
    pub burst: f64,
}

/// Limit of one process of a backend server, and this host's part of it.
#[derive(Debug, Clone)]
pub struct Limit {
    /// Statement that holds.
    statement: Statement,
    /// Last statement that this host heard from the server itself.
    heard: Option<Statement>,
    /// When this host first heard that there is no limit any more.
    heard_end: Option<Instant>,
    /// When a statement without a limit began to hold.
    ended: Option<Instant>,
    /// This host's place among those that share the limit; `None` if it may not send.
    place: Option<Place>,
    /// Limiter of this host's part; `None` until it is among the senders for the first time.
    limiter: Option<Limiter>,
    /// Whether the limiter permits a request.
    has_token: bool,
    /// Limit that was reported last, and when.
    reported: (Option<f64>, Instant),
}

impl Limit {
    /// Creates the limit of a server that has named one.
    pub fn new(statement: Statement) -> Self {
        Self {
            statement,
            heard: None,
            heard_end: None,
            ended: None,
            place: None,
            limiter: None,
            has_token: false,
            reported: (None, Instant::ZERO),
        }
    }

    /// Sets this host's place among those that share the limit; `None` if it may not send.
    ///
    /// The first requests of the senders are spread over time by rank. A host that may send again
    /// has saved nothing.
    pub fn set_place(&mut self, now: Instant, place: Option<Place>) {
        let former = std::mem::replace(&mut self.place, place);
        let Some(Place { rank, senders }) = place.filter(|_| former.is_none()) else {
            return;
        };
        let saved = if self.limiter.is_none() {
            rank as f64 / senders as f64
        } else {
            0.0
        };
        self.limiter = Some(Limiter::new(now, saved));
    }

    /// Returns what this host may send under the limit in force.
    ///
    /// Returns `None` if it may send nothing, or as much as it likes since no limit is in force.
    pub fn part(&self, now: Instant) -> Option<Part> {
        let limit = self.in_force(now)?;
        let senders = self.place?.senders.max(1) as f64;
        let rate = total_rate(limit) / senders;
        let saved = max_saved(limit) / senders;
        let burst = SAVED_TIME
            .as_secs_f64()
            .mul_add(rate, 1.0)
            .min(saved)
            .max(1.0);
        Some(Part { rate, burst })
    }

    /// Updates whether this host may send a request.
    pub fn refresh(&mut self, now: Instant) {
        self.has_token = match (self.part(now), &mut self.limiter) {
            (Some(part), Some(limiter)) => limiter.has_token(now, part.rate, part.burst),
            _ => false,
        };
    }

    /// Returns whether this host may send a request, as of the last [`Self::refresh`].
    pub fn permits(&self, now: Instant) -> bool {
        self.has_token || self.in_force(now).is_none()
    }

    /// Counts a request that this host sends, while a limit is in force.
    pub fn take(&mut self, now: Instant) {
        if self.in_force(now).is_none() {
            return;
        }
        if let Some(limiter) = &mut self.limiter {
            limiter.take();
        }
        self.has_token = false;
    }

    /// Returns the time until this host, or else another one, may send a request.
    pub fn wait(&self, now: Instant) -> Duration {
        let Some(limit) = self.in_force(now) else {
            return Duration::ZERO;
        };
        let own = self.part(now).zip(self.limiter);
        let wait = own.map_or_else(
            || Duration::try_from_secs_f64(total_rate(limit).recip()).ok(),
            |(part, limiter)| limiter.wait(part.rate),
        );
        wait.unwrap_or(Duration::MAX)
    }

    /// Returns when the last limit ended, or was no longer heard of; `None` while one is in force.
    pub fn end(&self, now: Instant) -> Option<Instant> {
        if self.in_force(now).is_some() {
            return None;
        }
        Some(self.ended.unwrap_or(self.statement.received + MAX_AGE))
    }

    /// Returns what this host heard itself and the other hosts have to know.
    ///
    /// A limit is passed on until it is `max_age` old, and that it has ended for the same time.
    pub fn news(&self, now: Instant, max_age: Duration) -> Option<Statement> {
        let heard = self.heard?;
        let since = match heard.limit {
            Some(_) => heard.received,
            None => self.heard_end?,
        };
        (now.since(since) < max_age).then_some(heard)
    }

    /// Takes in a statement that this host heard from the server itself.
    pub fn hear(&mut self, statement: Statement) {
        self.heard_end = end_of(statement.limit, self.heard_end, statement.received);
        self.heard = Some(statement);
        self.observe(statement);
    }

    /// Returns the requests per second that all hosts together may send; `None` without a limit.
    pub fn in_force(&self, now: Instant) -> Option<f64> {
        let holds = now.since(self.statement.received) < MAX_AGE;
        self.statement.limit.filter(|_| holds)
    }

    /// Takes in a statement that this or another host heard.
    ///
    /// The later of two statements holds. If it is not known which one is later, the stricter one.
    pub fn observe(&mut self, statement: Statement) {
        self.replace(statement);
        self.ended = end_of(self.statement.limit, self.ended, statement.received);
    }

    fn replace(&mut self, statement: Statement) {
        let known = self.statement;
        if statement.sent >= known.received {
            self.statement = statement;
        } else if statement.received > known.sent {
            if statement.is_stricter_than(&known) {
                self.statement = statement;
            } else if statement.limit == known.limit {
                self.statement.sent = known.sent.max(statement.sent);
                self.statement.received = known.received.max(statement.received);
            }
        }
    }

    /// Returns what has changed since the last report, at most once a second.
    pub fn report(&mut self, now: Instant) -> Option<Change> {
        let (reported, at) = self.reported;
        let limit = self.statement.limit;
        let differs = match (reported, limit) {
            (Some(former), Some(limit)) => {
                (former - limit).abs() > REPORTED_DIFFERENCE * former.max(limit)
            }
            (former, limit) => former != limit,
        };
        let is_first = at == Instant::ZERO;
        if !differs || (!is_first && now.since(at) < MIN_REPORT_INTERVAL) {
            return None;
        }
        self.reported = (limit, now);
        Some(limit.map_or(Change::Ended, Change::Named))
    }
}

#[cfg(test)]
mod tests;
