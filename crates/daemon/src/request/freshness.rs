//! Check that the host's list of valid keys is recent enough.

use azurenotch_config::document::Contract;
use azurenotch_wire::{refusal::Refusal, time::Instant};
use std::fmt::Debug;

/// Decides whether keys may be accepted at present.
pub trait Freshness: Debug + Send + Sync {
    /// Checks a keyed request of a workspace with this contract.
    ///
    /// # Errors
    ///
    /// Returns a refusal with reason `isolated` if the host may have missed a withdrawal for longer
    /// than allowed.
    fn check(&self, now: Instant, contract: &Contract) -> Result<(), Refusal>;
}

/// Accepts keys at all times, for a host that receives its configuration directly.
#[derive(Debug, Clone, Copy, Default)]
pub struct Always;

impl Freshness for Always {
    fn check(&self, _now: Instant, _contract: &Contract) -> Result<(), Refusal> {
        Ok(())
    }
}
