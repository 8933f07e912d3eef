//! Daemons in one process with an in-memory platform and network, for tests in virtual time.

#![allow(dead_code, reason = "each test file uses a part of the fleet")]

use async_trait::async_trait;
use azurenotch_config::{change::Change, document::Route, setting::Setting};
use azurenotch_daemon::{
    process::{
        daemon::{Daemon, Dependencies},
        peer_api::PeerApi,
        serve::Handler,
        transport::{Error, Result, Transport},
    },
    request::clock::Clock,
};
use azurenotch_platform::roster::Entry;
use azurenotch_test_support::{
    fault::{Endpoint, Fault},
    memory::Platform,
};
use azurenotch_wire::{id::Workspace, time::Instant, version::Version};
use bytes::Bytes;
use http::Request;
use parking_lot::Mutex;
use slog::{Discard, Logger, o};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use tokio::time;

/// Document with one workspace limited to 100 requests per second.
pub const DOCUMENT: &str = include_str!("document.ini");
/// Workspace of the document.
pub const WORKSPACE: &str = "correios";
/// Rate in requests per second and burst in requests of the workspace.
pub const RATE_AND_BURST: (f64, f64) = (100.0, 100.0);
/// Seed of the platform's random choices.
const SEED: u64 = 11;

/// Daemons with their platform and network.
pub struct Fleet {
    pub platform: Arc<Platform>,
    pub network: Arc<Network>,
    pub daemons: BTreeMap<String, Daemon>,
    listed: BTreeMap<String, Entry>,
    clock: Arc<VirtualClock>,
}

/// Clock of all hosts; monotonic and wall time both follow Tokio's paused time.
#[derive(Debug)]
struct VirtualClock(time::Instant);

