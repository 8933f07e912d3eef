//! Outcomes returned to callers while backend servers fail at random.

mod support;

use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{collections::HashMap, sync::Arc};
use support::{Backend, Caller, Fixture, Reply, get, post};
use test_case::test_case;
use tokio::task::JoinSet;

const CALLERS: u64 = 16;
const REQUESTS_PER_CALLER: u64 = 60;

/// Number of requests that the backend servers received for each path.
type Received = Arc<Mutex<HashMap<String, u32>>>;

fn path(head: &str) -> String {
    let path = head.split(' ').nth(1).expect("request line");
    path.to_owned()
}

async fn backend(seed: u64, received: &Received) -> Backend {
    let random = Mutex::new(SmallRng::seed_from_u64(seed));
    let received = Arc::clone(received);
    Backend::start(move |request| {
        let path = path(&request.head);
        *received.lock().entry(path.clone()).or_default() += 1;
        let stale = b"HTTP/1.1 200 OK\r\nazurenotch-request: n1-7-other\r\ncontent-length: 5\r\n\r\nstale";
        let part = b"HTTP/1.1 200 OK\r\nazurenotch-request: {id}\r\ncontent-length: 99\r\n\r\npart";
        let busy = b"HTTP/1.1 503 Busy\r\nazurenotch-request: {id}\r\nretry-after: 1\r\ncontent-length: 0\r\n\r\n";
        match random.lock().random_range(0..20) {
            0 => Reply::Reset,
            1 => Reply::Raw(stale.to_vec()),
            2 => Reply::Raw(part.to_vec()),
            3 => Reply::Raw(busy.to_vec()),
            4 => Reply::Raw(Vec::new()),
            _ => Reply::Answer("200 OK", path.into_bytes()),
        }
    })
    .await
}

async fn run_caller(address: std::net::SocketAddr, number: u64, received: Received) -> [u32; 3] {
    let [mut answered, mut refused, mut broken] = [0; 3];
    let mut caller = Caller::connect(address).await;
    for index in 0..REQUESTS_PER_CALLER {
        let write = (number + index).is_multiple_of(2);
        let path = format!("/{}/{number}/{index}", if write { "write" } else { "read" });
        let request = if write { post(&path, "x") } else { get(&path) };
        let answer = caller.call(&request).await;
        let count = received.lock().get(&path).copied().unwrap_or_default();
        assert!(
            count <= if write { 1 } else { 3 },
            "{path} was sent {count} times"
        );
        match answer.refusal() {
            ("none", _) if answer.complete && answer.status() == 200 => {
                assert_eq!(answer.body, path.as_bytes(), "another request's answer");
                answered += 1;
            }
            ("not-run", reason) => {
                assert_eq!(count, 0, "{path} was refused with {reason} but sent");
                refused += 1;
            }
            ("unknown", _) => refused += 1,
            _ => broken += 1,
        }
        if !answer.complete {
            caller = Caller::connect(address).await;
        }
    }
    [answered, refused, broken]
}

/// Guards against answers of other requests, writes that are sent twice and refusals that say
/// `not-run` for a request that was sent.
#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outcomes_are_correct_under_random_faults(seed: u64) {
    let received = Received::default();
    let mut backends = Vec::new();
    for number in 0..4 {
        backends.push(backend(seed * 100 + number, &received).await);
    }
    let addresses = backends.iter().map(|backend| backend.address);
    let fixture = Fixture::start(&addresses.collect::<Vec<_>>()).await;
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        callers.spawn(run_caller(fixture.address, number, Arc::clone(&received)));
    }
    let mut sum = [0; 3];
    while let Some(counts) = callers.join_next().await {
        let counts = counts.expect("every outcome is correct");
        sum = std::array::from_fn(|index| sum[index] + counts[index]);
    }
    let [answered, refused, broken] = sum;
    assert_eq!(
        u64::from(answered + refused + broken),
        CALLERS * REQUESTS_PER_CALLER
    );
    assert!(answered > 0 && refused > 0 && broken > 0, "{sum:?}");
}
