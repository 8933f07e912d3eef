//! Waits until a version is in force at every host.

use crate::{
    answer::Answer,
    client::{self, Client},
    error::{Error, NoHostsSnafu, Result},
    option::Wait,
    table::Table,
};
use azurenotch_wire::{
    event::Reachability,
    id::Host,
    operator::{Peer, Status},
    version::Version,
};
use derive_more::Display;
use serde::{Serialize, de::DeserializeOwned};
use snafu::ensure;
use std::time::Duration;
use tokio::{
    task::JoinSet,
    time::{self, Instant},
};

/// Pause between two rounds in which all hosts are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time for one host to answer in a round.
const HOST_TIMEOUT: Duration = Duration::from_secs(2);
/// Hosts that are queried at the same time.
const MAX_CONCURRENT_REQUESTS: usize = 64;

/// Whether a host has confirmed a version, or why not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The version or a later one is in force.
    #[display("in force")]
    InForce,
    /// An older version is in force.
    #[display("older version")]
    OlderVersion,
    /// The host does not answer the operator, but other hosts report it as live or leaving.
    #[display("unreachable")]
    Unreachable,
    /// Other hosts report it as suspect: its heartbeats are overdue.
    #[display("suspect")]
    Suspect,
    /// Other hosts report it as dead.
    #[display("dead")]
    Dead,
}

/// Confirmation state of one host.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Confirmation {
    /// Name of the host.
    pub host: Host,
    /// Version that it last reported.
    pub version: Version,
    /// Whether it has confirmed the version.
    pub state: State,
}

/// JSON output of a change.
#[derive(Debug, Serialize)]
struct Report {
    version: Version,
    in_force: Option<bool>,
    hosts: Vec<Confirmation>,
}

/// Reports an accepted change and, with `--wait`, waits until every host has it in force.
pub async fn report(client: &Client, text: String, version: Version, wait: Wait) -> Answer {
    let mut report = Report {
        version,
        in_force: None,
        hosts: Vec::new(),
    };
    if !wait.wait {
        return Answer::new(text, report);
    }
    match confirm(client, version, wait.timeout).await {
        Ok(hosts) => report.hosts = hosts,
        Err(error) => {
            report.in_force = Some(false);
            return Answer::new(text, report).failure(Some(error));
        }
    }
    let hosts = report.hosts.len();
    let missing = report.hosts.iter().filter(|host| !host.confirmed()).count();
    report.in_force = Some(missing == 0);
    let text = format!("{text}\n{}", table(&report.hosts));
    if missing == 0 {
        let text = format!("{text}Version {version} is in force at every host ({hosts}).");
        return Answer::new(text, report);
    }
    let error = Error::Unconfirmed {
        version,
        missing,
        hosts,
    };
    Answer::new(text, report).failure(Some(error))
}

fn table(hosts: &[Confirmation]) -> Table {
    let table = Table::new(["host", "version", "state"]);
    hosts.iter().fold(table, |table, host| {
        table.row([
            host.host.to_string(),
            host.version.to_string(),
            host.state.to_string(),
        ])
    })
}

/// Polls every host until all have confirmed `version` or `timeout` has passed.
///
/// Each round reads the list of hosts again, because hosts may join and leave. The last round may
/// end a few seconds after `timeout`.
///
/// # Errors
///
/// Returns an error if the list of hosts could not be read in any round or was always empty.
pub async fn confirm(
    client: &Client,
    version: Version,
    timeout: Duration,
) -> Result<Vec<Confirmation>> {
    let end = Instant::now() + timeout;
    let mut latest = None;
    loop {
        if let Ok(hosts) = poll(client, version, end).await {
            let complete = hosts.iter().all(Confirmation::confirmed);
            latest = Some(hosts);
            if complete {
                break;
            }
        }
        if Instant::now() + POLL_INTERVAL >= end {
            break;
        }
        time::sleep(POLL_INTERVAL).await;
    }
    latest.map_or_else(|| NoHostsSnafu { version }.fail(), Ok)
}

async fn poll(client: &Client, version: Version, end: Instant) -> Result<Vec<Confirmation>> {
    let peers = client.get::<Vec<Peer>>("/v1/hosts").await?;
    ensure!(!peers.is_empty(), NoHostsSnafu { version });
    // The last round is not cut short, because a slow host would then count as unreachable.
    let end = end.max(Instant::now() + HOST_TIMEOUT);
    let answers = get_all::<Status>(peers, "/v1/status", HOST_TIMEOUT, end).await;
    Ok(answers
        .into_iter()
        .map(|(peer, answer)| Confirmation::new(&peer, answer.ok().as_ref(), version))
        .collect())
}

/// Reads `path` from every host until `end`; the answers are in the order of `peers`.
pub async fn get_all<T: DeserializeOwned + Send + 'static>(
    peers: Vec<Peer>,
    path: &'static str,
    limit: Duration,
    end: Instant,
) -> Vec<(Peer, Result<T>)> {
    let mut answers = Vec::with_capacity(peers.len());
    for group in peers.chunks(MAX_CONCURRENT_REQUESTS) {
        let mut tasks = JoinSet::new();
        let timeout = limit.min(end.saturating_duration_since(Instant::now()));
        for (index, peer) in group.iter().cloned().enumerate() {
            tasks.spawn(async move {
                let answer = client::get::<T>(peer.operator, path, timeout).await;
                (index, (peer, answer))
            });
        }
        let mut found = tasks.join_all().await;
        found.sort_by_key(|(index, _)| *index);
        answers.extend(found.into_iter().map(|(_, answer)| answer));
    }
    answers
}

impl Confirmation {
    /// Derives the state from the host's own answer, or else from what other hosts report.
    fn new(peer: &Peer, status: Option<&Status>, expected: Version) -> Self {
        // Another daemon may have taken over the address; its answer does not count.
        let status = status.filter(|status| status.host == peer.host);
        let (version, unconfirmed) = match status {
            Some(status) => (status.version, State::OlderVersion),
            None => match peer.state {
                Reachability::Suspect => (peer.version, State::Suspect),
                Reachability::Dead => (peer.version, State::Dead),
                Reachability::Live | Reachability::Leaving => (peer.version, State::Unreachable),
            },
        };
        // Heartbeats report the version in force, so a live host that does not answer the operator
        // is confirmed by its heartbeat.
        let current = status.is_some() || unconfirmed == State::Unreachable;
        let state = if current && version >= expected {
            State::InForce
        } else {
            unconfirmed
        };
        Self {
            host: peer.host.clone(),
            version,
            state,
        }
    }

    /// Returns whether the version is in force at the host.
    pub fn confirmed(&self) -> bool {
        self.state == State::InForce
    }
}
