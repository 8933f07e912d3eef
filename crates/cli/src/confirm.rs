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

/// Pause between two rounds of questions.
const ROUND: Duration = Duration::from_millis(250);
/// Longest time for one host to answer in a round.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);
/// Hosts that are asked at the same time.
const ASKED_AT_ONCE: usize = 64;

/// Whether a host has confirmed a version, and otherwise why not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The version or a later one is in force.
    #[display("in force")]
    InForce,
    /// An older version is in force.
    #[display("older version")]
    OlderVersion,
    /// The host does not answer the operator, but the other hosts see it.
    #[display("unreachable")]
    Unreachable,
    /// The other hosts have not heard of it for a while either.
    #[display("suspect")]
    Suspect,
    /// The other hosts count it as gone.
    #[display("dead")]
    Dead,
}

/// Confirmation of one host.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Confirmation {
    /// Name of the host.
    pub host: Host,
    /// Version that it last reported.
    pub version: Version,
    /// Whether it has confirmed the version.
    pub state: State,
}

/// Answer of a change, for programs.
#[derive(Debug, Serialize)]
struct Report {
    version: Version,
    in_force: Option<bool>,
    hosts: Vec<Confirmation>,
}

/// Describes an accepted change and waits for it if asked to.
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

/// Asks every host until all have confirmed `version` or `timeout` is over.
///
/// The list of hosts is read anew in every round, because hosts come and go. The last round may end
/// a few seconds after `timeout`.
///
/// # Errors
///
/// Returns an error if no list of hosts was read, or only empty ones.
pub async fn confirm(
    client: &Client,
    version: Version,
    timeout: Duration,
) -> Result<Vec<Confirmation>> {
    let end = Instant::now() + timeout;
    let mut latest = None;
    loop {
        if let Ok(hosts) = ask(client, version, end).await {
            let complete = hosts.iter().all(Confirmation::confirmed);
            latest = Some(hosts);
            if complete {
                break;
            }
        }
        if Instant::now() + ROUND >= end {
            break;
        }
        time::sleep(ROUND).await;
    }
    latest.map_or_else(|| NoHostsSnafu { version }.fail(), Ok)
}

async fn ask(client: &Client, version: Version, end: Instant) -> Result<Vec<Confirmation>> {
    let peers = client.get::<Vec<Peer>>("/v1/hosts").await?;
    ensure!(!peers.is_empty(), NoHostsSnafu { version });
    // A host that answers slowly is not judged by a round that was cut short.
    let end = end.max(Instant::now() + ASK_TIMEOUT);
    let answers = ask_all::<Status>(peers, "/v1/status", ASK_TIMEOUT, end).await;
    Ok(answers
        .into_iter()
        .map(|(peer, answer)| Confirmation::new(&peer, answer.ok().as_ref(), version))
        .collect())
}

/// Asks the operators' interface of every host until `end`; the answers are in the order of hosts.
pub async fn ask_all<T: DeserializeOwned + Send + 'static>(
    peers: Vec<Peer>,
    path: &'static str,
    limit: Duration,
    end: Instant,
) -> Vec<(Peer, Result<T>)> {
    let mut answers = Vec::with_capacity(peers.len());
    for group in peers.chunks(ASKED_AT_ONCE) {
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
    /// Judges a host by its own answer, or else by what the other hosts know of it.
    fn new(peer: &Peer, status: Option<&Status>, wanted: Version) -> Self {
        // Another daemon may have taken over the address.
        let status = status.filter(|status| status.host == peer.host);
        let (version, silent) = match status {
            Some(status) => (status.version, State::OlderVersion),
            None => match peer.state {
                Reachability::Suspect => (peer.version, State::Suspect),
                Reachability::Dead => (peer.version, State::Dead),
                Reachability::Live | Reachability::Leaving => (peer.version, State::Unreachable),
            },
        };
        // A heartbeat reports the version in force, so that of a live host confirms as well.
        let current = status.is_some() || silent == State::Unreachable;
        let state = if current && version >= wanted {
            State::InForce
        } else {
            silent
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
