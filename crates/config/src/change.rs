//! Changes of the configuration.

use crate::snapshot::KeyHash;
use azurenotch_wire::{
    id::{Release, Server, Service, Workspace},
    version::Version,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// One change that an operator or the planner asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "kebab-case")]
pub enum Change {
    /// Replaces the document.
    Apply {
        /// Text of the new document.
        text: String,
        /// Version that the operator has seen; any other version is a conflict.
        expect: Version,
    },
    /// Grants a key.
    GrantKey {
        /// Hash of the key.
        hash: KeyHash,
        /// Workspace whose requests the key admits.
        workspace: Workspace,
        /// Name of the key, unique within the workspace.
        name: String,
    },
    /// Withdraws a key for good.
    WithdrawKey {
        /// Workspace of the key.
        workspace: Workspace,
        /// Name of the key.
        name: String,
    },
    /// Starts or ends the drain of a backend server.
    Drain {
        /// Backend server.
        server: Server,
        /// Whether it takes no new work.
        draining: bool,
    },
    /// Starts a version move.
    StartMove {
        /// Service that moves.
        service: Service,
        /// Version to move to.
        to: Release,
        /// Time by which the move has to be done, from now.
        deadline: Duration,
    },
    /// Cancels the running move of a service.
    CancelMove {
        /// Service that moves.
        service: Service,
    },
    /// Sets the share of a running move; asked for by the planner.
    ShareMove {
        /// Service that moves.
        service: Service,
        /// Number of the move.
        serial: u64,
        /// New share.
        share: f64,
        /// Explanation for operators.
        note: String,
    },
    /// Ends a running move; asked for by the planner.
    EndMove {
        /// Service that moves.
        service: Service,
        /// Number of the move.
        serial: u64,
        /// Whether the new version stays; otherwise it is taken back.
        done: bool,
        /// Evidence for operators.
        note: String,
    },
}
