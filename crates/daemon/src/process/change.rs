//! Validates configuration changes and publishes the new snapshot.

use crate::process::node::{Encoded, Node};
use azurenotch_config::{
    change::{Change, Error as Refusal},
    snapshot::{Error as SnapshotError, Snapshot, digest_of},
};
use azurenotch_platform::{
    store,
    table::{Error as TableError, Expect, Fence, Row},
};
use azurenotch_wire::{
    id::Operation,
    version::{Digest, Head, Version},
};
use rand::random;
use snafu::{OptionExt, ResultExt, Snafu};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Table key of the configuration head.
pub const HEAD_KEY: &str = "config/head";
/// Attempts to apply a change that conflicts with concurrent ones.
const MAX_CHANGE_ATTEMPTS: u32 = 8;
/// Attempts to write the head while it is unknown whether an earlier write took effect.
const MAX_WRITE_ATTEMPTS: u32 = 4;
/// Delay between attempts; jitter shortens it after a conflict.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Result of a change.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a change was not accepted.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The change is invalid for the current configuration.
    #[snafu(display("{source}"))]
    Refused {
        /// Cause.
        source: Refusal,
    },
    /// Every attempt conflicted with a concurrent change.
    #[snafu(display("too many concurrent changes; try again"))]
    Busy,
    /// A request to the table failed; nothing was changed.
    #[snafu(display("request to the table failed; nothing was changed"))]
    Table {
        /// Cause.
        source: TableError,
    },
    /// The role under which the change was made has passed to another host.
    #[snafu(display("the role has passed to another host; nothing was changed"))]
    Superseded {
        /// Cause.
        source: TableError,
    },
    /// A request to the object store failed; nothing was changed.
    #[snafu(display("request to the object store failed; nothing was changed"))]
    Store {
        /// Cause.
        source: store::Error,
    },
    /// The table's answer was lost, so the change may have been accepted.
    #[snafu(display("the table's answer was lost; the change may have been accepted"))]
    Ambiguous,
    /// A snapshot cannot be encoded or decoded.
    #[snafu(display("the stored configuration is malformed: {source}"))]
    Malformed {
        /// Cause.
        source: SnapshotError,
    },
    /// The head cannot be encoded or decoded.
    #[snafu(display("the configuration head is malformed"))]
    Head {
        /// Cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The store has no snapshot object for the current version.
    #[snafu(display("the object store has no snapshot of version {version}"))]
    Missing {
        /// Version named by the head.
        version: Version,
    },
}

/// An accepted change.
#[derive(Debug)]
pub struct Accepted {
    /// Snapshot that contains the change.
    pub snapshot: Snapshot,
    /// The snapshot in its encoded form.
    pub encoded: Encoded,
}

/// Returns the name of the object that holds a snapshot.
pub fn object_name(digest: &Digest) -> String {
    format!("snapshot-{digest}")
}

/// Decodes the content of the head row.
///
/// # Errors
///
/// Returns [`Error::Head`] if the row does not contain a valid head.
pub fn decode_head(row: &Row) -> Result<Head> {
    rmp_serde::from_slice(&row.value).map_err(|source| Error::Head {
        source: Box::new(source),
    })
}

/// Accepts a change: writes the new snapshot, then moves the head to it.
///
/// Changes made under a leased role carry a fence, which stops a former holder's writes.
///
/// # Errors
///
/// Returns why the change was not accepted, or [`Error::Ambiguous`] if it may have been.
pub async fn accept(node: &Node, change: &Change, fence: Option<&Fence>) -> Result<Accepted> {
    for _ in 0..MAX_CHANGE_ATTEMPTS {
        let row = node.table.get(HEAD_KEY).await.context(TableSnafu)?;
        let base = load_base(node, row.as_ref()).await?;
        let snapshot = base
            .apply(change, node.recorder.stamp())
            .context(RefusedSnafu)?;
        let expect = row.map_or(Expect::Absent, |row| Expect::Version(row.version));
        let encoded = encode(&snapshot)?;
        if publish(node, &encoded, expect, fence).await? {
            return Ok(Accepted { snapshot, encoded });
        }
        time::sleep(RETRY_DELAY.mul_f64(random::<f64>())).await;
    }
    BusySnafu.fail()
}

