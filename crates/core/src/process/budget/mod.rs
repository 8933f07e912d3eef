//! Fleet-wide rate, burst and concurrency of a workspace, divided between hosts.
//!
//! The holder of the role `budget` runs a [`Ledger`], every host a [`Reporter`] and one [`Share`]
//! for each workspace. Capacity moves in a fixed order: the host that loses it confirms, the new
//! [`Allocation`] is written to the table, and only then the host that gains it is told.
//!
//! # Contract changes
//!
//! With an unchanged contract, floors and elastic shares never sum above it. Between the acceptance
//! of a change and its adoption by every host, the sum is at most the larger of the old and the new
//! contract, component by component. A lowered contract is in force when the holder and all hosts
//! have adopted it and each host has reported twice, or was silent for `contact` plus `margin`.
//! A host that has not adopted the change keeps its old floor.
//!
//! # Concurrency
//!
//! Requests that already run are not interrupted by a smaller share. They count as held until they
//! finish, and the concurrency of a silent host is freed only after [`Timing::drain`].

mod allocation;
mod answer;
mod division;
mod floor;
mod ledger;
mod proposal;
mod reporter;
mod seat;
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

/// Longest time after a takeover until all hosts have reported to the new holder: it reads the
/// recorded allocation, hosts learn of its token by a heartbeat and report at their next interval.
const SETTLE: Duration = Duration::from_secs(4);

/// Periods that the holder and the hosts agree on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Time for which a grant is usable after its report was sent.
    pub contact: Duration,
    /// Time for which a floor or a holder without contact to the table goes on.
    pub hold: Duration,
    /// Allowance for clocks that run at different speeds.
    pub margin: Duration,
    /// Time after the last successful renewal was sent for which a lease holds.
    pub lease: Duration,
    /// Longest time that a request runs after it was admitted.
    pub drain: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            // Shares have to outlast a crash of the holder, or every host would refuse requests
            // within rate until the next holder answers.
            contact: lease::MAX_TAKEOVER_TIME.saturating_add(SETTLE),
            hold: Duration::from_mins(75),
            margin: Duration::from_millis(500),
            lease: lease::VALIDITY,
            drain: Duration::from_secs(30),
        }
    }
}
