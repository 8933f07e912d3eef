//! A request with an idempotency key runs at most once, regardless of the hosts that receive it.

mod support;

use azurenotch_core::request::once::{Once, table_key};
use azurenotch_daemon::request::idempotency::Records;
use azurenotch_platform::{Table, table::Expect};
use azurenotch_test_support::{backend::Mode, fault::Fault, memory::Platform};
use azurenotch_wire::id::Operation;
use std::{sync::Arc, time::Duration};
use support::{
    Backend, Caller, Reply,
    cluster::{Cluster, MAX_SETTLE_TIME, hosts, post, summarize},
};
use test_case::test_case;
use tokio::{join, time::sleep};

const PATH: &str = "/write/slot/7";
const OTHER_PATH: &str = "/write/slot/8";
const LARGE_ANSWER_PATH: &str = "/write/bytes/20000";

fn down() -> Fault {
    Fault {
        down: true,
        ..Fault::default()
    }
}

/// A request on the first host and a repeat on the second one.
struct Case {
    /// Runs before the request.
    before: fn(&Cluster),
    /// Runs while the backend server processes the request.
    during: fn(&Cluster),
    /// Time between the first answer and `between`.
    pause: Duration,
    /// Runs between the request and its repeat.
    between: fn(&Cluster),
    path: &'static str,
    repeat: (&'static str, &'static str),
    expected: [&'static str; 2],
    /// Number of runs of the request's path and of the repeat's path.
    runs: [usize; 2],
}

impl Default for Case {
    fn default() -> Self {
        Self {
            before: |_| {},
            during: |_| {},
            pause: Duration::ZERO,
            between: |_| {},
            path: PATH,
            repeat: (support::KEY, PATH),
            expected: ["200", "200 replayed"],
            runs: [1, 1],
        }
    }
}

/// Guards against a second run, a false `not-run` and a key that stays blocked without a run, under
/// each fault of the table or the backend server.
#[test_case(Case::default(); "repeat on another host")]
#[test_case(Case {
    before: |it| it.set_table_fault(Fault { lose_answers: 1, ..Fault::default() }),
    ..Case::default()
}; "answer of the create lost")]
#[test_case(Case {
    before: |it| it.set_table_fault(Fault { drop_writes: 1, ..Fault::default() }),
    ..Case::default()
}; "create dropped")]
#[test_case(Case {
    before: |it| it.set_table_fault(down()),
    between: |it| it.set_table_fault(Fault::default()),
    expected: ["not-run store-down", "200"],
    ..Case::default()
}; "table down")]
#[test_case(Case {
    before: |it| it.set_table_fault(Fault { delay: Duration::from_secs(5), ..Fault::default() }),
    between: |it| it.set_table_fault(Fault::default()),
    expected: ["not-run store-down", "200"],
    ..Case::default()
}; "creates arrive after the refusal")]
#[test_case(Case {
    during: |it| it.set_table_fault(down()),
    pause: MAX_SETTLE_TIME,
    between: |it| it.set_table_fault(Fault::default()),
    expected: ["200", "unknown in-progress"],
    ..Case::default()
}; "table down from the create on")]
#[test_case(Case {
    during: |it| it.set_table_fault(Fault { drop_writes: 2, ..Fault::default() }),
    ..Case::default()
}; "first writes of the end dropped")]
#[test_case(Case {
    during: |it| it.set_table_fault(Fault { lose_answers: 1, ..Fault::default() }),
    ..Case::default()
}; "answer of the end lost")]
#[test_case(Case {
    before: |it| it.server.change(|behaviour| behaviour.slots = 0),
    between: |it| it.server.change(|behaviour| behaviour.slots = 9),
    pause: MAX_SETTLE_TIME,
    expected: ["503", "200"],
    ..Case::default()
}; "backend server sheds the request")]
#[test_case(Case {
    before: |it| it.server.override_mode(Mode::Hangup, 1),
    expected: ["unknown lost-server", "unknown outcome-lost"],
    ..Case::default()
}; "backend server hangs up")]
#[test_case(Case {
    before: |it| it.server.override_mode(Mode::WrongId, 1),
    expected: ["unknown broken-answer", "unknown outcome-lost"],
    ..Case::default()
}; "answer of another request")]
#[test_case(Case {
    before: |it| it.server.override_mode(Mode::Truncated, 1),
    path: "/write/bytes/1000",
    repeat: (support::KEY, "/write/bytes/1000"),
    expected: ["200", "unknown outcome-lost"],
    ..Case::default()
}; "answer broken off")]
#[test_case(Case {
    path: LARGE_ANSWER_PATH,
    repeat: (support::KEY, LARGE_ANSWER_PATH),
    expected: ["200", "unknown outcome-lost"],
    ..Case::default()
}; "answer too large to keep")]
#[test_case(Case {
    repeat: (support::KEY, OTHER_PATH),
    expected: ["200", "not-run malformed"],
    runs: [1, 0],
    ..Case::default()
}; "key used for another request")]
#[test_case(Case {
    repeat: ("other-key", PATH),
    expected: ["200", "200"],
    runs: [2, 2],
    ..Case::default()
}; "key used by another workspace")]
#[tokio::test(start_paused = true)]
async fn a_repeat_never_runs_twice(case: Case) {
    let cluster = Cluster::start().await;
    (case.before)(&cluster);
    let first = async {
        let summary = cluster.call(0, support::KEY, case.path).await;
        sleep(case.pause).await;
        summary
    };
    let during = async {
        cluster.wait_until_received().await;
        (case.during)(&cluster);
    };
    let first = tokio::select! {
        summary = first => summary,
        summary = async {
            during.await;
            std::future::pending().await
        } => summary,
    };
    (case.between)(&cluster);
    sleep(MAX_SETTLE_TIME).await;
    let second = cluster.call(1, case.repeat.0, case.repeat.1).await;
    assert_eq!([first.as_str(), second.as_str()], case.expected);
    assert_eq!(
        [case.path, case.repeat.1].map(|it| cluster.run_count(it)),
        case.runs
    );
}

