//! Idle connections to the platform.

use super::link::Link;
use parking_lot::Mutex;
use std::{fmt, time::Duration};
use tokio::time::Instant;

/// Bounded stack of idle connections; the most recently used one is reused first.
pub(super) struct Pool {
    size: usize,
    limit: Duration,
    idle: Mutex<Vec<(Instant, Link)>>,
}

impl Pool {
    pub(super) fn new(size: usize, limit: Duration) -> Self {
        Self {
            size,
            limit,
            idle: Mutex::default(),
        }
    }

    /// Takes an idle connection that was open when last polled, if there is one.
    pub(super) async fn take(&self) -> Option<Link> {
        loop {
            let (since, mut link) = self.idle.lock().pop()?;
            if since.elapsed() >= self.limit {
                // Connections below this one on the stack have been idle for longer.
                self.idle
                    .lock()
                    .retain(|(since, _)| since.elapsed() < self.limit);
                continue;
            }
            if link.is_usable().await {
                return Some(link);
            }
        }
    }

    /// Returns a connection to the pool, or closes it if the pool is full.
    pub(super) fn put(&self, link: Link) {
        let mut idle = self.idle.lock();
        if idle.len() < self.size {
            idle.push((Instant::now(), link));
        }
    }
}

impl fmt::Debug for Pool {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Pool")
            .field("size", &self.size)
            .field("limit", &self.limit)
            .field("idle", &self.idle.lock().len())
            .finish()
    }
}
