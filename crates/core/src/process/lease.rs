//! Leased role with a fencing token.

mod row;

pub use row::{Error, Holder, Result, Row};

use azurenotch_wire::{
    event::Kind,
    id::{Host, Incarnation, Operation},
    time::Instant,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use row::Record;
use std::time::Duration;

/// Time between two renewals by the holder.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(2);
/// Time after which the lease expires if the version of the row does not change.
pub const TERM: Duration = Duration::from_secs(6);
/// Time between the end of the holder's validity and the end of the term.
///
/// It covers clock rates that differ by up to 1 %.
pub const CLOCK_RATE_MARGIN: Duration = Duration::from_millis(500);
/// Longest random delay between the expiry of the lease and the write of a candidate.
pub const TAKEOVER_DELAY: Duration = Duration::from_secs(2);
/// Longest time between two reads of a candidate.
pub const WATCH_INTERVAL: Duration = Duration::from_secs(2);

/// Longest time from the last renewal of a crashed holder until another host holds the role, while
/// the table answers.
pub const MAX_TAKEOVER_TIME: Duration = WATCH_INTERVAL
    .saturating_add(TERM)
    .saturating_add(TAKEOVER_DELAY);

/// Time for which a renewal is valid, counted from when it was sent.
pub const VALIDITY: Duration = TERM.saturating_sub(CLOCK_RATE_MARGIN);
const BACK_OFF_MIN: Duration = Duration::from_millis(250);
const BACK_OFF_MAX: Duration = Duration::from_secs(2);

/// State of one leased role at one host.
///
/// The caller must perform one [`Action`] at a time and report its result with [`Lease::on_read`]
/// or [`Lease::on_write`] before it polls again.
#[derive(Debug)]
pub struct Lease {
    role: String,
    host: Host,
    incarnation: Incarnation,
    random: SmallRng,
    wanted: bool,
    seen: Option<Seen>,
    /// Highest token seen, kept so that tokens increase even if the row was deleted.
    highest_token: u64,
    held: Option<Held>,
    pending: Option<Pending>,
    /// When the action in progress was started.
    in_flight: Option<Instant>,
    /// When the next action is due.
    next_action: Instant,
    /// Consecutive actions without an answer.
    failures: u32,
    /// When the table last answered.
    answered: Instant,
    /// Whether the row has to be read before anything is written.
    reread: bool,
    /// Token of the last event that was returned.
    reported: Option<u64>,
}

/// Next action of the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the row.
    Read,
    /// Write the row.
    Write {
        /// New content.
        value: Vec<u8>,
        /// Version that the row must have; `None` if there must be no row.
        expect: Option<u64>,
    },
    /// Do nothing until this time.
    Wait(Instant),
}

/// Result of [`Action::Read`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Read {
    /// The row, or `None` if there is none.
    Row(Option<Row>),
    /// The table did not answer.
    Unavailable,
}

/// Result of [`Action::Write`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// The write took effect and the row has this version.
    Written(u64),
    /// The row, which has another version than expected; `None` if there is no row.
    Conflict(Option<Row>),
    /// The table did not answer and nothing was written.
    Unavailable,
    /// The answer was lost; the write may have taken effect, now or later.
    Ambiguous,
}

/// Last state of the row that was seen.
#[derive(Debug)]
struct Seen {
    version: Option<u64>,
    record: Option<Record>,
    /// Time since which the version has been unchanged, not counting outages of the table.
    since: Instant,
    /// Random delay before a takeover.
    delay: Duration,
}

#[derive(Debug)]
struct Held {
    token: u64,
    /// [`VALIDITY`] after the last successful renewal was sent.
    valid_until: Instant,
}

/// Write that may still take effect as long as the row has the expected version.
#[derive(Debug)]
struct Pending {
    expect: Option<u64>,
    record: Record,
    first_sent: Instant,
    last_sent: Instant,
}

impl Lease {
    /// Creates a candidate for a role; `seed` must differ between hosts and incarnations.
    pub fn new(role: &str, host: Host, incarnation: Incarnation, seed: u64) -> Self {
        Self {
            role: role.to_owned(),
            host,
            incarnation,
            random: SmallRng::seed_from_u64(seed),
            wanted: true,
            seen: None,
            highest_token: 0,
            held: None,
            pending: None,
            in_flight: None,
            next_action: Instant::ZERO,
            failures: 0,
            answered: Instant::ZERO,
            reread: true,
            reported: None,
        }
    }

