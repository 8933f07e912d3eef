//! Settings of a daemon.

use crate::{
    ini::{self, Errors, Invalid, Kind, Section},
    value::{BaseUrl, List, Size, Value},
};
use azurenotch_wire::id::{DataCentre, Host as HostName};
use std::{net::SocketAddr, time::Duration};

/// Maximum size of the text of a daemon's settings.
const MAX_TEXT_BYTES: usize = 64 << 10;

const MILLISECOND: Duration = Duration::from_millis(1);
const HOUR: Duration = Duration::from_hours(1);

/// Settings of a daemon, read once at start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Setting {
    /// Identity and listeners of the host.
    pub host: Host,
    /// Endpoints of the platform.
    pub platform: Platform,
    /// Limits on callers' connections and requests.
    pub limits: Limits,
    /// Settings of the log.
    pub log: Log,
}

/// Section `[host]`: identity and listeners.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Host {
    /// Name of the host.
    pub name: HostName,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Address that accepts callers.
    pub listen: SocketAddr,
    /// Address that accepts other hosts.
    pub peer: SocketAddr,
    /// Address that accepts operators.
    pub operator: SocketAddr,
    /// Peer addresses of other hosts, used when the platform's host list is unavailable.
    pub seeds: Vec<SocketAddr>,
}

/// Section `[platform]`: endpoints of the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Platform {
    /// Base URL of the table service.
    pub table: BaseUrl,
    /// Base URL of the object store.
    pub store: BaseUrl,
    /// Base URL of the host list.
    pub roster: BaseUrl,
    /// Timeout of one call.
    pub timeout: Duration,
}

/// Section `[limits]`: limits on callers' connections and requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request header in bytes.
    pub header_bytes: u64,
    /// Timeout for receiving a request header, including the idle time before it.
    pub header_timeout: Duration,
    /// Maximum time between two parts of a body.
    pub body_idle_timeout: Duration,
    /// Maximum number of open connections from callers.
    pub connections: u32,
    /// Maximum number of requests per service that wait for a free slot.
    pub queue: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            header_timeout: Duration::from_secs(15),
            body_idle_timeout: Duration::from_secs(10),
            connections: 4096,
            queue: 512,
        }
    }
}

/// Section `[log]`: settings of the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Log {
    /// Lowest severity that is logged.
    pub level: Level,
}

/// Severity of a log record.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
#[display(rename_all = "lowercase")]
pub enum Level {
    /// The process cannot continue.
    Critical,
    /// An operation failed.
    Error,
    /// Something needs attention.
    Warning,
    /// Normal operation.
    #[default]
    Info,
    /// Details for debugging.
    Debug,
    /// Fine-grained details of every step.
    Trace,
}

impl Value for Level {
    const EXPECTED: &'static str = "one of critical, error, warning, info, debug, trace";

    fn parse(text: &str) -> Option<Self> {
        let levels = [
            Self::Critical,
            Self::Error,
            Self::Warning,
            Self::Info,
            Self::Debug,
            Self::Trace,
        ];
        levels.into_iter().find(|level| level.to_string() == text)
    }
}

impl Setting {
    /// Parses the settings from their INI text.
    ///
    /// All fields of `[host]` except `seeds` are required, as are the base URLs in `[platform]`.
    /// The other fields have these defaults:
    ///
    /// | Section | Field | Default |
    /// | --- | --- | --- |
    /// | `[platform]` | `timeout` | `2s` |
    /// | `[limits]` | `header-bytes`, `header-timeout` | `16KiB`, `15s` |
    /// | `[limits]` | `body-idle-timeout` | `10s` |
    /// | `[limits]` | `connections`, `queue` | `4096`, `512` |
    /// | `[log]` | `level` | `info` |
    ///
    /// # Errors
    ///
    /// Returns all errors of the text with their line numbers, up to a limit of 1000.
    pub fn parse(text: &str) -> Result<Self, Invalid> {
        let mut errors = Errors::default();
        let mut builder = Builder::default();
        if text.len() > MAX_TEXT_BYTES {
            let (bytes, limit) = (text.len(), MAX_TEXT_BYTES);
            errors.push(1, Kind::TooLarge { bytes, limit });
        } else {
            builder.parse(text, &mut errors);
        }
        let Builder {
            host,
            platform,
            limits,
            log,
        } = builder;
        match (host, platform) {
            (Some(host), Some(platform)) => errors.into_result(Self {
                host,
                platform,
                limits,
                log,
            }),
            _ => Err(errors.into_invalid()),
        }
    }
}

