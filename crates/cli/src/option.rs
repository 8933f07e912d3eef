//! Arguments of the command line.

use azurenotch_config::value::{List, Value};
use azurenotch_wire::{
    id::{Host, Release, Server, Service, Workspace},
    version::Version,
};
use bpaf::{Bpaf, ShellComp};
use snafu::Snafu;
use std::{net::SocketAddr, path::PathBuf, time::Duration};

/// Longest time that `--wait` waits if `--timeout` is not given.
const DEFAULT_WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Shell completion of a FILE argument: all files.
const FILE_COMPLETION: ShellComp = ShellComp::File { mask: None };

/// Checks and changes the configuration of azurenotch and shows the state of its hosts.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(
    options,
    version,
    footer(
        "Exit codes: 0 done, 1 failed check or expectation, 2 usage, 3 conflict, 4 unreachable or answer to a change lost, 5 refused by the host."
    )
)]
pub struct Options {
    /// Operators' interface of a host, IP:PORT; repeat it to name hosts to try next
    #[bpaf(
        long("host"),
        env("AZURENOTCH_HOST"),
        argument::<String>("ADDR"),
        parse(value::<List<SocketAddr>>),
        many
    )]
    hosts: Vec<List<SocketAddr>>,
    /// Print JSON for programs
    pub json: bool,
    /// Command
    #[bpaf(external)]
    pub command: Command,
}

impl Options {
    /// Returns the hosts to send requests to, in the order in which they are tried.
    pub fn hosts(&self) -> Vec<SocketAddr> {
        self.hosts
            .iter()
            .flat_map(|list| &list.0)
            .copied()
            .collect()
    }
}

