//! Format of the datagrams that hosts exchange.

use crate::{
    model::{Fact, Peer},
    process::replica::{Freshness, Update},
};
use azurenotch_core::{
    process::{
        echo::Echo,
        moment::Moment,
        quota::{self, Count},
        suspect::News,
        usage,
    },
    version::{
        cutover::Evidence,
        limit,
        placement::{self, Figure, MAX_PASSED_ON},
    },
};
use azurenotch_wire::time::Instant;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::time::Duration;

/// Parts of a datagram.
#[derive(Debug)]
pub(crate) struct Datagram {
    pub(crate) head: Head,
    pub(crate) message: Message,
    pub(crate) tail: Tail,
    pub(crate) limits: Limits,
    pub(crate) access: Access,
    /// Requests under which servers crashed; left out if there is nothing to tell.
    ///
    /// Builds before it ignore it.
    pub(crate) suspects: News,
    /// Left out unless the store was restored; builds before it ignore it.
    pub(crate) completeness: Completeness,
    /// Left out if there are none and no part follows; builds before it ignore it.
    pub(crate) speeds: Speeds,
    pub(crate) usage: UsageParts,
}

/// Parts about the usage reports; left out unless the settings ask for them.
#[derive(Debug)]
pub(crate) struct UsageParts {
    /// Time of day and claim.
    pub(crate) status: Option<Usage>,
    /// Counts of the sender, sent to collectors only.
    pub(crate) counts: Option<usage::Part>,
}

/// Start of a datagram, which differs for each receiver.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Head {
    /// Echo of the last message from the receiver; `None` if none was received.
    pub(crate) echo: Option<Echo>,
}

/// Rest of a datagram, which is the same for all receivers of a round.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Message {
    pub(crate) peer: Peer,
    pub(crate) serving: bool,
    pub(crate) leaving: bool,
    /// Whether the store answered the sender's last calls.
    pub(crate) reaches_store: bool,
    /// Echo that the receiver returns in its next message.
    pub(crate) sent: Echo,
    pub(crate) orders: FreshnessReport,
    pub(crate) servers: FreshnessReport,
    /// Recent changes of orders and servers; `None` if the receiver gets them from others.
    pub(crate) updates: Option<[Update; 2]>,
    /// States of version moves, and rows that the store has lost.
    pub(crate) shared: Vec<Fact>,
    /// Requests by the hash of the workspace, for workspaces with recent requests.
    ///
    /// Packed by [`pack_usage`].
    pub(crate) usage: Vec<(u32, Count)>,
    /// Requests per second by the hash of the service.
    pub(crate) rates: Vec<(u32, f32)>,
    /// Evidence about the version move under way, by the hash of the service.
    pub(crate) evidence: Vec<(u32, Evidence)>,
    /// Running and waiting requests and slots, by the hash of the backend server.
    pub(crate) loads: Vec<(u32, u16, u16, u16)>,
}

/// End of a datagram, which builds before it neither send nor read.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Tail {
    /// Backend servers that said that they are leaving: hash of the server, start of its process.
    pub(crate) leaving: Vec<(u32, u64)>,
    /// Version of the configuration in force; 0 for none.
    ///
    /// After the store came back from an older copy, hosts with the same rows may differ in it.
    pub(crate) configuration: u64,
}

/// What the sender heard about the limits of backend servers.
///
/// It is left out if there is nothing and no part follows, and builds before it ignore it.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Limits {
    pub(crate) reports: Vec<LimitReport>,
}

/// How the sender got the updates in a datagram.
///
/// Hosts of builds before it leave it out, and send updates only if they follow the store.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Access {
    /// Whether the store has answered the sender lately.
    pub(crate) is_proven: bool,
}

impl Default for Access {
    fn default() -> Self {
        Self { is_proven: true }
    }
}

/// Up to when the sender's configuration has all changes that the operator was told are accepted.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct Completeness {
    /// Version of the sender's configuration.
    pub(crate) configuration: u64,
    /// Milliseconds since then; `None` if the part is left out.
    pub(crate) age_ms: Option<u32>,
}

impl Completeness {
    /// Creates the part for the version of a configuration that has all changes up to `at`.
    pub(crate) fn new(now: Instant, (configuration, at): (u64, Moment)) -> Self {
        // Rounded up, so that the receiver never takes the configuration for newer than it is.
        let age_ms = at.age(now).as_millis() + 1;
        Self {
            configuration,
            age_ms: Some(u32::try_from(age_ms).unwrap_or(u32::MAX)),
        }
    }
}

/// What the receiver needs for the usage reports, besides the counts.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Usage {
    /// The sender's time of day in milliseconds since the Unix epoch.
    pub(crate) wall_ms: u64,
    /// Milliseconds since the sender received the message of the echo; `None` without an echo.
    pub(crate) held_ms: Option<u32>,
    /// What the sender knows of the duty to report.
    pub(crate) claim: usage::Claim,
}

