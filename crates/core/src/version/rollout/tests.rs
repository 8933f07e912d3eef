use super::*;
use azurenotch_config::{change::Change, document::Document, snapshot::Snapshot};
use azurenotch_wire::time::Stamp;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use test_case::test_case;

const INTERVAL: Duration = Duration::from_secs(10);

fn at(seconds: u64) -> Instant {
    Instant::from_millis(seconds * 1_000)
}

fn contract(step: f64, interval: Duration) -> Contract {
    Contract {
        rate: 100.0,
        burst: 10.0,
        concurrency: 10,
        regional_share: BTreeMap::new(),
        version_share_step: step,
        version_step_interval: interval,
        latency: Duration::from_millis(50),
        refusals: 0.0,
        isolation_limit: Duration::from_mins(1),
    }
}

fn running_move(serial: u64, share: f64) -> Move {
    Move {
        serial,
        from: "1".into(),
        to: "2".into(),
        started: Stamp::default(),
        deadline: Duration::from_mins(10),
        share,
        state: MoveState::Running,
        note: String::new(),
    }
}

struct Driver {
    rollout: Rollout,
    contracts: BTreeMap<Workspace, Contract>,
}

impl Driver {
    fn new(contracts: &[(&str, f64)]) -> Self {
        let contracts = contracts
            .iter()
            .map(|(name, step)| ((*name).into(), contract(*step, INTERVAL)));
        Self {
            rollout: Rollout::new("consulta".into(), "n1".into()),
            contracts: contracts.collect(),
        }
    }

    fn apply(&mut self, now: u64, latest: &Move) {
        let contracts = &self.contracts;
        self.rollout
            .apply(at(now), now * 1_000, Some(latest), contracts, 12);
    }

    /// Returns the number of requests, out of `count` of a workspace, that go to the new version.
    fn new_of(&mut self, now: u64, workspace: &str, count: usize) -> usize {
        let workspace = Workspace::from(workspace);
        let choose = |_: &usize| {
            let choice = self.rollout.choose(at(now), Some(&workspace));
            choice.is_some_and(|choice| choice.is_new)
        };
        (0..count).filter(choose).count()
    }

    /// Records a result of each version and returns the fault, if any.
    fn record(&mut self, is_new: bool, failed: bool, millis: u64) -> Option<Fault> {
        let mut choice = self.rollout.choose(at(1), None).unwrap();
        choice.is_new = is_new;
        let latency = Duration::from_millis(millis);
        self.rollout
            .record(at(1), &"labels".into(), Some(&choice), failed, latency)
    }
}

#[test_case(0.01, 1_000)]
#[test_case(0.37, 999)]
#[test_case(0.99, 100)]
#[test_case(1.0, 100)]
fn a_share_is_never_exceeded(share: f64, requests: usize) {
    let mut driver = Driver::new(&[("correios", 1.0)]);
    driver.apply(3_600, &running_move(1, share));
    for count in [requests / 3, requests / 2, requests] {
        let new = driver.new_of(3_600, "correios", count) as f64;
        assert!(
            (new - share * count as f64).abs() <= 1.0 + 1e-9,
            "{new} of {count}"
        );
    }
}

/// Guards against moving a workspace faster than its contract allows.
#[test]
fn each_workspace_keeps_its_own_pace() {
    let mut driver = Driver::new(&[("fast", 0.5), ("slow", 0.1)]);
    driver.apply(0, &running_move(1, INITIAL_SHARE));
    driver.apply(100, &running_move(1, 0.6));
    assert_eq!(driver.new_of(100, "fast", 100), 51);
    assert_eq!(
        driver.new_of(100, "slow", 100),
        11,
        "one step although time has passed"
    );
    assert_eq!(driver.new_of(109, "slow", 100), 11);
    assert_eq!(driver.new_of(110, "slow", 100), 21);
    let mut restarted = Driver::new(&[("slow", 0.1)]);
    restarted.apply(25, &running_move(1, 0.6));
    assert_eq!(
        restarted.new_of(25, "slow", 100),
        21,
        "two intervals after the start"
    );
}