/// Writes a snapshot and moves the head to it; returns `false` if the head had changed.
///
/// # Errors
///
/// Returns why the head was not moved, or [`Error::Ambiguous`] if it may have been.
pub async fn publish(
    node: &Node,
    encoded: &Encoded,
    expect: Expect,
    fence: Option<&Fence>,
) -> Result<bool> {
    node.store
        .put(&object_name(&encoded.digest), &encoded.bytes)
        .await
        .context(StoreSnafu)?;
    let head = Head {
        version: encoded.version,
        digest: encoded.digest.clone(),
        operation: Operation(random()),
    };
    let value = rmp_serde::to_vec(&head).map_err(|source| Error::Head {
        source: Box::new(source),
    })?;
    move_head(node, &head, &value, expect, fence).await
}

/// Encodes a snapshot with its digest.
///
/// # Errors
///
/// Returns an error if the snapshot cannot be encoded.
pub fn encode(snapshot: &Snapshot) -> Result<Encoded> {
    let bytes = snapshot.encode().context(MalformedSnafu)?;
    Ok(Encoded {
        version: snapshot.version,
        digest: digest_of(&bytes),
        bytes,
    })
}

/// Returns the snapshot that the head refers to, or an empty one if there is no head.
async fn load_base(node: &Node, row: Option<&Row>) -> Result<Arc<Snapshot>> {
    let Some(row) = row else {
        return Ok(Arc::default());
    };
    let head = decode_head(row)?;
    if let Some(current) = node
        .snapshot()
        .filter(|current| current.version == head.version)
        && node
            .encoded
            .load()
            .as_ref()
            .is_some_and(|encoded| encoded.digest == head.digest)
    {
        return Ok(current);
    }
    let bytes = node
        .store
        .get(&object_name(&head.digest))
        .await
        .context(StoreSnafu)?;
    let bytes = bytes.context(MissingSnafu {
        version: head.version,
    })?;
    Snapshot::decode_verified(&bytes, &head.digest)
        .context(MalformedSnafu)
        .map(Arc::new)
}

/// Replaces the head; after a lost answer, the stored operation id shows if the write succeeded.
///
/// The write is repeated with the same expected version, so it takes effect at most once.
async fn move_head(
    node: &Node,
    head: &Head,
    value: &[u8],
    expect: Expect,
    fence: Option<&Fence>,
) -> Result<bool> {
    let mut is_ambiguous = false;
    for _ in 0..MAX_WRITE_ATTEMPTS {
        match node.table.put(HEAD_KEY, value, expect, fence).await {
            Ok(_) => return Ok(true),
            Err(TableError::Conflict { row, .. }) => {
                let current = row.as_ref().map(decode_head).transpose()?;
                return resolve(current.as_ref(), head, is_ambiguous);
            }
            Err(TableError::Ambiguous { .. }) => is_ambiguous = true,
            Err(source) if !is_ambiguous => return Err(Error::of_write(source)),
            Err(_) => {}
        }
        time::sleep(RETRY_DELAY).await;
    }
    AmbiguousSnafu.fail()
}

/// Returns whether this host's write took effect, judging by the current head.
fn resolve(current: Option<&Head>, own: &Head, is_ambiguous: bool) -> Result<bool> {
    match current {
        Some(current) if current.operation == own.operation => Ok(true),
        // A later change may have overwritten this one together with its operation id.
        Some(current) if is_ambiguous && current.version > own.version => AmbiguousSnafu.fail(),
        _ => Ok(false),
    }
}

impl Error {
    /// Returns the error for a write that did not take effect.
    fn of_write(source: TableError) -> Self {
        match source {
            TableError::Fenced { .. } => Self::Superseded { source },
            _ => Self::Table { source },
        }
    }

    /// Returns the error code for operators.
    pub fn code(&self) -> &'static str {
        match self {
            Self::Refused { source } => source.code(),
            Self::Busy | Self::Superseded { .. } => "conflict",
            Self::Table { .. } | Self::Store { .. } => "store-down",
            Self::Ambiguous => "unknown",
            Self::Malformed { .. } | Self::Head { .. } | Self::Missing { .. } => "malformed-store",
        }
    }

    /// Returns the current version if the error is a conflict with it.
    pub fn current(&self) -> Option<Version> {
        match self {
            Self::Refused {
                source: Refusal::Conflict { current },
            } => Some(*current),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
