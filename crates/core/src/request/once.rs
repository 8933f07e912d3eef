//! Record that prevents a request with an `Idempotency-Key` from running twice.
//!
//! The record is written to the table before the request runs and again with its result, so that a
//! repeat on any host finds it.

use azurenotch_wire::id::{Host, Operation, Workspace};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::time::Duration;

/// Lifetime of a record; a repeat within it never runs the request again.
pub const RECORD_LIFETIME: Duration = Duration::from_hours(24);

/// Largest answer body that is stored in a record.
pub const MAX_STORED_BODY_BYTES: usize = 16 * 1024;

/// Longest accepted `Idempotency-Key`.
pub const MAX_KEY_BYTES: usize = 256;

/// Content of the table row `once/WORKSPACE/HASH`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Identity of the run that created the record.
    pub operation: Operation,
    /// Host that ran it.
    pub host: Host,
    /// Hash of method, path and query; it distinguishes a reused key from a repeat.
    pub fingerprint: [u8; 32],
    /// Time of creation in milliseconds since the Unix epoch.
    pub created_ms: u64,
    /// State of the run.
    pub state: State,
}

/// Progress of a run, as stored in its [`Record`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The request may be running.
    Running,
    /// The backend server answered.
    Done(Answer),
    /// The request may have run, but its answer is unknown or exceeds [`MAX_STORED_BODY_BYTES`].
    Unknown,
}

/// Answer of a backend server, stored for replay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `content-type` header, if the answer has one.
    pub content_type: Option<Vec<u8>>,
    /// Complete body.
    pub body: Vec<u8>,
}

/// Run of one request with an `Idempotency-Key` on one host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Once {
    operation: Operation,
    host: Host,
    fingerprint: [u8; 32],
}

/// Next action for a request, derived from its record in the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Create the record, and run the request only after the write succeeded.
    Create,
    /// The record belongs to this run: run the request.
    Run,
    /// Return the stored answer.
    Replay(Answer),
    /// Another run of the same request has not ended.
    InProgress,
    /// The request may have run, but its answer is not available.
    OutcomeLost,
    /// The key was already used for a different request.
    KeyReused,
    /// The record has expired: replace it, provided that it still has the version that was read.
    Replace,
}

impl Once {
    /// Creates a run; `target` is the path and query of the request.
    pub fn new(operation: Operation, host: Host, method: &str, target: &str) -> Self {
        Self {
            operation,
            host,
            fingerprint: fingerprint(method, target),
        }
    }

    /// Returns the record to write before the request runs.
    pub fn running_record(&self, wall_ms: u64) -> Record {
        self.record(wall_ms, State::Running)
    }

    /// Returns the record to write with the result of the run.
    pub fn final_record(&self, wall_ms: u64, state: State) -> Record {
        self.record(wall_ms, state)
    }

    /// Returns what to do next, given the record in the table, if there is one.
    ///
    /// After a write whose answer was lost, a record with this run's operation and host shows that
    /// the write succeeded.
    pub fn next_step(&self, record: Option<&Record>, wall_ms: u64) -> Step {
        let Some(record) = record else {
            return Step::Create;
        };
        if record.operation == self.operation && record.host == self.host {
            return Step::Run;
        }
        let age = Duration::from_millis(wall_ms.saturating_sub(record.created_ms));
        if age > RECORD_LIFETIME {
            return Step::Replace;
        }
        if record.fingerprint != self.fingerprint {
            return Step::KeyReused;
        }
        match &record.state {
            State::Running => Step::InProgress,
            State::Done(answer) => Step::Replay(answer.clone()),
            State::Unknown => Step::OutcomeLost,
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

/// Returns the key of the record in the table.
///
/// The caller's key is hashed together with the workspace. Text from a caller therefore never
/// becomes part of a table key, and two workspaces never share a record.
pub fn table_key(workspace: &Workspace, key: &[u8]) -> String {
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
