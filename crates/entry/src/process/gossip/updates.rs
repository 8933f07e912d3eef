//! Changes of the rows in the datagrams of a round.

use crate::process::replica::Update;

/// Maximum number of datagrams in one round to a host that lacks changes.
///
/// Hosts request larger updates over HTTP.
const MAX_PARTS: usize = 16;

/// Datagrams of a round without their heads, which differ for each receiver.
#[derive(Debug)]
pub(super) struct Round {
    /// Whether it has all that a host needs that starts.
    pub(super) for_starting: bool,
    /// Parts of the recent changes, oldest first, for hosts that lack them.
    pub(super) parts: Vec<([Update; 2], Vec<u8>)>,
    /// For hosts that have all changes.
    pub(super) rest: Vec<u8>,
    /// For hosts that get changes from others.
    pub(super) status: Vec<u8>,
    /// Versions of the rows, orders first.
    pub(super) versions: [u64; 2],
}

impl Round {
    /// Returns the size of the largest body in bytes.
    pub(super) fn largest_body(&self) -> usize {
        let parts = self.parts.iter().map(|(_, body)| body.len());
        let others = [self.rest.len(), self.status.len()];
        parts.chain(others).max().unwrap_or_default()
    }
}

/// Recent changes of the rows, orders first.
#[derive(Debug)]
pub(super) struct Updates {
    /// Parts with changes, oldest first; the last one ends with the present versions.
    pub(super) parts: Vec<[Update; 2]>,
    /// Says that there were no changes after the last part.
    pub(super) rest: [Update; 2],
    /// Present versions.
    pub(super) versions: [u64; 2],
}

impl Updates {
    /// Pairs the parts of both subjects, which end with `versions`.
    pub(super) fn new(recent: [Vec<Update>; 2], versions: [u64; 2]) -> Self {
        let count = recent.iter().map(Vec::len).max().unwrap_or(0);
        let rest = [0, 1].map(|subject| rest(&recent[subject], versions[subject]));
        let [orders, servers] = recent;
        let pad = |parts: Vec<Update>, version: u64| {
            let missing = count - parts.len();
            let none = std::iter::repeat_n(Update::none(version), missing);
            none.chain(parts).collect::<Vec<_>>()
        };
        let pairs = pad(orders, versions[0])
            .into_iter()
            .zip(pad(servers, versions[1]));
        let parts = pairs.map(|(orders, servers)| [orders, servers]);
        let parts: Vec<_> = parts
            .filter(|part| part.iter().any(|update| !update.facts.is_empty()))
            .collect();
        let skipped = parts.len().saturating_sub(MAX_PARTS);
        Self {
            parts: parts.into_iter().skip(skipped).collect(),
            rest,
            versions,
        }
    }
}

/// Returns the update that follows the last change among the parts, and has none.
fn rest(parts: &[Update], version: u64) -> Update {
    let last_change = |part: &Update| part.facts.last().map_or(part.after, |fact| fact.version);
    Update {
        after: parts.last().map_or(version, last_change),
        up_to: version,
        facts: Vec::new(),
    }
}
