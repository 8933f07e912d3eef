//! Kinds of schedules and their results.

use std::fmt;

/// Faults of a schedule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Calm,
    Rolling,
    Faults,
}

/// Fault of the design that is put in on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    None,
    SteadyOnly,
    SendFirst,
    SameToken,
    NoWait,
    NoClaims,
    Repeats,
}

/// What was seen in one or more schedules.
#[derive(Debug, Default)]
pub struct Verdict {
    pub broken: Vec<String>,
    pub windows: usize,
    pub accepted: usize,
    pub in_time: usize,
    pub exact: usize,
    pub reads: usize,
    pub writes: usize,
    pub sends: usize,
}

impl Verdict {
    pub fn add(&mut self, other: Self) {
        self.broken.extend(other.broken);
        self.windows += other.windows;
        self.accepted += other.accepted;
        self.in_time += other.in_time;
        self.exact += other.exact;
        self.reads += other.reads;
        self.writes += other.writes;
        self.sends += other.sends;
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} windows, {} accepted, {} in time, {} within the bound; {} reads, {} writes, {} sends; \
             {} broken",
            self.windows,
            self.accepted,
            self.in_time,
            self.exact,
            self.reads,
            self.writes,
            self.sends,
            self.broken.len()
        )
    }
}
