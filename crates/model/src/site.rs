//! Deployments: data centres with their hosts, backend servers and callers, and the cost of requests.

use std::time::Duration;

/// Data centre with its hosts, backend servers and callers.
#[derive(Debug, Clone, Copy)]
pub struct Centre {
    /// Name of its region.
    pub region: &'static str,
    /// Number of hosts.
    pub hosts: u32,
    /// Number of backend servers.
    pub servers: u32,
    /// Share of all callers that use its hosts, in 0..=1.
    pub callers: f64,
}

/// Periods in which backend servers are slow, which each server tells as its speed.
#[derive(Debug, Clone, Copy)]
pub struct Periods {
    /// Time after which the speed of a server is drawn anew.
    pub length: Duration,
    /// Share of slow periods, in 0..=1.
    pub slow_share: f64,
    /// Factor of the processing time in a slow period.
    pub slow_factor: f64,
}

/// Requests that take much longer than the others.
#[derive(Debug, Clone, Copy)]
pub struct Tail {
    /// Share of these requests, in 0..=1.
    pub share: f64,
    /// Factor of their processing time.
    pub factor: f64,
}

/// Deployment with one service.
#[derive(Debug, Clone, Copy)]
pub struct Site {
    /// Name on the command line and in the output.
    pub name: &'static str,
    /// Its data centres.
    pub centres: &'static [Centre],
    /// One-way delay between data centres of a region.
    pub regional_delay: Duration,
    /// One-way delay between regions.
    pub cross_region_delay: Duration,
    /// One-way delay between callers and hosts.
    pub access: Duration,
    /// Requests that a backend server runs at the same time.
    pub slots: u32,
    /// Length of the queue of a backend server; it declines further requests.
    pub queue: usize,
    /// Number of objects that the cache of a backend server holds.
    pub warm_objects: usize,
    /// Number of objects that the callers of one data centre request; 0 if requests have no object.
    pub objects: u32,
    /// Usual requests per second of all callers together.
    pub rate: f64,
    /// Mean processing time of a request whose object is not cached.
    pub work: Duration,
    /// Standard deviation of the processing time as a share of its mean.
    pub work_deviation: f64,
    /// Requests that take much longer; `None` if there are none.
    pub tail: Option<Tail>,
    /// Slow periods of the servers; `None` if their speed is constant and they do not tell it.
    pub periods: Option<Periods>,
    /// Share of the processing time that a cached object saves.
    pub warm_saving: f64,
    /// Latency objective.
    pub objective: Duration,
    /// Timeout of one attempt of a caller at a host.
    pub timeout: Duration,
    /// Time after which a caller gives up, over all its attempts.
    pub deadline: Duration,
    /// Time for which a backend server is cold after its start.
    pub cold: Duration,
    /// Factor of the processing time while a backend server is cold.
    pub cold_factor: f64,
    /// Requests per second that hosts may send to a cold backend server.
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
    regional_delay: Duration::from_micros(1_400),
    cross_region_delay: Duration::from_millis(35),
    access: Duration::from_millis(8),
    slots: 9,
    queue: 27,
    warm_objects: 55,
    objects: 92,
    rate: 369.0,
    work: Duration::from_millis(640),
    work_deviation: 0.15,
    tail: None,
    periods: None,
    warm_saving: 0.7,
    objective: Duration::from_millis(500),
    timeout: Duration::from_secs(2),
    deadline: Duration::from_secs(3),
    cold: Duration::from_secs(3),
    cold_factor: 2.0,
    cold_per_s: 10.0,
};

/// Few slots per server, short delays between regions.
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
    cross_region_delay: Duration::from_millis(12),
    access: Duration::from_millis(1),
    slots: 3,
    queue: 9,
    warm_objects: 23,
    objects: 43,
    rate: 172.0,
    work: Duration::from_millis(480),
    objective: Duration::from_millis(300),
    deadline: Duration::from_millis(2_500),
    ..WIDE
};

/// Returns a data centre of [`CROWDED`].
const fn crowded_centre(region: &'static str, hosts: u32, servers: u32, callers: f64) -> Centre {
    Centre {
        region,
        hosts,
        servers,
        callers,
    }
}

/// Few slots per server, small caches, and objects that are popular enough to fill servers.
const CROWDED: Site = Site {
    name: "crowded",
    centres: &[
        crowded_centre("north", 15, 5, 0.17),
        crowded_centre("north", 14, 5, 0.17),
        crowded_centre("middle", 15, 21, 0.17),
        crowded_centre("middle", 14, 21, 0.17),
        crowded_centre("south", 15, 25, 0.16),
        crowded_centre("south", 14, 25, 0.16),
    ],
    slots: 4,
    queue: 12,
    warm_objects: 10,
    objects: 15,
    rate: 332.0,
    work: Duration::from_millis(1_640),
    objective: Duration::from_millis(1_200),
    timeout: Duration::from_secs(8),
    deadline: Duration::from_secs(8),
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

/// Requests without an object, so that no cache can be warm.
const PLAIN: Site = Site {
    name: "plain",
    objects: 0,
    rate: 200.0,
    objective: Duration::from_millis(1_200),
    ..WIDE
};

/// Number of hosts in each data centre of [`UNEVEN`].
const UNEVEN_HOSTS: u32 = 5;

const fn uneven_centre(region: &'static str, servers: u32) -> Centre {
    Centre {
        region,
        hosts: UNEVEN_HOSTS,
        servers,
        callers: 1.0 / 6.0,
    }
}

/// Many small caches, a region with a tenth of the servers and a third of the callers, and servers
/// that are slow for a short time.
const UNEVEN: Site = Site {
    name: "uneven",
    centres: &[
        uneven_centre("north", 14),
        uneven_centre("north", 14),
        uneven_centre("middle", 58),
        uneven_centre("middle", 58),
        uneven_centre("south", 69),
        uneven_centre("south", 69),
    ],
    slots: 6,
    queue: 18,
    warm_objects: 17,
    objects: 50,
    rate: 900.0,
    work: Duration::from_millis(1_100),
    tail: Some(Tail {
        share: 0.03,
        factor: 7.0,
    }),
    periods: Some(Periods {
        length: Duration::from_millis(600),
        slow_share: 0.15,
        slow_factor: 2.5,
    }),
    objective: Duration::from_millis(800),
    ..WIDE
};

/// All sites.
pub const SITES: [Site; 6] = [WIDE, NARROW, SINGLE, PLAIN, UNEVEN, CROWDED];