/// Commands
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// Check a configuration document without a host
    #[bpaf(command)]
    Check {
        /// Check the settings of a daemon instead
        settings: bool,
        /// Check a configuration for the hosts of `azurenotchd entry` (JSON) instead
        entry: bool,
        /// Show also what differs from this configuration; implies `--entry`
        #[bpaf(argument("FILE"), complete_shell(FILE_COMPLETION), optional)]
        against: Option<PathBuf>,
        /// File to check (INI); `-` for the standard input
        #[bpaf(positional("FILE"), complete_shell(FILE_COMPLETION))]
        file: PathBuf,
    },
    /// Show what a document would change
    #[bpaf(command)]
    Diff {
        /// Document (INI)
        #[bpaf(positional("FILE"), complete_shell(FILE_COMPLETION))]
        file: PathBuf,
    },
    /// Replace the document in force
    #[bpaf(command)]
    Apply {
        /// Version that the document was written for, EPOCH.NUMBER; any other version is a conflict
        #[bpaf(argument::<String>("VERSION"), parse(version))]
        expect: Version,
        /// Whether to wait until the change is in force
        #[bpaf(external)]
        wait: Wait,
        /// Document (INI)
        #[bpaf(positional("FILE"), complete_shell(FILE_COMPLETION))]
        file: PathBuf,
    },
    /// Show the state of one host
    #[bpaf(command)]
    Status,
    /// List the hosts as one host sees them
    #[bpaf(command)]
    Hosts,
    /// Grant, withdraw and list keys
    #[bpaf(command)]
    Key(#[bpaf(external(key))] Key),
    /// Start, show and cancel version moves
    #[bpaf(command)]
    Move(#[bpaf(external(rollout))] Rollout),
    /// Stop sending new work to a backend server
    #[bpaf(command)]
    Drain {
        /// End the drain
        undo: bool,
        /// Whether to wait until the change is in force
        #[bpaf(external)]
        wait: Wait,
        /// Backend server
        #[bpaf(positional::<String>("NAME"), parse(value))]
        server: Server,
    },
    /// Merge the events of all hosts into one order
    #[bpaf(command)]
    Timeline(#[bpaf(external(timeline))] Timeline),
    /// Explain the outcome of one request from the logs of all hosts on the standard input
    #[bpaf(command)]
    Explain {
        /// Id of the caller's attempt
        #[bpaf(positional("ID"))]
        id: String,
    },
    /// Print the manual page in roff format
    #[bpaf(command("manual"))]
    Manual,
}

/// Commands on keys
#[derive(Debug, Clone, Bpaf)]
pub enum Key {
    /// Grant a key; a new key is printed once, and only its hash is sent
    #[bpaf(command)]
    Grant {
        /// Grant the key in this file instead of a new one
        #[bpaf(argument("FILE"), complete_shell(FILE_COMPLETION), optional)]
        key_file: Option<PathBuf>,
        /// Workspace whose requests the key admits
        #[bpaf(positional::<String>("WORKSPACE"), parse(value))]
        workspace: Workspace,
        /// Name of the key
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Withdraw a key for good
    #[bpaf(command)]
    Withdraw {
        /// Whether to wait until the change is in force
        #[bpaf(external)]
        wait: Wait,
        /// Workspace of the key
        #[bpaf(positional::<String>("WORKSPACE"), parse(value))]
        workspace: Workspace,
        /// Name of the key
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// List the names and states of keys; the keys themselves are not stored
    #[bpaf(command)]
    List {
        /// Only those of this workspace
        #[bpaf(positional::<String>("WORKSPACE"), parse(value), optional)]
        workspace: Option<Workspace>,
    },
}

/// Commands on version moves
#[derive(Debug, Clone, Bpaf)]
pub enum Rollout {
    /// Start a move to a new version
    #[bpaf(command)]
    Start {
        /// Time by which the move has to be done, such as 30m or 2h
        #[bpaf(argument::<String>("DURATION"), parse(value))]
        within: Duration,
        /// Service that moves
        #[bpaf(positional::<String>("SERVICE"), parse(value))]
        service: Service,
        /// Version to move to
        #[bpaf(positional::<String>("VERSION"), parse(value))]
        to: Release,
    },
    /// Show the latest move of each service
    #[bpaf(command)]
    Status {
        /// Only that of this service
        #[bpaf(positional::<String>("SERVICE"), parse(value), optional)]
        service: Option<Service>,
    },
    /// Cancel the running move of a service
    #[bpaf(command)]
    Cancel {
        /// Service that moves
        #[bpaf(positional::<String>("SERVICE"), parse(value))]
        service: Service,
    },
}

/// Waiting until a change is in force everywhere
#[derive(Debug, Clone, Copy, Bpaf)]
pub struct Wait {
    /// Wait until the change is in force at every host, and report it per host
    pub wait: bool,
    /// Longest time to wait (default: 30s)
    #[bpaf(argument::<String>("DURATION"), parse(value), fallback(DEFAULT_WAIT_TIMEOUT))]
    pub timeout: Duration,
}

/// Filters and format of the timeline
#[derive(Debug, Clone, Bpaf)]
pub struct Timeline {
    /// Only events of this workspace
    #[bpaf(argument::<String>("NAME"), parse(value), optional)]
    pub workspace: Option<Workspace>,
    /// Only events of this service
    #[bpaf(argument::<String>("NAME"), parse(value), optional)]
    pub service: Option<Service>,
    /// Only events that this host recorded
    #[bpaf(argument::<String>("NAME"), parse(value), optional)]
    pub host_name: Option<Host>,
    /// Only events of the last N seconds
    #[bpaf(argument("N"))]
    pub since_seconds: Option<u64>,
    /// Write an HTML page to this file
    #[bpaf(argument("FILE"), complete_shell(FILE_COMPLETION), optional)]
    pub html: Option<PathBuf>,
}

/// An argument cannot be parsed as its type.
#[derive(Debug, Snafu)]
#[snafu(display("expected {expected}"))]
struct InvalidValue {
    expected: &'static str,
}

fn value<T: Value>(text: String) -> Result<T, InvalidValue> {
    let expected = T::EXPECTED;
    T::parse(&text).ok_or(InvalidValue { expected })
}

fn version(text: String) -> Result<Version, InvalidValue> {
    let numbers = text.split_once('.');
    let version = numbers.and_then(|(epoch, number)| {
        Some(Version {
            epoch: epoch.parse().ok()?,
            number: number.parse().ok()?,
        })
    });
    let expected = "a version such as 1.42";
    version.ok_or(InvalidValue { expected })
}