/// Guards against traffic to a version after its fault was detected, also after later snapshots.
#[test]
fn a_fault_stops_the_move_at_once_and_for_good() {
    let mut driver = Driver::new(&[("correios", 1.0)]);
    driver.apply(3_600, &running_move(1, 0.5));
    let faults = (0..20).find_map(|count| Some((count, driver.record(true, true, 5)?)));
    let (count, fault) = faults.unwrap();
    assert!(count < 10, "stopped only after {count} failures");
    assert_eq!(fault.measure, Measure::Failures);
    assert!(driver.rollout.is_stopped());
    assert_eq!(driver.rollout.report().unwrap().fault, Some(fault));
    driver.apply(3_700, &running_move(1, 0.6));
    assert_eq!(driver.new_of(3_700, "correios", 100), 0);
    driver.rollout.on_fault(3);
    driver.apply(3_800, &running_move(3, 0.6));
    assert_eq!(
        driver.new_of(3_800, "correios", 100),
        0,
        "the fault was reported before the move"
    );
    driver.apply(3_900, &running_move(4, 0.6));
    let new = driver.new_of(3_900, "correios", 100);
    assert!((59..=60).contains(&new), "a later move is another one");
    let mut ended = running_move(4, 0.6);
    ended.state = MoveState::TakenBack;
    driver.apply(4_000, &ended);
    driver.apply(4_001, &running_move(4, 0.6));
    assert_eq!(driver.rollout.choose(at(4_001), None), None);
}

#[test]
fn cold_answers_are_excused_up_to_a_bound() {
    let mut driver = Driver::new(&[]);
    driver.apply(1, &running_move(1, 0.5));
    for request in 0..400 {
        assert_eq!(driver.record(false, false, request % 100 + 1), None);
    }
    let allowance = u64::from(EXCUSED_COLD_ANSWERS / 12);
    for slow in 1..=8 {
        assert_eq!(driver.record(true, false, 500), None);
        let pair = driver.rollout.report().unwrap().routes["labels"];
        assert_eq!(pair.new.slow, slow.max(allowance) - allowance);
    }
    let fault = (0..30)
        .find_map(|_| driver.record(true, false, 500))
        .unwrap();
    assert_eq!(fault.measure, Measure::Latency);
}

#[test]
fn a_result_of_an_earlier_move_is_not_evidence() {
    let mut driver = Driver::new(&[]);
    driver.apply(1, &running_move(1, 0.5));
    let choice = driver.rollout.choose(at(1), None).unwrap();
    driver.apply(1, &running_move(2, 0.5));
    let route = "labels".into();
    driver
        .rollout
        .record(at(1), &route, Some(&choice), true, INTERVAL);
    assert!(driver.rollout.report().unwrap().routes.is_empty());
}

/// Simulates one move, evaluated after each batch of requests, until a verdict.
///
/// With `beyond`, a good verdict does not end the simulation.
fn simulate(random: &mut SmallRng, case: &Simulation, new: f64, beyond: bool) -> Verdict {
    let mut pair = Pair::default();
    let mut test = Test::new(case.measure, 1);
    for _ in 0..case.batches {
        let requests = [
            (&mut pair.old, case.usual, case.old),
            (&mut pair.new, new, case.new),
        ];
        for (count, share, requests) in requests {
            for _ in 0..requests {
                let event = random.random_bool(share);
                add(count, event, event);
            }
        }
        match test.evaluate(&pair) {
            Verdict::Bad => return Verdict::Bad,
            Verdict::Good if !beyond => return Verdict::Good,
            _ => {}
        }
    }
    Verdict::Undecided
}

struct Simulation {
    measure: Measure,
    /// Share of events on the running version and on a good new one.
    usual: f64,
    /// Share of events on a bad new version.
    bad: f64,
    /// Requests of each version between two evaluations.
    old: u32,
    new: u32,
    batches: u32,
}

