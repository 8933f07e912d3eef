//! Follows the changes of one subject in the platform's store.

use crate::{
    era::Era,
    platform::{Error, Result, Subject},
    process::{
        change::{Origin, Source},
        replica::{Freshness, Update},
        state::State,
    },
};
use azurenotch_core::process::{election::Role, follow::Reason, passage};
use azurenotch_wire::time::Instant;
use rand::random_range;
use slog::{info, warn};
use std::{sync::Arc, time::Duration};
use tokio::{select, time::sleep};
use tokio_util::sync::CancellationToken;

/// Time between two checks of whether this host has to follow the store.
const FOLLOW_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Pause of the standby after changes.
const STANDBY_PAUSE: Duration = Duration::from_millis(250);
/// Back-off after the first failure, doubled with each further one in a row.
const MIN_BACKOFF: Duration = Duration::from_millis(150);
/// Maximum back-off of the hosts that follow the store for others.
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
        needs_full_read: false,
        backoff: MIN_BACKOFF,
        connected: false,
        reason: None,
        role: Role::Deputy(usize::MAX),
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
    /// Part of this host in reading the store, as of the last check.
    role: Role,
}

impl Feed {
    async fn follow(&mut self) {
        loop {
            let Some(reason) = self.check_role() else {
                sleep(FOLLOW_CHECK_INTERVAL).await;
                continue;
            };
            self.needs_full_read |= self.lacks_rows();
            let result = if self.needs_full_read {
                self.read_all().await
            } else if reason == Reason::Standby {
                select! {
                    result = self.poll_changes(self.wait(Role::Standby)) => result,
                    // The next call waits for as short a time as the reader's.
                    () = self.takes_over() => continue,
                }
            } else if reason == Reason::Takeover {
                // Others take over too unless they hear of a confirmation soon.
                self.poll_changes(Duration::ZERO).await
            } else {
                self.poll_changes(self.wait(Role::Reader)).await
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

    /// Returns whether changes since the known version would not suffice.
    fn lacks_rows(&self) -> bool {
        let now = self.state.now();
        let mut replica = self.state.replica.lock();
        // Rows that came from other hosts are as complete as their version says.
        replica.end_holds(now, self.subject) || replica.freshness(self.subject).version == 0
    }

    /// Returns for how long a host in this role waits for changes in one call.
    fn wait(&self, role: Role) -> Duration {
        self.state.setting().bounds.passage().wait(role)
    }

    async fn poll_changes(&self, wait: Duration) -> Result<()> {
        let start = self.state.now();
        let version = self.state.replica.lock().freshness(self.subject).version;
        let limit = wait + passage::ANSWER_TIMEOUT;
        let store = &self.state.dependencies.store;
        let batch = store.follow(self.subject, version, wait, limit).await?;
        let end = self.state.now();
        self.log_unusable(&batch.unusable);
        // An empty answer after the full wait proves that nothing changed until the wait ended.
        let is_empty = batch.facts.is_empty() && batch.unusable.is_empty();
        let waited = is_empty && end.since(start) >= wait;
        let at = if waited { start + wait } else { start };
        let update = Update {
            after: version,
            up_to: batch.version,
            facts: batch.facts,
        };
        let (confirmed, changes) = {
            let mut replica = self.state.replica.lock();
            replica.set_clock(end, batch.clock);
            let confirmed = replica.freshness(self.subject).confirmed;
            let changes = replica.apply_store_update(end, self.subject, update, at);
            (confirmed, changes)
        };
        // The other hosts read the store unless they hear of a confirmation. The reader's is enough.
        let tells = !changes.is_empty() || self.reason != Some(Reason::Standby);
        self.state.apply(changes, store_source(confirmed));
        if tells {
            self.state.update_wakeup.notify_one();
        }
        if !is_empty && self.reason == Some(Reason::Standby) {
            // Changes come in series, and the reader has most of them first.
            sleep(STANDBY_PAUSE).await;
        }
        Ok(())
    }

    /// Returns why this host has to follow the store, and logs when that changes.
    fn check_role(&mut self) -> Option<Reason> {
        let now = self.state.now();
        let freshness = self.state.replica.lock().freshness(self.subject);
        self.role = self.state.store_role(now);
        let reason = self.reason_to_follow(now, freshness);
        if self.reason != reason {
            self.reason = reason;
            let age = |at: Option<Instant>| at.map(|at| now.since(at).as_millis() as u64);
            let reason_name = reason.map(|reason| reason.to_string());
            info!(self.state.log(), "feed: role changed"; "subject" => %self.subject,
                "follows" => reason.is_some(), "reason" => reason_name,
                "heard-age-ms" => age(freshness.heard), "age-ms" => age(freshness.confirmed));
            let name = self.subject.to_string();
            self.state.metrics.set_follows(&name, reason.is_some());
        }
        reason
    }

    /// Returns why this host has to follow the store; `None` if it relies on others.
    fn reason_to_follow(&self, now: Instant, freshness: Freshness) -> Option<Reason> {
        if freshness.confirmed.is_none() && self.state.awaits_first_read(now) {
            let elected = self.state.knows_others(now) && self.role == Role::Reader;
            return elected.then_some(Reason::Reader);
        }
        let passage = self.state.setting().bounds.passage();
        let reason = freshness
            .knowledge()
            .reason_to_follow(now, self.role, &passage);
        reason.or_else(|| {
            // Only a host that has read the store knows which rows it has to read again.
            let holds = self.state.replica.lock().has_holds(self.subject);
            holds.then_some(Reason::HeldRows)
        })
    }

    /// Waits until the standby takes over from the reader.
    async fn takes_over(&self) {
        loop {
            sleep(FOLLOW_CHECK_INTERVAL).await;
            let now = self.state.now();
            let passage = self.state.setting().bounds.passage();
            let freshness = self.state.replica.lock().freshness(self.subject);
            let overdue = freshness
                .knowledge()
                .is_overdue(now, Role::Standby, &passage);
            if overdue || self.state.store_role(now) == Role::Reader {
                return;
            }
        }
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
        let max_backoff = match self.state.store_role(now) {
            Role::Reader | Role::Standby => MAX_FOLLOWER_BACKOFF,
            Role::Deputy(_) => MAX_OTHERS_BACKOFF,
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
