//! Patterns of load and trouble.

use std::time::Duration;

/// Something that changes at a moment of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Trouble {
    /// Callers send this many times their usual rate.
    Rate(f64),
    /// This share of the callers repeats at once after a refusal, this many times.
    Abuse(f64, u32),
    /// This share of the callers leaves when half of the objective is over.
    Leave(f64),
    /// This share of the requests concerns one object of fifty.
    Hot(f64),
    /// This share of the callers of the first data centre moves to the last one.
    Shift(f64),
    /// This share of the backend servers works this many times slower.
    Slow(f64, f64),
    /// This share of the backend servers crashes; connections are refused.
    Crash(f64),
    /// This share of the backend servers falls silent.
    Dark(f64),
    /// The backend servers of the data centre with the most of them are lost.
    Centre,
    /// All backend servers that are away return with cold caches.
    Return,
}

/// A pattern of load.
#[derive(Debug, Clone, Copy)]
pub struct Pattern {
    /// Name.
    pub name: &'static str,
    /// What it answers in one line.
    pub about: &'static str,
    /// Moments in seconds and what changes.
    pub troubles: &'static [(f64, Trouble)],
    /// Requests that came before this moment are not counted, in seconds.
    pub from_s: f64,
    /// Length of the run.
    pub length: Duration,
}

const LENGTH: Duration = Duration::from_secs(26);
/// Moment from which most patterns count: caches are warm by then.
const WARM_S: f64 = 10.0;

const fn pattern(
    name: &'static str,
    about: &'static str,
    troubles: &'static [(f64, Trouble)],
) -> Pattern {
    Pattern {
        name,
        about,
        troubles,
        from_s: WARM_S,
        length: LENGTH,
    }
}

/// All patterns.
pub const PATTERNS: [Pattern; 13] = [
    pattern("calm", "usual load with warm caches", &[]),
    Pattern {
        from_s: 0.0,
        length: Duration::from_secs(10),
        ..pattern("cold-start", "usual load, all caches cold", &[])
    },
    Pattern {
        from_s: 0.0,
        length: Duration::from_secs(20),
        ..pattern(
            "cold-evacuated",
            "usual load, all caches cold, and the largest data centre is away from 1.3 s to 10.3 s",
            &[(1.3, Trouble::Centre), (10.3, Trouble::Return)],
        )
    },
    Pattern {
        from_s: 0.0,
        length: Duration::from_secs(20),
        ..pattern(
            "cold-burst",
            "three times the usual load from 3 s to 8 s, all caches cold",
            &[(3.0, Trouble::Rate(3.0)), (8.0, Trouble::Rate(1.0))],
        )
    },
    pattern(
        "burst",
        "four times the usual load for 6 s",
        &[(12.0, Trouble::Rate(4.0)), (18.0, Trouble::Rate(1.0))],
    ),
    pattern(
        "abuse",
        "a burst, and a third of the refused callers repeat at once",
        &[
            (12.0, Trouble::Abuse(0.33, 4)),
            (12.0, Trouble::Rate(4.0)),
            (18.0, Trouble::Rate(1.0)),
        ],
    ),
    pattern(
        "leavers",
        "a burst, and a third of the callers leave early",
        &[
            (12.0, Trouble::Leave(0.33)),
            (12.0, Trouble::Rate(4.0)),
            (18.0, Trouble::Rate(1.0)),
        ],
    ),
    pattern(
        "hot",
        "half of the requests concern one object of fifty",
        &[(12.0, Trouble::Hot(0.5)), (20.0, Trouble::Hot(0.0))],
    ),
    pattern(
        "shift",
        "the callers of one data centre move",
        &[(12.0, Trouble::Shift(0.8))],
    ),
    pattern(
        "slow",
        "a fifth of the servers works four times slower",
        &[
            (12.0, Trouble::Slow(0.2, 4.0)),
            (19.0, Trouble::Slow(1.0, 1.0)),
        ],
    ),
    pattern(
        "crash",
        "a fifth of the servers crashes, half of them silently, and returns cold",
        &[
            (12.0, Trouble::Crash(0.1)),
            (12.0, Trouble::Dark(0.1)),
            (17.0, Trouble::Return),
        ],
    ),
    pattern(
        "centre",
        "the largest data centre is lost and returns cold",
        &[(12.0, Trouble::Centre), (18.0, Trouble::Return)],
    ),
    pattern(
        "all-return",
        "all servers are away for 2 s and return cold",
        &[(12.0, Trouble::Crash(1.0)), (14.0, Trouble::Return)],
    ),
];
