//! Settings of one daemon.

use crate::{
    ini::{self, Errors, Invalid, Kind, Section},
    value::{Base, List, Size, Value},
};
use azurenotch_wire::id::{DataCentre, Host as HostName};
use std::{net::SocketAddr, time::Duration};

/// Largest text of a daemon's settings.
const TEXT_BYTES: usize = 64 << 10;

const MILLISECOND: Duration = Duration::from_millis(1);
const HOUR: Duration = Duration::from_hours(1);

/// Settings of one daemon, read once at start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Setting {
    /// Identity and listeners of the host.
    pub host: Host,
    /// Endpoints of the platform.
    pub platform: Platform,
    /// Limits towards callers.
    pub limits: Limits,
    /// Logging.
    pub log: Log,
}

/// Section `[host]`: identity and listeners.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Host {
    /// Name of the host.
    pub name: HostName,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Address where it takes callers.
    pub listen: SocketAddr,
    /// Address where it takes peers.
    pub peer: SocketAddr,
    /// Address where it takes operators.
    pub operator: SocketAddr,
    /// Addresses of other hosts for peers, asked when the platform's list cannot be read.
    pub seeds: Vec<SocketAddr>,
}

/// Section `[platform]`: endpoints of the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Platform {
    /// Table service.
    pub table: Base,
    /// Object store.
    pub store: Base,
    /// Host list.
    pub roster: Base,
    /// Longest time for one call.
    pub timeout: Duration,
}

/// Section `[limits]`: limits towards callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Largest header of a request in bytes.
    pub header_bytes: u64,
    /// Longest time for the header of a request, idle time before it included.
    pub header_timeout: Duration,
    /// Longest pause between two parts of a body.
    pub body_idle_timeout: Duration,
    /// Connections of callers that are open at the same time.
    pub connections: u32,
    /// Requests of one service that wait for a free slot at the same time.
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

/// Section `[log]`: logging.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Log {
    /// Least severe level that is written.
    pub level: Level,
}

/// Severity of log records.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
#[display(rename_all = "lowercase")]
pub enum Level {
    /// The process cannot go on.
    Critical,
    /// An operation failed.
    Error,
    /// Something needs attention.
    Warning,
    /// Normal operation.
    #[default]
    Info,
    /// Details for fault finding.
    Debug,
    /// Every step.
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
    /// Reads the settings from their INI text.
    ///
    /// `[host]` has no defaults, except that `seeds` may be left out. The other fields that may be left out have these defaults:
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
    /// Returns every error of the text with its line number.
    pub fn parse(text: &str) -> Result<Self, Invalid> {
        let mut errors = Errors::default();
        let mut parts = Parts::default();
        if text.len() > TEXT_BYTES {
            let (bytes, limit) = (text.len(), TEXT_BYTES);
            errors.push(1, Kind::TooLarge { bytes, limit });
        } else {
            parts.read(text, &mut errors);
        }
        let Parts {
            host,
            platform,
            limits,
            log,
        } = parts;
        match (host, platform) {
            (Some(host), Some(platform)) => errors.check(Self {
                host,
                platform,
                limits,
                log,
            }),
            _ => Err(errors.into_invalid()),
        }
    }
}

/// Sections as far as they were read.
#[derive(Default)]
struct Parts {
    host: Option<Host>,
    platform: Option<Platform>,
    limits: Limits,
    log: Log,
}

impl Parts {
    fn read(&mut self, text: &str, errors: &mut Errors) {
        let mut sections = ini::read(text, errors);
        for section in &mut sections {
            match (section.kind, section.name) {
                ("host", "") => self.host = host(section, errors),
                ("platform", "") => self.platform = platform(section, errors),
                ("limits", "") => self.limits = limits(section, errors).unwrap_or_default(),
                ("log", "") => {
                    self.log.level = section
                        .default("level", Level::Info, errors)
                        .unwrap_or_default();
                }
                _ => {
                    section.reject(errors);
                    continue;
                }
            }
            section.finish(errors);
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

fn host(section: &mut Section<'_>, errors: &mut Errors) -> Option<Host> {
    let name = section.required("name", errors);
    let data_centre = section.required("data-centre", errors);
    let listeners = ["listen", "peer", "operator"]
        .map(|field| (field, section.required::<SocketAddr>(field, errors)));
    for (index, (second, address)) in listeners.iter().enumerate() {
        // Port 0 asks the system for a free port, so equal addresses do not collide.
        let Some(address) = address.filter(|address| address.port() != 0) else {
            continue;
        };
        for (first, other) in &listeners[..index] {
            if *other == Some(address) {
                errors.push(
                    section.line_of(second),
                    Kind::SameListener { first, second },
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

fn platform(section: &mut Section<'_>, errors: &mut Errors) -> Option<Platform> {
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

fn limits(section: &mut Section<'_>, errors: &mut Errors) -> Option<Limits> {
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
