//! Workspace and contract shared by the budget tests.

use azurenotch_config::document::Contract;
use azurenotch_wire::id::Workspace;
use std::{collections::BTreeMap, time::Duration};

/// Returns the workspace that all budget tests use.
pub fn workspace() -> Workspace {
    Workspace::from("w")
}

/// Returns a contract without regional shares.
pub fn contract(rate: f64, burst: f64, concurrency: u32) -> Contract {
    Contract {
        rate,
        burst,
        concurrency,
        regional_share: BTreeMap::new(),
        version_share_step: 0.1,
        version_step_interval: Duration::from_secs(1),
        latency: Duration::from_secs(1),
        refusals: 0.01,
        isolation_limit: Duration::from_secs(30),
    }
}
