//! Changes to the configuration, and the reasons for which they are refused.

use crate::{ini::Invalid, snapshot::KeyHash};
use azurenotch_wire::{
    id::{Release, Server, Service, Workspace},
    version::Version,
};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::{
    fmt::{self, Display, Formatter},
    time::Duration,
};

/// Result of applying a change.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A configuration change requested by an operator or by the planner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "kebab-case")]
pub enum Change {
    /// Replaces the document.
    Apply {
        /// Text of the new document.
        text: String,
        /// Version that the document was edited from; the change is refused if it is not current.
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
    /// Withdraws a key permanently.
    WithdrawKey {
        /// Workspace of the key.
        workspace: Workspace,
        /// Name of the key.
        name: String,
    },
    /// Starts or ends the drain of a backend server.
    Drain {
        /// Server to change.
        server: Server,
        /// Whether the server stops receiving new requests; `false` ends the drain.
        draining: bool,
    },
    /// Starts a version move.
    StartMove {
        /// Service whose version changes.
        service: Service,
        /// Version to move to.
        to: Release,
        /// Time until the move must be finished, counted from its acceptance.
        deadline: Duration,
    },
    /// Cancels the running move of a service.
    CancelMove {
        /// Service whose version changes.
        service: Service,
    },
    /// Sets the new version's share of traffic in a running move; sent by the planner.
    ShareMove {
        /// Service whose version changes.
        service: Service,
        /// Serial of the move.
        serial: u64,
        /// New share, from the current share up to 1.
        share: f64,
        /// Explanation for operators.
        note: String,
    },
    /// Ends a running move; sent by the planner.
    EndMove {
        /// Service whose version changes.
        service: Service,
        /// Serial of the move.
        serial: u64,
        /// Whether the new version takes effect; otherwise the old version is restored.
        done: bool,
        /// Evidence for operators.
        note: String,
    },
}

impl Change {
    /// Returns a one-line description of the change for the timeline.
    ///
    /// It contains neither the text of a document nor the hash of a key.
    pub fn describe(&self) -> impl Display + '_ {
        Description(self)
    }
}

impl Display for Change {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.describe().fmt(f)
    }
}

/// Formats a change as one line.
struct Description<'a>(&'a Change);

impl Display for Description<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let text = match self.0 {
            Change::Apply { text, expect } => {
                format!(
                    "apply a document of {} bytes to version {expect}",
                    text.len()
                )
            }
            Change::GrantKey {
                workspace, name, ..
            } => {
                format!("grant key {name} to workspace {workspace}")
            }
            Change::WithdrawKey { workspace, name } => {
                format!("withdraw key {name} of workspace {workspace}")
            }
            Change::Drain { server, draining } => {
                let verb = if *draining {
                    "drain"
                } else {
                    "end the drain of"
                };
                format!("{verb} backend server {server}")
            }
            Change::StartMove {
                service,
                to,
                deadline,
            } => {
                format!("move service {service} to version {to} within {deadline:?}")
            }
            Change::CancelMove { service } => format!("cancel the move of service {service}"),
            Change::ShareMove {
                service,
                serial,
                share,
                note,
            } => {
                format!("raise move {serial} of service {service} to share {share}: {note}")
            }
            Change::EndMove {
                service,
                serial,
                done,
                note,
            } => {
                let end = if *done { "finish" } else { "take back" };
                format!("{end} move {serial} of service {service}: {note}")
            }
        };
        // Names and notes come from requests and may contain line breaks.
        f.write_str(&text.replace(char::is_control, " "))
    }
}

/// Reason for which a change is refused.
#[derive(Debug, Clone, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
#[expect(missing_docs, reason = "the fields are named in each message")]
pub enum Error {
    /// The document was edited from a version other than the current one.
    #[snafu(display("the change expects a version other than the current version {current}"))]
    Conflict { current: Version },
    /// The text of the document is invalid.
    #[snafu(display("the document is invalid:\n{source}"))]
    Document { source: Invalid },
    /// The document changes the version of an existing service.
    #[snafu(display(
        "service {service} runs version {in_force}; version {requested} needs a version move"
    ))]
    VersionChange {
        service: Service,
        in_force: Release,
        requested: Release,
    },
    /// The document removes a service during its version move.
    #[snafu(display("service {service} cannot be removed while its version move is running"))]
    Moving { service: Service },
    /// No backend server runs the version.
    #[snafu(display("service {service} has no backend server of version {release}"))]
    NoServer { service: Service, release: Release },
    /// The workspace does not exist.
    #[snafu(display("workspace {workspace} does not exist"))]
    UnknownWorkspace { workspace: Workspace },
    /// The service does not exist.
    #[snafu(display("service {service} does not exist"))]
    UnknownService { service: Service },
    /// The backend server does not exist.
    #[snafu(display("backend server {server} does not exist"))]
    UnknownServer { server: Server },
    /// The key does not exist.
    #[snafu(display("workspace {workspace} has no key {name}"))]
    UnknownKey { workspace: Workspace, name: String },
    /// The name of a key is malformed.
    #[snafu(display("a key name must have 1 to 63 letters, digits, '.', '_' or '-'"))]
    KeyName,
    /// The workspace has a granted or withdrawn key of the same name.
    #[snafu(display("workspace {workspace} already has a granted or withdrawn key {name}"))]
    KeyNameUsed { workspace: Workspace, name: String },
    /// The same key was granted before, to this or another workspace.
    #[snafu(display("this key was granted before and cannot be granted again"))]
    KeyHashUsed,
    /// The snapshot contains the maximum number of keys.
    #[snafu(display("the limit of {limit} granted and withdrawn keys is reached"))]
    TooManyKeys { limit: usize },
    /// The service already runs this version.
    #[snafu(display("service {service} already runs version {release}"))]
    SameVersion { service: Service, release: Release },
    /// A move of the service is running.
    #[snafu(display("move {serial} of service {service} is running"))]
    MoveRunning { service: Service, serial: u64 },
    /// No move of the service is running.
    #[snafu(display("no version move of service {service} is running"))]
    NoMove { service: Service },
    /// Another move of the service is running.
    #[snafu(display("move {running} of service {service} is running, not move {serial}"))]
    WrongSerial {
        service: Service,
        serial: u64,
        running: u64,
    },
    /// The deadline of a move is out of range.
    #[snafu(display("the deadline of a version move must be between 1s and {limit:?}"))]
    Deadline { limit: Duration },
    /// The share is lower than the current share, above 1 or not a number.
    #[snafu(display(
        "share {share} is not between the current share {min} and 1; end the move to reset it"
    ))]
    Share { share: f64, min: f64 },
}

impl Error {
    /// Returns the stable error code for `wire::operator::Problem`.
    pub fn code(&self) -> &'static str {
        match self {
            Self::Conflict { .. } => "conflict",
            Self::UnknownWorkspace { .. }
            | Self::UnknownService { .. }
            | Self::UnknownServer { .. }
            | Self::UnknownKey { .. } => "unknown-name",
            _ => "invalid",
        }
    }
}
