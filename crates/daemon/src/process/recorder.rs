//! Records the host's events.

use crate::request::clock::Clock;
use azurenotch_core::process::timeline::Timeline;
use azurenotch_wire::{event::Kind, id::Host, operator::Events, time::Stamp};
use parking_lot::Mutex;
use slog::{Logger, info};
use std::{num::NonZeroUsize, sync::Arc};

/// Maximum number of events kept in memory.
pub const MAX_EVENTS: NonZeroUsize = NonZeroUsize::new(8192).expect("the capacity is positive");

/// Records events in the timeline and in the log.
#[derive(Debug)]
pub struct Recorder {
    timeline: Mutex<Timeline>,
    clock: Arc<dyn Clock>,
    log: Logger,
}

impl Recorder {
    /// Creates an empty recorder.
    pub fn new(host: Host, clock: Arc<dyn Clock>, log: Logger) -> Self {
        Self {
            timeline: Mutex::new(Timeline::new(host, MAX_EVENTS)),
            clock,
            log,
        }
    }

    /// Logs an event and appends it to the timeline.
    pub fn record(&self, kind: Kind) {
        info!(self.log, "event: {}", kind);
        self.timeline.lock().record(kind, self.clock.wall_ms());
    }

    /// Advances the logical clock and returns the stamp for a message sent now.
    pub fn stamp(&self) -> Stamp {
        self.timeline.lock().tick(self.clock.wall_ms())
    }

    /// Merges the stamp of a received message into the logical clock.
    pub fn merge(&self, stamp: Stamp) {
        self.timeline.lock().merge(stamp, self.clock.wall_ms());
    }

    /// Returns the kept events after a sequence number.
    pub fn after(&self, sequence: u64) -> Events {
        self.timeline.lock().after(sequence)
    }
}
