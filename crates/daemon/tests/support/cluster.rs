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
/// Time after which all background writes have succeeded or been abandoned.
pub const MAX_SETTLE_TIME: Duration = Duration::from_mins(1);

/// Time that the backend server needs for a request.
const RUN_DURATION: Duration = Duration::from_secs(1);

/// Hosts that share one table and one backend server.
pub struct Cluster {
    /// Platform that holds the table.
    pub platform: Platform,
    /// Backend server.
    pub server: Server,
    /// Gateways of the hosts.
    pub hosts: Vec<Fixture>,
    /// Records of each host.
    pub records: Vec<Arc<TableRecords>>,
}

impl Cluster {
    /// Starts the hosts.
    pub async fn start() -> Self {
        let platform = Platform::new(1);
        let behaviour = Behaviour {
            slots: 64,
            latency: RUN_DURATION,
            ..Behaviour::default()
        };
        let server = Server::start(behaviour).await.expect("free port");
        let (hosts, records) = hosts(&platform, server.address()).await;
        Self {
            platform,
            server,
            hosts,
            records,
        }
    }

    /// Waits until the backend server has received the first request.
    pub async fn wait_until_received(&self) {
        let received = self.server.wait_for(|it| it.received == 1);
        timeout(MAX_SETTLE_TIME, received)
            .await
            .expect("a request is sent");
    }

    /// Waits until this many table writes took effect.
    pub async fn wait_for_writes(&self, writes: u64) {
        let written = self.platform.wait_for(|it| it.table.writes == writes);
        timeout(MAX_SETTLE_TIME, written)
            .await
            .expect("the rows are written");
    }

    /// Sets the faults of the table.
    pub fn set_table_fault(&self, fault: Fault) {
        self.platform.set_fault(Endpoint::Table, fault);
    }

    /// Returns how often the backend server ran a path; requests that it shed are not counted.
    pub fn run_count(&self, path: &str) -> usize {
        let receipts = self.server.receipts();
        let ran = receipts.iter().filter(|it| it.outcome != Outcome::Shed);
        ran.filter(|it| it.path == path).count()
    }

    /// Sends a request and returns the summary of its answer.
    ///
    /// # Panics
    ///
    /// Panics if the answer says `not-run` although the backend server ran the request.
    pub async fn call(&self, host: usize, key: &str, path: &str) -> String {
        let before = self.run_count(path);
        let answer = self.hosts[host].call(&post(key, path)).await;
        let summary = summarize(&answer);
        if summary.starts_with("not-run") {
            assert_eq!(
                self.run_count(path),
                before,
                "{summary}, but the request was sent"
            );
        }
        summary
    }
}

/// Starts hosts and waits until their budgets of table writes are full.
pub async fn hosts(
    platform: &Platform,
    server: SocketAddr,
) -> (Vec<Fixture>, Vec<Arc<TableRecords>>) {
    let (mut hosts, mut all_records) = (Vec::new(), Vec::new());
    for number in 1..=HOSTS {
        let name = format!("h{number}").into();
        let clock = Arc::new(Monotonic::new());
        let records = Arc::new(TableRecords::new(name, Arc::new(platform.clone()), clock));
        all_records.push(Arc::clone(&records));
        let with = |gateway: Gateway| gateway.with_records(records);
        hosts.push(Fixture::with(&[server], with, |it| it).await);
    }
    sleep(Duration::from_secs(1)).await;
    (hosts, all_records)
}

/// Returns a request with the idempotency key `booking-1`.
pub fn post(key: &str, path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {key}\r\n\
         idempotency-key: booking-1\r\ncontent-length: 1\r\n\r\nx"
    )
}

/// Returns the status of an answer, marked as `replayed` if it is, or a refusal's outcome and reason.
pub fn summarize(answer: &Answer) -> String {
    match answer.refusal() {
        ("none", _) if answer.header("azurenotch-replayed") == Some("true") => {
            format!("{} replayed", answer.status())
        }
        ("none", _) => answer.status().to_string(),
        (outcome, reason) => format!("{outcome} {reason}"),
    }
}
