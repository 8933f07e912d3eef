//! Assembly, start and graceful shutdown of one daemon.

use crate::{
    connection::listener::{self, Listener},
    process::{
        actors::Actors,
        admission::Shares,
        change, configuration,
        directory::Hosts,
        freshness::Evidence,
        node::Node,
        operator_api::OperatorApi,
        peer_api::PeerApi,
        peers,
        recorder::Recorder,
        records::TableRecords,
        send,
        serve::serve,
        transport::{Http, Transport},
        versions::Versions,
    },
    request::{
        clock::{Clock, Monotonic},
        gateway::Gateway,
    },
};
use arc_swap::{ArcSwap, ArcSwapOption};
use azurenotch_config::{change::Change, setting::Setting};
use azurenotch_platform::{Roster, Store, Table};
use azurenotch_wire::{
    event::Kind,
    evidence::Report,
    id::{Host, Incarnation},
    version::Version,
};
use parking_lot::Mutex;
use prometheus::Registry;
use rand::random;
use slog::{Logger, info, o, warn};
use snafu::{ResultExt, Snafu};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};
use tokio::{net::TcpListener, sync::mpsc::UnboundedReceiver, task::JoinHandle, time};
use tokio_util::sync::CancellationToken;

/// Time until no other host's look-ups return a host that announced its stop. Equals the heartbeat
/// interval, because the announcement itself may be lost.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_secs(1);

/// Maximum wait for pending records of requests with an idempotency key.
const RECORDS_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout for a configuration change to be accepted.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(15);

/// Result of starting a daemon.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a daemon cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// The port for callers cannot be served.
    #[snafu(display("port for callers: {source}"))]
    Callers {
        /// Cause.
        source: listener::Error,
    },
    /// A port cannot be served.
    #[snafu(display("port for {purpose}: cannot listen on {address}"))]
    Bind {
        /// Users of the port.
        purpose: &'static str,
        /// Requested address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// A metric is registered twice.
    #[snafu(display("metrics cannot be registered"))]
    Metrics {
        /// Cause.
        source: prometheus::Error,
    },
    /// A control actor cannot start.
    #[snafu(display("control actor {name} cannot start"))]
    Spawn {
        /// Name of the actor.
        name: &'static str,
        /// Cause.
        source: ractor::SpawnErr,
    },
}

/// External systems that a daemon uses.
#[derive(Debug, Clone)]
pub struct Dependencies {
    /// The platform's table.
    pub table: Arc<dyn Table>,
    /// The platform's object store.
    pub store: Arc<dyn Store>,
    /// The platform's list of hosts.
    pub roster: Arc<dyn Roster>,
    /// Transport for calls to other hosts.
    pub transport: Arc<dyn Transport>,
    /// Monotonic clock.
    pub clock: Arc<dyn Clock>,
}

impl Dependencies {
    /// Creates the dependencies with the system's monotonic clock and HTTP between hosts.
    pub fn new(table: Arc<dyn Table>, store: Arc<dyn Store>, roster: Arc<dyn Roster>) -> Self {
        Self {
            table,
            store,
            roster,
            transport: Arc::new(Http::default()),
            clock: Arc::new(Monotonic::new()),
        }
    }

    /// Sets the transport for calls to other hosts.
    #[must_use]
    pub fn transport(mut self, transport: Arc<dyn Transport>) -> Self {
        self.transport = transport;
        self
    }

    /// Sets the clock.
    #[must_use]
    pub fn clock(mut self, clock: Arc<dyn Clock>) -> Self {
        self.clock = clock;
        self
    }
}

/// One running daemon.
#[derive(Debug)]
pub struct Daemon {
    node: Arc<Node>,
    hosts: Arc<Hosts>,
    versions: Arc<Versions>,
    actors: Actors,
    peer_api: Arc<PeerApi>,
    callers: JoinHandle<()>,
    /// Starts a graceful shutdown of the port for callers.
    stop_callers: CancellationToken,
    /// Stops the ports for peers and operators.
    stop: CancellationToken,
}

