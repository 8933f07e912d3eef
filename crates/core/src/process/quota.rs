//! Rate limit of a workspace, enforced by all hosts together without a coordinator.
//!
//! Load pattern: one workspace sends many times its rate to all hosts at once, while hosts are
//! partitioned, killed and replaced. Each host keeps a token bucket of the whole contract and takes
//! from it the requests that it admits itself and those that the other hosts report. Between two
//! reports it assumes that another host admits all its requests while there are tokens, and its
//! part of the rate in proportion to its demand while there are none. Otherwise all hosts together
//! would exceed the contract by what they admit during the delay of the reports.

use azurenotch_wire::{Map, id::Host, time::Instant};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time constant of the moving average of the demand at a host, in seconds.
const DEMAND_TIME_CONSTANT_S: f64 = 0.8;
/// Lower limit of the time between two reports from which a rate is computed, in seconds.
const MIN_REPORT_INTERVAL_S: f64 = 0.02;
/// Time after the last request during which counts are reported.
///
/// It covers several rounds of reports, because some are lost.
const ACTIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time for which a report is extrapolated.
const MAX_EXTRAPOLATION: Duration = Duration::from_secs(2);
/// Tokens of a host that starts while others may have used the burst, in seconds of the rate.
const RESTART_TOKENS_S: f64 = 0.25;
/// Shortest wait that is asked of a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Longest wait that is asked of a refused caller.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Rate limit in the contract of a workspace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Contract {
    /// Requests per second; no limit if it is not positive.
    pub rate: f64,
    /// Requests that may be admitted at once above the rate.
    pub burst: f64,
}

/// Token bucket of one workspace at one host.
#[derive(Debug, Clone)]
pub struct Quota {
    contract: Contract,
    /// Share of the contract, from 0 to 1, that this host and those it reaches may use together.
    share: f64,
    tokens: f64,
    updated: Instant,
    count: Count,
    /// Average rate of requests at this host, per second.
    demand: f64,
    demand_at: Instant,
    others: Map<Host, RemoteUsage>,
}

/// Requests of a workspace at one host since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Requests that callers sent, including refused ones.
    pub asked: u64,
    /// Requests that were admitted.
    pub admitted: u64,
}

/// Last report of another host and the estimate since then.
#[derive(Debug, Clone)]
struct RemoteUsage {
    incarnation: u64,
    count: Count,
    reported: Instant,
    /// Average rate of requests at that host, per second.
    demand: f64,
    /// Tokens taken since the last report for requests that the host is assumed to have admitted.
    assumed: f64,
}

impl Quota {
    /// Creates the bucket of a workspace.
    ///
    /// It is full only if `is_first`, which means that no host can have admitted a request before.
    pub fn new(now: Instant, contract: Contract, is_first: bool) -> Self {
        let start = if is_first {
            contract.burst
        } else {
            contract.burst.min(contract.rate * RESTART_TOKENS_S)
        };
        Self {
            contract,
            share: 1.0,
            tokens: start,
            updated: now,
            count: Count::default(),
            demand: 0.0,
            demand_at: now,
            others: Map::default(),
        }
    }

    /// Replaces the contract and keeps the tokens; a larger burst adds the difference.
    pub fn set_contract(&mut self, now: Instant, contract: Contract) {
        self.refill(now);
        let added = (contract.burst - self.contract.burst).max(0.0);
        self.contract = contract;
        self.tokens = (self.tokens + added).min(contract.burst);
    }

    /// Sets the share of the contract that this host and those it reaches may use together.
    ///
    /// `share` is limited to 0 to 1.
    pub fn set_share(&mut self, now: Instant, share: f64) {
        self.refill(now);
        self.share = share.clamp(0.0, 1.0);
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// Returns how long the caller has to wait for a token, from `MIN_RETRY_AFTER` to
    /// `MAX_RETRY_AFTER`.
    pub fn take(&mut self, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        self.count.asked += 1;
        self.record_demand(now);
        if self.contract.rate <= 0.0 {
            return Ok(());
        }
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            self.count.admitted += 1;
            return Ok(());
        }
        let rate = (self.contract.rate * self.share).max(f64::MIN_POSITIVE);
        let wait = ((1.0 - self.tokens) / rate).min(MAX_RETRY_AFTER.as_secs_f64());
        Err(Duration::from_secs_f64(wait).max(MIN_RETRY_AFTER))
    }

