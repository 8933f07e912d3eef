//! Time limits of the stages that a change passes from the store to the last request sent without it.
//!
//! The operator bounds the time from the store's acknowledgement of a change to the arrival of the
//! last request that ignores it. Each stage gets a share of the shortest such bound, so that the
//! bound holds when the hosts that read the store for the others fail, however many and however:
//!
//! | Stage | Ends at this share of the bound |
//! | --- | --- |
//! | the reader's wait at the store, in which nothing has changed | 0.40 |
//! | the standby takes over, as no host has confirmed its rows since | 0.50 |
//! | the first deputies read the store by themselves, then the next, then all hosts | 0.60 to 0.70 |
//! | the connection to the store, its answer, and the update of other hosts | 0.85 |
//! | choice of a server, connection, and the request's way to it | 1.00 |
//!
//! While a reader lives, a change takes one round trip to the store and one datagram.

use super::election::Role;
use std::time::Duration;

/// Shortest bound that the stages fit into; rounds between distant regions take 200 ms.
pub const MIN_BOUND: Duration = Duration::from_secs(1);
/// Share of the bound for which the reader waits for changes.
const WAIT_SHARE: f64 = 0.4;
/// Longest wait of the reader; that of the standby has to end before the store ends it, after 30 s.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// Wait of the standby, as a multiple of the reader's; its calls are paid for too.
const STANDBY_WAITS: u32 = 3;
/// Share of the bound for the connection to the store, its answer, and the update of other hosts.
pub const READ_SHARE: f64 = 0.15;
/// Time limit of a call to the store in addition to its wait, connecting included.
///
/// Other hosts take over before it ends, so it leaves room for a store fifty times slower than usual.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Share of the bound without a confirmation after which the standby reads like the reader.
const STANDBY_PATIENCE: f64 = 0.5;
/// Hosts that take over after the standby: how many in a group, and the share of the bound.
const DEPUTY_PATIENCE: [(usize, f64); 2] = [(3, 0.6), (13, 0.65)];
/// Share of the bound without a confirmation after which every host reads the store.
const MAX_PATIENCE: f64 = 0.7;

/// Time limits that follow from the shortest bound on a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Passage {
    bound: Duration,
}

impl Passage {
    /// Creates the time limits for the shortest of the bounds, at least [`MIN_BOUND`].
    pub fn new(bounds: impl IntoIterator<Item = Duration>) -> Self {
        let shortest = bounds.into_iter().min().unwrap_or(MIN_BOUND);
        Self {
            bound: shortest.max(MIN_BOUND),
        }
    }

    /// Returns for how long a host in this role waits for changes in one call to the store.
    pub fn wait(&self, role: Role) -> Duration {
        let wait = self.bound.mul_f64(WAIT_SHARE).min(MAX_WAIT);
        match role {
            Role::Standby => STANDBY_WAITS * wait,
            Role::Reader | Role::Deputy(_) => wait,
        }
    }

    /// Returns how long a host in this role goes without a confirmation before it reads the store.
    pub fn patience(&self, role: Role) -> Duration {
        let share = match role {
            Role::Reader => 0.0,
            Role::Standby => STANDBY_PATIENCE,
            Role::Deputy(before) => {
                let group = DEPUTY_PATIENCE.iter().find(|(end, _)| before < *end);
                group.map_or(MAX_PATIENCE, |(_, share)| *share)
            }
        };
        self.bound.mul_f64(share)
    }
}

#[cfg(test)]
mod tests;