impl Daemon {
    /// Starts a daemon; it serves callers once it has a configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if a port cannot be bound or a control actor cannot start.
    pub async fn start(
        mut setting: Setting,
        dependencies: Dependencies,
        log: Logger,
    ) -> Result<Self> {
        let log = log.new(o!("host" => setting.host.name.to_string()));
        let registry = Registry::new();
        let incarnation = incarnation(dependencies.clock.wall_ms());
        let (decisions, faults) = Decisions::new(&setting, &dependencies.clock);
        let gateway = decisions.gateway(&setting, incarnation, &dependencies, &registry, &log)?;
        let own = &setting.host;
        let callers = Listener::bind(own.listen, Arc::clone(&gateway), log.clone())
            .await
            .context(CallersSnafu)?
            .with_connections(setting.limits.connections as usize)
            .with_header_limits(
                setting.limits.header_bytes as usize,
                setting.limits.header_timeout,
            );
        let peer_port = bind("hosts", own.peer).await?;
        let operator_port = bind("operators", own.operator).await?;
        setting.host.listen = callers.address();
        setting.host.peer = local_address(&peer_port, setting.host.peer)?;
        setting.host.operator = local_address(&operator_port, setting.host.operator)?;
        decisions.hosts.set_address(setting.host.listen);
        let node = Arc::new(Node {
            recorder: Arc::new(Recorder::new(
                setting.host.name.clone(),
                Arc::clone(&dependencies.clock),
                log.clone(),
            )),
            setting,
            incarnation,
            clock: dependencies.clock,
            table: dependencies.table,
            store: dependencies.store,
            roster: dependencies.roster,
            transport: dependencies.transport,
            gateway,
            evidence: Arc::clone(&decisions.evidence),
            peers: Arc::new(ArcSwap::default()),
            serving: Arc::clone(&decisions.serving),
            encoded: ArcSwapOption::empty(),
            roles: Mutex::new(BTreeMap::new()),
            log: log.clone(),
        });
        node.recorder.record(Kind::Started { incarnation });
        let actors = Actors::spawn(&node, &decisions, faults).await?;
        let stop = CancellationToken::new();
        let peer_api = serve_control(&node, registry, &actors, (peer_port, operator_port), &stop);
        let stop_callers = CancellationToken::new();
        let callers = tokio::spawn(callers.run(stop_callers.clone()));
        info!(log, "daemon: serving"; "callers" => %node.setting.host.listen,
            "peers" => %node.setting.host.peer, "operators" => %node.setting.host.operator);
        Ok(Self {
            node,
            hosts: decisions.hosts,
            versions: decisions.versions,
            actors,
            peer_api,
            callers,
            stop_callers,
            stop,
        })
    }

    /// Returns the addresses for callers, peers and operators.
    pub fn addresses(&self) -> (SocketAddr, SocketAddr, SocketAddr) {
        let own = &self.node.setting.host;
        (own.listen, own.peer, own.operator)
    }

    /// Returns the API for other hosts, for transports other than HTTP.
    pub fn peer_api(&self) -> &Arc<PeerApi> {
        &self.peer_api
    }

    /// Requests a change of the configuration.
    ///
    /// # Errors
    ///
    /// Returns why the change was not accepted.
    pub async fn change(&self, change: Change) -> change::Result<Version> {
        let version =
            configuration::request(&self.actors.configuration, change, None, CHANGE_TIMEOUT)
                .await?;
        // Without the announcement, other hosts learn of the version a heartbeat later.
        send(&self.actors.peers, peers::Message::Announce);
        Ok(version)
    }

    /// Returns the shared state of the host.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Returns the versions that requests use and the evidence about version moves.
    pub fn versions(&self) -> &Arc<Versions> {
        &self.versions
    }

    /// Shuts down gracefully without aborting running requests.
    ///
    /// The host first withdraws from look-ups and serves until cached look-ups have expired. Then
    /// it finishes running requests and releases its shares, slot and roles.
    pub async fn shut_down(self) {
        let log = &self.node.log;
        self.node.recorder.record(Kind::Stopping);
        self.hosts.leave(&self.node.peers.load());
        self.node.gateway.set_leaving();
        // Other hosts stop returning this host in look-ups once they receive its state.
        send(&self.actors.peers, peers::Message::Announce);
        let lifetime = self
            .node
            .snapshot()
            .map(|snapshot| snapshot.document.fleet.look_up_lifetime);
        // Callers may use this host until the last look-up that returned it has expired.
        time::sleep(lifetime.unwrap_or_default() + ANNOUNCEMENT_DELAY).await;
        self.stop_callers.cancel();
        if let Err(error) = self.callers.await {
            warn!(log, "daemon: port for callers failed"; "error" => %error);
        }
        self.node.gateway.records.drain(RECORDS_TIMEOUT).await;
        self.actors.release().await;
        self.node.recorder.record(Kind::Stopped);
        self.actors.stop();
        self.stop.cancel();
    }

