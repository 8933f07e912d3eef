//! Settings of an entry host, from a file that the platform creates from a template.

use azurenotch_config::{
    ini::{self, Errors, Invalid, Section},
    value::{Flag, List},
};
use azurenotch_core::{
    process::passage::{self, Passage},
    request::identity::Key,
};
use azurenotch_wire::{
    Map,
    id::{DataCentre, Host as HostName, Region},
};
use std::{net::SocketAddr, time::Duration};

/// Upper bound of every duration in the settings, in seconds.
const MAX_DURATION_S: f64 = 3600.0;

mod usage;

pub use usage::Usage;

/// Settings of an entry host.
#[derive(Debug, Clone, PartialEq)]
pub struct Setting {
    /// Identity and listeners.
    pub host: Host,
    /// Region of each data centre.
    pub data_centres: Map<DataCentre, Region>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Resources of the machine.
    pub machine: Machine,
    /// Time limits and other bounds that the operator sets.
    pub bounds: Bounds,
    /// Usage reports; `None` if the hosts send none.
    pub usage: Option<Usage>,
}

/// Section `[host]`: identity and listeners.
#[derive(Debug, Clone, PartialEq)]
pub struct Host {
    /// Name of the host.
    pub name: HostName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its region.
    pub region: Region,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for readiness checks.
    pub ready: SocketAddr,
    /// Address for look-ups.
    pub look_ups: SocketAddr,
    /// Address for metrics, if they have a port of their own.
    pub control: Option<SocketAddr>,
    /// Port for messages (UDP) and requests (TCP) of other hosts.
    pub peer_port: u16,
    /// Addresses of other hosts to contact at the start and while none is reachable.
    ///
    /// Only their IP addresses are used, with the own peer port.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time, so that no other host runs yet.
    pub is_first: bool,
}

/// Section `[machine]`: resources of the machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Machine {
    /// Memory in MB (10^6 bytes).
    pub memory_mb: f64,
    /// Maximum number of open files and sockets.
    pub descriptors: u32,
}

impl Machine {
    /// Returns a share of the memory in bytes.
    pub fn memory(&self, share: f64) -> u64 {
        (self.memory_mb * 1e6 * share) as u64
    }
}

/// Section `[bounds]`: time limits and other bounds that the operator sets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Time since its last contact up to which a host counts as connected to the store.
    pub contact: Duration,
    /// Time within which hosts stop accepting a withdrawn key.
    pub withdrawal: Duration,
    /// Whether a host refuses keys while it cannot learn of withdrawals.
    pub strict_withdrawal: bool,
    /// Time within which a new configuration is in force.
    pub adoption: Duration,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Time within which hosts stop sending requests to a draining server.
    pub drain: Duration,
    /// Maximum lifetime of a look-up's answer.
    pub look_up: Duration,
    /// Permitted repeated sends per request of a service.
    pub repeat_ratio: f64,
    /// Further repeated sends that all hosts together may make in a window.
    pub repeat_slack: f64,
    /// Window in which repeated sends are counted.
    pub repeat_window: Duration,
    /// Maximum share of a service's requests that a bad version receives.
    pub exposure: f64,
    /// Time within which hosts stop sending requests to a bad version.
    pub take_back: Duration,
}

impl Bounds {
    /// Returns the time limits of the way of a change to this host.
    pub fn passage(&self) -> Passage {
        let Self {
            adoption,
            drain,
            take_back,
            withdrawal,
            ..
        } = *self;
        Passage::new([adoption, drain, take_back, withdrawal])
    }
}

impl Setting {
    /// Returns the key of the identities of requests, which is the same at all hosts of a fleet.
    ///
    /// It follows from addresses and names inside the fleet, which callers are not told.
    pub fn identity_key(&self) -> Key {
        let centres = self.data_centres.iter();
        let mut parts: Vec<String> = centres
            .map(|(centre, region)| format!("{centre} {region}"))
            .collect();
        parts.sort_unstable();
        parts.push(format!("{} {}", self.store, self.host.peer_port));
        Key::derive(parts.iter().map(String::as_str))
    }

