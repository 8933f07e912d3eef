//! Backend servers that name the rate of requests that they take.

use super::{Backend, Placement};
use crate::version::limit::{Change, Limit, Statement};
use azurenotch_wire::time::Instant;

/// Maximum number of limits that are kept of servers that are not listed, or cannot be read.
const MAX_KEPT: usize = 1024;

/// Limit of a process whose server is not listed at present.
#[derive(Debug)]
pub(super) struct Unlisted {
    incarnation: u64,
    limit: Box<Limit>,
}

impl Placement {
    /// Records what an answer said about the server's limit; returns a change to report.
    pub fn observe_limit(
        &mut self,
        now: Instant,
        index: usize,
        statement: Statement,
    ) -> Option<Change> {
        let known = &mut self.entries[index].limit;
        match known {
            Some(limit) => limit.observe(statement),
            None if statement.limit.is_some() => *known = Some(Box::new(Limit::new(statement))),
            None => return None,
        }
        known.as_mut()?.report(now)
    }

    /// Records that a server named a limit that cannot be read; returns whether that is new.
    ///
    /// Such a statement changes nothing.
    pub fn reject_limit(&mut self, index: usize) -> bool {
        let Backend {
            server,
            incarnation,
            ..
        } = &self.entries[index].backend;
        if self.unreadable_limits.len() >= MAX_KEPT {
            self.unreadable_limits.clear();
        }
        let known = self.unreadable_limits.insert(server.clone(), *incarnation);
        known != Some(*incarnation)
    }

    /// Returns the requests per second that a server takes from all hosts together.
    pub fn limit(&self, now: Instant, index: usize) -> Option<f64> {
        self.entries[index].limit.as_ref()?.in_force(now)
    }

    /// Keeps the limit of a server that is no longer listed, in case that its listing returns.
    pub(super) fn keep_unlisted_limit(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        let Some(limit) = entry.limit.take() else {
            return;
        };
        if self.unlisted_limits.len() >= MAX_KEPT {
            self.unlisted_limits.clear();
        }
        let Backend {
            server,
            incarnation,
            ..
        } = &entry.backend;
        let incarnation = *incarnation;
        self.unlisted_limits
            .insert(server.clone(), Unlisted { incarnation, limit });
    }

    /// Returns the limit of a server that is listed again; `None` if another process has its name.
    pub(super) fn take_unlisted_limit(&mut self, backend: &Backend) -> Option<Box<Limit>> {
        let kept = self.unlisted_limits.remove(&backend.server)?;
        (kept.incarnation == backend.incarnation).then_some(kept.limit)
    }
}