    /// Stops at once, like a crash: running requests are aborted and nothing is released.
    pub fn abort(self) {
        self.callers.abort();
        self.stop_callers.cancel();
        self.actors.stop();
        self.stop.cancel();
    }
}

/// State that the data path reads for each request and the control actors update.
#[derive(Debug)]
pub(super) struct Decisions {
    pub(super) shares: Arc<Shares>,
    pub(super) hosts: Arc<Hosts>,
    pub(super) versions: Arc<Versions>,
    evidence: Arc<Evidence>,
    /// Whether the host is ready to be returned in look-ups.
    serving: Arc<AtomicBool>,
}

impl Decisions {
    fn new(setting: &Setting, clock: &Arc<dyn Clock>) -> (Self, UnboundedReceiver<Report>) {
        let own = &setting.host;
        let serving = Arc::new(AtomicBool::new(false));
        let (versions, faults) = Versions::new(own.name.clone(), Arc::clone(clock));
        let hosts = Hosts::new(
            own.name.clone(),
            own.data_centre.clone(),
            Arc::clone(&serving),
        );
        let decisions = Self {
            shares: Arc::new(Shares::new(Arc::clone(clock))),
            hosts: Arc::new(hosts),
            versions: Arc::new(versions),
            evidence: Arc::new(Evidence::new(own.name.clone())),
            serving,
        };
        (decisions, faults)
    }

    fn gateway(
        &self,
        setting: &Setting,
        incarnation: Incarnation,
        dependencies: &Dependencies,
        registry: &Registry,
        log: &Logger,
    ) -> Result<Arc<Gateway>> {
        let own = &setting.host;
        let clock = Arc::clone(&dependencies.clock);
        let gateway = Gateway::new(
            &own.name,
            incarnation,
            own.data_centre.clone(),
            clock,
            registry,
        )
        .context(MetricsSnafu)?
        .with_admission(Arc::clone(&self.shares) as _)
        .with_directory(Arc::clone(&self.hosts) as _)
        .with_freshness(Arc::clone(&self.evidence) as _)
        .with_release_selector(Arc::clone(&self.versions) as _)
        .with_caller_stall_timeout(setting.limits.body_idle_timeout)
        .with_max_waiting(setting.limits.queue as usize)
        .with_records(records(own.name.clone(), dependencies, log))
        .with_log(log.clone());
        Ok(Arc::new(gateway))
    }
}

/// Serves the ports for hosts and operators until `stop` is cancelled.
fn serve_control(
    node: &Arc<Node>,
    registry: Registry,
    actors: &Actors,
    (peer_port, operator_port): (TcpListener, TcpListener),
    stop: &CancellationToken,
) -> Arc<PeerApi> {
    let peer_api = Arc::new(PeerApi {
        node: Arc::clone(node),
        peers: actors.peers.clone(),
        budget: actors.budget.clone(),
        planner: actors.planner.clone(),
    });
    tokio::spawn(serve(
        peer_port,
        Arc::clone(&peer_api) as _,
        stop.clone(),
        node.log.clone(),
    ));
    let operator_api = OperatorApi {
        node: Arc::clone(node),
        registry,
        configuration: actors.configuration.clone(),
        peers: actors.peers.clone(),
    };
    tokio::spawn(serve(
        operator_port,
        Arc::new(operator_api),
        stop.clone(),
        node.log.clone(),
    ));
    peer_api
}

/// Returns a number greater than that of every earlier process of this host.
///
/// The random bits distinguish processes that start within the same millisecond.
fn incarnation(wall_ms: u64) -> Incarnation {
    const RANDOM_BITS: u32 = 20;
    let random = u64::from(random::<u32>() >> (u32::BITS - RANDOM_BITS));
    Incarnation((wall_ms << RANDOM_BITS) | random)
}

/// Creates the records of requests with an idempotency key.
fn records(host: Host, dependencies: &Dependencies, log: &Logger) -> Arc<TableRecords> {
    let rows = TableRecords::new(
        host,
        Arc::clone(&dependencies.table),
        Arc::clone(&dependencies.clock),
    );
    Arc::new(rows.with_log(log.clone()))
}

async fn bind(purpose: &'static str, address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .context(BindSnafu { purpose, address })
}

fn local_address(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr> {
    listener.local_addr().context(BindSnafu {
        purpose: "hosts or operators",
        address,
    })
}