    /// Returns the name of the role.
    pub fn role(&self) -> &str {
        &self.role
    }

    /// Returns whether this host holds the role at `now`.
    pub fn is_held(&self, now: Instant) -> bool {
        self.token(now).is_some()
    }

    /// Returns the fencing token if this host holds the role at `now`.
    pub fn token(&self, now: Instant) -> Option<u64> {
        let held = self.held.as_ref().filter(|_| self.wanted)?;
        (now < held.valid_until).then_some(held.token)
    }

    /// Returns the token that this host last held, unless another host took the role over.
    ///
    /// The token is also returned after its validity has ended.
    pub fn last_token(&self) -> Option<u64> {
        self.held.as_ref().map(|held| held.token)
    }

    /// Resigns from the role; the next actions release the row if this host holds it.
    pub fn release(&mut self, now: Instant) {
        self.wanted = false;
        self.next_action = now;
    }

    /// Becomes a candidate again after [`Lease::release`].
    pub fn claim(&mut self, now: Instant) {
        self.wanted = true;
        self.reread = true;
        self.next_action = now;
    }

    /// Returns whether a released lease needs no further action.
    pub fn is_released(&self) -> bool {
        !self.wanted && self.held.is_none() && self.pending.is_none() && self.in_flight.is_none()
    }

    /// Returns the event to record if the role was acquired or lost since the last call.
    pub fn event(&mut self, now: Instant) -> Option<Kind> {
        let token = self.token(now);
        if token == self.reported {
            return None;
        }
        self.reported = token;
        let role = self.role.clone();
        Some(match token {
            Some(token) => Kind::LeaseAcquired { role, token },
            None => Kind::LeaseLost { role },
        })
    }

    /// Returns what to do at `now`.
    pub fn poll(&mut self, now: Instant) -> Action {
        if let Some(sent) = self.in_flight {
            return Action::Wait(sent.max(now) + RENEW_INTERVAL);
        }
        if self.is_released() {
            return Action::Wait(now + TERM);
        }
        if now < self.next_action {
            return Action::Wait(self.next_action);
        }
        self.in_flight = Some(now);
        match self.next_record(now) {
            None => Action::Read,
            Some((expect, record)) => self.write(now, expect, record),
        }
    }

    /// Handles the result of a read.
    ///
    /// # Errors
    ///
    /// Returns an error if the row cannot be decoded; the lease is not taken over then.
    pub fn on_read(&mut self, now: Instant, read: Read) -> Result<()> {
        self.in_flight = None;
        match read {
            Read::Row(row) => self.observe(now, row),
            Read::Unavailable => {
                self.back_off(now);
                Ok(())
            }
        }
    }

    /// Handles the result of a write.
    ///
    /// # Errors
    ///
    /// Returns an error if the row of a conflict cannot be decoded.
    pub fn on_write(&mut self, now: Instant, write: Write) -> Result<()> {
        self.in_flight = None;
        match write {
            Write::Written(version) => {
                if let Some(pending) = self.pending.take() {
                    self.on_written(now, version, pending.record, pending.last_sent);
                }
                Ok(())
            }
            Write::Conflict(row) => self.observe(now, row),
            Write::Unavailable => {
                self.back_off(now);
                Ok(())
            }
            Write::Ambiguous => {
                self.failures = self.failures.saturating_add(1);
                self.reread = true;
                self.next_action = now;
                Ok(())
            }
        }
    }

    /// Returns the write that is due, or `None` if the row has to be read first.
    fn next_record(&mut self, now: Instant) -> Option<(Option<u64>, Record)> {
        let seen = self.seen.as_ref().filter(|_| !self.reread)?;
        let version = seen.version;
        let current = seen.record.as_ref();
        let holder = current.and_then(|record| record.holder.as_ref());
        let own = holder.filter(|holder| self.is_own(holder));
        if let (Some(record), Some(own)) = (current, own) {
            let (token, counter) = if self.wanted {
                (record.token, Some(own.counter + 1))
            } else {
                (record.token + 1, None)
            };
            return Some((version, self.record(token, counter)));
        }
        let expired = now >= seen.since + TERM + seen.delay;
        let free = self.wanted && (holder.is_none() || expired);
        free.then(|| (version, self.record(self.highest_token + 1, Some(0))))
    }

    fn record(&mut self, token: u64, counter: Option<u64>) -> Record {
        let operation = Operation(self.random.random());
        let holder = counter.map(|counter| Holder {
            host: self.host.clone(),
            incarnation: self.incarnation,
            operation,
            counter,
        });
        Record { token, holder }
    }

