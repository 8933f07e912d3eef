//! Directory of the hosts that a caller may use.

use serde::{Deserialize, Serialize};
use std::{fmt::Debug, net::IpAddr, time::Duration};

/// Answers look-ups and names the hosts to try after a refusal.
pub trait Directory: Debug + Send + Sync {
    /// Returns the hosts for a client, best first.
    fn look_up(&self, client: IpAddr) -> Answer;

    /// Returns the addresses of other hosts to try for a client, best first.
    fn alternatives(&self, client: IpAddr) -> Vec<String>;
}

/// Answer to a look-up.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Milliseconds for which a caller may keep the answer.
    pub lifetime_ms: u64,
    /// Hosts, best first.
    pub hosts: Vec<ListedHost>,
}

/// A host in the answer to a look-up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Name of the host.
    pub host: String,
    /// Address of its caller port.
    pub address: String,
    /// Share of the client's requests relative to the other hosts.
    pub weight: u32,
}

/// Directory with the same hosts for every client.
#[derive(Debug, Clone, Default)]
pub struct Fixed {
    answer: Answer,
    alternatives: Vec<String>,
}

impl Fixed {
    /// Creates a directory without hosts.
    pub fn new(lifetime: Duration) -> Self {
        Self {
            answer: Answer {
                lifetime_ms: u64::try_from(lifetime.as_millis()).unwrap_or(u64::MAX),
                hosts: Vec::new(),
            },
            alternatives: Vec::new(),
        }
    }

    /// Sets the hosts of the answer.
    #[must_use]
    pub fn hosts(mut self, hosts: Vec<ListedHost>) -> Self {
        self.answer.hosts = hosts;
        self
    }

    /// Sets the addresses to try after a refusal.
    #[must_use]
    pub fn alternatives(mut self, alternatives: Vec<String>) -> Self {
        self.alternatives = alternatives;
        self
    }
}

impl Directory for Fixed {
    fn look_up(&self, _client: IpAddr) -> Answer {
        self.answer.clone()
    }

    fn alternatives(&self, _client: IpAddr) -> Vec<String> {
        self.alternatives.clone()
    }
}
