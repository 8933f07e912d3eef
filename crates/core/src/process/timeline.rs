//! Bounded record of events, ordered by a hybrid logical clock.

use azurenotch_wire::{
    event::{Event, Kind},
    id::Host,
    operator::Events,
    time::Stamp,
};
use std::{collections::VecDeque, num::NonZeroUsize, time::Duration};

/// Number of events that a host keeps.
pub const CAPACITY: NonZeroUsize = NonZeroUsize::new(4096).expect("the capacity is not zero");
/// Largest lead of a received stamp over the wall clock; a stamp that leads by more is ignored.
pub const MAX_CLOCK_LEAD: Duration = Duration::from_mins(1);

/// Ring buffer of the latest events of one host.
#[derive(Debug)]
pub struct Timeline {
    host: Host,
    capacity: usize,
    events: VecDeque<Event>,
    /// Sequence number of the latest event; the first event has 1.
    sequence: u64,
    stamp: Stamp,
}

impl Timeline {
    /// Creates an empty ring buffer for `capacity` events.
    pub fn new(host: Host, capacity: NonZeroUsize) -> Self {
        Self {
            host,
            capacity: capacity.get(),
            events: VecDeque::new(),
            sequence: 0,
            stamp: Stamp::default(),
        }
    }

    /// Records an event at wall-clock time `wall_ms` and returns it.
    ///
    /// A full ring buffer drops its oldest event.
    pub fn record(&mut self, kind: Kind, wall_ms: u64) -> &Event {
        if self.events.len() == self.capacity {
            self.events.pop_front();
        }
        self.sequence += 1;
        let event = Event {
            stamp: self.tick(wall_ms),
            host: self.host.clone(),
            sequence: self.sequence,
            kind,
        };
        let last = self.events.len();
        self.events.push_back(event);
        &self.events[last]
    }

    /// Returns the stamp of a message that is sent at wall-clock time `wall_ms`.
    pub fn tick(&mut self, wall_ms: u64) -> Stamp {
        self.stamp = self.stamp.tick(wall_ms);
        self.stamp
    }

    /// Advances the clock past the stamp of a received message and returns the new stamp.
    ///
    /// Later events of this host are then ordered after the message. A stamp that leads by more
    /// than [`MAX_CLOCK_LEAD`] is ignored.
    pub fn merge(&mut self, stamp: Stamp, wall_ms: u64) -> Stamp {
        let latest = wall_ms.saturating_add(MAX_CLOCK_LEAD.as_millis() as u64);
        self.stamp = if stamp.wall_ms <= latest {
            self.stamp.merge(stamp, wall_ms)
        } else {
            self.stamp.tick(wall_ms)
        };
        self.stamp
    }

    /// Returns the events after `sequence`, or all if this host has not reached that number.
    ///
    /// A number beyond the latest event comes from an earlier incarnation. If the first event
    /// returned does not follow `sequence` directly, the ring buffer dropped those between.
    pub fn after(&self, sequence: u64) -> Events {
        let sequence = if sequence > self.sequence {
            0
        } else {
            sequence
        };
        let missing = self.sequence - sequence;
        let skipped = self.events.len().saturating_sub(missing as usize);
        Events {
            events: self.events.iter().skip(skipped).cloned().collect(),
            next: self.sequence,
        }
    }
}

/// Merges the events of several hosts into one list in causal order.
///
/// Duplicates are removed. A gap in the sequence numbers of a host shows that its ring buffer
/// dropped events.
pub fn merge(timelines: Vec<Vec<Event>>) -> Vec<Event> {
    let mut events = timelines.into_iter().flatten().collect::<Vec<_>>();
    events.sort_by(|a, b| key(a).cmp(&key(b)));
    events.dedup_by(|a, b| key(a) == key(b));
    events
}

fn key(event: &Event) -> (Stamp, &Host, u64) {
    (event.stamp, &event.host, event.sequence)
}

#[cfg(test)]
mod tests;
