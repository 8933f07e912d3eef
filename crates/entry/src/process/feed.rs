//! Follows what the platform says about one subject.

use crate::{
    platform::{Error, Result, Subject},
    process::{replica::Update, state::State},
};
use rand::random_range;
use slog::{info, warn};
use std::{sync::Arc, time::Duration};
use tokio::{select, time::sleep};
use tokio_util::sync::CancellationToken;

/// Longest time that the store waits for a change before it answers.
///
/// A host that hears nothing for longer cannot know of withdrawn keys, so that the time is well
/// below the bound of withdrawals.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two looks whether this host has to follow the store.
const FOLLOW_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Age of what other hosts tell from which this host asks the store itself.
///
/// Below the bound of withdrawals by the time for two tries.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(3);
/// Pause after the first failure, doubled with each one in a row.
const MIN_BACKOFF: Duration = Duration::from_millis(150);
/// Longest backoff between two tries of a host that follows the store for others.
const MAX_FOLLOWER_BACKOFF: Duration = Duration::from_millis(800);
/// Longest backoff between two tries of the other hosts.
///
/// While the store is down all hosts ask it, and calls that it refuses are paid for as well.
const MAX_OTHERS_BACKOFF: Duration = Duration::from_millis(2_500);

/// Follows a subject until `stop` is cancelled.
pub async fn run(state: Arc<State>, subject: Subject, stop: CancellationToken) {
    let mut feed = Feed {
        state,
        subject,
        needs_full_read: true,
        backoff: MIN_BACKOFF,
        connected: false,
    };
    select! {
        () = stop.cancelled() => {}
        () = feed.follow() => {}
    }
}

/// Position in what the platform says about one subject.
#[derive(Debug)]
struct Feed {
    state: Arc<State>,
    subject: Subject,
    /// Whether everything has to be read.
    needs_full_read: bool,
    backoff: Duration,
    connected: bool,
}

impl Feed {
    async fn follow(&mut self) {
        loop {
            if !self.is_needed() {
                sleep(FOLLOW_CHECK_INTERVAL).await;
                continue;
            }
            let result = if self.needs_full_read {
                self.read().await
            } else {
                self.wait().await
            };
            let name = self.subject.to_string();
            match result {
                Ok(()) => {
                    self.state.metrics.store(&name, "ok");
                    self.state.record_store_call(self.subject, true);
                    self.record_success();
                }
                Err(Error::Compacted) => {
                    self.state.metrics.store(&name, "compacted");
                    info!(self.state.log(), "feed: history compacted, rereading all rows"; "subject" => name);
                    self.needs_full_read = true;
                }
                Err(error) => {
                    self.state.metrics.store(&name, "error");
                    self.state.record_store_call(self.subject, false);
                    self.record_failure(&error).await;
                }
            }
        }
    }

    async fn read(&mut self) -> Result<()> {
        let start = self.state.now();
        let batch = self.state.dependencies.store.read(self.subject).await?;
        self.log_unusable(&batch.unusable);
        let mut replica = self.state.replica.lock();
        replica.set_clock(self.state.now(), batch.clock);
        let changes = replica.replace(self.subject, batch.version, batch.facts);
        replica.confirm(self.subject, batch.version, start);
        drop(replica);
        self.needs_full_read = false;
        self.state.apply(changes, "store");
        self.state.gossip_wakeup.notify_one();
        Ok(())
    }

    async fn wait(&self) -> Result<()> {
        let start = self.state.now();
        let version = self.state.replica.lock().freshness(self.subject).version;
        let store = &self.state.dependencies.store;
        let batch = store
            .follow(self.subject, version, LONG_POLL_TIMEOUT)
            .await?;
        let end = self.state.now();
        self.log_unusable(&batch.unusable);
        // An empty answer means that nothing had changed when the wait was over.
        let waited = batch.facts.is_empty() && batch.unusable.is_empty();
        let waited = waited && end.since(start) >= LONG_POLL_TIMEOUT;
        let at = if waited {
            start + LONG_POLL_TIMEOUT
        } else {
            start
        };
        let update = Update {
            after: version,
            upto: batch.version,
            facts: batch.facts,
        };
        let mut replica = self.state.replica.lock();
        replica.set_clock(end, batch.clock);
        let changes = replica.apply_store_update(end, self.subject, update, at);
        drop(replica);
        if !changes.is_empty() {
            self.state.apply(changes, "store");
            self.state.gossip_wakeup.notify_one();
        }
        Ok(())
    }

    /// Returns whether this host follows the store, for others or because nobody tells it.
    fn is_needed(&self) -> bool {
        let now = self.state.now();
        let freshness = self.state.replica.lock().freshness(self.subject);
        let late = freshness
            .confirmed
            .is_none_or(|at| now.since(at) > MAX_CONFIRMATION_AGE);
        late || self.state.follows_store(now)
    }

    fn log_unusable(&self, unusable: &[(String, String)]) {
        for (key, reason) in unusable {
            warn!(self.state.log(), "feed: unusable row"; "subject" => %self.subject,
                "key" => key, "reason" => reason);
        }
    }

    fn record_success(&mut self) {
        self.backoff = MIN_BACKOFF;
        if !self.connected {
            self.connected = true;
            info!(self.state.log(), "feed: store reads succeeding"; "subject" => %self.subject);
        }
    }

    async fn record_failure(&mut self, error: &Error) {
        if self.connected {
            self.connected = false;
            warn!(self.state.log(), "feed: store reads failing"; "subject" => %self.subject, "error" => %error);
            self.state.drift.lock().release(self.state.now());
        }
        // Hosts that lost the store together must not return together.
        sleep(self.backoff.mul_f64(random_range(0.7..1.3))).await;
        let now = self.state.now();
        let last = if self.state.follows_store(now) {
            MAX_FOLLOWER_BACKOFF
        } else {
            MAX_OTHERS_BACKOFF
        };
        self.backoff = (2 * self.backoff).min(last);
    }
}
