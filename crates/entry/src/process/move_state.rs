//! Writes the states of version moves to the platform's store.

use crate::{
    model::{Outcome, Progress},
    platform::{Error, Subject},
    process::{change::Origin, state::State},
};
use azurenotch_wire::{evidence::Pair, id::Service, time::Instant};
use slog::{info, warn};
use std::{mem, sync::Arc, time::Duration};
use tokio::{select, time::sleep};
use tokio_util::sync::CancellationToken;

/// Time between two rounds, each of which checks all moves.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Rounds between two reads of the states while a move is under way.
const ROUNDS_PER_READ: u32 = 18;
/// Time between two evaluations of the evidence.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which hosts that are no writers write the state of a version that was judged bad.
const LAST_WRITE_DELAY: Duration = Duration::from_millis(1_500);
/// Rounds between two log lines about the evidence of a move.
const ROUNDS_PER_REPORT: u32 = 15;

/// States to be written: service, version of the order, state, and when it was first due.
type Pending = Vec<(Service, u64, Progress, Instant)>;

/// Turns of the writers in one round.
struct Turns<'a> {
    now: Instant,
    /// States that were to be written in the last round.
    former: Pending,
    /// Those of this round.
    pending: &'a mut Pending,
}

impl Turns<'_> {
    /// Records a state to be written; returns whether it has been due for as long as `turn`.
    fn is_due(
        &mut self,
        service: &Service,
        order: u64,
        progress: Progress,
        turn: Option<Duration>,
    ) -> bool {
        let mut former = self.former.iter();
        let known = former
            .find(|(name, version, it, _)| name == service && *version == order && *it == progress);
        let since = known.map_or(self.now, |(.., since)| *since);
        self.pending.push((service.clone(), order, progress, since));
        turn.is_some_and(|turn| self.now.since(since) >= turn)
    }
}

/// A state that this host has to write now.
#[derive(Debug, PartialEq, Eq)]
struct DueWrite {
    service: Service,
    outcome: Outcome,
    order_version: u64,
    state_version: u64,
}

/// Evaluates moves and writes their states until `stop` is cancelled.
pub async fn run(state: Arc<State>, stop: CancellationToken) {
    select! {
        () = stop.cancelled() => {}
        () = run_rounds(&state) => {}
        // Goes on while the store does not answer.
        () = evaluate_rounds(&state) => {}
    }
}

async fn evaluate_rounds(state: &State) {
    loop {
        sleep(EVALUATION_INTERVAL).await;
        evaluate(state);
    }
}

/// Evaluates the evidence about each move under way, and tells the other hosts if they wait for it.
fn evaluate(state: &State) {
    let now = state.now();
    let serves = state.catalog.load().is_some() && state.trusts_keys(now);
    let mut tells = false;
    for (service, fleet) in state.fleets.lock().iter_mut() {
        let under_way = fleet.ended().is_none();
        let Some(cutover) = fleet.cutover.as_mut().filter(|_| under_way) else {
            continue;
        };
        if !serves {
            cutover.suspend_observation(now);
        }
        tells |= cutover.is_urgent(now);
        if cutover.evaluate(now) {
            tells = true;
            warn!(state.log(), "move: version judged bad"; "service" => %service,
                "to" => %cutover.to);
        }
    }
    if tells {
        state.gossip_wakeup.notify_one();
    }
}

async fn run_rounds(state: &State) {
    let mut states_read = false;
    let mut rounds = 0;
    let mut pending = Pending::new();
    // Since when the store may lack states that are known.
    let mut unverified = None;
    loop {
        rounds += 1;
        if rounds % ROUNDS_PER_REPORT == 0 {
            report(state);
        }
        let (mut under_way, mut due) = find_due(state, &mut pending);
        let now = state.now();
        unverified = state
            .replica
            .lock()
            .has_unverified_outcomes()
            .then(|| unverified.unwrap_or(now));
        under_way |= unverified.is_some();
        // The first writer reads the states for all hosts. Before a write every host does, because
        // it needs the current version. After a restore the other writers read too, each in its
        // turn, since the store may refuse the first one.
        let waited = unverified.map_or(Duration::ZERO, |since| now.since(since));
        let is_reader = state.write_delay().is_some_and(|delay| waited >= delay);
        let is_read_due = is_reader && (!states_read || rounds % ROUNDS_PER_READ == 0);
        if under_way && (is_read_due || !due.is_empty()) {
            states_read = read(state).await;
            due = find_due(state, &mut pending).1;
        }
        if states_read && !due.is_empty() {
            for due in due {
                write(state, due).await;
            }
            states_read = false;
        }
        sleep(CHECK_INTERVAL).await;
    }
}

