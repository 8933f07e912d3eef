//! Token of a workspace's quota that a request has taken.

use crate::process::state::State;
use azurenotch_wire::id::Workspace;
use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

/// Token that is given back when it is dropped, unless the request was sent to a server.
///
/// A caller may leave while its body is read or a server is chosen; the request then never runs, and
/// the handler is dropped wherever it waits.
#[derive(Debug)]
pub(crate) struct Charge {
    state: Arc<State>,
    /// `None` if the request belongs to no workspace.
    workspace: Option<Workspace>,
    spent: AtomicBool,
}

impl Charge {
    /// Wraps a token that has been taken from the quota of `workspace`.
    pub(crate) fn new(state: &Arc<State>, workspace: Option<Workspace>) -> Self {
        Self {
            state: Arc::clone(state),
            workspace,
            spent: AtomicBool::new(false),
        }
    }

    /// Keeps the token: a server may run the request from now on.
    pub(crate) fn spend(&self) {
        self.spent.store(true, Ordering::Relaxed);
    }

    /// Gives the token back on drop after all, since no server has run the request.
    pub(crate) fn release(&self) {
        self.spent.store(false, Ordering::Relaxed);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if !self.spent.load(Ordering::Relaxed)
            && let Some(workspace) = &self.workspace
            && let Some(quota) = self.state.quotas.lock().get_mut(workspace)
        {
            quota.refund();
        }
    }
}