    fn write(&mut self, now: Instant, expect: Option<u64>, record: Record) -> Action {
        // A write whose answer was lost may still take effect. It is repeated unchanged, so that
        // this host recognises the row whichever of the two takes effect.
        let same = |pending: &Pending| {
            pending.expect == expect && pending.record.holder.is_some() == record.holder.is_some()
        };
        let pending = match self.pending.take().filter(same) {
            Some(pending) => Pending {
                last_sent: now,
                ..pending
            },
            None => Pending {
                expect,
                record,
                first_sent: now,
                last_sent: now,
            },
        };
        let value = pending.record.encode();
        self.pending = Some(pending);
        Action::Write { value, expect }
    }

    fn observe(&mut self, now: Instant, row: Option<Row>) -> Result<()> {
        let (version, record) = match row {
            None => (None, None),
            Some(row) => match Record::decode(&row.value) {
                Ok(record) => (Some(row.version), Some(record)),
                Err(error) => {
                    self.back_off(now);
                    return Err(error);
                }
            },
        };
        if let Some(record) = &record {
            self.highest_token = self.highest_token.max(record.token);
        }
        let pending = self.pending.take_if(|pending| pending.expect != version);
        if let (Some(pending), Some(version), Some(record)) = (&pending, version, &record)
            && pending.record == *record
        {
            // Any of the repeated writes may have taken effect, so validity starts with the first.
            self.on_written(now, version, record.clone(), pending.first_sent);
            return Ok(());
        }
        self.record_row(now, version, record);
        Ok(())
    }

    /// Records a row that was not written by the pending write of this host.
    fn record_row(&mut self, now: Instant, version: Option<u64>, record: Option<Record>) {
        let unchanged = self.seen.take().filter(|seen| seen.version == version);
        let (since, delay) = match unchanged {
            // An outage of the table does not count, because the holder could not renew either.
            Some(seen) if self.failures > 0 => (seen.since + now.since(self.answered), seen.delay),
            Some(seen) => (seen.since, seen.delay),
            None => (now, self.random_up_to(TAKEOVER_DELAY)),
        };
        let holder = record.as_ref().and_then(|record| record.holder.as_ref());
        let own = holder.is_some_and(|holder| self.is_own(holder));
        if !own {
            self.held = None;
            if !self.wanted {
                self.pending = None;
            }
        } else if self.held.is_none() {
            // This host wrote the row, but its validity is unknown until the next renewal.
            self.held = record.as_ref().map(|record| Held {
                token: record.token,
                valid_until: Instant::ZERO,
            });
        }
        self.next_action = if own || holder.is_none() {
            now
        } else {
            let pause = WATCH_INTERVAL / 2 + self.random_up_to(WATCH_INTERVAL / 2);
            (now + pause).min((since + TERM + delay).max(now))
        };
        self.seen = Some(Seen {
            version,
            record,
            since,
            delay,
        });
        self.on_table_answer(now);
    }

    fn on_written(&mut self, now: Instant, version: u64, record: Record, sent: Instant) {
        self.highest_token = self.highest_token.max(record.token);
        self.held = record.holder.is_some().then_some(Held {
            token: record.token,
            valid_until: sent + VALIDITY,
        });
        self.next_action = if self.wanted {
            sent + RENEW_INTERVAL
        } else {
            now
        };
        self.seen = Some(Seen {
            version: Some(version),
            record: Some(record),
            since: now,
            delay: TAKEOVER_DELAY,
        });
        self.on_table_answer(now);
    }

    fn on_table_answer(&mut self, now: Instant) {
        self.failures = 0;
        self.answered = now;
        self.reread = false;
    }

    fn back_off(&mut self, now: Instant) {
        let longest = (BACK_OFF_MIN * (1 << self.failures.min(4))).min(BACK_OFF_MAX);
        self.failures = self.failures.saturating_add(1);
        self.next_action = now + longest / 4 + self.random_up_to(longest * 3 / 4);
        // A holder repeats its renewal; a candidate must read the row before it takes over.
        self.reread |= self.held.is_none();
    }

    fn is_own(&self, holder: &Holder) -> bool {
        holder.host == self.host && holder.incarnation == self.incarnation
    }

    fn random_up_to(&mut self, longest: Duration) -> Duration {
        longest.mul_f64(self.random.random())
    }
}

#[cfg(test)]
mod tests;
