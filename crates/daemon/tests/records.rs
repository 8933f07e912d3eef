//! Records of idempotency keys shared by daemons, and under random faults.

mod fleet;
mod support;

use azurenotch_config::{change::Change, snapshot::KeyHash};
use azurenotch_core::request::once::{Record, State, table_key};
use azurenotch_platform::Table;
use azurenotch_test_support::{
    backend::{Behaviour, Server},
    fault::{Endpoint, Fault},
    memory::Platform,
};
use azurenotch_wire::version::Version;
use fleet::Fleet;
use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{sync::Arc, time::Duration};
use support::{
    Backend, Caller, KEY, Reply,
    cluster::{HOSTS, MAX_SETTLE_TIME, hosts, post, summarize},
};
use test_case::test_case;
use tokio::{
    join,
    time::{sleep, timeout},
};

/// Starts daemons with a keyed non-idempotent route, in front of a backend server in each data
/// centre.
async fn daemons(servers: &[Server; 2]) -> Fleet {
    let fleet = Fleet::start(HOSTS).await;
    let text = fleet::DOCUMENT
        .replace("127.0.0.1:9", &servers[0].address().to_string())
        .replace("127.0.0.2:9", &servers[1].address().to_string())
        .replace("methods = GET", "methods = POST")
        .replace("idempotent = yes", "idempotent = no");
    let expect = Version::default();
    let grant = Change::GrantKey {
        hash: KeyHash::of(KEY.as_bytes()),
        workspace: fleet::WORKSPACE.into(),
        name: "first".to_owned(),
    };
    for change in [Change::Apply { text, expect }, grant] {
        let version = fleet.daemons["h1"].change(change).await;
        let version = version.expect("the change is accepted");
        assert!(fleet.in_force(version, MAX_SETTLE_TIME).await);
    }
    assert!(fleet::wait(MAX_SETTLE_TIME, || fleet.admits("h1") && fleet.admits("h2")).await);
    // `admits` consumed tokens of the rate; wait for the buckets to refill.
    sleep(Duration::from_secs(5)).await;
    fleet
}

async fn servers() -> [Server; 2] {
    let start = || Server::start(Behaviour::default());
    let (one, two) = join!(start(), start());
    [one.expect("free port"), two.expect("free port")]
}

async fn call(fleet: &Fleet, name: &str) -> String {
    let mut caller = Caller::connect(fleet.daemons[name].addresses().0).await;
    summarize(&caller.call(&post(KEY, "/labels/7")).await)
}

/// Guards against a host that ignores the records in the platform's table.
#[tokio::test(start_paused = true)]
async fn daemons_share_the_records() {
    let servers = servers().await;
    let fleet = daemons(&servers).await;
    assert_eq!(call(&fleet, "h1").await, "200");
    sleep(Duration::from_secs(1)).await;
    assert_eq!(call(&fleet, "h2").await, "200 replayed");
    let runs = servers.map(|server| server.counter().received);
    assert_eq!(runs.iter().sum::<u64>(), 1);
}

/// Guards against a graceful shutdown that does not wait until the record of a run is written.
#[tokio::test(start_paused = true)]
async fn a_daemon_stops_after_its_last_records() {
    let servers = servers().await;
    for server in &servers {
        server.change(|it| it.latency = Duration::from_secs(1));
    }
    let mut fleet = daemons(&servers).await;
    let platform = Arc::clone(&fleet.platform);
    let during = async {
        let received = servers[0].wait_for(|it| it.received == 1);
        let received = timeout(MAX_SETTLE_TIME, received).await;
        received.expect("the host prefers its own data centre");
        fleet.platform_fault(&Fault {
            down: true,
            ..Fault::default()
        });
    };
    let (answer, ()) = join!(call(&fleet, "h1"), during);
    assert_eq!(answer, "200");
    // The table recovers after the port for callers has closed.
    tokio::spawn(async move {
        sleep(Duration::from_secs(5)).await;
        platform.set_fault(Endpoint::Table, Fault::default());
    });
    fleet.stop("h1").await;
    let key = table_key(&fleet::WORKSPACE.into(), b"booking-1");
    let row = fleet.platform.get(&key).await.expect("the table is up");
    let record = rmp_serde::from_slice::<Record>(&row.expect("a record").value);
    let state = record.expect("a valid record").state;
    assert!(matches!(state, State::Done(_)), "{state:?}");
}

/// Guards against combined faults of table and backend server that run a request twice or return
/// `not-run` for a request that ran.
#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
#[tokio::test(start_paused = true)]
async fn requests_run_once_under_random_faults(seed: u64) {
    let random = Mutex::new(SmallRng::seed_from_u64(seed));
    let mut server = Backend::start(move |_| match random.lock().random_range(0..4) {
        0 => Reply::Reset,
        1 => Reply::Raw(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".to_vec()),
        _ => Reply::Answer("200 OK", b"done".to_vec()),
    })
    .await;
    let platform = Platform::new(seed);
    let (hosts, _records) = hosts(&platform, server.address).await;
    let mut random = SmallRng::seed_from_u64(seed);
    let (mut runs, mut refused, mut replayed) = (0, 0, 0);
    for number in 0..100 {
        let request = post(KEY, "/write/slot/7").replace("booking-1", &format!("booking-{number}"));
        let mut answers = Vec::new();
        for _ in 0..3 {
            let fault = Fault {
                fail_share: 0.2,
                vague: random.random(),
                lose_answers: random.random_range(0..2),
                drop_writes: random.random_range(0..2),
                delay: Duration::from_millis(random.random_range(0..1500)),
                ..Fault::default()
            };
            platform.set_fault(Endpoint::Table, fault);
            let (one, two) = join!(hosts[0].call(&request), hosts[1].call(&request));
            answers.extend([summarize(&one), summarize(&two)]);
            sleep(Duration::from_millis(random.random_range(0..3000))).await;
        }
        let sent = server.drain().len();
        assert!(sent <= 1, "request {number} ran {sent} times: {answers:?}");
        let not_run = answers
            .iter()
            .filter(|it| it.starts_with("not-run"))
            .count();
        assert!(
            sent == 1 || not_run > 0,
            "request {number} has no {answers:?}"
        );
        assert!(
            not_run < answers.len() || sent == 0,
            "false not-run: {answers:?}"
        );
        runs += sent;
        refused += not_run;
        replayed += answers.iter().filter(|it| it.ends_with("replayed")).count();
    }
    assert!(
        runs > 0 && refused > 0 && replayed > 0,
        "{runs} {refused} {replayed}"
    );
}
