//! Life of the record that keeps a request with an `Idempotency-Key` from running twice.

use azurenotch_wire::id::{Host, Operation, Workspace};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::time::Duration;

/// Time for which a record is kept; a repeat inside it never runs the request again.
pub const WINDOW: Duration = Duration::from_hours(24);

/// Largest answer body that a record keeps, in bytes.
pub const KEPT_BODY_BYTES: usize = 16 * 1024;

/// Longest accepted `Idempotency-Key`, in bytes.
pub const KEY_BYTES: usize = 256;

/// Content of the table row `once/WORKSPACE/HASH`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Identity of the run that created the record.
    pub operation: Operation,
    /// Host that ran it.
    pub host: Host,
    /// Hash of method, path and query, so that a reused key is not mistaken for a repeat.
    pub fingerprint: [u8; 32],
    /// Milliseconds since the Unix epoch when the record was created.
    pub created_ms: u64,
    /// State of the run.
    pub state: State,
}

/// State of the run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The request may be running.
    Running,
    /// The backend server answered.
    Done(Answer),
    /// The request may have run, and its answer is not known or was too large to keep.
    Unknown,
}

/// Answer that a record keeps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Value of `content-type`.
    pub content_type: Option<Vec<u8>>,
    /// Whole body.
    pub body: Vec<u8>,
}

/// One request with an `Idempotency-Key` on one host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Once {
    operation: Operation,
    host: Host,
    fingerprint: [u8; 32],
}

/// What to do with a request after its record was read or a write of it was answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Create the record; run only after that succeeded.
    Create,
    /// The record is this run's own: run the request.
    Run,
    /// Give the stored answer.
    Replay(Answer),
    /// Another run has not ended.
    InProgress,
    /// The request may have run; its answer cannot be given.
    Lost,
    /// The key was used for another request.
    Mismatch,
    /// The record is past its window: replace it, expecting the version that was read.
    Replace,
}

impl Once {
    /// Creates the state of one run.
    pub fn new(operation: Operation, host: Host, method: &str, target: &str) -> Self {
        Self {
            operation,
            host,
            fingerprint: fingerprint(method, target),
        }
    }

    /// Returns the record that announces this run.
    pub fn running(&self, wall_ms: u64) -> Record {
        self.record(wall_ms, State::Running)
    }

    /// Returns the record that ends this run.
    pub fn ended(&self, wall_ms: u64, state: State) -> Record {
        self.record(wall_ms, state)
    }

    /// Decides from the record in the table, also after a write whose answer was lost.
    pub fn judge(&self, record: Option<&Record>, wall_ms: u64) -> Step {
        let Some(record) = record else {
            return Step::Create;
        };
        if record.operation == self.operation && record.host == self.host {
            return Step::Run;
        }
        let age = Duration::from_millis(wall_ms.saturating_sub(record.created_ms));
        if age > WINDOW {
            return Step::Replace;
        }
        if record.fingerprint != self.fingerprint {
            return Step::Mismatch;
        }
        match &record.state {
            State::Running => Step::InProgress,
            State::Done(answer) => Step::Replay(answer.clone()),
            State::Unknown => Step::Lost,
        }
    }

    fn record(&self, wall_ms: u64, state: State) -> Record {
        Record {
            operation: self.operation,
            host: self.host.clone(),
            fingerprint: self.fingerprint,
            created_ms: wall_ms,
            state,
        }
    }
}

/// Returns the table key of a record.
///
/// The caller's key is hashed together with the workspace, so that no text of a caller becomes
/// part of a table key and two workspaces never share a record.
pub fn row(workspace: &Workspace, key: &[u8]) -> String {
    let mut hash = Sha256::new();
    hash.update(workspace.as_str().len().to_be_bytes());
    hash.update(workspace.as_str());
    hash.update(key);
    format!("once/{workspace}/{}", hex::encode(hash.finalize()))
}

fn fingerprint(method: &str, target: &str) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update(method);
    hash.update([0]);
    hash.update(target);
    hash.finalize().into()
}

#[cfg(test)]
mod tests;
