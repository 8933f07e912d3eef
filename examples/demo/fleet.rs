//! Platform stand-in, backend servers and four daemons in one process.

use azurenotch::{
    config::{change::Change, setting::Setting, snapshot::Snapshot},
    platform::{http::Client as PlatformClient, roster::Entry},
    wire::{
        operator::{Accepted, Events, Lookup},
        version::Version,
    },
};
use azurenotch_daemon::process::daemon::{Daemon, Dependencies};
use azurenotch_test_support::{
    backend::{self, Behaviour},
    caller::Client,
    platform,
};
use bytes::Bytes;
use http::{Method, Request, Response};
use serde::de::DeserializeOwned;
use slog::{Discard, Logger, o};
use std::{
    collections::BTreeMap,
    error::Error,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time;

/// Result of a demo step.
pub type Result<T, E = Box<dyn Error>> = std::result::Result<T, E>;

/// Configuration with placeholders for the addresses of the backend servers.
const DOCUMENT: &str = include_str!("demo.ini");
/// Hosts with their data centres.
const HOSTS: [(&str, &str); 4] = [
    ("n1", "norte-1"),
    ("n2", "norte-1"),
    ("s1", "sul-1"),
    ("s2", "sul-1"),
];
/// Backend servers with their versions.
const SERVERS: [(&str, &str); 6] = [
    ("consulta-a", "1"),
    ("consulta-b", "1"),
    ("consulta-c", "2"),
    ("consulta-d", "2"),
    ("registo-a", "1"),
    ("registo-b", "1"),
];
/// Concurrent requests per backend server, as in the configuration.
const SLOTS_PER_SERVER: usize = 128;
/// Shortest time that a backend server takes for a request.
const MIN_SERVER_LATENCY: Duration = Duration::from_millis(5);
/// Largest random addition to the latency; it exceeds the noise of a busy machine.
const MAX_SERVER_JITTER: Duration = Duration::from_millis(20);
/// Interval at which conditions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Platform stand-in, backend servers and daemons.
#[derive(Debug)]
pub struct Fleet {
    /// The platform stand-in, which stops when it is dropped.
    _platform: platform::Server,
    /// Backend servers by name.
    pub servers: BTreeMap<&'static str, backend::Server>,
    /// Daemons by name.
    pub daemons: BTreeMap<&'static str, Daemon>,
    /// Text of the configuration.
    pub document: String,
}

impl Fleet {
    /// Starts everything on loopback addresses.
    pub async fn start(seed: u64) -> Result<Self> {
        let platform = platform::Server::start(seed).await?;
        let mut servers = BTreeMap::new();
        let mut document = DOCUMENT.to_owned();
        for (name, release) in SERVERS {
            let behaviour = Behaviour {
                release: release.into(),
                slots: SLOTS_PER_SERVER,
                latency: MIN_SERVER_LATENCY,
                jitter: MAX_SERVER_JITTER,
                seed,
                ..Behaviour::default()
            };
            let server = backend::Server::start(behaviour).await?;
            document = document.replace(&format!("{{{name}}}"), &server.address().to_string());
            servers.insert(name, server);
        }
        let mut daemons = BTreeMap::new();
        for (number, (name, data_centre)) in (11..).zip(HOSTS) {
            let daemon = daemon(name, data_centre, number, platform.address()).await?;
            daemons.insert(name, daemon);
        }
        let entries = HOSTS.map(|(name, data_centre)| {
            let (address, peer, operator) = daemons[name].addresses();
            Entry {
                host: name.into(),
                data_centre: data_centre.into(),
                address,
                peer,
                operator,
                leaving: false,
            }
        });
        platform.set_roster(entries.to_vec());
        Ok(Self {
            _platform: platform,
            servers,
            daemons,
            document,
        })
    }

    /// Returns the addresses for callers of all hosts.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.daemons
            .values()
            .map(|daemon| daemon.addresses().0)
            .collect()
    }

    /// Sends a change to the first host and waits until it is in force on every host.
    ///
    /// Returns the new version and the time from its acceptance.
    pub async fn change(&self, change: &Change) -> Result<(Version, Duration)> {
        let body = serde_json::to_vec(change)?;
        let request = Request::builder()
            .method(Method::POST)
            .uri("/v1/change")
            .body(Bytes::from(body))?;
        let (_, _, operator) = self.first().addresses();
        let response = Client::new(operator).send(request).await?;
        let accepted = Instant::now();
        let version = decode::<Accepted>(&response)?.version;
        wait(Duration::from_secs(10), || {
            self.daemons
                .values()
                .all(|daemon| daemon.node().version() >= version)
        })
        .await;
        Ok((version, accepted.elapsed()))
    }

    /// Returns the snapshot in force at the first host.
    pub async fn snapshot(&self) -> Result<Snapshot> {
        self.operator("/v1/snapshot").await
    }

    /// Sends a look-up for a client to the first host.
    pub async fn look_up(&self, client: &str) -> Result<Lookup> {
        let (callers, _, _) = self.first().addresses();
        let path = format!("/.azurenotch/lookup?client={client}");
        decode(&Client::new(callers).get(&path).await?)
    }

    /// Returns the events of every host.
    pub async fn events(&self) -> Result<Vec<Events>> {
        let mut events = Vec::new();
        for daemon in self.daemons.values() {
            let (_, _, operator) = daemon.addresses();
            events.push(decode(&Client::new(operator).get("/v1/events").await?)?);
        }
        Ok(events)
    }

    fn first(&self) -> &Daemon {
        self.daemons.values().next().expect("the fleet has hosts")
    }

    async fn operator<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let (_, _, operator) = self.first().addresses();
        decode(&Client::new(operator).get(path).await?)
    }
}

async fn daemon(name: &str, data_centre: &str, number: u8, platform: SocketAddr) -> Result<Daemon> {
    let settings = format!(
        "[host]\n\
         name = {name}\n\
         data-centre = {data_centre}\n\
         listen = 127.0.0.{number}:0\n\
         peer = 127.0.0.{number}:0\n\
         operator = 127.0.0.{number}:0\n\
         [platform]\n\
         table = http://{platform}\n\
         store = http://{platform}\n\
         roster = http://{platform}\n\
         timeout = 1s\n"
    );
    let client = Arc::new(PlatformClient::new(platform).timeout(Duration::from_secs(1)));
    let dependencies =
        Dependencies::new(Arc::clone(&client) as _, Arc::clone(&client) as _, client);
    let log = Logger::root(Discard, o!());
    Ok(Daemon::start(Setting::parse(&settings)?, dependencies, log).await?)
}

/// Waits until a condition holds; returns whether it did in time.
pub async fn wait(max_wait: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + max_wait;
    while !condition() {
        if Instant::now() >= deadline {
            return false;
        }
        time::sleep(POLL_INTERVAL).await;
    }
    true
}

fn decode<T: DeserializeOwned>(response: &Response<Bytes>) -> Result<T> {
    if !response.status().is_success() {
        let body = String::from_utf8_lossy(response.body()).into_owned();
        return Err(format!("status {}: {body}", response.status()).into());
    }
    Ok(serde_json::from_slice(response.body())?)
}
