//! Latency of non-idempotent requests with an idempotency key compared with requests without one.
//!
//! Both kinds alternate in the same run through one gateway, whose records are rows of a table in
//! memory behind the platform's HTTP interface. Run with
//! `cargo run --release -p azurenotch-daemon --example once -- [SEED]`.

mod local;

use azurenotch_daemon::{
    process::records::TableRecords,
    request::{clock::Monotonic, idempotency::Records},
};
use azurenotch_platform::http::Client;
use azurenotch_test_support::{
    backend::{Behaviour, Server},
    platform,
};
use azurenotch_wire::refusal::{IDEMPOTENCY_KEY, REPLAYED};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use local::{KEY, REQUEST_TIMEOUT, Result};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    net::TcpStream,
    task::JoinSet,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

/// Numbers of concurrent requests to measure.
const CONCURRENCY_LEVELS: [usize; 2] = [1, 16];
/// Requests of each kind in one round.
const REQUESTS_PER_ROUND: usize = 800;
/// Number of measured rounds of each kind, in random order.
const ROUND_COUNT: usize = 10;
/// Timeout of the whole run.
const RUN_TIMEOUT: Duration = Duration::from_mins(2);
/// Largest latency that a histogram records.
const MAX_LATENCY_NS: u64 = 10_000_000_000;
/// Budget of table writes, high enough that it refuses no request.
const WRITES_PER_SECOND: f64 = 1e9;

#[tokio::main]
async fn main() -> Result<()> {
    let seed = std::env::args()
        .nth(1)
        .map_or(Ok(1), |text| text.parse::<u64>())?;
    println!("seed {seed}");
    timeout(RUN_TIMEOUT, measure(seed)).await?
}

async fn measure(seed: u64) -> Result<()> {
    let behaviour = Behaviour {
        slots: 1024,
        ..Behaviour::default()
    };
    let backend = Server::start(behaviour).await?;
    let table = platform::Server::start(seed).await?;
    let stop = CancellationToken::new();
    let (gateway, records) = start(backend.address(), table.address(), &stop).await?;
    // The budgets start empty; wait until they have filled.
    sleep(Duration::from_millis(100)).await;
    let mut random = SmallRng::seed_from_u64(seed);
    println!(
        "concurrency  without p50/p99 us  with p50/p99 us  ratio p50/p99  added p50/p99 us  writes"
    );
    for concurrency in CONCURRENCY_LEVELS {
        let mut without = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_NS, 3)?;
        let mut with = without.clone();
        // One unmeasured round of each kind opens connections and warms up caches.
        measure_round(gateway, concurrency, None).await?;
        measure_round(gateway, concurrency, Some(random.random())).await?;
        records.drain(REQUEST_TIMEOUT).await;
        let before = table.counters().table;
        for _ in 0..ROUND_COUNT {
            let first = random.random::<bool>();
            for keyed in [first, !first] {
                let number = keyed.then(|| random.random());
                let latencies = measure_round(gateway, concurrency, number).await?;
                records.drain(REQUEST_TIMEOUT).await;
                if keyed { &mut with } else { &mut without }.add(latencies)?;
            }
        }
        let after = table.counters().table;
        let writes = (after.writes - before.writes) as f64 / with.len() as f64;
        report(concurrency, &without, &with, writes);
    }
    stop.cancel();
    Ok(())
}

fn report(concurrency: usize, without: &Histogram<u64>, with: &Histogram<u64>, writes: f64) {
    let micros = |histogram: &Histogram<u64>, q| histogram.value_at_quantile(q) as f64 / 1_000.0;
    let [a50, a99] = [0.5, 0.99].map(|q| micros(without, q));
    let [b50, b99] = [0.5, 0.99].map(|q| micros(with, q));
    println!(
        "{concurrency:>11}  {a50:>9.1} {a99:>8.1}  {b50:>7.1} {b99:>7.1}  {:>6.2} {:>6.2}  {:>8.1} {:>7.1}  {writes:>6.3}",
        b50 / a50,
        b99 / a99,
        b50 - a50,
        b99 - a99,
    );
}

/// Sends [`REQUESTS_PER_ROUND`] requests over `concurrency` connections and returns their latencies.
///
/// The requests carry distinct idempotency keys if the round has a `number`.
async fn measure_round(
    address: SocketAddr,
    concurrency: usize,
    number: Option<u64>,
) -> Result<Histogram<u64>> {
    let mut tasks = JoinSet::new();
    for index in 0..concurrency {
        let prefix = number.map(|number| format!("{number:x}-{index}"));
        tasks.spawn(caller(address, REQUESTS_PER_ROUND / concurrency, prefix));
    }
    let mut all = Histogram::new_with_bounds(1, MAX_LATENCY_NS, 3)?;
    while let Some(latencies) = tasks.join_next().await {
        all.add(latencies??)?;
    }
    Ok(all)
}

async fn caller(
    address: SocketAddr,
    requests: usize,
    prefix: Option<String>,
) -> Result<Histogram<u64>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let task = tokio::spawn(connection);
    let mut latencies = Histogram::new_with_bounds(1, MAX_LATENCY_NS, 3)?;
    for number in 0..requests {
        let mut request = Request::post("/write/bytes/512")
            .header(header::HOST, "h")
            .header(header::AUTHORIZATION, format!("Bearer {KEY}"));
        if let Some(prefix) = &prefix {
            request = request.header(IDEMPOTENCY_KEY, format!("{prefix}-{number}"));
        }
        let request = request.body(Empty::<Bytes>::new())?;
        let started = Instant::now();
        let exchange = async {
            sender.ready().await?;
            let response = sender.send_request(request).await?;
            let replayed = response.headers().contains_key(REPLAYED);
            let status = response.status();
            response.into_body().collect().await?;
            hyper::Result::Ok((status, replayed))
        };
        let answer = timeout(REQUEST_TIMEOUT, exchange).await??;
        latencies.record(u64::try_from(started.elapsed().as_nanos())?)?;
        if answer != (StatusCode::OK, false) {
            return Err(format!("request answered with {answer:?}").into());
        }
    }
    task.abort();
    Ok(latencies)
}

async fn start(
    backend: SocketAddr,
    table: SocketAddr,
    stop: &CancellationToken,
) -> Result<(SocketAddr, Arc<TableRecords>)> {
    let clock = Arc::new(Monotonic::new());
    let table = Arc::new(Client::new(table));
    let records = TableRecords::new("n1".into(), table, Arc::clone(&clock) as _);
    let records = Arc::new(records.with_writes_per_second(WRITES_PER_SECOND));
    let gateway = local::gateway(clock)?.with_records(Arc::clone(&records) as _);
    let snapshot = local::snapshot(backend, "write", "POST", false);
    let address = local::serve(gateway, snapshot, stop).await?;
    Ok((address, records))
}
