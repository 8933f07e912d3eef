//! Whether a host follows the changes at the store by itself.

use super::{
    election::{Path, Role},
    passage::Passage,
};
use azurenotch_wire::time::Instant;
use derive_more::Display;
use std::time::Duration;

/// Age of the last proven confirmation from which a host follows the store itself.
///
/// Leaves time for two tries within the bound on withdrawn keys.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(3);
/// Time for which an answer of the store proves the way to it; longer than a wait of the standby.
const PROVEN_PATH_TIME: Duration = Duration::from_millis(4_500);
/// Time after which a host whose last call failed may be asked to try again.
const LOST_PATH_TIME: Duration = Duration::from_secs(10);

/// Why a host follows the store.
///
/// The displayed names are fields of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Reason {
    /// It reads the store for the other hosts.
    #[display("reader")]
    Reader,
    /// It waits for changes beside the reader.
    #[display("standby")]
    Standby,
    /// No host has confirmed its rows for so long that this one takes over.
    #[display("takeover")]
    Takeover,
    /// The age of the last confirmation that other hosts have proven.
    #[display("confirmation-age")]
    ConfirmationAge,
    /// It holds rows that the store has lost.
    #[display("held-rows")]
    HeldRows,
}

/// What a host knows about how current its rows are.
#[derive(Debug, Clone, Copy, Default)]
pub struct Knowledge {
    /// Last instant at which the store had no later change, as proven by echoes.
    pub confirmed: Option<Instant>,
    /// The same by what other hosts say.
    pub heard: Option<Instant>,
}

impl Knowledge {
    /// Returns why a host in a role has to follow the store; `None` if it relies on others.
    pub fn reason_to_follow(&self, now: Instant, role: Role, passage: &Passage) -> Option<Reason> {
        if role == Role::Reader {
            return Some(Reason::Reader);
        }
        if self.is_overdue(now, role, passage) {
            return Some(Reason::Takeover);
        }
        let is_old = |at| now.since(at) > MAX_CONFIRMATION_AGE;
        if self.confirmed.is_none_or(is_old) {
            return Some(Reason::ConfirmationAge);
        }
        (role == Role::Standby).then_some(Reason::Standby)
    }

    /// Returns whether the host has heard of no confirmation for longer than its role permits.
    pub fn is_overdue(&self, now: Instant, role: Role, passage: &Passage) -> bool {
        let patience = passage.patience(role);
        self.heard.is_none_or(|at| now.since(at) > patience)
    }
}

/// Last calls to the store about one subject.
#[derive(Debug, Clone, Copy, Default)]
pub struct Calls {
    answered: Option<Instant>,
    failed: Option<Instant>,
}

impl Calls {
    /// Records whether the store answered a call.
    pub fn record(&mut self, now: Instant, answered: bool) {
        if answered {
            (self.answered, self.failed) = (Some(now), None);
        } else {
            self.failed = Some(now);
        }
    }

    /// Returns what the calls tell of the way to the store.
    pub fn path(&self, now: Instant) -> Path {
        let is_recent = |at: Option<Instant>, age| at.is_some_and(|at| now.since(at) < age);
        if is_recent(self.failed, LOST_PATH_TIME) {
            Path::Lost
        } else if is_recent(self.answered, PROVEN_PATH_TIME) {
            Path::Proven
        } else {
            Path::Untried
        }
    }
}
