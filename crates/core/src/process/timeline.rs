//! Bounded record of events with hybrid logical time.

use azurenotch_wire::{
    event::{Event, Kind},
    id::Host,
    operator::Events,
    time::Stamp,
};
use std::{collections::VecDeque, num::NonZeroUsize, time::Duration};

/// Number of events that a host keeps.
pub const CAPACITY: NonZeroUsize = NonZeroUsize::new(4096).expect("the capacity is not zero");
/// Largest lead of a received stamp; a peer whose clock leads by more does not move this one.
pub const DRIFT_MAX: Duration = Duration::from_mins(1);

/// Ring of the latest events of one host.
#[derive(Debug)]
pub struct Timeline {
    host: Host,
    capacity: usize,
    events: VecDeque<Event>,
    /// Sequence of the latest event; the first one has 1.
    sequence: u64,
    stamp: Stamp,
}

impl Timeline {
    /// Creates an empty ring for `capacity` events.
    pub fn new(host: Host, capacity: NonZeroUsize) -> Self {
        Self {
            host,
            capacity: capacity.get(),
            events: VecDeque::new(),
            sequence: 0,
            stamp: Stamp::default(),
        }
    }

    /// Records an event at wall clock `wall_ms` and returns it; the oldest one may be dropped.
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

    /// Returns the stamp of a message that is sent at wall clock `wall_ms`.
    pub fn tick(&mut self, wall_ms: u64) -> Stamp {
        self.stamp = self.stamp.tick(wall_ms);
        self.stamp
    }

    /// Takes the stamp of a received message, so that later events are ordered after it.
    pub fn merge(&mut self, stamp: Stamp, wall_ms: u64) -> Stamp {
        let latest = wall_ms.saturating_add(DRIFT_MAX.as_millis() as u64);
        self.stamp = if stamp.wall_ms <= latest {
            self.stamp.merge(stamp, wall_ms)
        } else {
            self.stamp.tick(wall_ms)
        };
        self.stamp
    }

    /// Returns the events after `sequence`, or all if this host has not reached it.
    ///
    /// A sequence beyond the latest event is that of an earlier incarnation. If the first event
    /// returned does not follow `sequence` directly, the ring has dropped those between.
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

/// Merges the events of several hosts into one order that respects causes.
///
/// An event that was returned more than once appears once. Gaps in a host's sequence show events
/// that its ring dropped.
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
