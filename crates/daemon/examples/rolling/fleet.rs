//! Platform stand-in, backend servers and hosts that can be stopped, replaced and crashed.

use azurenotch_config::{change::Change, setting::Setting};
use azurenotch_daemon::process::daemon::{Daemon, Dependencies};
use azurenotch_platform::{http::Client as PlatformClient, roster::Entry};
use azurenotch_test_support::{
    backend::{self, Behaviour},
    caller::Client,
    platform,
};
use azurenotch_wire::{
    operator::{Accepted, Lookup},
    version::Version,
};
use bytes::Bytes;
use http::{Method, Request};
use slog::{Discard, Logger, o};
use std::{
    collections::BTreeMap,
    error::Error,
    fmt::Write,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    runtime::{Builder, Runtime},
    task::spawn_blocking,
    time,
};

/// Result of a measurement step.
pub type Result<T, E = Box<dyn Error + Send + Sync>> = std::result::Result<T, E>;

/// Configuration with placeholders for the addresses of the backend servers.
const DOCUMENT: &str = include_str!("rolling.ini");
/// Hosts with their data centres.
pub const HOSTS: [(&str, &str); 6] = [
    ("n1", "norte-1"),
    ("n2", "norte-1"),
    ("c1", "centro-1"),
    ("c2", "centro-1"),
    ("s1", "sul-1"),
    ("s2", "sul-1"),
];
/// Backend servers in each data centre.
const SERVERS_PER_DATA_CENTRE: usize = 3;
/// Concurrent requests per backend server, as in the configuration.
const SLOTS_PER_SERVER: usize = 32;
/// Time that a backend server takes for a request.
const SERVER_LATENCY: Duration = Duration::from_millis(2);
/// Timeout of calls to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which conditions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// One host and its own runtime, which a crash ends.
#[derive(Debug)]
pub struct Host {
    daemon: Daemon,
    process: Process,
    entry: Entry,
}

/// Runtime of one daemon; dropping it ends all tasks at once and closes every connection.
#[derive(Debug)]
struct Process(Option<Runtime>);

/// Platform stand-in, backend servers and hosts.
#[derive(Debug)]
pub struct Fleet {
    platform: platform::Server,
    /// Backend servers by name.
    pub servers: BTreeMap<String, backend::Server>,
    /// Running hosts by name.
    pub hosts: BTreeMap<&'static str, Host>,
    /// Text of the configuration.
    pub document: String,
}

impl Host {
    async fn start(
        name: &str,
        data_centre: &str,
        addresses: [SocketAddr; 3],
        platform: SocketAddr,
    ) -> Result<Self> {
        let [listen, peer, operator] = addresses;
        let settings = format!(
            "[host]\nname = {name}\ndata-centre = {data_centre}\nlisten = {listen}\n\
             peer = {peer}\noperator = {operator}\n[platform]\ntable = http://{platform}\n\
             store = http://{platform}\nroster = http://{platform}\ntimeout = 1s\n"
        );
        let setting = Setting::parse(&settings)?;
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()?;
        let process = Process(Some(runtime));
        let daemon = process
            .runtime()
            .spawn(async move {
                let client = Arc::new(PlatformClient::new(platform).timeout(PLATFORM_TIMEOUT));
                let dependencies =
                    Dependencies::new(Arc::clone(&client) as _, Arc::clone(&client) as _, client);
                Daemon::start(setting, dependencies, Logger::root(Discard, o!())).await
            })
            .await??;
        let (address, peer, operator) = daemon.addresses();
        let entry = Entry {
            host: name.into(),
            data_centre: data_centre.into(),
            address,
            peer,
            operator,
            leaving: false,
        };
        Ok(Self {
            daemon,
            process,
            entry,
        })
    }

    /// Returns the address for callers.
    pub fn address(&self) -> SocketAddr {
        self.entry.address
    }

    /// Returns the addresses for callers, peers and operators.
    pub fn addresses(&self) -> [SocketAddr; 3] {
        [self.entry.address, self.entry.peer, self.entry.operator]
    }

