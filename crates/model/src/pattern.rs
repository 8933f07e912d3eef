//! Patterns of load and disturbances that the model replays.

use std::time::Duration;

/// Change of the load or of the servers at a moment of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Disturbance {
    /// Multiplies the usual request rate of the callers by this factor.
    Rate(f64),
    /// Makes this share of the callers retry a refused request immediately, up to this many times.
    Abuse(f64, u32),
    /// Makes this share of the callers give up after half of the latency objective.
    GiveUp(f64),
    /// Directs this share of the requests at hot objects, one of every 50.
    Hot(f64),
    /// Makes one of the workspaces send this share of the requests beside its equal part of the rest.
    Large(f64),
    /// Moves this share of the callers of the first data centre to the last one.
    Shift(f64),
    /// Makes this share of the backend servers slower by this factor.
    Slow(f64, f64),
    /// Crashes this share of the backend servers; connections to them are refused.
    Crash(f64),
    /// Makes this share of the backend servers unreachable; connections to them time out.
    Silence(f64),
    /// Makes all backend servers of the data centre with the most servers unreachable.
    LoseCentre,
    /// Restarts all backend servers that are down, with cold caches.
    Restart,
    /// Makes this share of the backend servers name this part of what they usually get as their limit.
    Limit(f64, f64),
    /// Ends all limits.
    EndLimits,
}

/// Pattern of load and disturbances.
#[derive(Debug, Clone, Copy)]
pub struct Pattern {
    /// Name on the command line and in the output.
    pub name: &'static str,
    /// One-line description for the output.
    pub description: &'static str,
    /// Disturbances, each with its time in seconds after the start of the run.
    pub disturbances: &'static [(f64, Disturbance)],
    /// Time in seconds from which requests count in the totals; earlier ones warm up the caches.
    pub counted_from_s: f64,
    /// Duration of the run.
    pub length: Duration,
}

const RUN_LENGTH: Duration = Duration::from_secs(26);
/// Time in seconds from which most patterns count requests: caches are warm by then.
const WARMUP_S: f64 = 10.0;

const fn pattern(
    name: &'static str,
    description: &'static str,
    disturbances: &'static [(f64, Disturbance)],
) -> Pattern {
    Pattern {
        name,
        description,
        disturbances,
        counted_from_s: WARMUP_S,
        length: RUN_LENGTH,
    }
}

/// Returns an overload while most servers are slow and all callers repeat at once.
const fn slow_overload(factor: f64) -> [(f64, Disturbance); 5] {
    [
        (12.0, Disturbance::Abuse(1.0, 4)),
        (12.0, Disturbance::Rate(factor)),
        (13.0, Disturbance::Slow(0.9, 2.0)),
        (18.0, Disturbance::Slow(1.0, 1.0)),
        (22.0, Disturbance::Rate(1.0)),
    ]
}

