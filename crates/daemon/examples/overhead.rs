//! Latency of requests through a gateway compared with requests directly to a backend server.
//!
//! Both kinds alternate in the same run, each on persistent connections. Run with
//! `cargo run --release -p azurenotch-daemon --example overhead -- [SEED]`.

mod local;

use azurenotch_daemon::request::clock::Monotonic;
use azurenotch_test_support::backend::{Behaviour, Server};
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
use tokio::{net::TcpStream, task::JoinSet, time::timeout};
use tokio_util::sync::CancellationToken;

/// Numbers of concurrent requests to measure.
const CONCURRENCY_LEVELS: [usize; 3] = [1, 16, 128];
/// Requests of each kind in one round.
const REQUESTS_PER_ROUND: usize = 2_000;
/// Number of measured rounds of each kind, in random order.
const ROUND_COUNT: usize = 10;
/// Timeout of the whole run.
const RUN_TIMEOUT: Duration = Duration::from_mins(2);
/// Largest latency that a histogram records.
const MAX_LATENCY_NS: u64 = 10_000_000_000;

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
    let stop = CancellationToken::new();
    let gateway = start(backend.address(), &stop).await?;
    let mut random = SmallRng::seed_from_u64(seed);
    println!("concurrency  direct p50/p99 us  gateway p50/p99 us  ratio p50/p99  added p50 us");
    for concurrency in CONCURRENCY_LEVELS {
        let mut direct = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_NS, 3)?;
        let mut through_gateway = direct.clone();
        // One unmeasured round of each kind opens connections and warms up caches.
        measure_round(backend.address(), concurrency).await?;
        measure_round(gateway, concurrency).await?;
        for _ in 0..ROUND_COUNT {
            if random.random() {
                direct.add(measure_round(backend.address(), concurrency).await?)?;
                through_gateway.add(measure_round(gateway, concurrency).await?)?;
            } else {
                through_gateway.add(measure_round(gateway, concurrency).await?)?;
                direct.add(measure_round(backend.address(), concurrency).await?)?;
            }
        }
        report(concurrency, &direct, &through_gateway);
    }
    stop.cancel();
    Ok(())
}

fn report(concurrency: usize, direct: &Histogram<u64>, through_gateway: &Histogram<u64>) {
    let micros = |histogram: &Histogram<u64>, q| histogram.value_at_quantile(q) as f64 / 1_000.0;
    let [d50, d99] = [0.5, 0.99].map(|q| micros(direct, q));
    let [t50, t99] = [0.5, 0.99].map(|q| micros(through_gateway, q));
    println!(
        "{concurrency:>11}  {d50:>8.1} {d99:>8.1}  {t50:>9.1} {t99:>8.1}  {:>6.2} {:>6.2}  {:>11.1}",
        t50 / d50,
        t99 / d99,
        t50 - d50,
    );
}

/// Sends [`REQUESTS_PER_ROUND`] requests over `concurrency` connections and returns their latencies.
async fn measure_round(address: SocketAddr, concurrency: usize) -> Result<Histogram<u64>> {
    let mut tasks = JoinSet::new();
    for _ in 0..concurrency {
        tasks.spawn(caller(address, REQUESTS_PER_ROUND / concurrency));
    }
    let mut all = Histogram::new_with_bounds(1, MAX_LATENCY_NS, 3)?;
    while let Some(latencies) = tasks.join_next().await {
        all.add(latencies??)?;
    }
    Ok(all)
}

async fn caller(address: SocketAddr, requests: usize) -> Result<Histogram<u64>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let task = tokio::spawn(connection);
    let mut latencies = Histogram::new_with_bounds(1, MAX_LATENCY_NS, 3)?;
    for _ in 0..requests {
        let request = Request::get("/read/bytes/512")
            .header(header::HOST, "h")
            .header(header::AUTHORIZATION, format!("Bearer {KEY}"))
            .body(Empty::<Bytes>::new())?;
        let started = Instant::now();
        let exchange = async {
            sender.ready().await?;
            let response = sender.send_request(request).await?;
            let status = response.status();
            response.into_body().collect().await?;
            hyper::Result::Ok(status)
        };
        let status = timeout(REQUEST_TIMEOUT, exchange).await??;
        latencies.record(u64::try_from(started.elapsed().as_nanos())?)?;
        if status != StatusCode::OK {
            return Err(format!("request answered with {status}").into());
        }
    }
    task.abort();
    Ok(latencies)
}

async fn start(backend: SocketAddr, stop: &CancellationToken) -> Result<SocketAddr> {
    let gateway = local::gateway(Arc::new(Monotonic::new()))?;
    let snapshot = local::snapshot(backend, "read", "GET", true);
    local::serve(gateway, snapshot, stop).await
}