/// Logs the evidence about each move under way.
fn report(state: &State) {
    let now = state.now();
    for (service, fleet) in state.fleets.lock().iter() {
        if let Some(cutover) = fleet.cutover.as_ref().filter(|_| fleet.ended().is_none()) {
            let Pair { old, new } = cutover.total();
            info!(state.log(), "move: progress report"; "service" => %service, "to" => %cutover.to,
                "share" => cutover.share(now), "elapsed-ms" => cutover.elapsed(now).as_millis() as u64,
                "old" => format!("{}/{}/{}", old.requests, old.failures, old.slow),
                "new" => format!("{}/{}/{}", new.requests, new.failures, new.slow));
        }
    }
}

/// Returns whether any move is under way, and the states that this host has to write.
fn find_due(state: &State, pending: &mut Pending) -> (bool, Vec<DueWrite>) {
    let now = state.now();
    let delay = state.write_delay();
    let mut turns = Turns {
        now,
        former: mem::take(pending),
        pending,
    };
    let clock = state.replica.lock().clock(now);
    let mut under_way = false;
    let mut due = Vec::new();
    for (service, fleet) in state.fleets.lock().iter() {
        let Some(cutover) = fleet.cutover.as_ref().filter(|_| fleet.ended().is_none()) else {
            continue;
        };
        under_way = true;
        let progress = if cutover.is_bad() {
            Progress::TakenBack
        } else if cutover.is_done(now) {
            Progress::Done
        } else if !fleet.is_announced() {
            Progress::Running
        } else {
            continue;
        };
        // All writers write a bad version's state at once, and the other hosts if it stays unknown;
        // for all other states the writers take turns.
        let turn = match progress {
            Progress::TakenBack if delay.is_some() => Some(Duration::ZERO),
            Progress::TakenBack => Some(LAST_WRITE_DELAY),
            Progress::Running | Progress::Done => delay,
        };
        if turns.is_due(service, cutover.order, progress, turn) {
            due.push(DueWrite {
                service: service.clone(),
                outcome: Outcome {
                    to: cutover.to.clone(),
                    state: progress,
                    started: clock.map(|clock| clock.saturating_sub(cutover.elapsed(now))),
                },
                order_version: cutover.order,
                state_version: fleet.outcome_version(),
            });
        }
    }
    let replica = state.replica.lock();
    for write in &mut due {
        if let Some(stored) = replica.lost_outcome(&write.service) {
            write.state_version = stored;
        }
    }
    drop(replica);
    due.extend(find_lost(state, &mut turns, delay));
    (under_way, due)
}

/// Returns the states that the store has lost and that it is this host's turn to write again.
fn find_lost(state: &State, turns: &mut Turns<'_>, turn: Option<Duration>) -> Vec<DueWrite> {
    let mut lost = state.replica.lock().lost_outcomes();
    lost.retain(|it| turns.is_due(&it.service, it.order_version, it.outcome.state, turn));
    let due = lost.into_iter().map(|lost| DueWrite {
        service: lost.service,
        outcome: lost.outcome,
        order_version: lost.order_version,
        state_version: lost.state_version,
    });
    due.collect()
}

async fn read(state: &State) -> bool {
    match state.dependencies.store.read(Subject::Outcomes).await {
        Ok(batch) => {
            state.metrics.count_store_call("outcomes", "ok");
            let now = state.now();
            let mut replica = state.replica.lock();
            replica.set_clock(now, batch.clock);
            let changes = replica.replace(now, Subject::Outcomes, batch.version, batch.facts);
            drop(replica);
            state.apply(changes, Origin::Store);
            true
        }
        Err(error) => {
            state.metrics.count_store_call("outcomes", "error");
            warn!(state.log(), "move: cannot read move states from store"; "error" => %error);
            false
        }
    }
}

async fn write(state: &State, due: DueWrite) {
    let DueWrite {
        service,
        outcome,
        order_version,
        state_version,
    } = due;
    let store = &state.dependencies.store;
    match store
        .write_move_state(&service, &outcome, order_version, state_version)
        .await
    {
        Ok(version) => {
            state.metrics.count_store_call("conclude", "ok");
            info!(state.log(), "move: state written"; "service" => %service,
                "to" => %outcome.to, "state" => ?outcome.state, "version" => version);
        }
        Err(error @ Error::Conflict) => {
            state.metrics.count_store_call("conclude", "conflict");
            info!(state.log(), "move: state not written"; "service" => %service, "error" => %error);
        }
        Err(error) => {
            state.metrics.count_store_call("conclude", "error");
            warn!(state.log(), "move: state not written"; "service" => %service, "error" => %error);
        }
    }
}