/// Guards against two runs when the same request reaches two hosts at the same time.
#[tokio::test(start_paused = true)]
async fn concurrent_requests_run_once() {
    let cluster = Cluster::start().await;
    let request = post(support::KEY, PATH);
    let [one, two] = [0, 1].map(|host| cluster.hosts[host].call(&request));
    let (one, two) = join!(one, two);
    let mut answers = [(summarize(&one), one), (summarize(&two), two)];
    answers.sort_by(|a, b| a.0.cmp(&b.0));
    let [(first, _), (second, refusal)] = answers;
    assert_eq!([first.as_str(), &second], ["200", "unknown in-progress"]);
    assert_eq!(refusal.header("retry-after"), Some("1"));
    assert_eq!(cluster.run_count(PATH), 1);
}

/// Guards against a second run when a caller repeats a request after its connection broke.
#[test_case(true, "200 replayed"; "after the run")]
#[test_case(false, "unknown outcome-lost"; "during the run")]
#[tokio::test(start_paused = true)]
async fn a_caller_that_lost_its_answer_starts_no_second_run(ended: bool, expected: &str) {
    let cluster = Cluster::start().await;
    let mut caller = Caller::connect(cluster.hosts[0].address).await;
    caller.send(&post(support::KEY, PATH)).await;
    cluster.wait_until_received().await;
    if ended {
        cluster.wait_for_writes(2).await;
    }
    drop(caller);
    sleep(MAX_SETTLE_TIME).await;
    assert_eq!(cluster.call(1, support::KEY, PATH).await, expected);
    assert_eq!(cluster.run_count(PATH), 1);
}

/// Guards against a key that stays blocked by a request that reached no backend server.
#[tokio::test(start_paused = true)]
async fn a_request_that_did_not_run_can_be_repeated() {
    let cluster = Cluster::start().await;
    cluster.server.close().await;
    assert_eq!(
        cluster.call(0, support::KEY, PATH).await,
        "not-run no-server"
    );
    cluster.server.reopen().await.expect("the port is reserved");
    sleep(MAX_SETTLE_TIME).await;
    assert_eq!(cluster.call(1, support::KEY, PATH).await, "200");
}

/// Guards against a record that blocks its key after the record has expired.
#[tokio::test(start_paused = true)]
async fn an_expired_record_is_replaced() {
    let cluster = Cluster::start().await;
    let old = Once::new(Operation(1), "h9".into(), "POST", OTHER_PATH).running_record(0);
    let key = table_key(&"correios".into(), b"booking-1");
    let old = rmp_serde::to_vec(&old).expect("a record serializes");
    let written = cluster.platform.put(&key, &old, Expect::Absent, None).await;
    written.expect("the table is up");
    assert_eq!(cluster.call(0, support::KEY, PATH).await, "200");
    assert_eq!(cluster.call(1, support::KEY, PATH).await, "200 replayed");
    assert_eq!(cluster.run_count(PATH), 1);
}

