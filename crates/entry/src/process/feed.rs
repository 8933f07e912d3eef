//! Follows the changes of one subject in the platform's store.

use crate::{
    era::Era,
    platform::{Error, Result, Subject},
    process::{
        change::{Origin, Source},
        replica::Update,
        state::State,
    },
};
use azurenotch_wire::time::Instant;
use derive_more::Display;
use rand::random_range;
use slog::{info, warn};
use std::{sync::Arc, time::Duration};
use tokio::{select, time::sleep};
use tokio_util::sync::CancellationToken;

/// Time for which the store holds a long poll open before it answers without changes.
///
/// A host without an answer does not learn of withdrawn keys, so the time is well below the bound
/// `withdrawal-s`.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two checks of whether this host has to follow the store.
const FOLLOW_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Age of the last confirmation from which a host that relies on others follows the store itself.
///
/// Leaves time for two tries within the bound `withdrawal-s`.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(3);
/// Back-off after the first failure, doubled with each further one in a row.
const MIN_BACKOFF: Duration = Duration::from_millis(150);
/// Maximum back-off of a host that follows the store for others.
const MAX_FOLLOWER_BACKOFF: Duration = Duration::from_millis(800);
/// Maximum back-off of the other hosts.
///
/// While the store is down all hosts call it, and refused calls cost as much as answered ones.
const MAX_OTHERS_BACKOFF: Duration = Duration::from_millis(2_500);

/// Applies the changes of a subject until `stop` is cancelled.
pub async fn run(state: Arc<State>, subject: Subject, stop: CancellationToken) {
    let mut feed = Feed {
        state,
        subject,
        needs_full_read: true,
        backoff: MIN_BACKOFF,
        connected: false,
        reason: None,
    };
    select! {
        () = stop.cancelled() => {}
        () = feed.follow() => {}
    }
}

/// Follower of one subject's changes.
#[derive(Debug)]
struct Feed {
    state: Arc<State>,
    subject: Subject,
    /// Whether the next call has to read all rows.
    needs_full_read: bool,
    backoff: Duration,
    /// Whether the store answered the last call; false before the first one.
    connected: bool,
    /// Why this host followed the store in the last check; `None` if it did not.
    reason: Option<Reason>,
}

/// Why a host follows the store.
///
/// The displayed names are fields of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
enum Reason {
    /// It does so for the other hosts.
    #[display("elected")]
    Elected,
    /// No host has confirmed its rows for too long.
    #[display("confirmation-age")]
    ConfirmationAge,
    /// It holds rows that the store has lost.
    #[display("held-rows")]
    HeldRows,
}

impl Feed {
    async fn follow(&mut self) {
        loop {
            if !self.check_role() {
                sleep(FOLLOW_CHECK_INTERVAL).await;
                continue;
            }
            let now = self.state.now();
            self.needs_full_read |= self.state.replica.lock().end_holds(now, self.subject);
            let result = if self.needs_full_read {
                self.read_all().await
            } else {
                self.poll_changes().await
            };
            let name = self.subject.to_string();
            match result {
                Ok(()) => {
                    self.state.metrics.count_store_call(&name, "ok");
                    self.state.record_store_call(self.subject, true);
                    self.record_success();
                }
                Err(error @ (Error::Compacted | Error::Restored)) => {
                    let restored = matches!(error, Error::Restored);
                    let label = if restored { "restored" } else { "compacted" };
                    self.state.metrics.count_store_call(&name, label);
                    info!(self.state.log(), "feed: history compacted, rereading all rows";
                        "subject" => name, "error" => %error);
                    self.needs_full_read = true;
                }
                Err(error) => {
                    self.state.metrics.count_store_call(&name, "error");
                    self.state.record_store_call(self.subject, false);
                    self.record_failure(&error).await;
                }
            }
        }
    }

