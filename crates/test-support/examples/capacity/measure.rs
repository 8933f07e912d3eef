//! Processor time, live memory and least-squares lines.

use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Processor time of one batch in microseconds, much longer than the resolution of the clock.
const BATCH_MICROS: f64 = 4_000.0;
/// Batches of one point.
const BATCHES: usize = 9;
/// Batches of a point whose work takes longer than [`BATCH_MICROS`].
const LONG_BATCHES: usize = 3;

/// Median over the batches of a point, with half the interquartile range.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// Median.
    pub median: f64,
    /// Half the interquartile range.
    pub spread: f64,
}

impl Sample {
    /// Summarises repeated measurements.
    pub fn of(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        let at = |part: f64| values[((values.len() - 1) as f64 * part).round() as usize];
        Self {
            median: at(0.5),
            spread: (at(0.75) - at(0.25)) / 2.0,
        }
    }
}

/// Returns the processor time of this process so far.
pub fn cpu() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    Duration::new(
        u64::try_from(time.tv_sec).unwrap_or_default(),
        u32::try_from(time.tv_nsec).unwrap_or_default(),
    )
}

/// Measures the processor time of one call of `work`, in microseconds.
pub fn time(mut work: impl FnMut()) -> Sample {
    let start = cpu();
    work();
    let once = since(start).max(0.02);
    let calls = (BATCH_MICROS / once).clamp(1.0, 200_000.0) as u32;
    let batches = if calls == 1 { LONG_BATCHES } else { BATCHES };
    let batch = |_| {
        let start = cpu();
        for _ in 0..calls {
            work();
        }
        since(start) / f64::from(calls)
    };
    Sample::of((0..batches).map(batch).collect())
}

/// Returns the processor time since `start`, in microseconds.
pub fn since(start: Duration) -> f64 {
    cpu().saturating_sub(start).as_secs_f64() * 1e6
}

/// Returns the bytes that are allocated now; the allocator counts resized blocks too.
pub fn live() -> f64 {
    let stats = crate::ALLOCATOR.stats();
    stats.bytes_allocated as f64 - stats.bytes_deallocated as f64
}

/// Measured values of one quantity against a size.
#[derive(Debug)]
pub struct Series {
    /// Name of the quantity.
    pub name: String,
    /// Unit of the values.
    pub unit: &'static str,
    /// Size that varies.
    pub size: &'static str,
    /// Size, value and spread of each point.
    pub points: Vec<(f64, Sample)>,
}

impl Series {
    /// Creates a series without points.
    pub fn new(name: &str, unit: &'static str, size: &'static str) -> Self {
        Self {
            name: name.to_owned(),
            unit,
            size,
            points: Vec::new(),
        }
    }

    /// Adds a point.
    pub fn push(&mut self, size: f64, sample: Sample) {
        self.points.push((size, sample));
    }

    /// Adds a point that is counted and has no spread.
    pub fn count(&mut self, size: f64, value: f64) {
        let sample = Sample {
            median: value,
            spread: 0.0,
        };
        self.push(size, sample);
    }

    /// Returns the least-squares line through the points.
    pub fn fit(&self) -> Line {
        let count = self.points.len() as f64;
        let mean = |value: &dyn Fn(&(f64, Sample)) -> f64| {
            self.points.iter().map(value).sum::<f64>() / count
        };
        let (x, y) = (mean(&|point| point.0), mean(&|point| point.1.median));
        let covariance = mean(&|point| (point.0 - x) * (point.1.median - y));
        let variance = mean(&|point| (point.0 - x).powi(2));
        let slope = covariance / variance;
        let start = y - slope * x;
        let residual = mean(&|point| (point.1.median - start - slope * point.0).powi(2)).sqrt();
        Line {
            start,
            slope,
            residual,
        }
    }
}

/// A least-squares line.
#[derive(Debug, Clone, Copy)]
pub struct Line {
    /// Value at size zero.
    pub start: f64,
    /// Increase for each unit of the size.
    pub slope: f64,
    /// Root mean square of the distances of the points from the line.
    pub residual: f64,
}

impl Line {
    /// Returns the value of the line at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.start + self.slope * size
    }
}
