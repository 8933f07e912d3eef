//! Rate limits that backend servers state in their answers.
//!
//! Load pattern: a server in need names the requests per second that it takes from all hosts
//! together, and names others or none as it recovers. Answers overtake each other, and so do the
//! messages in which hosts tell each other what they heard.

use azurenotch_wire::time::Instant;
use snafu::Snafu;
use std::{num::ParseFloatError, str::Utf8Error, time::Duration};

/// Age from which a statement no longer holds.
///
/// Servers state a limit in all their answers, so that nobody has sent to the server for as long.
const MAX_AGE: Duration = Duration::from_secs(10);
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

impl From<Utf8Error> for Error {
    fn from(_: Utf8Error) -> Self {
        Self
    }
}

impl From<ParseFloatError> for Error {
    fn from(_: ParseFloatError) -> Self {
        Self
    }
}

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
        let text = std::str::from_utf8(value)?;
        for item in text.split(',') {
            let limit = parse_number(item.trim_matches([' ', '\t']))?;
            least = Some(least.map_or(limit, |known| known.min(limit)));
        }
    }
    Ok(least)
}

fn parse_number(text: &str) -> Result<f64> {
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let is_number =
        |digits: &str| !digits.is_empty() && digits.bytes().all(|it| it.is_ascii_digit());
    if !is_number(whole) || !is_number(fraction) {
        return Err(Error);
    }
    let number: f64 = text.parse()?;
    Ok(number.min(f64::MAX))
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

/// Change of the limit of a server, for reports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// The server named a limit, or a different one.
    Named(f64),
    /// The server answered without a limit.
    Ended,
}

/// Limit of one process of a backend server.
#[derive(Debug, Clone)]
pub struct Limit {
    statement: Statement,
    /// Limit that was reported last, and when.
    reported: (Option<f64>, Instant),
}

impl Limit {
    /// Creates the limit of a server that has named one.
    pub fn new(statement: Statement) -> Self {
        Self {
            statement,
            reported: (None, Instant::ZERO),
        }
    }

    /// Returns the last statement about the limit.
    pub fn statement(&self) -> &Statement {
        &self.statement
    }

    /// Returns the requests per second that all hosts together may send; `None` without a limit.
    pub fn in_force(&self, now: Instant) -> Option<f64> {
        let holds = now.since(self.statement.received) < MAX_AGE;
        self.statement.limit.filter(|_| holds)
    }

    /// Takes in a statement.
    ///
    /// The later of two statements holds. If it is not known which one is later, the stricter one.
    pub fn observe(&mut self, statement: Statement) {
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
