//! Admission of requests within the limits of their workspace's contract.

use azurenotch_config::{
    document::{Contract, Route},
    snapshot::Snapshot,
};
use azurenotch_core::process::bucket::Bucket;
use azurenotch_wire::{
    Map,
    budget::Capacity,
    id::Workspace,
    refusal::{Reason, Refusal},
    time::Instant,
};
use parking_lot::{Mutex, RwLock};
use std::{
    any::Any,
    fmt::{self, Debug, Formatter},
    sync::Arc,
    time::Duration,
};

/// Delay after which a caller that was refused for concurrency may retry.
const CONCURRENCY_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Result of an admission.
pub type Result<T, E = Refusal> = std::result::Result<T, E>;

/// Decides whether a workspace may run one more request.
pub trait Admission: Debug + Send + Sync {
    /// Applies the contracts of a new configuration version.
    fn adopt(&self, now: Instant, snapshot: &Snapshot);

    /// Admits one request of `workspace` on `route`.
    ///
    /// # Errors
    ///
    /// Returns a refusal with outcome `not-run` if a limit of the contract is reached.
    fn admit(&self, now: Instant, workspace: &Workspace, route: &Route) -> Result<Permit>;
}

/// Permission to run one request, which releases its share of the limits when dropped.
pub struct Permit {
    _held: Box<dyn Any + Send + Sync>,
}

impl Permit {
    /// Creates a permit that drops `held` when the request ends.
    pub fn new<T: Any + Send + Sync>(held: T) -> Self {
        Self {
            _held: Box::new(held),
        }
    }
}

impl Debug for Permit {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Permit").finish_non_exhaustive()
    }
}

/// Applies whole contracts at this host, for a deployment with a single host.
#[derive(Debug, Default)]
pub struct Local {
    limits: RwLock<Map<Workspace, Arc<Mutex<Limit>>>>,
}

#[derive(Debug)]
struct Limit {
    bucket: Bucket,
    concurrency: u32,
    running: u32,
}

/// One running request of a workspace.
struct Running(Arc<Mutex<Limit>>);

impl Drop for Running {
    fn drop(&mut self) {
        let mut limit = self.0.lock();
        limit.running = limit.running.saturating_sub(1);
    }
}

impl Local {
    /// Creates an admission that refuses everything until it adopts contracts.
    pub fn new() -> Self {
        Self::default()
    }
}

impl Admission for Local {
    fn adopt(&self, now: Instant, snapshot: &Snapshot) {
        let contracts = &snapshot.document.workspaces;
        let mut limits = self.limits.write();
        limits.retain(|workspace, _| contracts.contains_key(workspace));
        for (workspace, contract) in contracts {
            let limit = limits.entry(workspace.clone()).or_insert_with(|| {
                Arc::new(Mutex::new(Limit {
                    bucket: Bucket::new(now),
                    concurrency: 0,
                    running: 0,
                }))
            });
            let mut limit = limit.lock();
            limit.bucket.resize(now, &capacity(contract));
            limit.concurrency = contract.concurrency;
        }
    }

    fn admit(&self, now: Instant, workspace: &Workspace, _route: &Route) -> Result<Permit> {
        let limit = self.limits.read().get(workspace).map(Arc::clone);
        // A workspace without a contract has a rate of zero.
        let limit = limit.ok_or(Refusal::not_run(Reason::Rate))?;
        {
            let mut limit = limit.lock();
            if limit.running >= limit.concurrency {
                return Err(
                    Refusal::not_run(Reason::Concurrency).retry_after(CONCURRENCY_RETRY_DELAY)
                );
            }
            limit.bucket.take(now).map_err(|delay| {
                let refusal = Refusal::not_run(Reason::Rate);
                delay.map_or(refusal.clone(), |delay| refusal.retry_after(delay))
            })?;
            limit.running += 1;
        }
        Ok(Permit::new(Running(limit)))
    }
}

fn capacity(contract: &Contract) -> Capacity {
    Capacity {
        rate: contract.rate,
        burst: contract.burst,
        concurrency: f64::from(contract.concurrency),
    }
}