/// All patterns.
pub const PATTERNS: [Pattern; 22] = [
    pattern("calm", "usual load with warm caches", &[]),
    Pattern {
        counted_from_s: 0.0,
        length: Duration::from_secs(10),
        ..pattern("cold-start", "usual load, all caches cold", &[])
    },
    Pattern {
        counted_from_s: 0.0,
        length: Duration::from_secs(20),
        ..pattern(
            "cold-evacuated",
            "usual load, all caches cold, and the largest data centre is away from 1.3 s to 10.3 s",
            &[(1.3, Disturbance::LoseCentre), (10.3, Disturbance::Restart)],
        )
    },
    Pattern {
        counted_from_s: 0.0,
        length: Duration::from_secs(20),
        ..pattern(
            "cold-burst",
            "three times the usual load from 3 s to 8 s, all caches cold",
            &[(3.0, Disturbance::Rate(3.0)), (8.0, Disturbance::Rate(1.0))],
        )
    },
    pattern(
        "burst",
        "four times the usual load for 6 s",
        &[
            (12.0, Disturbance::Rate(4.0)),
            (18.0, Disturbance::Rate(1.0)),
        ],
    ),
    pattern(
        "abuse",
        "a burst, and a third of the refused callers repeat at once",
        &[
            (12.0, Disturbance::Abuse(0.33, 4)),
            (12.0, Disturbance::Rate(4.0)),
            (18.0, Disturbance::Rate(1.0)),
        ],
    ),
    pattern(
        "leavers",
        "a burst, and a third of the callers leave early",
        &[
            (12.0, Disturbance::GiveUp(0.33)),
            (12.0, Disturbance::Rate(4.0)),
            (18.0, Disturbance::Rate(1.0)),
        ],
    ),
    Pattern {
        counted_from_s: 12.0,
        length: Duration::from_secs(18),
        ..pattern(
            "large",
            "four times the usual load for 6 s, most of it from one of eight workspaces",
            &[
                (12.0, Disturbance::Large(0.75)),
                (12.0, Disturbance::Rate(4.0)),
            ],
        )
    },
    pattern(
        "peaks",
        "three times the usual load for 1 s, three times",
        &[
            (12.0, Disturbance::Rate(3.0)),
            (13.0, Disturbance::Rate(1.0)),
            (16.0, Disturbance::Rate(3.0)),
            (17.0, Disturbance::Rate(1.0)),
            (20.0, Disturbance::Rate(3.0)),
            (21.0, Disturbance::Rate(1.0)),
        ],
    ),
    pattern(
        "slow-double",
        "twice the usual load, nine in ten servers half as fast, and refused callers repeat at once",
        &const { slow_overload(2.0) },
    ),
    pattern(
        "slow-fivefold",
        "five times the usual load, nine in ten servers half as fast, and refused callers repeat at once",
        &const { slow_overload(5.0) },
    ),
    pattern(
        "slow-tenfold",
        "ten times the usual load, nine in ten servers half as fast, and refused callers repeat at once",
        &const { slow_overload(10.0) },
    ),
    pattern(
        "hot",
        "half of the requests concern one object of fifty",
        &[(12.0, Disturbance::Hot(0.5)), (20.0, Disturbance::Hot(0.0))],
    ),
    pattern(
        "shift",
        "the callers of one data centre move",
        &[(12.0, Disturbance::Shift(0.8))],
    ),
    pattern(
        "slow",
        "a fifth of the servers works four times slower",
        &[
            (12.0, Disturbance::Slow(0.2, 4.0)),
            (19.0, Disturbance::Slow(1.0, 1.0)),
        ],
    ),
    pattern(
        "crash",
        "a fifth of the servers crashes, half of them silently, and returns cold",
        &[
            (12.0, Disturbance::Crash(0.1)),
            (12.0, Disturbance::Silence(0.1)),
            (17.0, Disturbance::Restart),
        ],
    ),
    pattern(
        "centre",
        "the largest data centre is lost and returns cold",
        &[
            (12.0, Disturbance::LoseCentre),
            (18.0, Disturbance::Restart),
        ],
    ),
    pattern(
        "all-return",
        "all servers are away for 2 s and return cold",
        &[
            (12.0, Disturbance::Crash(1.0)),
            (14.0, Disturbance::Restart),
        ],
    ),
    pattern(
        "limited",
        "a quarter of the servers names a fifth of its usual rate as its limit",
        &[
            (12.0, Disturbance::Limit(0.25, 0.2)),
            (22.0, Disturbance::EndLimits),
        ],
    ),
    pattern(
        "limited-most",
        "two fifths of the servers name a twentieth of their usual rate as their limit",
        &[
            (12.0, Disturbance::Limit(0.4, 0.05)),
            (22.0, Disturbance::EndLimits),
        ],
    ),
    pattern(
        "limited-burst",
        "a tenth of the servers names half of its usual rate as its limit, then twice the usual load",
        &[
            (12.0, Disturbance::Limit(0.1, 0.5)),
            (14.0, Disturbance::Rate(2.0)),
            (18.0, Disturbance::Rate(1.0)),
            (22.0, Disturbance::EndLimits),
        ],
    ),
    pattern(
        "limited-crash",
        "a quarter of the servers names a fifth of its usual rate, and a tenth of all crashes",
        &[
            (12.0, Disturbance::Limit(0.25, 0.2)),
            (13.0, Disturbance::Crash(0.1)),
            (18.0, Disturbance::Restart),
            (22.0, Disturbance::EndLimits),
        ],
    ),
];
