//! Event queue of the simulation, ordered by virtual time.

use crate::pattern::Disturbance;
use azurenotch_core::version::placement::{Choice, Report, Verdict};
use azurenotch_wire::time::Instant;
use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
};

/// One send of a request to a backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Send {
    /// Number of the request.
    pub request: usize,
    /// Host that sent it.
    pub host: usize,
    /// Server that the host chose, with the expected latency.
    pub choice: Choice,
    /// When it was sent.
    pub at: Instant,
}

/// Health check of a backend server before a request is sent there.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Check {
    /// Number of the request.
    pub request: usize,
    /// Host that makes it.
    pub host: usize,
    /// Number of the server.
    pub server: usize,
    /// Server that the host chose, with the expected latency.
    pub choice: Choice,
}

/// Event of the simulation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Event {
    /// A caller sends its next new request.
    NextRequest,
    /// A request arrives at a host.
    Arrive {
        /// Number of the request.
        request: usize,
        /// The host.
        host: usize,
    },
    /// A send arrives at a backend server.
    Offer {
        /// The server.
        server: usize,
        /// The send.
        send: Send,
    },
    /// A backend server finishes a job.
    Finish {
        /// The server.
        server: usize,
        /// Epoch of the server in which the work began; it is stale if the server has stopped since.
        epoch: u32,
        /// The send.
        send: Send,
    },
    /// The outcome of a send reaches its host.
    SendEnded {
        /// The send.
        send: Send,
        /// Outcome of the send.
        verdict: Verdict,
        /// What the server reported with its answer or refusal; `None` if it sent neither.
        report: Option<Report>,
        /// Limit that the server named in its answer; `None` if it named none.
        limit: Option<f64>,
    },
    /// A host abandons a send because the timeout of the attempt has expired.
    Expire {
        /// The send.
        send: Send,
    },
    /// A health check before a send arrives at a backend server.
    Check(Check),
    /// A health check before a send has ended at its host.
    CheckEnded {
        /// The health check.
        check: Check,
        /// What the server reported; `None` if it did not answer in time.
        report: Option<Report>,
    },
    /// The speed of a server is drawn anew.
    Period {
        /// The server.
        server: usize,
    },
    /// A host sends its loads and request rate to the other hosts.
    Gossip {
        /// The host.
        host: usize,
    },
    /// The platform updates its list of servers that are up.
    List,
    /// A disturbance of the pattern takes effect.
    Disturbance(Disturbance),
}

#[derive(Debug, PartialEq)]
struct ScheduledEvent {
    at: Instant,
    number: u64,
    event: Event,
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Pending events, ordered by time.
#[derive(Debug, Default)]
pub struct Queue {
    entries: BinaryHeap<Reverse<ScheduledEvent>>,
    number: u64,
}

impl Queue {
    /// Schedules an event; events at the same time are handled in the order of scheduling.
    pub fn push(&mut self, at: Instant, event: Event) {
        self.number += 1;
        let number = self.number;
        self.entries
            .push(Reverse(ScheduledEvent { at, number, event }));
    }

    /// Removes and returns the earliest event and its time.
    pub fn pop(&mut self) -> Option<(Instant, Event)> {
        self.entries
            .pop()
            .map(|Reverse(entry)| (entry.at, entry.event))
    }
}
