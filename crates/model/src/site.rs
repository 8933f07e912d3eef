//! Deployments: where hosts, backend servers and callers stand, and what a request needs.

use std::time::Duration;

/// A data centre with its hosts, backend servers and callers.
#[derive(Debug, Clone, Copy)]
pub struct Centre {
    /// Its region.
    pub region: &'static str,
    /// Hosts.
    pub hosts: u32,
    /// Backend servers.
    pub servers: u32,
    /// Share of all callers.
    pub callers: f64,
}

/// A deployment with one service.
#[derive(Debug, Clone, Copy)]
pub struct Site {
    /// Name.
    pub name: &'static str,
    /// Its data centres.
    pub centres: &'static [Centre],
    /// One way between data centres of a region.
    pub near: Duration,
    /// One way between regions.
    pub far: Duration,
    /// One way between callers and hosts.
    pub access: Duration,
    /// Requests that a backend server runs at the same time.
    pub slots: u32,
    /// Requests that wait at a backend server at most; it declines more.
    pub queue: usize,
    /// Objects that a backend server keeps warm.
    pub keeps: usize,
    /// Objects that the callers of one data centre ask for; 0 if requests concern no object.
    pub objects: u32,
    /// Requests per second of all callers.
    pub rate: f64,
    /// Mean time of work on an object that is not warm.
    pub work: Duration,
    /// Standard deviation of the work as a share of its mean.
    pub spread: f64,
    /// Share of the work that a warm object saves.
    pub gain: f64,
    /// Latency objective.
    pub objective: Duration,
    /// Time limit of one try.
    pub timeout: Duration,
    /// Time after which a caller gives up, over all its tries.
    pub deadline: Duration,
    /// Time for which a backend server is cold after its start.
    pub cold: Duration,
    /// Factor of the work at a cold backend server.
    pub cold_factor: f64,
    /// Requests per second that a cold backend server may get.
    pub cold_per_s: f64,
}

/// Three regions, of which one has a third of the callers and a tenth of the servers.
const WIDE: Site = Site {
    name: "wide",
    centres: &[
        Centre {
            region: "north",
            hosts: 2,
            servers: 1,
            callers: 0.20,
        },
        Centre {
            region: "north",
            hosts: 2,
            servers: 1,
            callers: 0.19,
        },
        Centre {
            region: "middle",
            hosts: 2,
            servers: 4,
            callers: 0.16,
        },
        Centre {
            region: "middle",
            hosts: 2,
            servers: 4,
            callers: 0.16,
        },
        Centre {
            region: "south",
            hosts: 2,
            servers: 5,
            callers: 0.15,
        },
        Centre {
            region: "south",
            hosts: 2,
            servers: 5,
            callers: 0.14,
        },
    ],
    near: Duration::from_micros(1_400),
    far: Duration::from_millis(35),
    access: Duration::from_millis(8),
    slots: 9,
    queue: 27,
    keeps: 55,
    objects: 92,
    rate: 369.0,
    work: Duration::from_millis(640),
    spread: 0.15,
    gain: 0.7,
    objective: Duration::from_millis(500),
    timeout: Duration::from_secs(2),
    deadline: Duration::from_secs(3),
    cold: Duration::from_secs(3),
    cold_factor: 2.0,
    cold_per_s: 10.0,
};

/// Few slots a server, short ways between regions.
const NARROW: Site = Site {
    name: "narrow",
    centres: &[
        Centre {
            region: "east",
            hosts: 2,
            servers: 5,
            callers: 0.17,
        },
        Centre {
            region: "east",
            hosts: 2,
            servers: 5,
            callers: 0.17,
        },
        Centre {
            region: "west",
            hosts: 2,
            servers: 5,
            callers: 0.16,
        },
        Centre {
            region: "west",
            hosts: 2,
            servers: 5,
            callers: 0.16,
        },
        Centre {
            region: "south",
            hosts: 2,
            servers: 2,
            callers: 0.17,
        },
        Centre {
            region: "south",
            hosts: 2,
            servers: 2,
            callers: 0.17,
        },
    ],
    far: Duration::from_millis(12),
    access: Duration::from_millis(1),
    slots: 3,
    queue: 9,
    keeps: 23,
    objects: 43,
    rate: 172.0,
    work: Duration::from_millis(480),
    objective: Duration::from_millis(300),
    deadline: Duration::from_millis(2_500),
    ..WIDE
};

/// One region with four data centres.
const SINGLE: Site = Site {
    name: "single",
    centres: &[Centre {
        region: "only",
        hosts: 2,
        servers: 5,
        callers: 0.25,
    }; 4],
    ..WIDE
};

/// Requests that concern no object, so that no cache can be kept warm.
const PLAIN: Site = Site {
    name: "plain",
    objects: 0,
    rate: 200.0,
    objective: Duration::from_millis(1_200),
    ..WIDE
};

/// All sites.
pub const SITES: [Site; 4] = [WIDE, NARROW, SINGLE, PLAIN];
