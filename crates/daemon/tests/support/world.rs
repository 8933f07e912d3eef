//! Hosts that share the records of requests with an idempotency key.

use super::{Answer, Fixture};
use azurenotch_daemon::{
    process::records::TableRecords,
    request::{clock::Monotonic, gateway::Gateway},
};
use azurenotch_test_support::{
    backend::{Behaviour, Outcome, Server},
    fault::{Endpoint, Fault},
    memory::Platform,
};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::{sleep, timeout};

/// Number of hosts.
pub const HOSTS: usize = 2;
/// Time after which all background writes have been made or given up.
pub const SETTLED: Duration = Duration::from_mins(1);

/// Time of a run at the backend server.
const RUN: Duration = Duration::from_secs(1);

/// Hosts with one table and one backend server.
pub struct World {
    /// Platform.
    pub platform: Platform,
    /// Backend server.
    pub server: Server,
    /// Hosts.
    pub hosts: Vec<Fixture>,
    /// Records of each host.
    pub rows: Vec<Arc<TableRecords>>,
}

impl World {
    /// Starts the hosts.
    pub async fn start() -> Self {
        let platform = Platform::new(1);
        let behaviour = Behaviour {
            slots: 64,
            latency: RUN,
            ..Behaviour::default()
        };
        let server = Server::start(behaviour).await.expect("free port");
        let (hosts, rows) = hosts(&platform, server.address()).await;
        Self {
            platform,
            server,
            hosts,
            rows,
        }
    }

    /// Waits until the backend server has got a request.
    pub async fn received(&self) {
        let received = self.server.wait_for(|it| it.received == 1);
        timeout(SETTLED, received).await.expect("a request is sent");
    }

    /// Waits until this many writes of the table took effect.
    pub async fn written(&self, writes: u64) {
        let written = self.platform.wait_for(|it| it.table.writes == writes);
        timeout(SETTLED, written)
            .await
            .expect("the rows are written");
    }

    /// Sets the faults of the table.
    pub fn table(&self, fault: Fault) {
        self.platform.set_fault(Endpoint::Table, fault);
    }

    /// Returns how often the backend server ran a path; a request that it shed did not run.
    pub fn runs(&self, path: &str) -> usize {
        let receipts = self.server.receipts();
        let ran = receipts.iter().filter(|it| it.outcome != Outcome::Shed);
        ran.filter(|it| it.path == path).count()
    }

    /// Sends a request and returns the answer in words; `not-run` has to be true.
    pub async fn call(&self, host: usize, key: &str, path: &str) -> String {
        let before = self.runs(path);
        let answer = self.hosts[host].call(&post(key, path)).await;
        let words = words(&answer);
        if words.starts_with("not-run") {
            assert_eq!(self.runs(path), before, "{words}, but the request was sent");
        }
        words
    }
}

/// Starts hosts with budgets of table writes that are full.
pub async fn hosts(
    platform: &Platform,
    server: SocketAddr,
) -> (Vec<Fixture>, Vec<Arc<TableRecords>>) {
    let (mut hosts, mut rows) = (Vec::new(), Vec::new());
    for number in 1..=HOSTS {
        let name = format!("h{number}").into();
        let clock = Arc::new(Monotonic::new());
        let records = Arc::new(TableRecords::new(name, Arc::new(platform.clone()), clock));
        rows.push(Arc::clone(&records));
        let with = |gateway: Gateway| gateway.with_records(records);
        hosts.push(Fixture::with(&[server], with, |it| it).await);
    }
    sleep(Duration::from_secs(1)).await;
    (hosts, rows)
}

/// Returns a request with the idempotency key `booking-1`.
pub fn post(key: &str, path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {key}\r\n\
         idempotency-key: booking-1\r\ncontent-length: 1\r\n\r\nx"
    )
}

/// Returns an answer in words.
pub fn words(answer: &Answer) -> String {
    match answer.refusal() {
        ("none", _) if answer.header("azurenotch-replayed") == Some("true") => {
            format!("{} replayed", answer.status())
        }
        ("none", _) => answer.status().to_string(),
        (outcome, reason) => format!("{outcome} {reason}"),
    }
}
