//! Estimates of the work of a request, the time that a backend server needs for it.

use std::time::Duration;

/// Number of measurements that an average covers.
const MAX_MEASUREMENTS: u32 = 40;
/// Initial estimate of work on a cached object, as a share of the latency objective.
const INITIAL_WARM_SHARE: f64 = 0.4;
/// Initial estimate of work on an object that is not cached, as a share of the latency objective.
const INITIAL_COLD_SHARE: f64 = 1.25;
/// Multiple of cold work at which measurements are capped, because a slow server causes them.
const OUTLIER_FACTOR: f64 = 2.0;
/// Multiple of warm work that cold work has to be for a time to show whether the cache was warm.
const MIN_COLD_FACTOR: f64 = 1.5;

/// Average work of the requests of one route.
///
/// A measurement is added to the nearer of the warm and the cold average, because only the
/// measured time shows whether the object was cached.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    warm: Average,
    cold: Average,
    average: Average,
}

#[derive(Debug, Clone, Copy)]
struct Average {
    seconds: f64,
    measurements: u32,
}

impl Average {
    fn new(seconds: f64) -> Self {
        Self {
            seconds,
            measurements: 0,
        }
    }

    fn add(&mut self, seconds: f64) {
        self.measurements = (self.measurements + 1).min(MAX_MEASUREMENTS);
        // The initial estimate counts as one measurement.
        self.seconds += (seconds - self.seconds) / f64::from(self.measurements + 1);
    }
}

impl Work {
    /// Creates estimates from the latency objective.
    pub fn new(objective: Duration) -> Self {
        let objective = objective.as_secs_f64();
        Self {
            warm: Average::new(objective * INITIAL_WARM_SHARE),
            cold: Average::new(objective * INITIAL_COLD_SHARE),
            // At the start all caches are cold. A warm estimate would make queues look short
            // until they are seconds long.
            average: Average::new(objective * INITIAL_COLD_SHARE),
        }
    }

    /// Returns the expected work in seconds, given the probability of a cache hit.
    pub fn expected(&self, hit_probability: f64) -> f64 {
        hit_probability * self.warm.seconds + (1.0 - hit_probability) * self.cold()
    }

    /// Returns the average work of all requests, in seconds.
    pub fn average(&self) -> f64 {
        self.average.seconds
    }

    /// Returns the work on an object that is not cached, in seconds.
    pub fn cold(&self) -> f64 {
        self.cold.seconds.max(self.warm.seconds)
    }

    /// Returns whether a request that took this time after an expected wait found a warm cache.
    ///
    /// Returns `None` if the time does not show it: the wait was long compared with the difference,
    /// or the server was slow.
    pub fn is_warm(&self, seconds: f64, wait: f64) -> Option<bool> {
        let difference = self.cold() - self.warm.seconds;
        let distinct = self.cold() >= MIN_COLD_FACTOR * self.warm.seconds;
        let clear = wait <= difference / 2.0 && seconds <= OUTLIER_FACTOR * self.cold();
        (distinct && clear).then(|| seconds < self.threshold())
    }

    /// Returns the time that separates warm from cold work: the geometric mean of both averages.
    fn threshold(&self) -> f64 {
        (self.warm.seconds * self.cold()).sqrt()
    }

    /// Adds a measurement in seconds.
    pub fn observe(&mut self, seconds: f64) {
        let seconds = seconds.min(OUTLIER_FACTOR * self.cold());
        self.average.add(seconds);
        if seconds < self.threshold() {
            self.warm.add(seconds);
        } else {
            self.cold.add(seconds);
        }
    }
}

#[cfg(test)]
mod tests;
