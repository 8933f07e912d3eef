//! What backend servers have said that are not listed at present, in case their listing returns.
//!
//! A listing ends and returns for the same process when its row lapses, or when its data centre is
//! evacuated and taken back.

use super::{Backend, Placement};
use crate::version::limit::Limit;
use azurenotch_wire::{id::Server, time::Instant};

/// Maximum number of servers that are remembered.
const MAX_UNLISTED: usize = 1024;

/// What a process of a server has said that is not listed at present.
#[derive(Debug)]
pub(super) struct Unlisted {
    incarnation: u64,
    pub(super) limit: Option<Box<Limit>>,
    /// End of the pause that it has asked for.
    pub(super) paused_until: Instant,
}

impl Placement {
    /// Records that a process of a server wants no requests until `until`; returns whether that is new.
    ///
    /// The server may be unlisted: its row may return.
    pub fn hear_pause(
        &mut self,
        now: Instant,
        server: &Server,
        incarnation: u64,
        until: Instant,
    ) -> bool {
        if let Some(index) = self.find(server) {
            let is_same = self.backend(index).incarnation == incarnation;
            let is_new = is_same && !self.is_paused(now, index);
            if is_same {
                self.pause(index, until);
            }
            return is_new;
        }
        let known = self.unlisted.get_mut(server);
        if let Some(known) = known.filter(|it| it.incarnation == incarnation) {
            let is_new = known.paused_until <= now;
            known.paused_until = known.paused_until.max(until);
            return is_new;
        }
        let unlisted = Unlisted {
            incarnation,
            limit: None,
            paused_until: until,
        };
        self.put_unlisted(server.clone(), unlisted);
        true
    }

    /// Keeps what a server has said that is no longer listed.
    pub(super) fn keep_unlisted(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        let limit = entry.limit.take();
        let paused_until = entry.paused_until();
        if limit.is_none() && paused_until == Instant::ZERO {
            return;
        }
        let unlisted = Unlisted {
            incarnation: entry.backend.incarnation,
            limit,
            paused_until,
        };
        let server = entry.backend.server.clone();
        self.put_unlisted(server, unlisted);
    }

    /// Returns what a server has said that is listed again; `None` if another process has its name.
    pub(super) fn take_unlisted(&mut self, backend: &Backend) -> Option<Unlisted> {
        let kept = self.unlisted.remove(&backend.server)?;
        (kept.incarnation == backend.incarnation).then_some(kept)
    }

    fn put_unlisted(&mut self, server: Server, unlisted: Unlisted) {
        if self.unlisted.len() >= MAX_UNLISTED {
            let mut ends: Vec<Instant> = self.unlisted.values().map(|it| it.paused_until).collect();
            ends.sort_unstable();
            let earliest_kept = ends[MAX_UNLISTED / 2];
            self.unlisted
                .retain(|_, it| it.paused_until > earliest_kept);
        }
        self.unlisted.insert(server, unlisted);
    }
}
