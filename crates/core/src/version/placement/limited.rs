//! Backend servers that name the rate of requests that they take.

use super::{Backend, Placement, Query};
use crate::{
    process::senders::Place,
    version::limit::{Change, Limit, Statement},
};
use azurenotch_wire::{id::Server, time::Instant};
use std::time::Duration;

/// Maximum number of limits that cannot be read and are remembered.
const MAX_UNREADABLE: usize = 1024;

impl Placement {
    /// Records what a server said about its limit in an answer to this host.
    ///
    /// Returns a change to report.
    pub fn hear_limit(
        &mut self,
        now: Instant,
        index: usize,
        statement: Statement,
    ) -> Option<Change> {
        let limit = self.limit_to_update(index, &statement)?;
        limit.hear(statement);
        limit.report(now)
    }

    /// Records what another host heard from the process of a server whose name has the hash `server`.
    ///
    /// Returns the server and a change to report.
    pub fn receive_limit(
        &mut self,
        now: Instant,
        server: u32,
        incarnation: u64,
        statement: Statement,
    ) -> Option<(&Server, Change)> {
        let index = self.index_by_hash.get(&server).copied()?;
        if self.backend(index).incarnation != incarnation {
            return None;
        }
        let limit = self.limit_to_update(index, &statement)?;
        limit.observe(statement);
        let change = limit.report(now)?;
        Some((&self.backend(index).server, change))
    }

    /// Returns the limit of a server, a new one if this is the first statement that names one.
    fn limit_to_update(&mut self, index: usize, statement: &Statement) -> Option<&mut Limit> {
        let known = &mut self.entries[index].limit;
        if known.is_none() && statement.limit.is_some() {
            *known = Some(Box::new(Limit::new(*statement)));
        }
        known.as_deref_mut()
    }

    /// Returns what this host heard about limits and the other hosts have to know.
    ///
    /// A limit is passed on until it is `max_age` old, and that it has ended for the same time.
    pub fn limit_news(
        &self,
        now: Instant,
        max_age: Duration,
    ) -> impl Iterator<Item = (&Backend, Statement)> {
        let entries = self.entries.iter().filter(|entry| entry.is_listed());
        entries.filter_map(move |entry| {
            let news = entry.limit.as_ref()?.news(now, max_age)?;
            Some((&entry.backend, news))
        })
    }

    /// Returns the listed servers whose limit is in force, with their indices.
    pub fn limited(&self, now: Instant) -> impl Iterator<Item = (usize, &Backend, f64)> {
        let backends = self.backends();
        backends.filter_map(move |(index, backend)| {
            let limit = self.limit(now, index)?;
            Some((index, backend, limit))
        })
    }

    /// Sets this host's place among those that share the limit of a server.
    ///
    /// `place` is `None` if this host may not send to it.
    pub fn set_limit_place(&mut self, now: Instant, index: usize, place: Option<Place>) {
        if let Some(limit) = &mut self.entries[index].limit {
            limit.set_place(now, place);
        }
    }

    /// Returns the requests per second that this host may send to servers that have named a limit.
    pub fn limit_part(&self, now: Instant) -> f64 {
        let entries = self.entries.iter().filter(|entry| entry.is_listed());
        let parts = entries.filter_map(|entry| entry.limit.as_ref()?.part(now));
        parts.map(|part| part.rate).sum()
    }

    /// Returns whether a health check of the server is within this host's part of its limit.
    ///
    /// Counts the health check if so.
    pub fn take_health_check(&mut self, now: Instant, index: usize) -> bool {
        let Some(limit) = &mut self.entries[index].limit else {
            return true;
        };
        limit.refresh(now);
        let permitted = limit.permits(now);
        if permitted {
            limit.take(now);
        }
        permitted
    }

    /// Returns the time until a server can take the request that only its limit keeps from it.
    ///
    /// Returns `None` if there is no such server.
    pub fn limit_wait(&self, now: Instant, query: &Query<'_>) -> Option<Duration> {
        let entries = self.entries.iter().enumerate();
        let eligible = entries.filter(|(index, entry)| {
            entry.leaving.is_none()
                && !query.excluded_servers.contains(index)
                && entry.is_eligible(now, query)
        });
        let waits = eligible.filter_map(|(_, entry)| {
            let limit = entry.limit.as_ref()?;
            (!limit.permits(now)).then(|| limit.wait(now))
        });
        waits.min()
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
        if self.unreadable_limits.len() >= MAX_UNREADABLE {
            self.unreadable_limits.clear();
        }
        let known = self.unreadable_limits.insert(server.clone(), *incarnation);
        known != Some(*incarnation)
    }

    /// Returns the requests per second that a server takes from all hosts together.
    pub fn limit(&self, now: Instant, index: usize) -> Option<f64> {
        self.entries[index].limit.as_ref()?.in_force(now)
    }
}
