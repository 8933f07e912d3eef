//! Events in the order of virtual time.

use crate::pattern::Trouble;
use azurenotch_core::version::placement::{Choice, Load, Verdict};
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
    /// What the host expects.
    pub choice: Choice,
    /// When it was sent.
    pub at: Instant,
}

/// Something that happens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Event {
    /// A caller sends its next new request.
    Next,
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
    /// A backend server ends a piece of work.
    Finish {
        /// The server.
        server: usize,
        /// Start of the server in which the work began.
        epoch: u32,
        /// The send.
        send: Send,
    },
    /// A host learns how a send ended.
    Ended {
        /// The send.
        send: Send,
        /// How it ended.
        verdict: Verdict,
        /// Load that the server told.
        load: Option<Load>,
    },
    /// A host gives a send up because the time of the try is over.
    Expire {
        /// The send.
        send: Send,
    },
    /// A round of messages of a host.
    Round {
        /// The host.
        host: usize,
    },
    /// The platform no longer lists servers that are away, or lists those that are back.
    List,
    /// The pattern changes something.
    Trouble(Trouble),
}

#[derive(Debug, PartialEq)]
struct Entry {
    at: Instant,
    number: u64,
    event: Event,
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Events that have not happened yet.
#[derive(Debug, Default)]
pub struct Queue {
    entries: BinaryHeap<Reverse<Entry>>,
    number: u64,
}

impl Queue {
    /// Adds an event; events of the same moment happen in the order in which they were added.
    pub fn push(&mut self, at: Instant, event: Event) {
        self.number += 1;
        let number = self.number;
        self.entries.push(Reverse(Entry { at, number, event }));
    }

    /// Takes the next event.
    pub fn pop(&mut self) -> Option<(Instant, Event)> {
        self.entries
            .pop()
            .map(|Reverse(entry)| (entry.at, entry.event))
    }
}
