//! Estimates of the time that a request needs at a backend server.

use std::time::Duration;

/// Measurements that an average covers.
const SPAN: u32 = 40;
/// First estimate of warm work, as a share of the latency objective.
const FIRST_WARM: f64 = 0.4;
/// First estimate of cold work, as a share of the latency objective.
const FIRST_COLD: f64 = 1.25;
/// Measurements above this multiple of cold work tell of a slow server, not of the work.
const OUTLIER: f64 = 2.0;

/// Averages of the time that the requests of one service need.
///
/// A measurement counts for the average that it is nearer to, because whether an object was warm
/// is known only afterwards.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    warm: Average,
    cold: Average,
    usual: Average,
}

#[derive(Debug, Clone, Copy)]
struct Average {
    seconds: f64,
    measured: u32,
}

impl Average {
    fn new(seconds: f64) -> Self {
        Self {
            seconds,
            measured: 0,
        }
    }

    fn add(&mut self, seconds: f64) {
        self.measured = (self.measured + 1).min(SPAN);
        // The first estimate counts as one measurement.
        self.seconds += (seconds - self.seconds) / f64::from(self.measured + 1);
    }
}

impl Work {
    /// Creates estimates from the latency objective.
    pub fn new(objective: Duration) -> Self {
        let objective = objective.as_secs_f64();
        Self {
            warm: Average::new(objective * FIRST_WARM),
            cold: Average::new(objective * FIRST_COLD),
            // At the start everything is cold; a queue that looks short then fills for seconds.
            usual: Average::new(objective * FIRST_COLD),
        }
    }

    /// Returns the expected seconds of work, given the probability that the object is warm.
    pub fn mean(&self, warm: f64) -> f64 {
        warm * self.warm.seconds + (1.0 - warm) * self.cold()
    }

    /// Returns the average seconds of all requests.
    pub fn usual(&self) -> f64 {
        self.usual.seconds
    }

    /// Returns the seconds of work on an object that is not warm.
    pub fn cold(&self) -> f64 {
        self.cold.seconds.max(self.warm.seconds)
    }

    /// Adds a measurement.
    pub fn observe(&mut self, seconds: f64) {
        let seconds = seconds.min(OUTLIER * self.cold());
        self.usual.add(seconds);
        // The middle of both averages on a logarithmic scale.
        let middle = (self.warm.seconds * self.cold()).sqrt();
        if seconds < middle {
            self.warm.add(seconds);
        } else {
            self.cold.add(seconds);
        }
    }
}

#[cfg(test)]
mod tests;