/// Figures of the speed of backend servers that the sender was told.
#[derive(Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Speeds {
    /// Hash of the server, time that work takes in per cent of the usual, age in milliseconds.
    pub(crate) figures: Vec<(u32, u32, u16)>,
}

impl Speeds {
    /// Creates the part from figures and their difference from the mean, the largest of which it has.
    pub(crate) fn new(figures: Vec<(u32, Figure, f64)>) -> Self {
        let figures = placement::most_different(figures).map(|(server, figure)| {
            let age = u16::try_from(figure.age.as_millis()).unwrap_or(u16::MAX);
            (server, (figure.factor * 100.0).round() as u32, age)
        });
        Self {
            figures: figures.collect(),
        }
    }

    /// Returns the figures with the hashes of their servers.
    pub(crate) fn figures(&self) -> impl Iterator<Item = (u32, Figure)> {
        // A figure of zero is none.
        let plausible = self.figures.iter().filter(|(_, percent, _)| *percent > 0);
        plausible.take(MAX_PASSED_ON).map(|it| {
            let (server, percent, age_ms) = *it;
            let figure = Figure {
                factor: f64::from(percent) / 100.0,
                age: Duration::from_millis(age_ms.into()),
            };
            (server, figure)
        })
    }
}

/// What the sender heard about the limit of a backend server.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct LimitReport {
    /// Hash of the server.
    pub(crate) server: u32,
    /// Start of the server's process.
    pub(crate) incarnation: u64,
    pub(crate) report: limit::Report,
}

/// How current the sender's rows of one subject are.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct FreshnessReport {
    pub(crate) version: u64,
    /// Milliseconds since the store confirmed the version; `None` if it never did.
    pub(crate) age_ms: Option<u32>,
}

impl FreshnessReport {
    /// Creates the report of a subject's freshness at `now`.
    pub(crate) fn new(now: Instant, freshness: Freshness) -> Self {
        // Rounded up, so that the receiver never takes the rows for newer than they are.
        let age = freshness.confirmed.map(|at| now.since(at).as_millis() + 1);
        Self {
            version: freshness.version,
            age_ms: age.map(|age| u32::try_from(age).unwrap_or(u32::MAX)),
        }
    }
}

/// Ends the counts of workspaces whose first requests they are; no workspace has this hash.
const FIRST_END: (u32, Count) = (
    0,
    Count {
        asked: 0,
        admitted: 0,
    },
);

/// Packs reports of requests, by the hash of the workspace, into counts.
///
/// First come the workspaces with no requests before, which takes one entry for all of them. Builds
/// before it read that entry as one of a workspace that they do not know.
pub(crate) fn pack_usage(reports: Vec<(u32, quota::Report)>) -> Vec<(u32, Count)> {
    let is_first = |(_, report): &(u32, quota::Report)| report.before == Some(Count::default());
    let (first, others): (Vec<_>, Vec<_>) = reports.into_iter().partition(is_first);
    let end = (!first.is_empty()).then_some(FIRST_END);
    let first = first.into_iter().map(|(hash, report)| (hash, report.count));
    let others = others.into_iter();
    let others = others.flat_map(|(hash, report)| report.counts().map(move |count| (hash, count)));
    first.chain(end).chain(others).collect()
}

/// Returns the counts that [`pack_usage`] has packed, those of a workspace oldest first.
pub(crate) fn unpack_usage(usage: &[(u32, Count)]) -> impl Iterator<Item = (u32, Count)> {
    let end = usage.iter().position(|it| *it == FIRST_END);
    let (first, others) = usage.split_at(end.unwrap_or(0));
    let first = first.iter();
    let first = first.flat_map(|(hash, count)| [(*hash, Count::default()), (*hash, *count)]);
    first.chain(others.iter().copied())
}

/// Decodes a datagram.
///
/// # Errors
///
/// Fails if the datagram has neither the format of this build nor that of an earlier one.
pub(crate) fn decode(bytes: &[u8]) -> Result<Datagram, rmp_serde::decode::Error> {
    let mut reader = bytes;
    Ok(Datagram {
        head: rmp_serde::from_read(&mut reader)?,
        message: rmp_serde::from_read(&mut reader)?,
        tail: decode_optional(&mut reader)?,
        limits: decode_optional(&mut reader)?,
        access: decode_optional(&mut reader)?,
        suspects: decode_optional(&mut reader)?,
        completeness: decode_optional(&mut reader)?,
        speeds: decode_optional(&mut reader)?,
        usage: UsageParts {
            status: decode_optional(&mut reader)?,
            counts: decode_optional(&mut reader)?,
        },
    })
}

/// Decodes the next part of a datagram, or returns the default if there is none.
fn decode_optional<T: Default + DeserializeOwned>(
    reader: &mut &[u8],
) -> Result<T, rmp_serde::decode::Error> {
    if reader.is_empty() {
        return Ok(T::default());
    }
    rmp_serde::from_read(reader)
}

#[cfg(test)]
mod tests;