    /// Stops the host gracefully and returns the duration of the stop.
    pub async fn stop(self) -> Result<Duration> {
        let started = Instant::now();
        let Self {
            daemon,
            mut process,
            ..
        } = self;
        process.runtime().spawn(daemon.shut_down()).await?;
        let took = started.elapsed();
        // The last task must end before the replacement can bind the ports.
        if let Some(runtime) = process.0.take() {
            spawn_blocking(move || runtime.shutdown_timeout(PLATFORM_TIMEOUT)).await?;
        }
        Ok(took)
    }

    fn version(&self) -> Version {
        self.daemon.node().version()
    }
}

impl Process {
    fn runtime(&self) -> &Runtime {
        self.0.as_ref().expect("the process runs")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

impl Fleet {
    /// Starts everything on loopback addresses, without a configuration.
    pub async fn start(seed: u64) -> Result<Self> {
        let platform = platform::Server::start(seed).await?;
        let mut servers = BTreeMap::new();
        let mut document = DOCUMENT.to_owned();
        for data_centre in ["norte", "centro", "sul"] {
            for number in 1..=SERVERS_PER_DATA_CENTRE {
                let behaviour = Behaviour {
                    slots: SLOTS_PER_SERVER,
                    latency: SERVER_LATENCY,
                    seed,
                    ..Behaviour::default()
                };
                let server = backend::Server::start(behaviour).await?;
                let name = format!("consulta-{data_centre}-{number}");
                let _ = write!(
                    document,
                    "\n[server {name}]\nservice = consulta\nversion = 1\n\
                     data-centre = {data_centre}-1\naddress = {}\nslots = {SLOTS_PER_SERVER}\n\
                     connections = 390\n",
                    server.address()
                );
                servers.insert(name, server);
            }
        }
        let mut fleet = Self {
            platform,
            servers,
            hosts: BTreeMap::new(),
            document,
        };
        for (number, (name, data_centre)) in (11..).zip(HOSTS) {
            let addresses = [SocketAddr::from(([127, 0, 0, number], 0)); 3];
            fleet.add(name, data_centre, addresses).await?;
        }
        Ok(fleet)
    }

    /// Starts a host that listens on these addresses for callers, peers and operators.
    pub async fn add(
        &mut self,
        name: &'static str,
        data_centre: &str,
        addresses: [SocketAddr; 3],
    ) -> Result<()> {
        let host = Host::start(name, data_centre, addresses, self.platform.address()).await?;
        self.hosts.insert(name, host);
        self.publish();
        Ok(())
    }

    /// Publishes the platform's list of hosts.
    pub fn publish(&self) {
        let entries = self.hosts.values().map(|host| host.entry.clone());
        self.platform.set_roster(entries.collect());
    }

    /// Returns the addresses for callers of all hosts.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.hosts.values().map(Host::address).collect()
    }

    /// Returns the name of a host that holds a role.
    pub fn holder(&self, role: &str) -> Option<&'static str> {
        let mut hosts = self.hosts.iter();
        let found = hosts.find(|(_, host)| host.daemon.node().roles.lock().contains_key(role));
        found.map(|(name, _)| *name)
    }

    /// Sends a change to the first host; returns the new version and the time of its acceptance.
    pub async fn change(&self, change: &Change) -> Result<(Version, Instant)> {
        let host = self.hosts.values().next().ok_or("no host runs")?;
        let request = Request::builder()
            .method(Method::POST)
            .uri("/v1/change")
            .body(Bytes::from(serde_json::to_vec(change)?))?;
        let response = Client::new(host.entry.operator).send(request).await?;
        let accepted = Instant::now();
        if !response.status().is_success() {
            let body = String::from_utf8_lossy(response.body()).into_owned();
            return Err(format!("change: status {}: {body}", response.status()).into());
        }
        let version = serde_json::from_slice::<Accepted>(response.body())?.version;
        Ok((version, accepted))
    }

    /// Waits until a version is in force on every host; returns whether it was in time.
    pub async fn in_force(&self, version: Version, max_wait: Duration) -> bool {
        wait(max_wait, || {
            self.hosts.values().all(|host| host.version() >= version)
        })
        .await
    }
}

/// Sends a look-up for a client to a host.
pub async fn look_up(host: SocketAddr, client: &str) -> Result<Lookup> {
    let path = format!("/.azurenotch/lookup?client={client}");
    let mut caller = Client::new(host).timeout(Duration::from_secs(1));
    let response = caller.get(&path).await?;
    Ok(serde_json::from_slice(response.body())?)
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
