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
/// Time without a new version of the row after which the lease has expired.
pub const TERM: Duration = Duration::from_secs(6);
/// Time by which the holder stops before others may take over; covers clock rates within 1 %.
pub const MARGIN: Duration = Duration::from_millis(500);
/// Longest random delay of a candidate after the lease has expired.
pub const TAKEOVER_DELAY: Duration = Duration::from_secs(2);
/// Longest time between two reads of a candidate.
pub const WATCH_INTERVAL: Duration = Duration::from_secs(2);

/// Longest time from the last renewal of a holder that crashed until another host holds the role,
/// while the table answers.
pub const LONGEST_TAKEOVER: Duration = WATCH_INTERVAL
    .saturating_add(TERM)
    .saturating_add(TAKEOVER_DELAY);

/// Time for which a renewal is valid, counted from its sending.
pub const VALIDITY: Duration = TERM.saturating_sub(MARGIN);
const BACK_OFF_MIN: Duration = Duration::from_millis(250);
const BACK_OFF_MAX: Duration = Duration::from_secs(2);

/// One leased role as one host sees it.
///
/// The caller performs one [`Action`] at a time and reports its result with [`Lease::on_read`] or
/// [`Lease::on_write`] before it polls again.
#[derive(Debug)]
pub struct Lease {
    role: String,
    host: Host,
    incarnation: Incarnation,
    random: SmallRng,
    wanted: bool,
    seen: Option<Seen>,
    /// Highest token seen, so that tokens grow even if the row was deleted.
    highest: u64,
    held: Option<Held>,
    pending: Option<Pending>,
    in_flight: Option<Instant>,
    next: Instant,
    failures: u32,
    /// Last answer of the table.
    contact: Instant,
    /// Whether the row has to be read before anything is written.
    reread: bool,
    reported: Option<u64>,
}

/// What the caller has to do next.
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
    /// Written; the row has this version now.
    Written(u64),
    /// The row has another version than expected.
    Conflict(Option<Row>),
    /// The table did not answer and nothing was written.
    Unavailable,
    /// The answer was lost; the write may have taken effect, now or later.
    Ambiguous,
}

/// Last row seen.
#[derive(Debug)]
struct Seen {
    version: Option<u64>,
    record: Option<Record>,
    /// Time from which the version counts as unchanged while the table was available.
    since: Instant,
    delay: Duration,
}

#[derive(Debug)]
struct Held {
    token: u64,
    /// End of the validity, counted from the moment the last successful renewal was sent.
    valid_until: Instant,
}

/// A write that may take effect as long as the row has the expected version.
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
            highest: 0,
            held: None,
            pending: None,
            in_flight: None,
            next: Instant::ZERO,
            failures: 0,
            contact: Instant::ZERO,
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

    /// Returns the token last held, also after its validity has run out but nobody took over.
    pub fn last_token(&self) -> Option<u64> {
        self.held.as_ref().map(|held| held.token)
    }

    /// Gives the role up; the next actions release the row if this host holds it.
    pub fn release(&mut self, now: Instant) {
        self.wanted = false;
        self.next = now;
    }

    /// Becomes a candidate again after [`Lease::release`].
    pub fn claim(&mut self, now: Instant) {
        self.wanted = true;
        self.reread = true;
        self.next = now;
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
        if now < self.next {
            return Action::Wait(self.next);
        }
        self.in_flight = Some(now);
        match self.next_record(now) {
            None => Action::Read,
            Some((expect, record)) => self.write(now, expect, record),
        }
    }

    /// Takes the result of a read.
    ///
    /// # Errors
    ///
    /// Returns an error if the row holds no fencing token; the lease is not taken over then.
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

    /// Takes the result of a write.
    ///
    /// # Errors
    ///
    /// As for [`Lease::on_read`], for the row of a conflict.
    pub fn on_write(&mut self, now: Instant, write: Write) -> Result<()> {
        self.in_flight = None;
        match write {
            Write::Written(version) => {
                if let Some(pending) = self.pending.take() {
                    self.succeed(now, version, pending.record, pending.last_sent);
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
                self.next = now;
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
        free.then(|| (version, self.record(self.highest + 1, Some(0))))
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
        // the row is recognised whichever of the two arrives.
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
            self.highest = self.highest.max(record.token);
        }
        let pending = self.pending.take_if(|pending| pending.expect != version);
        if let (Some(pending), Some(version), Some(record)) = (&pending, version, &record)
            && pending.record == *record
        {
            // Which of the repetitions took effect is unknown, so the earliest counts.
            self.succeed(now, version, record.clone(), pending.first_sent);
            return Ok(());
        }
        self.watch(now, version, record);
        Ok(())
    }

    /// Takes note of a row that this host's pending write did not produce.
    fn watch(&mut self, now: Instant, version: Option<u64>, record: Option<Record>) {
        let unchanged = self.seen.take().filter(|seen| seen.version == version);
        let (since, delay) = match unchanged {
            // The time without the table does not count: the holder could not renew either.
            Some(seen) if self.failures > 0 => (seen.since + now.since(self.contact), seen.delay),
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
            // Written by this host, but its validity is unknown until the next renewal.
            self.held = record.as_ref().map(|record| Held {
                token: record.token,
                valid_until: Instant::ZERO,
            });
        }
        self.next = if own || holder.is_none() {
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
        self.connected(now);
    }

    fn succeed(&mut self, now: Instant, version: u64, record: Record, sent: Instant) {
        self.highest = self.highest.max(record.token);
        self.held = record.holder.is_some().then_some(Held {
            token: record.token,
            valid_until: sent + VALIDITY,
        });
        self.next = if self.wanted {
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
        self.connected(now);
    }

    fn connected(&mut self, now: Instant) {
        self.failures = 0;
        self.contact = now;
        self.reread = false;
    }

    fn back_off(&mut self, now: Instant) {
        let longest = (BACK_OFF_MIN * (1 << self.failures.min(4))).min(BACK_OFF_MAX);
        self.failures = self.failures.saturating_add(1);
        self.next = now + longest / 4 + self.random_up_to(longest * 3 / 4);
        // The holder repeats its renewal; a candidate has to see the row before it takes over.
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
