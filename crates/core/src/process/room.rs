//! Room for callers' connections: which ones are kept when there are more than the limit.
//!
//! Load pattern: callers keep connections open that they do not use, and open new ones after other
//! hosts are lost or when they retry at once. A host that stops accepting at its limit leaves the
//! requests of new connections unread, while idle connections hold the room. The connection that
//! has been idle for longest is therefore closed for a new one. If all have a request, the new one
//! is rejected at once.

use azurenotch_wire::{Map, time::Instant};
use std::collections::BTreeSet;

/// Share of all connections that is kept for those that are rejected or about to close.
const RESERVE_SHARE: usize = 16;

/// Number of a connection, in the order in which they were accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(u64);

/// What becomes of a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It is served.
    Admit(Id),
    /// It is served, and the connection `idle` is asked to close.
    Replace {
        /// The new connection.
        new: Id,
        /// The connection that has been idle for longest.
        idle: Id,
    },
    /// Its first request is rejected, and then it is closed.
    Reject(Id),
    /// It is closed before anything is read from it.
    Close,
}

/// What an open connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// It has no request since this moment.
    Idle(Instant),
    /// A request is being read, processed or answered.
    Busy,
    /// It was idle and has been asked to close.
    Closing,
    /// Its first request will be rejected.
    Rejected,
}

/// Open connections of a host's callers.
#[derive(Debug)]
pub struct Room {
    limit: usize,
    reserve: usize,
    next: u64,
    phases: Map<Id, Phase>,
    /// Idle connections, the longest idle one first.
    idle: BTreeSet<(Instant, Id)>,
    closing: usize,
    rejected: usize,
}

impl Room {
    /// Creates a room for `total` connections, a part of which is kept in reserve.
    pub fn new(total: usize) -> Self {
        let reserve = (total / RESERVE_SHARE).max(1);
        Self {
            limit: total.saturating_sub(reserve).max(1),
            reserve,
            next: 0,
            phases: Map::default(),
            idle: BTreeSet::new(),
            closing: 0,
            rejected: 0,
        }
    }

    /// Returns the number of connections up to which no other one has to close.
    pub const fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the number of connections that are served and have not been asked to close.
    pub fn kept(&self) -> usize {
        self.phases.len() - self.closing - self.rejected
    }

    /// Returns whether more connections are kept than the limit allows.
    ///
    /// Answers then ask callers to close their connections.
    pub fn is_over(&self) -> bool {
        self.kept() > self.limit
    }

    /// Returns whether new connections have to wait for others that were asked to close.
    pub fn is_crowded(&self) -> bool {
        self.closing > 0 && self.phases.len() >= self.limit + self.reserve
    }

    /// Decides what becomes of a new connection.
    pub fn open(&mut self, now: Instant) -> Decision {
        let new = Id(self.next);
        if self.phases.len() >= self.limit + self.reserve {
            return Decision::Close;
        }
        if self.kept() < self.limit {
            self.insert_idle(new, now);
            return Decision::Admit(new);
        }
        if let Some((_, idle)) = self.idle.pop_first() {
            self.phases.insert(idle, Phase::Closing);
            self.closing += 1;
            self.insert_idle(new, now);
            return Decision::Replace { new, idle };
        }
        self.next += 1;
        self.phases.insert(new, Phase::Rejected);
        self.rejected += 1;
        Decision::Reject(new)
    }

    /// Records that a request begins to arrive on a connection, which may have been asked to close.
    pub fn begin(&mut self, id: Id) {
        self.set(id, Phase::Busy);
    }

    /// Records that the last request of a connection has been answered.
    pub fn end(&mut self, id: Id, now: Instant) {
        self.set(id, Phase::Idle(now));
    }

    /// Records that a connection has closed.
    pub fn close(&mut self, id: Id) {
        let phase = self.phases.remove(&id);
        self.forget(id, phase);
    }

    fn insert_idle(&mut self, id: Id, now: Instant) {
        self.next += 1;
        self.phases.insert(id, Phase::Idle(now));
        self.idle.insert((now, id));
    }

    /// Changes the phase of a connection unless it is closed or its request is rejected.
    fn set(&mut self, id: Id, phase: Phase) {
        let Some(current) = self.phases.get_mut(&id) else {
            return;
        };
        if *current == Phase::Rejected {
            return;
        }
        let former = std::mem::replace(current, phase);
        self.forget(id, Some(former));
        if let Phase::Idle(since) = phase {
            self.idle.insert((since, id));
        }
    }

    fn forget(&mut self, id: Id, phase: Option<Phase>) {
        match phase {
            Some(Phase::Idle(since)) => {
                self.idle.remove(&(since, id));
            }
            Some(Phase::Closing) => self.closing -= 1,
            Some(Phase::Rejected) => self.rejected -= 1,
            Some(Phase::Busy) | None => {}
        }
    }
}

#[cfg(test)]
mod tests;