    /// Puts a token back whose request was admitted but never ran.
    pub fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.contract.burst);
        self.count.admitted = self.count.admitted.saturating_sub(1);
    }

    /// Returns the requests at this host since the start of the process.
    pub fn count(&self) -> Count {
        self.count
    }

    /// Returns whether requests arrived recently, so that the counts have to be reported.
    pub fn is_active(&self, now: Instant) -> bool {
        self.count.asked > 0 && now.since(self.demand_at) < ACTIVE_TIMEOUT
    }

    /// Returns the tokens that are left.
    pub fn tokens(&mut self, now: Instant) -> f64 {
        self.refill(now);
        self.tokens
    }

    /// Records the counts that another host reported since its start.
    pub fn on_report(&mut self, now: Instant, host: &Host, incarnation: u64, count: Count) {
        self.refill(now);
        let Some(other) = self.others.get_mut(host) else {
            // Requests admitted before the first report are not taken from the bucket.
            let other = RemoteUsage {
                incarnation,
                count,
                reported: now,
                demand: 0.0,
                assumed: 0.0,
            };
            self.others.insert(host.clone(), other);
            return;
        };
        if other.incarnation != incarnation {
            other.count = Count::default();
            other.incarnation = incarnation;
        }
        let before = other.count;
        let elapsed = now
            .since(other.reported)
            .as_secs_f64()
            .max(MIN_REPORT_INTERVAL_S);
        let weight = (elapsed / DEMAND_TIME_CONSTANT_S).min(1.0);
        let asked = count.asked.saturating_sub(before.asked) as f64;
        other.demand += weight * (asked / elapsed - other.demand);
        // The difference is negative if requests were refunded since the last report.
        let admitted = count.admitted as f64 - before.admitted as f64;
        self.tokens = (self.tokens - admitted + other.assumed).min(self.contract.burst);
        other.assumed = 0.0;
        other.count = count;
        other.reported = now;
    }

    /// Drops the reports of a host that is gone.
    pub fn forget(&mut self, host: &Host) {
        self.others.remove(host);
    }

    /// Adds a request to the average demand at this host.
    fn record_demand(&mut self, now: Instant) {
        let elapsed = now.since(self.demand_at).as_secs_f64();
        self.demand *= (-elapsed / DEMAND_TIME_CONSTANT_S).exp();
        self.demand += 1.0 / DEMAND_TIME_CONSTANT_S;
        self.demand_at = now;
    }

    fn refill(&mut self, now: Instant) {
        let from = self.updated;
        if now.since(from).is_zero() {
            return;
        }
        self.updated = now;
        let Contract { rate, burst } = self.contract;
        let rate = rate * self.share;
        let total: f64 = self.demand + self.others.values().map(|it| it.demand).sum::<f64>();
        // Without tokens the hosts share the rate in proportion to their demand.
        let admitted = if self.tokens >= 1.0 {
            1.0
        } else {
            (rate / total.max(f64::MIN_POSITIVE)).min(1.0)
        };
        let mut gained = now.since(from).as_secs_f64() * rate;
        for other in self.others.values_mut() {
            let end = other.reported + MAX_EXTRAPOLATION;
            let until = if now < end { now } else { end };
            let taken = until.since(from).as_secs_f64() * other.demand * admitted;
            other.assumed += taken;
            gained -= taken;
        }
        self.tokens = (self.tokens + gained).clamp(-burst - rate, burst);
    }
}

#[cfg(test)]
mod tests;
