//! Assembly, start and graceful shutdown of one daemon.

use crate::{
    connection::listener::{self, Listener},
    process::{
        actors::Actors,
        admission::Fleet,
        change, configuration,
        directory::Hosts,
        freshness::Evidence,
        node::Node,
        operator_api::OperatorApi,
        peer_api::PeerApi,
        peers,
        recorder::Recorder,
        records::Rows,
        serve::serve,
        tell,
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

/// Time within which other hosts stop naming a host that announced its stop: the interval of
/// heartbeats, because the announcement itself may be lost.
const ANNOUNCED: Duration = Duration::from_secs(1);

/// Longest time for the last records of requests with an idempotency key to be written.
const RECORDS_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time for a change to be accepted.
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
        /// Whom the port is for.
        purpose: &'static str,
        /// Wanted address.
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

/// Outside systems of a daemon.
#[derive(Debug, Clone)]
pub struct Parts {
    /// The platform's table.
    pub table: Arc<dyn Table>,
    /// The platform's object store.
    pub store: Arc<dyn Store>,
    /// The platform's list of hosts.
    pub roster: Arc<dyn Roster>,
    /// Calls to other hosts.
    pub transport: Arc<dyn Transport>,
    /// Monotonic clock.
    pub clock: Arc<dyn Clock>,
}

impl Parts {
    /// Creates the parts with the real clock and HTTP between hosts.
    pub fn new(table: Arc<dyn Table>, store: Arc<dyn Store>, roster: Arc<dyn Roster>) -> Self {
        Self {
            table,
            store,
            roster,
            transport: Arc::new(Http::default()),
            clock: Arc::new(Monotonic::new()),
        }
    }

    /// Sets the calls to other hosts.
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
    /// Ends the port for callers gracefully.
    stop_callers: CancellationToken,
    /// Ends everything else.
    stop: CancellationToken,
}

impl Daemon {
    /// Starts a daemon; it serves callers as soon as it holds a configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if a port cannot be used; nothing is served then.
    pub async fn start(mut setting: Setting, parts: Parts, log: Logger) -> Result<Self> {
        let log = log.new(o!("host" => setting.host.name.to_string()));
        let registry = Registry::new();
        let incarnation = incarnation(parts.clock.wall_ms());
        let (decisions, faults) = Decisions::new(&setting, &parts.clock);
        let gateway = decisions.gateway(&setting, incarnation, &parts, &registry, &log)?;
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
        setting.host.peer = local(&peer_port, setting.host.peer)?;
        setting.host.operator = local(&operator_port, setting.host.operator)?;
        decisions.hosts.set_address(setting.host.listen);
        let node = Arc::new(Node {
            recorder: Arc::new(Recorder::new(
                setting.host.name.clone(),
                Arc::clone(&parts.clock),
                log.clone(),
            )),
            setting,
            incarnation,
            clock: parts.clock,
            table: parts.table,
            store: parts.store,
            roster: parts.roster,
            transport: parts.transport,
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

    /// Returns the interface towards other hosts, for transports other than HTTP.
    pub fn peer_api(&self) -> &Arc<PeerApi> {
        &self.peer_api
    }

    /// Asks for a change of the configuration.
    ///
    /// # Errors
    ///
    /// Returns why the change was not accepted.
    pub async fn change(&self, change: Change) -> change::Result<Version> {
        let version =
            configuration::request(&self.actors.configuration, change, None, CHANGE_TIMEOUT)
                .await?;
        // Without the announcement the others learn of the version in the next round.
        tell(&self.actors.peers, peers::Message::Announce);
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

    /// Stops gracefully and cuts no running request.
    ///
    /// The host leaves all look-ups first and keeps serving until callers' cached look-ups are
    /// over; then it finishes running requests and gives up its shares, slot and roles.
    pub async fn shut_down(self) {
        let log = &self.node.log;
        self.node.recorder.record(Kind::Stopping);
        self.hosts.leave(&self.node.peers.load());
        self.node.gateway.set_leaving();
        // Others stop naming this host when they see its state.
        tell(&self.actors.peers, peers::Message::Announce);
        let lifetime = self
            .node
            .snapshot()
            .map(|snapshot| snapshot.document.fleet.look_up_lifetime);
        // Callers stay until no look-up that named this host is still valid.
        time::sleep(lifetime.unwrap_or_default() + ANNOUNCED).await;
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

    /// Stops at once, as a crash would: running requests are cut and nothing is given up.
    pub fn abort(self) {
        self.callers.abort();
        self.stop_callers.cancel();
        self.actors.stop();
        self.stop.cancel();
    }
}

/// What the data path asks for each request and the control actors keep up to date.
#[derive(Debug)]
pub(super) struct Decisions {
    pub(super) fleet: Arc<Fleet>,
    pub(super) hosts: Arc<Hosts>,
    pub(super) versions: Arc<Versions>,
    evidence: Arc<Evidence>,
    /// Whether the host has a configuration and its share of the budget.
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
            fleet: Arc::new(Fleet::new(Arc::clone(clock))),
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
        parts: &Parts,
        registry: &Registry,
        log: &Logger,
    ) -> Result<Arc<Gateway>> {
        let own = &setting.host;
        let clock = Arc::clone(&parts.clock);
        let gateway = Gateway::new(
            &own.name,
            incarnation,
            own.data_centre.clone(),
            clock,
            registry,
        )
        .context(MetricsSnafu)?
        .with_admission(Arc::clone(&self.fleet) as _)
        .with_directory(Arc::clone(&self.hosts) as _)
        .with_freshness(Arc::clone(&self.evidence) as _)
        .with_release_selector(Arc::clone(&self.versions) as _)
        .with_caller_stall_timeout(setting.limits.body_idle_timeout)
        .with_max_waiting(setting.limits.queue as usize)
        .with_records(records(own.name.clone(), parts, log))
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

/// Returns a number above that of every earlier process of this host.
///
/// The random part tells apart processes that start within the same millisecond.
fn incarnation(wall_ms: u64) -> Incarnation {
    const RANDOM_BITS: u32 = 20;
    let random = u64::from(random::<u32>() >> (u32::BITS - RANDOM_BITS));
    Incarnation((wall_ms << RANDOM_BITS) | random)
}

/// Returns the records of requests with an idempotency key.
fn records(host: Host, parts: &Parts, log: &Logger) -> Arc<Rows> {
    let rows = Rows::new(host, Arc::clone(&parts.table), Arc::clone(&parts.clock));
    Arc::new(rows.with_log(log.clone()))
}

async fn bind(purpose: &'static str, address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .context(BindSnafu { purpose, address })
}

fn local(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr> {
    listener.local_addr().context(BindSnafu {
        purpose: "local address",
        address,
    })
}
