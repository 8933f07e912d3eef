//! Heartbeats between hosts: codec, and exchanges over the loopback interface.

use super::{
    measure::{Sample, Series, cpu, since, time},
    report::{Report, number},
    synthetic::heartbeat,
};
use async_trait::async_trait;
use azurenotch_daemon::process::{
    serve::{Handler, serve},
    transport::{Http, call},
};
use azurenotch_wire::peer::Heartbeat;
use bytes::Bytes;
use http::{Request, Response};
use slog::{Discard, Logger, o};
use snafu::{ResultExt, Whatever};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{net::TcpListener, runtime, task::JoinSet};
use tokio_util::sync::CancellationToken;

/// Rounds of one measured batch.
const ROUNDS: usize = 12;
/// Batches of a point.
const BATCHES: usize = 7;
const TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes of IP and TCP headers with the timestamp option, for each segment.
const SEGMENT_HEADER_BYTES: f64 = 52.0;
/// Segments of an exchange on a kept connection: request, answer and an acknowledgement.
const SEGMENTS_PER_EXCHANGE: f64 = 3.0;

/// Answers every request with a heartbeat, as the peer port does.
#[derive(Debug)]
struct Echo;

#[async_trait]
impl Handler for Echo {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        // The heartbeat is decoded as the daemon does; a malformed one fails the caller's decode.
        let received = rmp_serde::from_slice::<Heartbeat>(request.body());
        let answer = received.map(|_| heartbeat(2, 0)).ok();
        Response::new(rmp_serde::to_vec(&answer).unwrap_or_default().into())
    }
}

/// Measures heartbeats.
///
/// # Errors
///
/// Returns an error if an exchange over the loopback interface fails.
pub fn run(report: &mut Report) -> Result<(), Whatever> {
    report.heading("Heartbeats");
    codec(report);
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .whatever_context("cannot start a runtime")?;
    runtime.block_on(exchanges(report))
}

fn codec(report: &mut Report) {
    let mut bytes = Series::new("Encoded heartbeat", "bytes", "roles");
    let mut cost = Series::new("Encoding and decoding a heartbeat", "us", "roles");
    for roles in [0, 1, 2, 4, 8, 16] {
        let message = heartbeat(1, roles);
        let encoded = rmp_serde::to_vec(&message).unwrap_or_default();
        bytes.count(roles as f64, encoded.len() as f64);
        let sample = time(|| {
            let encoded = rmp_serde::to_vec(&message).unwrap_or_default();
            std::hint::black_box(rmp_serde::from_slice::<Heartbeat>(&encoded).is_ok());
        });
        cost.push(roles as f64, sample);
    }
    let line = report.series("heartbeat-bytes", bytes);
    report.keep("heartbeat.bytes", line.start);
    report.keep("heartbeat.role.bytes", line.slope);
    report.series("heartbeat-codec", cost);
}

async fn exchanges(report: &mut Report) -> Result<(), Whatever> {
    let token = CancellationToken::new();
    let log = Logger::root(Discard, o!());
    let mut addresses = Vec::new();
    for _ in 0..32 {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .whatever_context("cannot listen")?;
        addresses.push(listener.local_addr().whatever_context("no address")?);
        let handler: Arc<dyn Handler> = Arc::new(Echo);
        tokio::spawn(serve(listener, handler, token.clone(), log.clone()));
    }
    let mut kept = Series::new("Round of heartbeats, both ends", "us", "peers");
    for peers in [1, 2, 4, 6, 12, 24, 32] {
        let http = Arc::new(Http::default());
        kept.push(
            peers as f64,
            batches(&addresses[..peers], |_| Arc::clone(&http)).await?,
        );
    }
    let line = report.series("heartbeat-exchange", kept);
    report.keep("exchange.us", line.slope);
    let fresh = batches(&addresses[..6], |_| Arc::new(Http::default())).await?;
    let fresh = fresh.median / 6.0;
    report.keep("exchange.fresh.us", fresh);
    // Method, path, host, length and status lines as hyper writes them for these messages.
    let header = "POST /peer/heartbeat HTTP/1.1\r\nhost: 127.1.12.28:8081\r\n\
                  content-length: 160\r\n\r\n\
                  HTTP/1.1 200 OK\r\ncontent-length: 160\r\n\
                  date: Fri, 04 Dec 2026 02:28:24 GMT\r\n\r\n";
    let bytes = 2.0 * report.fact("heartbeat.bytes")
        + header.len() as f64
        + SEGMENTS_PER_EXCHANGE * SEGMENT_HEADER_BYTES;
    report.keep("exchange.bytes", bytes);
    report.line(&format!(
        "\nAn exchange on a fresh connection costs {} us. An exchange has {} bytes in both \
         directions: two heartbeats, {} bytes of HTTP header lines, and three segments with {} \
         bytes of IP and TCP headers (calculated).",
        number(fresh),
        number(bytes),
        header.len(),
        number(SEGMENT_HEADER_BYTES)
    ));
    token.cancel();
    Ok(())
}

/// Measures rounds in which every peer is sent one heartbeat at the same time.
async fn batches(
    addresses: &[SocketAddr],
    http: impl Fn(usize) -> Arc<Http>,
) -> Result<Sample, Whatever> {
    let mut samples = Vec::new();
    for batch in 0..=BATCHES {
        let start = cpu();
        for round in 0..ROUNDS {
            let http = http(round);
            let mut calls = JoinSet::new();
            for address in addresses.iter().copied() {
                let http = Arc::clone(&http);
                calls.spawn(async move {
                    let message = heartbeat(1, 0);
                    call::<_, Option<Heartbeat>>(
                        &*http,
                        address,
                        "/peer/heartbeat",
                        &message,
                        TIMEOUT,
                    )
                    .await
                });
            }
            while let Some(answer) = calls.join_next().await {
                answer
                    .whatever_context("a call panicked")?
                    .whatever_context("a peer did not answer")?;
            }
        }
        // The first batch opens the connections.
        if batch > 0 {
            samples.push(since(start) / ROUNDS as f64);
        }
    }
    Ok(Sample::of(samples))
}