/// Sections that were parsed so far.
#[derive(Default)]
struct Builder {
    host: Option<Host>,
    platform: Option<Platform>,
    limits: Limits,
    log: Log,
}

impl Builder {
    fn parse(&mut self, text: &str, errors: &mut Errors) {
        let mut sections = ini::parse(text, errors);
        for section in &mut sections {
            match (section.kind, section.name) {
                ("host", "") => self.host = parse_host(section, errors),
                ("platform", "") => self.platform = parse_platform(section, errors),
                ("limits", "") => self.limits = parse_limits(section, errors).unwrap_or_default(),
                ("log", "") => {
                    self.log.level = section
                        .default("level", Level::Info, errors)
                        .unwrap_or_default();
                }
                _ => {
                    section.report_unknown(errors);
                    continue;
                }
            }
            section.report_unknown_fields(errors);
        }
        for name in ["host", "platform"] {
            if !sections
                .iter()
                .any(|section| (section.kind, section.name) == (name, ""))
            {
                errors.push(
                    1,
                    Kind::MissingSection {
                        section: name.to_owned(),
                    },
                );
            }
        }
    }
}

fn parse_host(section: &mut Section<'_>, errors: &mut Errors) -> Option<Host> {
    let name = section.required("name", errors);
    let data_centre = section.required("data-centre", errors);
    let listeners = ["listen", "peer", "operator"]
        .map(|field| (field, section.required::<SocketAddr>(field, errors)));
    for (index, (second, address)) in listeners.iter().enumerate() {
        // With port 0 the operating system assigns a free port, so equal addresses do not conflict.
        let Some(address) = address.filter(|address| address.port() != 0) else {
            continue;
        };
        for (first, other) in &listeners[..index] {
            if *other == Some(address) {
                errors.push(
                    section.line_of(second),
                    Kind::DuplicateListener { first, second },
                );
            }
        }
    }
    let [(_, listen), (_, peer), (_, operator)] = listeners;
    let seeds = section.optional::<List<SocketAddr>>("seeds", errors);
    Some(Host {
        name: name?,
        data_centre: data_centre?,
        listen: listen?,
        peer: peer?,
        operator: operator?,
        seeds: seeds.map(|seeds| seeds.0).unwrap_or_default(),
    })
}

fn parse_platform(section: &mut Section<'_>, errors: &mut Errors) -> Option<Platform> {
    let table = section.required("table", errors);
    let store = section.required("store", errors);
    let roster = section.required("roster", errors);
    let timeout = section.default_in(
        "timeout",
        Duration::from_secs(2),
        MILLISECOND..=HOUR,
        errors,
    );
    Some(Platform {
        table: table?,
        store: store?,
        roster: roster?,
        timeout: timeout?,
    })
}

fn parse_limits(section: &mut Section<'_>, errors: &mut Errors) -> Option<Limits> {
    let default = Limits::default();
    let sizes = Size(1 << 10)..=Size(1 << 20);
    let times = MILLISECOND..=HOUR;
    let header_bytes =
        section.default_in("header-bytes", Size(default.header_bytes), sizes, errors);
    let mut time = |field, default| section.default_in(field, default, times.clone(), errors);
    let header_timeout = time("header-timeout", default.header_timeout);
    let body_idle_timeout = time("body-idle-timeout", default.body_idle_timeout);
    let connections = section.default_in("connections", default.connections, 1..=1_000_000, errors);
    let queue = section.default_in("queue", default.queue, 1..=1_000_000, errors);
    Some(Limits {
        header_bytes: header_bytes?.0,
        header_timeout: header_timeout?,
        body_idle_timeout: body_idle_timeout?,
        connections: connections?,
        queue: queue?,
    })
}