/// Guards against rolling back good versions and keeping bad ones.
///
/// In the cases with equal traffic, the share of the running version is as uncertain as that of the
/// new one.
#[test_case(Simulation { measure: Measure::Failures, usual: 0.001, bad: 0.021, old: 160, new: 40, batches: 100 }; "rare failures")]
#[test_case(Simulation { measure: Measure::Failures, usual: 0.03, bad: 0.06, old: 160, new: 40, batches: 100 }; "frequent failures")]
#[test_case(Simulation { measure: Measure::Failures, usual: 0.03, bad: 0.06, old: 10, new: 10, batches: 200 }; "frequent failures, equal traffic")]
#[test_case(Simulation { measure: Measure::Latency, usual: 0.05, bad: 0.10, old: 160, new: 40, batches: 100 }; "slow answers")]
#[test_case(Simulation { measure: Measure::Latency, usual: 0.05, bad: 0.10, old: 10, new: 10, batches: 200 }; "slow answers, equal traffic")]
fn error_rates_are_within_the_stated_ones(case: Simulation) {
    const RUNS: usize = 1_000;
    let mut random = SmallRng::seed_from_u64(0x7370_7274);
    let alarms = (0..RUNS)
        .filter(|_| simulate(&mut random, &case, case.usual, true) == Verdict::Bad)
        .count();
    let misses = (0..RUNS)
        .filter(|_| simulate(&mut random, &case, case.bad, false) == Verdict::Good)
        .count();
    assert!(
        alarms as f64 <= FALSE_ALARM_PROBABILITY * RUNS as f64,
        "{alarms} false alarms, {misses} misses"
    );
    assert!(
        misses as f64 <= MISS_PROBABILITY * RUNS as f64,
        "{misses} misses"
    );
}

/// Guards against rolling back a good version at full share because its hosts are busier, and
/// against keeping a slow one.
#[test_case(0.12, Verdict::Good; "busy hosts")]
#[test_case(0.60, Verdict::Bad; "slow version")]
fn without_the_running_version_only_a_large_slowdown_is_a_fault(slow: f64, expected: Verdict) {
    let mut random = SmallRng::seed_from_u64(0x736c_6f77);
    let mut pair = Pair::default();
    for _ in 0..1_000 {
        add(&mut pair.old, false, random.random_bool(0.05));
    }
    let mut test = Test::new(Measure::Latency, 1);
    test.restart(&pair);
    let verdicts = std::iter::from_fn(|| {
        add(&mut pair.new, false, random.random_bool(slow));
        Some(test.evaluate(&pair))
    });
    let verdict = verdicts
        .take(1_000)
        .find(|verdict| *verdict != Verdict::Undecided);
    assert_eq!(verdict, Some(expected));
}

/// Guards against a search whose rounding error outweighs the evidence after many requests.
#[test_case(Measure::Failures, 18_106)]
#[test_case(Measure::Latency, 18_106)]
#[test_case(Measure::Failures, 5_000_000)]
fn a_version_without_failures_or_slow_answers_is_good(measure: Measure, old: u64) {
    let mut pair = Pair::default();
    pair.old.requests = old;
    let mut test = Test::new(measure, 4);
    let verdicts = std::iter::from_fn(|| {
        add(&mut pair.new, false, false);
        Some(test.evaluate(&pair))
    });
    let verdict = verdicts
        .take(1_000)
        .find(|verdict| *verdict != Verdict::Undecided);
    assert_eq!(verdict, Some(Verdict::Good));
}

/// Planner case: a move whose share is current since 0 s, with a decision at `stage` seconds.
struct Case {
    share: f64,
    /// Seconds since the start of the move.
    elapsed: u64,
    stage: u64,
    /// Requests to the new version and their failures, for two hosts together.
    new: (u64, u64),
    fault: bool,
    expected: Option<Expected>,
}

