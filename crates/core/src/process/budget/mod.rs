//! Divides the fleet-wide rate, burst and concurrency of a workspace between hosts.
//!
//! The holder of the role `budget` runs a [`Ledger`], every host a [`Reporter`] and one [`Share`]
//! for each workspace. Capacity moves in a fixed order: the host that loses it confirms, the new
//! [`Allocation`] is written to the table, and only then is it granted to the host that gains it.
//!
//! # Contract changes
//!
//! With an unchanged contract, floors and elastic shares never sum above it. Between the acceptance
//! of a change and its adoption by every host, the sum is at most the larger of the old and the new
//! contract, component by component. A lowered contract is in force when the holder and all hosts
//! have adopted it and each host has reported twice, or has not reported for
//! [`Timing::grant_validity`] plus [`Timing::clock_margin`].
//! A host that has not adopted the change keeps its old floor.
//!
//! # Concurrency
//!
//! Requests that already run are not interrupted by a smaller share. They count as held until they
//! finish. The concurrency of a host that no longer reports is freed only after a further
//! [`Timing::max_run_time`].

mod allocation;
mod answer;
mod division;
mod floor;
mod ledger;
mod occupant;
mod proposal;
mod reporter;
mod share;
mod supply;

pub use self::{
    allocation::{Allocation, Entry, Write},
    answer::Rejection,
    floor::Floor,
    ledger::Ledger,
    reporter::Reporter,
    share::{Refused, Share},
    supply::Supply,
};

use crate::process::lease;
use std::time::Duration;

/// Longest time after a takeover until all hosts have reported to the new holder.
///
/// The new holder reads the recorded allocation, and hosts receive its token with a heartbeat and
/// report at their next interval.
const MAX_FIRST_REPORT_DELAY: Duration = Duration::from_secs(4);

/// Periods that must be the same at the holder and at all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Time after sending a report for which the grant that answers it is usable.
    pub grant_validity: Duration,
    /// Time after the last successful renewal for which a floor stays usable and a holder answers
    /// reports while the table is unreachable.
    pub holdover: Duration,
    /// Allowance for differences in clock speed between hosts.
    pub clock_margin: Duration,
    /// Time after sending the last successful renewal for which the lease is valid.
    pub lease_validity: Duration,
    /// Longest time that a request runs after its admission.
    pub max_run_time: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            // Grants have to stay usable through a takeover; otherwise every host would refuse
            // requests within the rate until the next holder answers.
            grant_validity: lease::MAX_TAKEOVER_TIME.saturating_add(MAX_FIRST_REPORT_DELAY),
            holdover: Duration::from_mins(75),
            clock_margin: Duration::from_millis(500),
            lease_validity: lease::VALIDITY,
            max_run_time: Duration::from_secs(30),
        }
    }
}
