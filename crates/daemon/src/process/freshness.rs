//! Evidence about the age of the configuration, shared by control and data path.

use crate::request::freshness::Freshness;
use azurenotch_config::document::Contract;
use azurenotch_core::process::freshness::{Freshness as Machine, PROOF_WINDOW, Status};
use azurenotch_wire::{
    id::Host,
    refusal::{Reason, Refusal},
    time::Instant,
};
use parking_lot::Mutex;
use std::time::Duration;

/// Time after which a caller may try an isolated host again.
const ISOLATED_RETRY: Duration = Duration::from_secs(5);

/// Evidence about the age of the configuration.
#[derive(Debug)]
pub struct Evidence {
    machine: Mutex<Machine>,
}

impl Evidence {
    /// Creates the evidence of a host that knows nothing yet.
    pub fn new(host: Host) -> Self {
        Self {
            machine: Mutex::new(Machine::new(host, PROOF_WINDOW)),
        }
    }

    /// Changes the evidence.
    pub fn update<T>(&self, change: impl FnOnce(&mut Machine) -> T) -> T {
        change(&mut self.machine.lock())
    }

    /// Returns the age of this host's last read of the configuration head.
    pub fn contact_age(&self, now: Instant) -> Option<Duration> {
        self.machine.lock().contact_age(now)
    }
}

impl Freshness for Evidence {
    fn check(&self, now: Instant, contract: &Contract) -> Result<(), Refusal> {
        match self.machine.lock().status(now, contract.isolation_limit) {
            Status::Current | Status::StoreDown => Ok(()),
            Status::Isolated { .. } => {
                Err(Refusal::not_run(Reason::Isolated).retry_after(ISOLATED_RETRY))
            }
        }
    }
}