#[derive(Debug, PartialEq)]
enum Expected {
    Share(f64),
    End(bool),
    Warning(&'static str),
}

#[test_case(Case { share: 0.3, elapsed: 60, new: (900, 1), stage: 12, fault: false, expected: Some(Expected::Share(0.5)) }; "step of the fastest contract")]
#[test_case(Case { share: 0.9, elapsed: 60, new: (900, 1), stage: 12, fault: false, expected: Some(Expected::Share(1.0)) }; "last step")]
#[test_case(Case { share: 0.3, elapsed: 60, new: (150, 0), stage: 12, fault: false, expected: None }; "too little evidence")]
#[test_case(Case { share: 0.3, elapsed: 60, new: (900, 90), stage: 12, fault: false, expected: Some(Expected::End(false)) }; "fault in the sums")]
#[test_case(Case { share: 0.3, elapsed: 60, new: (20, 0), stage: 12, fault: true, expected: Some(Expected::End(false)) }; "fault of one host")]
#[test_case(Case { share: 1.0, elapsed: 99, new: (900, 1), stage: 15, fault: false, expected: None }; "the slowest contract still moves")]
#[test_case(Case { share: 1.0, elapsed: 100, new: (900, 1), stage: 15, fault: false, expected: Some(Expected::End(true)) }; "all have moved")]
#[test_case(Case { share: 0.3, elapsed: 531, new: (20, 0), stage: 12, fault: false, expected: Some(Expected::Warning("the pace of slow allows 10.0 % every 10 s")) }; "pace too slow for the deadline")]
#[test_case(Case { share: 0.7, elapsed: 565, new: (0, 0), stage: 40, fault: false, expected: Some(Expected::Warning("no requests reach version 2")) }; "no traffic to judge")]
fn the_planner_decides(case: Case) {
    let mut snapshot = Snapshot {
        document: Document {
            workspaces: BTreeMap::from([
                ("fast".into(), contract(0.2, INTERVAL)),
                ("slow".into(), contract(0.1, INTERVAL)),
            ]),
            ..Document::default()
        },
        moves: BTreeMap::from([("consulta".into(), running_move(1, case.share))]),
        ..Snapshot::default()
    };
    let mut planner = Planner::new();
    let started = (case.elapsed - case.stage) * 1_000;
    assert_eq!(planner.decide(at(0), started, &snapshot), []);
    for host in ["n1", "n2"] {
        let pair = Pair {
            old: Count {
                requests: 5_000,
                failures: 5,
                slow: 250,
            },
            new: Count {
                requests: case.new.0 / 2,
                failures: case.new.1.div_ceil(2),
                slow: case.new.0 / 40,
            },
        };
        let fault = case.fault.then(|| Fault {
            route: "labels".into(),
            measure: Measure::Latency,
            pair,
        });
        let report = Report {
            host: host.into(),
            service: "consulta".into(),
            release: "2".into(),
            serial: 1,
            routes: std::iter::once(("labels".into(), pair)).collect(),
            fault,
        };
        // A repeated report must not count twice.
        planner.on_report(at(1), report.clone());
        planner.on_report(at(1), report);
    }
    let later = started + 3_000;
    let early = planner.decide(at(3), later, &snapshot);
    let at_once = matches!(case.expected, Some(Expected::End(false)));
    assert!(at_once || !early.iter().any(|change| matches!(change, Change::ShareMove { share, .. } if (share - case.share).abs() > 1e-9)));
    let mut changes = planner.decide(at(case.stage), case.elapsed * 1_000, &snapshot);
    let actual = changes.pop().map(|change| match change {
        Change::ShareMove { share, note, .. } if (share - case.share).abs() < 1e-9 => {
            let Some(Expected::Warning(part)) = case.expected else {
                panic!("unexpected warning {note}");
            };
            assert!(note.contains(part), "{note}");
            snapshot.moves.get_mut("consulta").unwrap().note = note;
            Expected::Warning(part)
        }
        Change::ShareMove { share, .. } => Expected::Share(share),
        Change::EndMove { done, .. } => Expected::End(done),
        other => panic!("unexpected change {other:?}"),
    });
    assert_eq!(actual, case.expected);
    if let Some(Expected::Warning(_)) = actual {
        let again = planner.decide(at(case.stage + 10), case.elapsed * 1_000, &snapshot);
        assert_eq!(again, [], "warns once");
    }
}

/// Guards against ending the move of the planner's older snapshot for the fault of a later move.
#[test]
fn reports_of_a_later_move_wait_for_its_snapshot() {
    let fault = Fault {
        route: "labels".into(),
        measure: Measure::Failures,
        pair: Pair::default(),
    };
    let mut planner = Planner::new();
    planner.on_report(
        at(0),
        Report {
            host: "n1".into(),
            service: "consulta".into(),
            release: "3".into(),
            serial: 2,
            routes: Map::default(),
            fault: Some(fault),
        },
    );
    let mut snapshot = Snapshot {
        moves: BTreeMap::from([("consulta".into(), running_move(1, 0.1))]),
        ..Snapshot::default()
    };
    assert_eq!(planner.decide(at(1), 1_000, &snapshot), []);
    snapshot.moves = BTreeMap::from([("consulta".into(), running_move(2, 0.1))]);
    assert!(matches!(
        planner.decide(at(2), 2_000, &snapshot)[..],
        [Change::EndMove {
            serial: 2,
            done: false,
            ..
        }]
    ));
}
