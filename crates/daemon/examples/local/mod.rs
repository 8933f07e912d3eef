//! One host and one backend server on loopback, shared by the latency measurements.

use azurenotch_config::{
    document::{Access, Contract, Document, Fleet, Route, Server as Entry},
    snapshot::{Key, KeyHash, Snapshot},
};
use azurenotch_daemon::{
    connection::listener::Listener,
    request::{clock::Monotonic, gateway::Gateway},
};
use azurenotch_wire::{id::Incarnation, version::Version};
use prometheus::Registry;
use slog::{Discard, Logger, o};
use std::{
    collections::BTreeMap,
    error::Error,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use tokio_util::sync::CancellationToken;

/// Result of a measurement step.
pub type Result<T, E = Box<dyn Error + Send + Sync>> = std::result::Result<T, E>;

/// Timeout of one request; the configuration uses it for all other durations as well.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Access key of the requests.
pub const KEY: &str = "benchmark";

/// Creates the host's gateway.
pub fn gateway(clock: Arc<Monotonic>) -> Result<Gateway> {
    let gateway = Gateway::new(
        &"n1".into(),
        Incarnation(1),
        "lisboa".into(),
        clock,
        &Registry::new(),
    )?;
    Ok(gateway)
}

/// Serves callers until `stop` is cancelled; returns the address for callers.
pub async fn serve(
    gateway: Gateway,
    snapshot: Snapshot,
    stop: &CancellationToken,
) -> Result<SocketAddr> {
    let gateway = Arc::new(gateway);
    gateway.adopt(Arc::new(snapshot));
    let address = (Ipv4Addr::LOCALHOST, 0).into();
    let listener = Listener::bind(address, gateway, Logger::root(Discard, o!())).await?;
    let address = listener.address();
    tokio::spawn(listener.run(stop.clone()));
    Ok(address)
}

/// Returns a configuration with one route, `/NAME`, to one backend server.
pub fn snapshot(backend: SocketAddr, name: &str, method: &str, idempotent: bool) -> Snapshot {
    let route = Route {
        service: "main".into(),
        prefix: format!("/{name}"),
        methods: vec![method.to_owned()],
        access: Access::Keyed,
        idempotent,
        timeout: REQUEST_TIMEOUT,
        body_limit: 0,
    };
    let contract = Contract {
        rate: 1e9,
        burst: 1e9,
        concurrency: 1024,
        regional_share: BTreeMap::new(),
        version_share_step: 0.1,
        version_step_interval: REQUEST_TIMEOUT,
        latency: REQUEST_TIMEOUT,
        refusals: 0.01,
        isolation_limit: REQUEST_TIMEOUT,
    };
    let server = Entry {
        service: "main".into(),
        release: "1".into(),
        data_centre: "lisboa".into(),
        address: backend,
        slots: 1024,
        connections: 1024,
    };
    let key = Key {
        workspace: "correios".into(),
        name: "first".to_owned(),
        withdrawn: false,
    };
    Snapshot {
        version: Version {
            epoch: 1,
            number: 1,
        },
        document: Document {
            fleet: Fleet {
                slots: 1,
                ..Fleet::default()
            },
            services: BTreeMap::from([("main".into(), "1".into())]),
            servers: BTreeMap::from([("s1".into(), server)]),
            routes: BTreeMap::from([(name.into(), route)]),
            workspaces: BTreeMap::from([("correios".into(), contract)]),
            ..Document::default()
        },
        keys: BTreeMap::from([(KeyHash::of(KEY.as_bytes()), key)]),
        ..Snapshot::default()
    }
}