impl Clock for VirtualClock {
    fn now(&self) -> Instant {
        Instant::from_millis(u64::try_from(self.0.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    fn wall_ms(&self) -> u64 {
        // Any moment after the epoch.
        1_700_000_000_000 + u64::try_from(self.0.elapsed().as_millis()).unwrap_or_default()
    }
}

impl Fleet {
    /// Starts hosts `h1` to `hN`, the odd ones in data centre `a` and the even ones in `b`.
    pub async fn start(hosts: usize) -> Self {
        let mut fleet = Self {
            platform: Arc::new(Platform::new(SEED)),
            network: Arc::default(),
            daemons: BTreeMap::new(),
            listed: BTreeMap::new(),
            clock: Arc::new(VirtualClock(time::Instant::now())),
        };
        for number in 1..=hosts {
            fleet.add(&format!("h{number}"), &[]).await;
        }
        fleet
    }

    /// Starts hosts and applies the document.
    pub async fn configured(hosts: usize) -> Self {
        Self::with_document(hosts, DOCUMENT).await
    }

    /// Starts hosts and applies a document.
    pub async fn with_document(hosts: usize, text: &str) -> Self {
        let fleet = Self::start(hosts).await;
        let expect = Version::default();
        let version = fleet.daemons["h1"]
            .change(Change::Apply {
                text: text.to_owned(),
                expect,
            })
            .await
            .expect("the document is accepted");
        fleet.in_force(version, Duration::from_secs(5)).await;
        fleet
    }

    /// Starts one more host whose settings list `seeds` as peer addresses.
    pub async fn add(&mut self, name: &str, seeds: &[SocketAddr]) {
        let number = name
            .trim_start_matches('h')
            .parse::<usize>()
            .expect("names are h1, h2, ...");
        let data_centre = if number % 2 == 1 { "a" } else { "b" };
        let mut text = format!(
            "[host]\nname = {name}\ndata-centre = {data_centre}\nlisten = 127.0.0.1:0\n\
             peer = 127.0.0.1:0\noperator = 127.0.0.1:0\n"
        );
        if !seeds.is_empty() {
            let seeds = seeds
                .iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>()
                .join(", ");
            let _ = writeln!(text, "seeds = {seeds}");
        }
        text.push_str(
            "[platform]\ntable = http://127.0.0.1:1\nstore = http://127.0.0.1:1\n\
             roster = http://127.0.0.1:1\n",
        );
        let setting = Setting::parse(&text).expect("the settings are valid");
        let link = Link {
            from: name.to_owned(),
            network: Arc::clone(&self.network),
        };
        let platform = Arc::clone(&self.platform);
        let dependencies = Dependencies::new(
            Arc::clone(&platform) as _,
            Arc::clone(&platform) as _,
            platform,
        )
        .transport(Arc::new(link))
        .clock(Arc::clone(&self.clock) as _);
        let log = Logger::root(Discard, o!());
        let daemon = Daemon::start(setting, dependencies, log)
            .await
            .expect("ports are free");
        let (address, peer, operator) = daemon.addresses();
        self.network.join(name, peer, Arc::clone(daemon.peer_api()));
        let entry = Entry {
            host: name.into(),
            data_centre: data_centre.into(),
            address,
            peer,
            operator,
            leaving: false,
        };
        self.listed.insert(name.to_owned(), entry);
        self.daemons.insert(name.to_owned(), daemon);
        self.publish();
    }

    /// Aborts a host; the platform's list of hosts still contains it.
    pub fn crash(&mut self, name: &str) {
        self.network.leave(name);
        self.daemons.remove(name).expect("the host runs").abort();
    }

    /// Stops a host gracefully.
    pub async fn stop(&mut self, name: &str) {
        let daemon = self.daemons.remove(name).expect("the host runs");
        daemon.shut_down().await;
        self.network.leave(name);
        self.listed.remove(name);
        self.publish();
    }

    /// Sets the fault of all endpoints of the platform.
    pub fn platform_fault(&self, fault: &Fault) {
        for endpoint in [Endpoint::Table, Endpoint::Object, Endpoint::Roster] {
            self.platform.set_fault(endpoint, fault.clone());
        }
    }

    /// Waits until every host has at least this version; returns whether it did in time.
    pub async fn in_force(&self, version: Version, max_wait: Duration) -> bool {
        let reached = || {
            self.daemons
                .values()
                .all(|daemon| daemon.node().version() >= version)
        };
        wait(max_wait, reached).await
    }

    /// Waits until a host holds the role and returns its name; `None` if none did in time.
    pub async fn holder(&self, role: &str, max_wait: Duration) -> Option<String> {
        let holder = || {
            let mut hosts = self.daemons.iter();
            hosts.find(|(_, daemon)| daemon.node().roles.lock().contains_key(role))
        };
        wait(max_wait, || holder().is_some()).await;
        holder().map(|(name, _)| name.clone())
    }

    /// Returns whether a host admits one request now; its slot is released at once.
    pub fn admits(&self, name: &str) -> bool {
        let node = self.daemons[name].node();
        let Some(snapshot) = node.snapshot() else {
            return false;
        };
        let route: &Route = &snapshot.document.routes["labels"];
        let workspace = Workspace::from(WORKSPACE);
        node.gateway
            .admission()
            .admit(node.clock.now(), &workspace, route)
            .is_ok()
    }

    /// Returns whether look-ups at a host list this address.
    pub fn look_ups_list(&self, name: &str, address: SocketAddr) -> bool {
        let directory = &self.daemons[name].node().gateway.directory;
        let answer = directory.look_up(address.ip());
        answer
            .hosts
            .iter()
            .any(|site| site.address == address.to_string())
    }

    fn publish(&self) {
        self.platform
            .set_roster(self.listed.values().cloned().collect());
    }
}

/// Waits in virtual time until a condition holds; returns whether it did in time.
pub async fn wait(max_wait: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = time::Instant::now() + max_wait;
    while !condition() {
        if time::Instant::now() >= deadline {
            return false;
        }
        time::sleep(Duration::from_millis(10)).await;
    }
    true
}

/// In-memory network between the daemons.
#[derive(Debug, Default)]
pub struct Network {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    hosts: BTreeMap<SocketAddr, (String, Arc<PeerApi>)>,
    partitioned: BTreeSet<(String, String)>,
}

impl Network {
    /// Blocks or restores the link between two hosts in both directions.
    pub fn set_partitioned(&self, a: &str, b: &str, partitioned: bool) {
        let mut state = self.state.lock();
        for pair in [(a.to_owned(), b.to_owned()), (b.to_owned(), a.to_owned())] {
            if partitioned {
                state.partitioned.insert(pair);
            } else {
                state.partitioned.remove(&pair);
            }
        }
    }

    fn join(&self, name: &str, address: SocketAddr, handler: Arc<PeerApi>) {
        self.state
            .lock()
            .hosts
            .insert(address, (name.to_owned(), handler));
    }

    fn leave(&self, name: &str) {
        self.state.lock().hosts.retain(|_, (host, _)| host != name);
    }

    fn find(&self, from: &str, to: SocketAddr) -> Option<Arc<PeerApi>> {
        let state = self.state.lock();
        let (name, handler) = state.hosts.get(&to)?;
        let is_partitioned = state.partitioned.contains(&(from.to_owned(), name.clone()));
        (!is_partitioned).then(|| Arc::clone(handler))
    }
}

/// Transport of one host over the in-memory network.
#[derive(Debug)]
struct Link {
    from: String,
    network: Arc<Network>,
}

#[async_trait]
impl Transport for Link {
    async fn post(
        &self,
        to: SocketAddr,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Bytes> {
        let Some(handler) = self.network.find(&self.from, to) else {
            time::sleep(timeout).await;
            return Err(Error::Timeout { to });
        };
        let request = Request::builder()
            .method("POST")
            .uri(path)
            .body(Bytes::from(body));
        let response = handler.handle(request.expect("the path is valid")).await;
        if !response.status().is_success() {
            return Err(Error::Status {
                to,
                status: response.status().as_u16(),
            });
        }
        Ok(response.into_body())
    }
}
