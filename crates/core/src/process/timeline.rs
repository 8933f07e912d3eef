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
mod tests {
    use super::*;
    use test_case::test_case;

    fn timeline(host: &str, capacity: usize) -> Timeline {
        Timeline::new(host.into(), NonZeroUsize::new(capacity).unwrap())
    }

    #[test_case(0, &[3, 4, 5]; "dropped events show as a gap")]
    #[test_case(3, &[4, 5]; "those that follow")]
    #[test_case(5, &[]; "none new")]
    #[test_case(9, &[3, 4, 5]; "sequence of an earlier incarnation")]
    fn returns_the_events_after_a_sequence(after: u64, expected: &[u64]) {
        let mut timeline = timeline("n1", 3);
        for wall_ms in 0..5 {
            timeline.record(Kind::Stopping, wall_ms);
        }
        let events = timeline.after(after);
        let sequences = events.events.iter().map(|event| event.sequence);
        assert_eq!(sequences.collect::<Vec<_>>(), expected);
        assert_eq!(events.next, 5);
    }

    /// Guards against an effect that is listed before its cause when clocks differ.
    #[test]
    fn a_message_orders_events_of_hosts_whose_clocks_differ() {
        let (mut fast, mut slow) = (timeline("n2", 9), timeline("n1", 9));
        slow.record(Kind::Stopping, 900);
        fast.record(Kind::Stopping, 30_000);
        let message = fast.tick(30_001);
        slow.merge(message, 1_000);
        slow.record(Kind::Stopped, 1_001);
        let (fast, slow) = (fast.after(0).events, slow.after(0).events);
        let merged = merge(vec![slow.clone(), fast.clone(), slow.clone()]);
        assert_eq!(merged, [slow[0].clone(), fast[0].clone(), slow[1].clone()]);
    }

    #[test]
    fn a_clock_far_ahead_does_not_move_this_one() {
        let mut timeline = timeline("n1", 9);
        let ahead = Stamp {
            wall_ms: 70_000,
            logical: 0,
        };
        assert_eq!(timeline.merge(ahead, 1_000).wall_ms, 1_000);
        assert_eq!(timeline.merge(ahead, 10_000).wall_ms, 70_000);
        let before = timeline.tick(5_000);
        assert!(timeline.record(Kind::Stopping, 0).stamp > before);
    }
}
