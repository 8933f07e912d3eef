//! Whether the host's knowledge of withdrawn keys is recent enough.

use azurenotch_config::document::Contract;
use azurenotch_wire::{refusal::Refusal, time::Instant};
use std::fmt::Debug;

/// Decides whether keys may be honoured at present.
pub trait Freshness: Debug + Send + Sync {
    /// Checks a keyed request of a workspace with this contract.
    ///
    /// # Errors
    ///
    /// Returns a refusal with reason `isolated` if a withdrawal may have been missed for too long.
    fn check(&self, now: Instant, contract: &Contract) -> Result<(), Refusal>;
}

/// Honours keys at all times, for a host that receives its configuration directly.
#[derive(Debug, Clone, Copy, Default)]
pub struct Always;

impl Freshness for Always {
    fn check(&self, _now: Instant, _contract: &Contract) -> Result<(), Refusal> {
        Ok(())
    }
}
