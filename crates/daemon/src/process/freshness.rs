//! Evidence about the age of the configuration, shared by the control actors and the data path.

use crate::request::freshness::Freshness;
use azurenotch_config::document::Contract;
use azurenotch_core::process::freshness::{Freshness as StateMachine, PROOF_WINDOW, Status};
use azurenotch_wire::{
    id::Host,
    refusal::{Reason, Refusal},
    time::Instant,
};
use parking_lot::Mutex;
use std::time::Duration;

/// Retry delay for callers that an isolated host refuses.
const ISOLATED_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Evidence about the age of the configuration.
#[derive(Debug)]
pub struct Evidence {
    state_machine: Mutex<StateMachine>,
}

impl Evidence {
    /// Creates the evidence of a host that has not yet read the head or received a heartbeat.
    pub fn new(host: Host) -> Self {
        Self {
            state_machine: Mutex::new(StateMachine::new(host, PROOF_WINDOW)),
        }
    }

    /// Updates the evidence with `change` and returns its result.
    pub fn update<T>(&self, change: impl FnOnce(&mut StateMachine) -> T) -> T {
        change(&mut self.state_machine.lock())
    }

    /// Returns the time since this host last read the configuration head; `None` before that.
    pub fn contact_age(&self, now: Instant) -> Option<Duration> {
        self.state_machine.lock().contact_age(now)
    }
}

impl Freshness for Evidence {
    fn check(&self, now: Instant, contract: &Contract) -> Result<(), Refusal> {
        match self
            .state_machine
            .lock()
            .status(now, contract.isolation_limit)
        {
            Status::Current | Status::StoreDown => Ok(()),
            Status::Isolated { .. } => {
                Err(Refusal::not_run(Reason::Isolated).retry_after(ISOLATED_RETRY_DELAY))
            }
        }
    }
}
