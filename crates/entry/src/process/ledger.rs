//! Keeps the rejections in the platform's store the same as those that the hosts know.
//!
//! The host that confirms a rejection writes it at once. Its write may be refused or lost, the host
//! may be gone, and the store may come back from a copy without it, or with one that has ended. So the
//! writers compare what the store has with what they know: after each of these changes, in the order
//! of their turns, and from time to time.

use crate::{
    era::Era,
    platform::{self, Rejection, Subject},
    process::state::State,
};
use azurenotch_core::{process::suspect::Comparison, request::identity::Identity};
use azurenotch_wire::time::Instant;
use slog::{info, warn};
use std::{sync::Arc, time::Duration};
use tokio::{
    select,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

/// Time between two checks whether a comparison is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time after a rejection has changed until the store is compared; the host that saw it writes first.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Time between two comparisons when nothing has changed.
const COMPARE_INTERVAL: Duration = Duration::from_mins(1);
/// Pause after a comparison that failed.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time limit of a comparison with its writes.
const COMPARE_TIMEOUT: Duration = Duration::from_secs(10);

/// What a comparison was made for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Cause {
    /// Era of the store.
    era: Era,
    /// Number of changes of rejections at this host.
    changes: u64,
}

/// Comparisons of the store with what this host knows.
#[derive(Debug)]
struct Ledger {
    state: Arc<State>,
    /// Cause and time of the last comparison that succeeded.
    last: (Cause, Instant),
    /// Cause of the next one, and since when there is one.
    next: Option<(Cause, Instant)>,
}

/// Compares the store with what this host knows until `stop` is cancelled.
pub async fn run(state: Arc<State>, stop: CancellationToken) {
    let mut ledger = Ledger::new(state);
    select! {
        () = stop.cancelled() => {}
        () = ledger.follow() => {}
    }
}

impl Ledger {
    fn new(state: Arc<State>) -> Self {
        let first = Cause {
            era: Era::default(),
            changes: 0,
        };
        let now = state.now();
        Self {
            state,
            last: (first, now),
            next: None,
        }
    }

    async fn follow(&mut self) {
        loop {
            sleep(CHECK_INTERVAL).await;
            let Some(cause) = self.due() else {
                continue;
            };
            let compared = timeout(COMPARE_TIMEOUT, compare(&self.state)).await;
            match compared {
                Ok(Ok(())) => {
                    self.last = (cause, self.state.now());
                    self.next = None;
                }
                Ok(Err(error)) => {
                    warn!(self.state.log(), "ledger: rejections not compared with the store";
                        "error" => %error);
                    sleep(RETRY_DELAY).await;
                }
                Err(_elapsed) => {
                    warn!(
                        self.state.log(),
                        "ledger: rejections not compared with the store in time"
                    );
                }
            }
        }
    }

    /// Returns the cause of a comparison that this host has to make now.
    ///
    /// All writers take their turns after a change, as each of them may be refused by the store; only
    /// the first one compares from time to time.
    fn due(&mut self) -> Option<Cause> {
        let now = self.state.now();
        let era = self.state.replica.lock().era();
        let suspects = self.state.suspects.lock();
        let changes = suspects.changes();
        let has_rejections = suspects.has_rejections();
        drop(suspects);
        let cause = Cause { era, changes };
        let (last, at) = self.last;
        if !has_rejections {
            // The store has nothing that this host could correct.
            self.last = (cause, now);
            self.next = None;
            return None;
        }
        let turn = self.state.write_delay()?;
        if cause == last {
            let is_due = turn.is_zero() && now.since(at) >= COMPARE_INTERVAL;
            return is_due.then_some(cause);
        }
        let since = match self.next {
            Some((next, since)) if next == cause => since,
            _ => now,
        };
        self.next = Some((cause, since));
        let settle = if cause.era > last.era {
            Duration::ZERO
        } else {
            SETTLE_TIME
        };
        (now.since(since) >= settle + turn).then_some(cause)
    }
}

/// Reads the rejections of the store, and corrects what differs from those that this host knows.
async fn compare(state: &Arc<State>) -> platform::Result<()> {
    let store = &state.dependencies.store;
    let read = store.read(Subject::Hosts).await;
    let label = if read.is_ok() { "ok" } else { "error" };
    state.metrics.count_store_call("hosts", label);
    let batch = read?;
    let now = state.now();
    let clock = batch.clock;
    state.replica.lock().set_clock(now, clock);
    let rows = batch.rejections.into_iter().map(|it| it.into_row(clock));
    let Comparison {
        missing,
        ended,
        unknown,
    } = state.suspects.lock().compare(now, rows.collect());
    if !missing.is_empty() || !ended.is_empty() || !unknown.is_empty() {
        info!(state.log(), "ledger: rejections differ from the store"; "missing" => missing.len(),
            "ended" => ended.len(), "unknown" => unknown.len(),
            "era" => Era::of(batch.version).0);
    }
    state.restore_rejections(now, unknown);
    for identity in missing {
        keep(state, identity).await?;
    }
    for identity in ended {
        forget(state, identity).await?;
    }
    Ok(())
}

/// Writes a request to the store if it is rejected.
pub(super) async fn keep(state: &State, identity: Identity) -> platform::Result<()> {
    let now = state.now();
    let report = {
        let suspects = state.suspects.lock();
        suspects
            .report(now, identity)
            .filter(|_| suspects.is_confirmed(identity))
    };
    let Some(report) = report else {
        return Ok(());
    };
    let clock = state.replica.lock().clock(now).unwrap_or_default();
    let rejection = Rejection { report, clock };
    let written = state.dependencies.store.keep_rejection(&rejection).await;
    log_write(state, identity, written)
}

/// Removes a request from the store that is not rejected any more.
pub(super) async fn forget(state: &State, identity: Identity) -> platform::Result<()> {
    let written = state.dependencies.store.drop_rejection(identity).await;
    log_write(state, identity, written)
}

/// Counts a write about a rejected request, and logs it if it failed.
fn log_write(
    state: &State,
    identity: Identity,
    written: platform::Result<()>,
) -> platform::Result<()> {
    let label = if written.is_ok() { "ok" } else { "error" };
    state.metrics.count_store_call("rejections", label);
    if let Err(error) = &written {
        warn!(state.log(), "suspects: rejected request not written"; "request" => %identity,
            "error" => %error);
    }
    written
}
