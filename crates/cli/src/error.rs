//! Errors of commands and their exit codes.

use azurenotch_wire::version::Version;
use snafu::Snafu;
use std::{io, net::SocketAddr, path::PathBuf};

/// Exit code of a failed check or expectation.
pub const FAILED: u8 = 1;
/// Exit code of wrong arguments and of files that cannot be read or written.
pub const USAGE: u8 = 2;
/// Exit code of a conflict with another change.
pub const CONFLICT: u8 = 3;
/// Exit code if no host answers or the answer to a change was lost.
pub const UNREACHABLE: u8 = 4;
/// Exit code of a refusal by the host.
pub const REFUSED: u8 = 5;

/// Result of a command.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Errors of commands; no message contains a key.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[expect(missing_docs, reason = "the fields are named in each message")]
pub enum Error {
    /// A file cannot be read.
    #[snafu(display("{} cannot be read: {source}", path.display()))]
    Read { path: PathBuf, source: io::Error },
    /// The standard input cannot be read.
    #[snafu(display("the standard input cannot be read: {source}"))]
    Input { source: io::Error },
    /// No line of the log has the id.
    #[snafu(display(
        "no line of {lines} has the id {id:?}; lines may have been dropped, see `journal: dropped`"
    ))]
    NoSuchId { id: String, lines: usize },
    /// A file cannot be written.
    #[snafu(display("{} cannot be written: {source}", path.display()))]
    Write { path: PathBuf, source: io::Error },
    /// A file is not valid.
    #[snafu(display("{} is not valid: {errors} error(s)", path.display()))]
    Invalid { path: PathBuf, errors: usize },
    /// A key file does not hold a key.
    #[snafu(display(
        "{} does not hold one key of {min} to {max} letters, digits and '-._~+/='",
        path.display()
    ))]
    KeyFile {
        path: PathBuf,
        min: usize,
        max: usize,
    },
    /// The operating system returns no random numbers.
    #[snafu(display("the operating system returned no random numbers: {source}"))]
    Random { source: getrandom::Error },
    /// A change cannot be encoded.
    #[snafu(display("the change cannot be encoded: {source}"))]
    Encode { source: serde_json::Error },
    /// No host was named.
    #[snafu(display("name a host with --host ADDR or AZURENOTCH_HOST"))]
    NoHost,
    /// No host can be reached; nothing was changed.
    #[snafu(display("no host can be reached: {tried}"))]
    Unreachable { tried: String },
    /// The answer to a change was lost.
    #[snafu(display(
        "{host}: the answer was lost ({reason}); it is unknown whether the change was accepted; \
         check `azurenotch status` before you send it again"
    ))]
    Unknown { host: SocketAddr, reason: String },
    /// Another change was accepted first.
    #[snafu(display("{host}: conflict: {detail}"))]
    Conflict {
        host: SocketAddr,
        detail: String,
        current: Option<Version>,
    },
    /// The host refuses the request.
    #[snafu(display("{host}: refused ({code}): {detail}"))]
    Refused {
        host: SocketAddr,
        code: String,
        detail: String,
    },
    /// The host's answer cannot be decoded.
    #[snafu(display("{host}: the answer to {path} cannot be decoded: {source}"))]
    Malformed {
        host: SocketAddr,
        path: String,
        source: serde_json::Error,
    },
    /// Hosts have not confirmed a version.
    #[snafu(display(
        "version {version} is accepted; {missing} of {hosts} host(s) have not confirmed it"
    ))]
    Unconfirmed {
        version: Version,
        missing: usize,
        hosts: usize,
    },
    /// The list of hosts could not be read or was empty.
    #[snafu(display("version {version} is accepted; no list of its hosts can be read"))]
    NoHosts { version: Version },
    /// The service has no version move.
    #[snafu(display("service {service} has no version move"))]
    NoMove { service: String },
}

impl Error {
    /// Returns the exit code with which the command ends.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Invalid { .. }
            | Self::Random { .. }
            | Self::Encode { .. }
            | Self::Unconfirmed { .. }
            | Self::NoHosts { .. }
            | Self::NoSuchId { .. }
            | Self::NoMove { .. } => FAILED,
            Self::Read { .. }
            | Self::Write { .. }
            | Self::Input { .. }
            | Self::KeyFile { .. }
            | Self::NoHost => USAGE,
            Self::Conflict { .. } => CONFLICT,
            Self::Unreachable { .. } | Self::Unknown { .. } => UNREACHABLE,
            Self::Refused { .. } | Self::Malformed { .. } => REFUSED,
        }
    }

    /// Returns the message as one line; the detail from a host may have several.
    pub fn line(&self) -> String {
        let text = self.to_string();
        let lines = text.lines().map(str::trim).collect::<Vec<_>>().join("; ");
        lines.replace(char::is_control, " ")
    }
}