/// Guards against idempotency keys that cannot be stored as one table row.
#[test_case(&format!("idempotency-key: {}\r\n", "k".repeat(257)); "too long")]
#[test_case("idempotency-key: a\r\nidempotency-key: a\r\n"; "repeated")]
#[test_case("idempotency-key: \r\n"; "empty")]
#[tokio::test(start_paused = true)]
async fn a_malformed_key_does_not_run(header: &str) {
    let cluster = Cluster::start().await;
    let request = post(support::KEY, PATH).replace("idempotency-key: booking-1\r\n", header);
    let answer = cluster.hosts[0].call(&request).await;
    assert_eq!(summarize(&answer), "not-run malformed");
    assert_eq!(cluster.run_count(PATH), 0);
    assert_eq!(cluster.platform.counters().table.received, 0);
}

/// Guards against more table writes than the budget allows, and against a replay that is charged
/// the two writes of a run.
#[tokio::test(start_paused = true)]
async fn requests_above_the_table_budget_are_refused() {
    let cluster = Cluster::start().await;
    // One slot: a burst of 300 writes is 150 runs, or one run and 298 replays.
    assert_eq!(cluster.call(0, support::KEY, PATH).await, "200");
    sleep(MAX_SETTLE_TIME).await;
    let mut replays = 0;
    let refused = loop {
        let answer = cluster.hosts[0].call(&post(support::KEY, PATH)).await;
        if summarize(&answer) != "200 replayed" {
            break answer;
        }
        replays += 1;
        assert!(replays < 1000, "the budget refuses nothing");
    };
    assert_eq!(summarize(&refused), "not-run overload");
    assert_eq!(refused.header("retry-after"), Some("1"));
    assert!((298..=300).contains(&replays), "{replays} replays");
    assert_eq!(cluster.run_count(PATH), 1);
    let counted = cluster.hosts[0].metric_sum("azurenotch_once_total");
    assert_eq!(counted, replays + 2);
}

/// Guards against a graceful shutdown that loses the record of a completed run.
#[tokio::test(start_paused = true)]
async fn a_shutdown_waits_for_the_last_writes() {
    let cluster = Cluster::start().await;
    let during = async {
        cluster.wait_until_received().await;
        cluster.set_table_fault(Fault {
            drop_writes: 3,
            ..Fault::default()
        });
    };
    let (summary, ()) = join!(cluster.call(0, support::KEY, PATH), during);
    assert_eq!(summary, "200");
    cluster.records[0].drain(Duration::from_secs(5)).await;
    assert_eq!(cluster.platform.counters().table.writes, 2);
    assert_eq!(cluster.call(1, support::KEY, PATH).await, "200 replayed");
}

/// Guards against a replay that the caller cannot decode: records do not store the content coding.
#[tokio::test(start_paused = true)]
async fn a_coded_answer_is_not_replayed() {
    let coded = b"HTTP/1.1 200 OK\r\nazurenotch-request: {id}\r\ncontent-encoding: gzip\r\n\
        content-length: 1\r\n\r\nx";
    let mut server = Backend::start(|_| Reply::Raw(coded.to_vec())).await;
    let (hosts, _records) = hosts(&Platform::new(1), server.address).await;
    let request = post(support::KEY, PATH);
    assert_eq!(summarize(&hosts[0].call(&request).await), "200");
    sleep(MAX_SETTLE_TIME).await;
    assert_eq!(
        summarize(&hosts[1].call(&request).await),
        "unknown outcome-lost"
    );
    assert_eq!(server.drain().len(), 1);
}

/// Guards against a replay for an access key that was withdrawn during a slow table read.
#[tokio::test(start_paused = true)]
async fn a_key_withdrawn_while_the_table_is_slow_gets_no_replay() {
    let cluster = Cluster::start().await;
    assert_eq!(cluster.call(1, support::KEY, PATH).await, "200");
    sleep(MAX_SETTLE_TIME).await;
    cluster.set_table_fault(Fault {
        delay: Duration::from_millis(500),
        ..Fault::default()
    });
    let withdraw = async {
        cluster.hosts[0].wait_in_flight(1).await;
        let servers = [cluster.server.address()];
        let snapshot = support::snapshot(&servers, 2, true);
        assert!(cluster.hosts[0].gateway.adopt(Arc::new(snapshot)));
    };
    let (summary, ()) = join!(cluster.call(0, support::KEY, PATH), withdraw);
    assert_eq!(summary, "not-run withdrawn");
}