    /// Returns the settings in force after a reload without a restart.
    ///
    /// Also returns the names of the changed settings that take effect only at the next start.
    pub fn succeeded_by(&self, next: Self) -> (Self, Vec<&'static str>) {
        let (old, new) = (&self.host, &next.host);
        let changes = [
            ("name", old.name != new.name),
            ("data-centre", old.data_centre != new.data_centre),
            ("region", old.region != new.region),
            ("callers", old.callers != new.callers),
            ("ready", old.ready != new.ready),
            ("look-ups", old.look_ups != new.look_ups),
            ("control", old.control != new.control),
            ("peer-port", old.peer_port != new.peer_port),
            (
                "descriptors",
                self.machine.descriptors != next.machine.descriptors,
            ),
            ("usage", self.usage != next.usage),
        ];
        let waiting = changes.into_iter().filter(|(_, changed)| *changed);
        let waiting = waiting.map(|(name, _)| name).collect();
        let host = Host {
            seeds: next.host.seeds,
            ..self.host.clone()
        };
        let machine = Machine {
            descriptors: self.machine.descriptors,
            ..next.machine
        };
        let next = Self {
            host,
            machine,
            usage: self.usage,
            ..next
        };
        (next, waiting)
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns every error of the text with its line number.
    pub fn parse(text: &str) -> Result<Self, Invalid> {
        let mut errors = Errors::default();
        let mut host = None;
        let mut store = None;
        let mut machine = None;
        let mut bounds = None;
        let mut usage = None;
        let mut data_centres = Map::default();
        for mut section in ini::parse(text, &mut errors) {
            match section.kind {
                "host" => host = read_host(&mut section, &mut errors),
                "store" => store = section.required("address", &mut errors),
                "machine" => machine = read_machine(&mut section, &mut errors),
                "bounds" => bounds = read_bounds(&mut section, &mut errors),
                "usage" if usage::is_other_duty(section.name) => continue,
                "usage" => usage = usage::read(&mut section, &mut errors),
                "data-centre" => {
                    let name = section.typed_name::<DataCentre>(&mut errors);
                    let region = section.required::<Region>("region", &mut errors);
                    data_centres.extend(name.zip(region));
                }
                _ => {
                    section.report_unknown(&mut errors);
                    continue;
                }
            }
            section.report_unknown_fields(&mut errors);
        }
        for (name, missing) in [
            ("host", host.is_none()),
            ("store", store.is_none()),
            ("machine", machine.is_none()),
            ("bounds", bounds.is_none()),
        ] {
            if missing {
                let section = name.to_owned();
                errors.push(1, ini::Kind::MissingSection { section });
            }
        }
        match (host, store, machine, bounds) {
            (Some(host), Some(store), Some(machine), Some(bounds)) => errors.into_result(Self {
                host,
                data_centres,
                store,
                machine,
                bounds,
                usage,
            }),
            _ => Err(errors.into_invalid()),
        }
    }
}

fn read_host(section: &mut Section<'_>, errors: &mut Errors) -> Option<Host> {
    let name = section.required("name", errors);
    let data_centre = section.required("data-centre", errors);
    let region = section.required("region", errors);
    let callers = section.required("callers", errors);
    let ready = section.required("ready", errors);
    let look_ups = section.required("look-ups", errors);
    let control = section.optional("control", errors);
    let peer_port = section.required_in("peer-port", 1..=u32::from(u16::MAX), errors);
    let seeds = section.optional::<List<SocketAddr>>("seeds", errors);
    let is_first = section.default("first-start", Flag(false), errors);
    Some(Host {
        name: name?,
        data_centre: data_centre?,
        region: region?,
        callers: callers?,
        ready: ready?,
        look_ups: look_ups?,
        control,
        peer_port: u16::try_from(peer_port?).ok()?,
        seeds: seeds.map(|seeds| seeds.0).unwrap_or_default(),
        is_first: is_first?.0,
    })
}

fn read_machine(section: &mut Section<'_>, errors: &mut Errors) -> Option<Machine> {
    let memory_mb = section.required_in("memory-mb", 8.0..=1e6, errors);
    let descriptors = section.required_in("descriptors", 64..=10_000_000, errors);
    Some(Machine {
        memory_mb: memory_mb?,
        descriptors: descriptors?,
    })
}

fn read_bounds(section: &mut Section<'_>, errors: &mut Errors) -> Option<Bounds> {
    let mut time_from = |name, default, least| {
        let value = section.default_in(name, default, least..=MAX_DURATION_S, errors);
        value.map(Duration::from_secs_f64)
    };
    // Hosts cannot learn of a change in less.
    let least = passage::MIN_BOUND.as_secs_f64();
    let withdrawal = time_from("withdrawal-s", 5.0, least);
    let adoption = time_from("adoption-s", 2.5, least);
    let drain = time_from("drain-s", 2.5, least);
    let take_back = time_from("take-back-s", 5.0, least);
    let mut time = |name, default| time_from(name, default, 0.0);
    let contact = time("contact-s", 4.0);
    let grace = time("grace-s", 6.0);
    let look_up = time("look-up-s", 5.0);
    let repeat_window = time("repeat-window-s", 10.0);
    let mut number = |name, default| section.default_in(name, default, 0.0..=1e9, errors);
    let repeat_ratio = number("repeat-ratio", 0.2);
    let repeat_slack = number("repeat-slack", 64.0);
    let exposure = number("exposure", 0.1);
    let strict_withdrawal = section.default("strict-withdrawal", Flag(true), errors);
    Some(Bounds {
        contact: contact?,
        withdrawal: withdrawal?,
        strict_withdrawal: strict_withdrawal?.0,
        adoption: adoption?,
        grace: grace?,
        drain: drain?,
        look_up: look_up?,
        repeat_ratio: repeat_ratio?,
        repeat_slack: repeat_slack?,
        repeat_window: repeat_window?,
        exposure: exposure?,
        take_back: take_back?,
    })
}

#[cfg(test)]
mod tests;