    async fn read_all(&mut self) -> Result<()> {
        let start = self.state.now();
        let batch = self.state.dependencies.store.read(self.subject).await?;
        self.log_unusable(&batch.unusable);
        let mut replica = self.state.replica.lock();
        let now = self.state.now();
        replica.set_clock(now, batch.clock);
        let known = replica.freshness(self.subject);
        let former = known.version;
        let changes = replica.replace(now, self.subject, batch.version, batch.facts);
        let era = Era::of(batch.version);
        if former != 0 && Era::of(former) < era {
            warn!(self.state.log(), "feed: store restored from an older copy";
                "subject" => %self.subject, "era" => era.0, "former-era" => Era::of(former).0,
                "version" => Era::number(batch.version), "held" => replica.held_count());
        }
        replica.confirm(self.subject, batch.version, start);
        drop(replica);
        self.needs_full_read = false;
        self.state.apply(changes, store_source(known.confirmed));
        self.state.gossip_wakeup.notify_one();
        Ok(())
    }

    async fn poll_changes(&self) -> Result<()> {
        let start = self.state.now();
        let version = self.state.replica.lock().freshness(self.subject).version;
        let store = &self.state.dependencies.store;
        let batch = store
            .follow(self.subject, version, LONG_POLL_TIMEOUT)
            .await?;
        let end = self.state.now();
        self.log_unusable(&batch.unusable);
        // An empty answer after the full wait proves that nothing changed until the wait ended.
        let waited = batch.facts.is_empty() && batch.unusable.is_empty();
        let waited = waited && end.since(start) >= LONG_POLL_TIMEOUT;
        let at = if waited {
            start + LONG_POLL_TIMEOUT
        } else {
            start
        };
        let update = Update {
            after: version,
            up_to: batch.version,
            facts: batch.facts,
        };
        let mut replica = self.state.replica.lock();
        replica.set_clock(end, batch.clock);
        let confirmed = replica.freshness(self.subject).confirmed;
        let changes = replica.apply_store_update(end, self.subject, update, at);
        drop(replica);
        if !changes.is_empty() {
            self.state.apply(changes, store_source(confirmed));
            self.state.gossip_wakeup.notify_one();
        }
        Ok(())
    }

    /// Returns whether this host has to follow the store, and logs when that changes.
    fn check_role(&mut self) -> bool {
        let now = self.state.now();
        let confirmed = self.state.replica.lock().freshness(self.subject).confirmed;
        let reason = self.reason_to_follow(now, confirmed);
        if self.reason != reason {
            self.reason = reason;
            let age = confirmed.map(|at| now.since(at).as_millis() as u64);
            let reason_name = reason.map(|reason| reason.to_string());
            info!(self.state.log(), "feed: role changed"; "subject" => %self.subject,
                "follows" => reason.is_some(), "reason" => reason_name, "age-ms" => age);
            let name = self.subject.to_string();
            self.state.metrics.set_follows(&name, reason.is_some());
        }
        reason.is_some()
    }

    /// Returns why this host has to follow the store; `None` if it relies on others.
    fn reason_to_follow(&self, now: Instant, confirmed: Option<Instant>) -> Option<Reason> {
        if confirmed.is_none() && self.state.awaits_first_read(now) {
            let elected = self.state.knows_others(now) && self.state.follows_store(now);
            return elected.then_some(Reason::Elected);
        }
        if self.state.follows_store(now) {
            return Some(Reason::Elected);
        }
        if confirmed.is_none_or(|at| now.since(at) > MAX_CONFIRMATION_AGE) {
            return Some(Reason::ConfirmationAge);
        }
        // Only a host that has read the store knows which rows it has to read again.
        let holds = self.state.replica.lock().has_holds(self.subject);
        holds.then_some(Reason::HeldRows)
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
        warn!(self.state.log(), "feed: store reads failing"; "subject" => %self.subject,
            "first" => self.connected, "error" => %error);
        if self.connected {
            self.connected = false;
            self.state.slew.lock().suspend(self.state.now());
        }
        // Jitter keeps hosts that lost the store together from retrying together.
        sleep(self.backoff.mul_f64(random_range(0.7..1.3))).await;
        let now = self.state.now();
        let max_backoff = if self.state.follows_store(now) {
            MAX_FOLLOWER_BACKOFF
        } else {
            MAX_OTHERS_BACKOFF
        };
        self.backoff = (2 * self.backoff).min(max_backoff);
    }
}

/// Returns the source of changes that the store returned, of rows last confirmed at `confirmed`.
fn store_source(confirmed: Option<Instant>) -> Source {
    Source {
        origin: Origin::Store,
        confirmed,
    }
}
