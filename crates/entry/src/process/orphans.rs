//! Watches the servers that run requests whose callers have left.
//!
//! An open connection shows without any message that the process lives. One is opened only if the
//! pool of the server has none, and the next request to it uses that one.

use crate::{
    connection::pool::{self, Contact},
    process::{
        state::State,
        suspects::{self, Run},
    },
    request::{attempt::Target, suspect},
};
use azurenotch_core::process::{orphan, suspect::Process};
use azurenotch_wire::{Map, time::Instant};
use slog::info;
use std::{io::ErrorKind, sync::Arc, time::Duration};
use tokio::{select, task::JoinSet, time::sleep};
use tokio_util::sync::CancellationToken;

/// Time between two looks at the connections to the servers.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of a connection to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Shortest time between two connections to one server, which may reset them under load.
///
/// A server that crashes needs some seconds to come back.
const MIN_CONNECT_INTERVAL: Duration = Duration::from_millis(500);

/// Abandoned runs, and the servers that are watched because of them.
#[derive(Debug, Default)]
pub(crate) struct Orphans {
    runs: orphan::Table,
    servers: Map<Process, Server>,
}

/// Server that is watched.
#[derive(Debug)]
struct Server {
    target: Arc<Target>,
    /// When a connection was opened last to watch it.
    connected: Option<Instant>,
}

/// Until `stop` is cancelled, finds out what becomes of the servers with abandoned runs.
pub async fn run(state: Arc<State>, stop: CancellationToken) {
    loop {
        select! {
            () = stop.cancelled() => return,
            () = sleep(CHECK_INTERVAL) => {}
        }
        let mut checks = JoinSet::new();
        for (process, target) in state.watched() {
            checks.spawn(check(Arc::clone(&state), process, target));
        }
        select! {
            () = stop.cancelled() => return,
            () = async { while checks.join_next().await.is_some() {} } => {}
        }
        state.sweep_orphans();
    }
}

/// Looks at the connections to a server, and decides about its abandoned runs.
async fn check(state: Arc<State>, process: Process, target: Arc<Target>) {
    if let Some(found) = suspect::known_crash(&state, &target) {
        state.end_orphans(found, &process, &target);
        return;
    }
    if !suspect::is_expected_to_run(&state, &target) {
        state.forget_orphans(&process);
        return;
    }
    match target.pool.contact() {
        Contact::Since(since) => state.outlive_orphans(&process, &target, since),
        Contact::None if state.may_connect(&process) => {
            if let Some(found) = find_end(&state, &target).await {
                state.end_orphans(found, &process, &target);
            }
        }
        Contact::InUse | Contact::None => {}
    }
}

/// Opens a connection for the pool; returns when it was found that the process has ended instead.
async fn find_end(state: &State, target: &Target) -> Option<Instant> {
    let now = state.now();
    let opened = target
        .pool
        .connect(now, CONNECT_TIMEOUT, target.connections);
    match opened.await {
        Ok(lease) => {
            lease.release(state.now(), pool::DEFAULT_KEEP_ALIVE);
            None
        }
        Err(pool::Error::Connect { source }) if source.kind() == ErrorKind::ConnectionRefused => {
            suspect::find_crash(state, target).await
        }
        Err(_) => None,
    }
}

impl State {
    /// Follows a run whose caller has left, until the server's time for it is over at `until`.
    ///
    /// `is_claimed` says whether the run has this host's claim, which is given up after it.
    pub(crate) fn abandon(&self, run: &Run, target: &Target, until: Instant, is_claimed: bool) {
        let process = suspects::process(target);
        let orphan = orphan::Run {
            id: run.id.clone(),
            identity: run.identity,
            generation: run.generation,
            began: run.began,
            left: self.now(),
            until,
            is_claimed,
        };
        self.metrics.count_suspect("abandoned");
        let mut orphans = self.orphans.lock();
        orphans.servers.entry(process).or_insert_with(|| Server {
            target: Arc::new(target.clone()),
            connected: None,
        });
        let given_way = orphans.runs.add(process, orphan);
        drop(orphans);
        self.release_claims(given_way);
    }

    fn watched(&self) -> Vec<(Process, Arc<Target>)> {
        let orphans = self.orphans.lock();
        let servers = orphans.servers.iter();
        let watched = servers.map(|(process, server)| (*process, Arc::clone(&server.target)));
        watched.collect()
    }

    /// Returns whether a connection may be opened now to watch a server, and counts it.
    ///
    /// None is opened for runs whose time is over.
    fn may_connect(&self, process: &Process) -> bool {
        let now = self.now();
        let mut orphans = self.orphans.lock();
        if !orphans.runs.has_time_left(now, process) {
            return false;
        }
        let Some(server) = orphans.servers.get_mut(process) else {
            return false;
        };
        let last = server.connected;
        let may_connect = last.is_none_or(|at| now.since(at) >= MIN_CONNECT_INTERVAL);
        if may_connect {
            server.connected = Some(now);
        }
        may_connect
    }

    /// Records that a process was found to have ended, of which its abandoned runs may be the cause.
    fn end_orphans(self: &Arc<Self>, found: Instant, process: &Process, target: &Target) {
        let runs = self.orphans.lock().runs.end(found, process);
        for run in &runs {
            let run = Run {
                id: run.id.clone(),
                identity: run.identity,
                generation: run.generation,
                began: run.began,
                is_abandoned: true,
            };
            self.record_crash(&run, target);
        }
        self.release_claims(runs);
    }

    /// Records that a process has been seen to live since `since`.
    fn outlive_orphans(&self, process: &Process, target: &Target, since: Instant) {
        let runs = self.orphans.lock().runs.outlive(self.now(), process, since);
        for run in &runs {
            self.metrics.count_suspect("outlived");
            self.record_outlived(run.identity, process.software);
        }
        if runs.iter().any(|run| run.is_claimed) {
            info!(self.log(), "suspects: server outlived the request"; "server" => %target.server,
                "service" => %target.service, "version" => %target.release);
        }
        self.release_claims(runs);
    }

    /// Forgets the runs of a process that was stopped or is not listed any more.
    fn forget_orphans(&self, process: &Process) {
        let runs = self.orphans.lock().runs.forget(process);
        self.release_claims(runs);
    }

    /// Forgets the runs about which nothing was found out, and the servers without runs.
    fn sweep_orphans(&self) {
        let mut orphans = self.orphans.lock();
        let runs = orphans.runs.sweep(self.now());
        let Orphans {
            runs: left,
            servers,
        } = &mut *orphans;
        servers.retain(|process, _| left.has(process));
        let count = left.count();
        drop(orphans);
        self.metrics.set_abandoned(count);
        self.release_claims(runs);
    }

    fn release_claims(&self, runs: impl IntoIterator<Item = orphan::Run>) {
        for run in runs.into_iter().filter(|run| run.is_claimed) {
            self.release_claim(run.identity);
        }
    }
}
