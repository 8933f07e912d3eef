//! Changes of the configuration.

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

impl Change {
    /// Describes the change in one line for the time line.
    ///
    /// The line has neither the text of a document nor the hash of a key.
    pub fn describe(&self) -> impl Display + '_ {
        Line(self)
    }
}

impl Display for Change {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.describe().fmt(f)
    }
}

/// Shows a change in one line.
struct Line<'a>(&'a Change);

impl Display for Line<'_> {
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
        // Names and notes come from requests; a line break in them would split the line.
        f.write_str(&text.replace(char::is_control, " "))
    }
}

/// Reasons why a change is refused.
#[derive(Debug, Clone, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
#[expect(missing_docs, reason = "the fields are named in each message")]
pub enum Error {
    /// The document was written for a version that is not in force.
    #[snafu(display("the change expects another version than {current}"))]
    Conflict { current: Version },
    /// The text of the document is invalid.
    #[snafu(display("the document is invalid:\n{source}"))]
    Document { source: Invalid },
    /// The document changes the version of an existing service.
    #[snafu(display(
        "service {service} runs version {in_force}; version {asked} needs a version move"
    ))]
    VersionChange {
        service: Service,
        in_force: Release,
        asked: Release,
    },
    /// The document removes a service while it moves.
    #[snafu(display("service {service} cannot be removed while its version move runs"))]
    Moving { service: Service },
    /// The version has no backend server.
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
    #[snafu(display("a key name has 1 to 63 letters, digits, '.', '_' and '-'"))]
    KeyName,
    /// The name of the key is or was in use.
    #[snafu(display("workspace {workspace} already has or had a key {name}"))]
    KeyNameUsed { workspace: Workspace, name: String },
    /// The hash of the key is or was in use.
    #[snafu(display("this key is or was already granted"))]
    KeyHashUsed,
    /// No further key can be stored.
    #[snafu(display("the limit of {limit} keys is reached"))]
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
    /// The deadline of a move is zero or too far away.
    #[snafu(display("the deadline of a move is between 1 s and {limit:?}"))]
    Deadline { limit: Duration },
    /// The share is not a share, or less than before.
    #[snafu(display("share {share} is not between {least} and 1; end the move to take it back"))]
    Share { share: f64, least: f64 },
}

impl Error {
    /// Returns the stable code for `wire::operator::Problem`.
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
