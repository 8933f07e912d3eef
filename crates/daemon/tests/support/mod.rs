//! A gateway with scripted backend servers and raw callers.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test program uses a part of the shared support"
)]

mod backend;
mod caller;
pub mod cluster;
mod head;

pub use backend::{Backend, Reply};
pub use caller::{Answer, Caller};

use azurenotch_config::{
    document::{Access, Contract, Document, Fleet, Route, Server},
    snapshot::{Key, KeyHash, Snapshot},
};
use azurenotch_daemon::{
    connection::listener::Listener,
    request::{
        clock::Monotonic,
        directory::{Fixed, ListedHost},
        gateway::Gateway,
    },
};
use azurenotch_wire::{id::Incarnation, version::Version};
use prometheus::Registry;
use slog::{Discard, Logger, o};
use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Key that the snapshot accepts.
pub const KEY: &str = "good-key";
/// Time after which a workspace's bucket, which starts empty, admits requests.
pub const BUCKET_FILL_TIME: Duration = Duration::from_millis(1);
/// Limit of the request bodies of all routes.
pub const MAX_BODY_BYTES: u64 = 1024 * 1024;
/// Timeout of the routes.
pub const ROUTE_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns a request with the key and without a body.
pub fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {KEY}\r\n\r\n")
}

