//! Metrics about usage reports.

use super::{Factory, Metrics};
use prometheus::{Error, Gauge, IntCounterVec, IntGauge};

/// Metrics about usage reports, of hosts whose settings ask for them.
#[derive(Debug)]
pub struct Usage {
    /// Windows by what became of their report at this host.
    pub windows: IntCounterVec,
    /// Time since the end of the last window whose report was accepted, in seconds.
    pub accepted_age: Gauge,
    /// Whether this host sends the reports.
    pub holder: IntGauge,
}

impl Metrics {
    /// Creates and registers the metrics about usage reports.
    ///
    /// # Errors
    ///
    /// Fails if two metrics have the same name, which is a programming error.
    pub fn register_usage(&self) -> Result<Usage, Error> {
        let new = Factory(&self.registry);
        Ok(Usage {
            windows: new.counters(
                "azurenotch_usage_windows_total",
                "Windows by what became of their usage report at this host",
                &["outcome"],
            )?,
            accepted_age: new.number(
                "azurenotch_usage_accepted_age_seconds",
                "Time since the end of the last window whose usage report was accepted",
            )?,
            holder: new.gauge(
                "azurenotch_usage_holder",
                "Whether this host sends the usage reports",
            )?,
        })
    }
}
