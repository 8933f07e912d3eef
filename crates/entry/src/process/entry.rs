//! Start and graceful stop of an entry host.

use crate::{
    connection::listener,
    era::Era,
    model::Peer,
    platform::Subject,
    process::{
        change::Origin,
        control::{self, Purpose},
        feed,
        gossip::Gossip,
        lag, ledger, move_state, orphans, probe, relay,
        state::{Dependencies, State, Stop},
        usage,
    },
    setting::Setting,
};
use azurenotch_wire::time::Instant;
use rand::random;
use slog::{info, warn};
use snafu::{ResultExt, Snafu};
use std::{collections::BTreeSet, io, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::TcpListener,
    select,
    sync::watch,
    task::JoinHandle,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

/// Pause between two tries to write this host's row and to read those of the others.
const ANNOUNCE_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time between two checks of whether the store has come back from an older copy.
const ERA_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Longest delay before a host writes its row again after that.
const MAX_ANNOUNCE_DELAY: Duration = Duration::from_secs(1);
/// Share of the grace period in which callers may still open connections.
const ACCEPT_SHARE: f64 = 0.78;
/// Part of the grace period that is kept for the exit of the process.
const EXIT_RESERVE: Duration = Duration::from_millis(150);
/// Part before it in which requests that are given up get their answers.
const ANSWER_RESERVE: Duration = Duration::from_millis(150);
/// Time for these answers if the process ran again only after that part.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(20);

/// Time for the last counts of usage to be sent.
const LAST_COUNTS_TIME: Duration = Duration::from_millis(100);

/// Result of starting a host.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a host cannot start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A port cannot be opened.
    #[snafu(display("port for {purpose}: cannot listen on {address}: {source}"))]
    Bind {
        /// Clients that the port serves.
        purpose: &'static str,
        /// Address of the port.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// A metric is registered twice.
    #[snafu(display("cannot register metrics: {source}"))]
    Metrics {
        /// Cause.
        source: prometheus::Error,
    },
}

/// A running entry host.
#[derive(Debug)]
pub struct Entry {
    state: Arc<State>,
    callers: JoinHandle<()>,
    stop_callers: CancellationToken,
    stop: CancellationToken,
    /// Task of the usage reports.
    usage: JoinHandle<()>,
}

impl Entry {
    /// Starts a host, which is ready as soon as it has a configuration and knows the rejections.
    ///
    /// # Errors
    ///
    /// Fails if a port cannot be opened.
    pub async fn start(setting: Setting, dependencies: Dependencies) -> Result<Self> {
        let own = Peer {
            host: setting.host.name.clone(),
            incarnation: dependencies.clock.wall_ms(),
            address: SocketAddr::new(setting.host.callers.ip(), setting.host.peer_port),
            callers: setting.host.callers,
            data_centre: setting.host.data_centre.clone(),
            region: setting.host.region.clone(),
        };
        let state = State::new(setting, own, dependencies).context(MetricsSnafu)?;
        let state = Arc::new(state);
        let setting = state.setting();
        let host = &setting.host;
        let callers = bind("callers", host.callers).await?;
        let peers = bind("hosts", state.own.address).await?;
        let gossip = Gossip::bind(Arc::clone(&state)).await.context(BindSnafu {
            purpose: "messages of hosts",
            address: state.own.address,
        })?;
        let stop = CancellationToken::new();
        let control = [Some(host.ready), Some(host.look_ups), host.control];
        let control: BTreeSet<SocketAddr> = control.into_iter().flatten().collect();
        for address in control {
            let listener = bind("control", address).await?;
            let state = Arc::clone(&state);
            tokio::spawn(control::serve(
                listener,
                state,
                Purpose::Control,
                stop.clone(),
            ));
        }
        tokio::spawn(control::serve(
            peers,
            Arc::clone(&state),
            Purpose::Peers,
            stop.clone(),
        ));
        spawn_control(&state, gossip, &stop);
        let usage = tokio::spawn(usage::run(Arc::clone(&state), stop.clone()));
        let stop_callers = CancellationToken::new();
        let callers = tokio::spawn(listener::serve(
            callers,
            Arc::clone(&state),
            stop_callers.clone(),
        ));
        info!(state.log(), "entry: started";
            "incarnation" => state.own.incarnation, "callers" => %state.own.callers);
        Ok(Self {
            state,
            callers,
            stop_callers,
            stop,
            usage,
        })
    }

    /// Returns the state that requests and control tasks share.
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Stops gracefully within the grace period of the settings.
    ///
    /// The host fails readiness checks and leaves look-ups at once. It accepts connections until
    /// callers no longer use look-ups that name it.
    pub async fn shut_down(self) {
        let asked = self.state.now();
        self.shut_down_since(asked).await;
    }

    /// Does the same in a grace period that began at `asked`, which may be some time ago.
    ///
    /// Each step ends at a time that follows from `asked`, so that a process that stands still
    /// meanwhile does not end later.
    pub async fn shut_down_since(self, asked: Instant) {
        let Self {
            state,
            mut callers,
            stop_callers,
            stop,
            usage,
        } = self;
        info!(state.log(), "entry: stopping";
            "late-ms-at-most" => state.now().since(asked).as_millis() as u64);
        let grace = state.setting().bounds.grace;
        let work = grace.saturating_sub(EXIT_RESERVE + ANSWER_RESERVE);
        let (closing, cutoff) = (asked + work.mul_f64(ACCEPT_SHARE), asked + work);
        // `shut_down` consumes the host, so the cell is set only once.
        let _ = state.stop.set(Stop {
            began: asked,
            cutoff,
            end: asked + grace,
        });
        let left = |until: Instant| until.since(state.now());
        sleep(left(closing)).await;
        stop_callers.cancel();
        let ended = timeout(left(cutoff), &mut callers).await;
        if ended.is_err() {
            warn!(state.log(), "entry: grace period over, running requests aborted";
                "in-flight" => state.metrics.in_flight.get());
            state.cutoff.cancel();
            let time = left(cutoff + ANSWER_RESERVE).max(MIN_ANSWER_TIME);
            if timeout(time, &mut callers).await.is_err() {
                callers.abort();
            }
        }
        if state.usage.is_some() {
            // The collectors get the counts of the last requests.
            state.gossip_wakeup.notify_one();
            sleep(LAST_COUNTS_TIME.min(left(asked + grace - EXIT_RESERVE))).await;
        }
        stop.cancel();
        // A report under way is finished; it ends at once otherwise.
        let ended = timeout(left(asked + grace - EXIT_RESERVE), usage).await;
        if ended.is_err() {
            warn!(state.log(), "usage: stopped before the answer to a report");
        }
        info!(state.log(), "entry: stopped";
            "ms" => state.now().since(asked).as_millis() as u64);
    }
}

fn spawn_control(state: &Arc<State>, gossip: Gossip, stop: &CancellationToken) {
    let (newer_peer_sender, newer_peers) = watch::channel(None);
    for subject in [Subject::Orders, Subject::Servers] {
        tokio::spawn(feed::run(Arc::clone(state), subject, stop.clone()));
    }
    tokio::spawn(gossip.run(newer_peer_sender, stop.clone()));
    tokio::spawn(relay::run(Arc::clone(state), newer_peers, stop.clone()));
    tokio::spawn(lag::run(Arc::clone(state), stop.clone()));
    tokio::spawn(probe::run(Arc::clone(state), stop.clone()));
    tokio::spawn(move_state::run(Arc::clone(state), stop.clone()));
    tokio::spawn(orphans::run(Arc::clone(state), stop.clone()));
    tokio::spawn(ledger::run(Arc::clone(state), stop.clone()));
    let join = join_hosts(Arc::clone(state));
    tokio::spawn(run_until(stop.clone(), join));
}

async fn run_until(stop: CancellationToken, work: impl Future<Output = ()>) {
    select! {
        () = stop.cancelled() => {}
        () = work => {}
    }
}

/// Writes this host's row to the store, then reads the rows of the other hosts once.
async fn join_hosts(state: Arc<State>) {
    let store = &state.dependencies.store;
    let mut announced = None;
    let announced = loop {
        if announced.is_none() {
            let result = store.announce(&state.own).await;
            let label = if result.is_ok() { "ok" } else { "error" };
            state.metrics.count_store_call("announce", label);
            announced = result.ok();
        }
        if let Some(announced) = announced {
            match store.read(Subject::Hosts).await {
                Ok(batch) => {
                    state.metrics.count_store_call("hosts", "ok");
                    let now = state.now();
                    let changes = state.replica.lock().apply(now, batch.facts);
                    state.apply(changes, Origin::Store);
                    let rejections = batch.rejections.into_iter();
                    let rows = rejections.map(|it| it.into_row(batch.clock));
                    state.restore_rejections(now, rows.collect());
                    state.record_rejections("store");
                    state.record_join(state.now());
                    // The other hosts learn of this one, and answer.
                    state.gossip_wakeup.notify_one();
                    break announced;
                }
                Err(error) => {
                    state.metrics.count_store_call("hosts", "error");
                    warn!(state.log(), "hosts: cannot read host list from store";
                        "error" => %error);
                }
            }
        }
        sleep(ANNOUNCE_RETRY_DELAY).await;
    };
    announce_again(&state, announced).await;
}

/// Writes this host's row, last written in the era `announced`, again when the store has lost it.
async fn announce_again(state: &State, mut announced: Era) {
    let store = &state.dependencies.store;
    loop {
        sleep(ERA_CHECK_INTERVAL).await;
        let era = state.replica.lock().era();
        if era <= announced {
            continue;
        }
        // Spread, so that the hosts of a large system stay within the store's rate of writes.
        sleep(MAX_ANNOUNCE_DELAY.mul_f64(random())).await;
        let result = store.announce(&state.own).await;
        let label = if result.is_ok() { "ok" } else { "error" };
        state.metrics.count_store_call("announce", label);
        match result {
            Ok(era) => {
                announced = era;
                info!(state.log(), "hosts: own row written again"; "era" => era.0);
            }
            Err(error) => warn!(state.log(), "hosts: own row not written again";
                "era" => era.0, "error" => %error),
        }
    }
}

async fn bind(purpose: &'static str, address: SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.context(BindSnafu { purpose, address })
}