/// Returns a request with the key and a body.
pub fn post(path: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {KEY}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A running gateway.
#[derive(Debug)]
pub struct Fixture {
    /// The gateway.
    pub gateway: Arc<Gateway>,
    /// Address for callers.
    pub address: SocketAddr,
    /// Stops the listener.
    pub stop: CancellationToken,
    /// Task of the listener; ends when it has shut down.
    pub task: JoinHandle<()>,
    /// Registry of the gateway's metrics.
    pub registry: Registry,
}

impl Fixture {
    /// Starts a gateway in front of backend servers.
    pub async fn start(servers: &[SocketAddr]) -> Self {
        Self::with(servers, |gateway| gateway, |listener| listener).await
    }

    /// Starts a gateway after changing the gateway and its listener.
    pub async fn with(
        servers: &[SocketAddr],
        gateway: impl FnOnce(Gateway) -> Gateway,
        listener: impl FnOnce(Listener) -> Listener,
    ) -> Self {
        let registry = Registry::new();
        let directory = Fixed::new(Duration::from_secs(10))
            .hosts(vec![ListedHost {
                host: "n1".to_owned(),
                address: "127.0.0.1:8080".to_owned(),
                weight: 100,
            }])
            .alternatives(vec!["127.0.0.2:8080".to_owned()]);
        let built = Gateway::new(
            &"n1".into(),
            Incarnation(7),
            "lisboa".into(),
            Arc::new(Monotonic::new()),
            &registry,
        );
        let built = built
            .expect("empty registry")
            .with_directory(Arc::new(directory));
        let gateway = Arc::new(gateway(built));
        gateway.adopt(Arc::new(snapshot(servers, 1, false)));
        let any = (Ipv4Addr::LOCALHOST, 0).into();
        let log = Logger::root(Discard, o!());
        let bound = Listener::bind(any, Arc::clone(&gateway), log).await;
        let listener = listener(bound.expect("free port"));
        let address = listener.address();
        let stop = CancellationToken::new();
        let task = tokio::spawn(listener.run(stop.clone()));
        Self {
            gateway,
            address,
            stop,
            task,
            registry,
        }
    }

    /// Waits until this many requests are in flight; Tokio's time must be paused.
    pub async fn wait_in_flight(&self, requests: i64) {
        while self.metric_sum("azurenotch_in_flight") != requests {
            tokio::task::yield_now().await;
        }
    }

    /// Returns the sum of a gauge or counter over all labels.
    pub fn metric_sum(&self, name: &str) -> i64 {
        let families = self.registry.gather();
        let family = families.iter().find(|family| family.name() == name);
        let metrics = family.map_or(&[][..], |family| family.get_metric());
        let value = |metric: &prometheus::proto::Metric| {
            metric.get_gauge().get_value() + metric.get_counter().get_value()
        };
        metrics.iter().map(value).sum::<f64>() as i64
    }

    /// Sends one request on a new connection.
    pub async fn call(&self, request: &str) -> Answer {
        Caller::connect(self.address).await.call(request).await
    }
}

/// Returns a snapshot with an open route, keyed idempotent and non-idempotent routes, and a route
/// whose service has no servers.
pub fn snapshot(servers: &[SocketAddr], number: u64, withdrawn: bool) -> Snapshot {
    let route = |prefix: &str, service: &str, access, idempotent| Route {
        service: service.into(),
        prefix: prefix.to_owned(),
        methods: vec!["GET".to_owned(), "POST".to_owned()],
        access,
        idempotent,
        timeout: ROUTE_TIMEOUT,
        body_limit: MAX_BODY_BYTES,
    };
    let contract = |rate, concurrency| Contract {
        rate,
        burst: 1e6,
        concurrency,
        regional_share: BTreeMap::new(),
        version_share_step: 0.1,
        version_step_interval: Duration::from_mins(1),
        latency: Duration::from_secs(1),
        refusals: 0.01,
        isolation_limit: Duration::from_mins(1),
    };
    let key = |workspace: &str, withdrawn| Key {
        workspace: workspace.into(),
        name: "first".to_owned(),
        withdrawn,
    };
    let server = |(index, address): (usize, &SocketAddr)| {
        let server = Server {
            service: "main".into(),
            release: "1".into(),
            data_centre: "lisboa".into(),
            address: *address,
            slots: 64,
            connections: 256,
        };
        (format!("s{index}").into(), server)
    };
    Snapshot {
        version: Version { epoch: 1, number },
        document: Document {
            fleet: Fleet {
                slots: 1,
                ..Fleet::default()
            },
            services: BTreeMap::from([("main".into(), "1".into()), ("none".into(), "1".into())]),
            servers: servers.iter().enumerate().map(server).collect(),
            routes: BTreeMap::from([
                ("open".into(), route("/open", "main", Access::Open, true)),
                ("read".into(), route("/read", "main", Access::Keyed, true)),
                (
                    "write".into(),
                    route("/write", "main", Access::Keyed, false),
                ),
                ("none".into(), route("/none", "none", Access::Keyed, true)),
            ]),
            workspaces: BTreeMap::from([
                ("correios".into(), contract(1e9, 1000)),
                ("oficina".into(), contract(1e9, 1000)),
                ("no-rate".into(), contract(0.0, 1000)),
                ("no-concurrency".into(), contract(1e9, 0)),
            ]),
            ..Document::default()
        },
        keys: BTreeMap::from([
            (KeyHash::of(KEY.as_bytes()), key("correios", withdrawn)),
            (KeyHash::of(b"other-key"), key("oficina", false)),
            (KeyHash::of(b"old-key"), key("correios", true)),
            (KeyHash::of(b"slow-key"), key("no-rate", false)),
            (KeyHash::of(b"narrow-key"), key("no-concurrency", false)),
        ]),
        ..Snapshot::default()
    }
}

/// Prevents paused time from advancing by itself, so that only the test advances it.
#[derive(Debug)]
pub struct FrozenClock {
    _release: std::sync::mpsc::Sender<()>,
}

impl FrozenClock {
    /// Starts a blocking task; the runtime does not advance paused time while one runs.
    pub fn new() -> Self {
        let (release, wait) = std::sync::mpsc::channel::<()>();
        tokio::task::spawn_blocking(move || wait.recv());
        Self { _release: release }
    }
}

/// Waits until all tasks that need little or no passing of time have run.
///
/// Time must be paused: each sleep then ends only after the runtime has become idle.
pub async fn run_until_idle() {
    for _ in 0..100 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}
