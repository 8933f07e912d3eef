//! Long answers: back pressure, truncation, withdrawal of a key and callers that disconnect.

mod support;

use azurenotch_daemon::connection::stream::READER_STALL_TIMEOUT;
use std::sync::{Arc, atomic::Ordering};
use support::{
    BUCKET_FILL_TIME, Backend, Caller, Fixture, FrozenClock, Reply, get, run_until_idle, snapshot,
};
use tokio::{io::AsyncReadExt, time::advance};

const DOWNLOAD_BYTES: usize = 64 * 1024 * 1024;

/// Guards against a host that buffers an answer faster than its caller reads it.
#[tokio::test(start_paused = true)]
async fn a_slow_reader_stops_the_backend_server() {
    let backend = Backend::start(|_| Reply::LongBody(DOWNLOAD_BYTES)).await;
    let fixture = Fixture::start(&[backend.address]).await;
    advance(BUCKET_FILL_TIME).await;
    let mut caller = Caller::connect(fixture.address).await;
    caller.send(&get("/read")).await;
    let head = caller.head().await.expect("an answer");
    assert!(
        head.contains(&format!("content-length: {DOWNLOAD_BYTES}\r\n")),
        "{head}"
    );
    let mut written = usize::MAX;
    while written != backend.written.load(Ordering::SeqCst) {
        written = backend.written.load(Ordering::SeqCst);
        run_until_idle().await;
    }
    // The operating system's socket buffers hold part of the answer.
    assert!(
        written < DOWNLOAD_BYTES / 2,
        "the backend server wrote {written} bytes to a caller that reads nothing"
    );
    let _frozen = FrozenClock::new();
    let mut read = caller.buffered();
    let mut buffer = vec![0; 256 * 1024];
    while read < DOWNLOAD_BYTES {
        let count = caller
            .stream
            .read(&mut buffer)
            .await
            .expect("an open connection");
        assert_ne!(count, 0, "the answer ended after {read} bytes");
        read += count;
    }
    assert_eq!(read, DOWNLOAD_BYTES);
}

/// Guards against forwarding a truncated answer as a complete one.
#[tokio::test]
async fn a_truncated_answer_stays_truncated() {
    let sized = b"HTTP/1.1 200 OK\r\nazurenotch-request: {id}\r\ncontent-length: 9\r\n\r\npart";
    let chunked =
        b"HTTP/1.1 200 OK\r\nazurenotch-request: {id}\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n";
    for reply in [sized.as_slice(), chunked.as_slice()] {
        let backend = Backend::start(move |_| Reply::Raw(reply.to_vec())).await;
        let fixture = Fixture::start(&[backend.address]).await;
        let mut caller = Caller::connect(fixture.address).await;
        caller.send(&get("/read")).await;
        let mut text = String::new();
        // The end of the connection without the declared end of the body shows the truncation.
        caller.stream.read_to_string(&mut text).await.expect("text");
        assert!(text.starts_with("HTTP/1.1 200 OK\r\n"), "{text}");
        assert!(!text.contains("\r\n0\r\n\r\n"), "{text}");
        let body = text.split_once("\r\n\r\n").map(|(_, body)| body);
        let body = body.expect("a body").trim_start_matches("4\r\n").trim_end();
        assert!("part".starts_with(body), "{text}");
    }
}

/// Guards against a truncated answer that an HTTP/1.0 caller takes for a complete one, because the
/// end of its connection is the end of the answer.
#[tokio::test]
async fn a_truncated_answer_resets_an_old_caller() {
    let part =
        b"HTTP/1.1 200 OK\r\nazurenotch-request: {id}\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n";
    let backend = Backend::start(|_| Reply::Raw(part.to_vec())).await;
    let fixture = Fixture::start(&[backend.address]).await;
    let mut caller = Caller::connect(fixture.address).await;
    caller
        .send(&get("/read").replace("HTTP/1.1", "HTTP/1.0"))
        .await;
    let mut text = Vec::new();
    let error = caller
        .stream
        .read_to_end(&mut text)
        .await
        .expect_err("a reset");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
}

/// Guards against a transfer that continues after its key was withdrawn.
#[tokio::test]
async fn a_withdrawal_breaks_a_running_answer() {
    let mut backend = Backend::start(|_| Reply::LongBody(DOWNLOAD_BYTES)).await;
    let fixture = Fixture::start(&[backend.address]).await;
    let mut caller = Caller::connect(fixture.address).await;
    let mut open = Caller::connect(fixture.address).await;
    caller.send(&get("/read")).await;
    assert!(caller.head().await.is_some());
    open.send("GET /open HTTP/1.1\r\nhost: h\r\n\r\n").await;
    assert!(open.head().await.is_some());
    let next = snapshot(&[backend.address], 2, true);
    assert!(fixture.gateway.adopt(Arc::new(next)));
    let mut rest = Vec::new();
    // The connection may end with a reset, because the host discards the data not yet written.
    drop(caller.stream.read_to_end(&mut rest).await);
    assert!(rest.len() + caller.buffered() < DOWNLOAD_BYTES);
    assert!(
        backend.closed.recv().await.is_some(),
        "cancelled at the backend server"
    );
    let refused = fixture.call(&get("/read")).await;
    assert_eq!(refused.refusal(), ("not-run", "withdrawn"));
    // A transfer without a key continues.
    let mut read = open.buffered();
    let mut buffer = vec![0; 256 * 1024];
    while read < DOWNLOAD_BYTES {
        let count = open
            .stream
            .read(&mut buffer)
            .await
            .expect("an open connection");
        assert_ne!(count, 0, "the open answer ended after {read} bytes");
        read += count;
    }
}

/// Guards against a withdrawn key whose request is still waiting for its answer.
#[tokio::test]
async fn a_withdrawal_ends_a_waiting_request() {
    let mut backend = Backend::start(|_| Reply::Silent).await;
    let fixture = Fixture::start(&[backend.address]).await;
    let mut caller = Caller::connect(fixture.address).await;
    caller.send(&get("/read")).await;
    assert!(backend.requests.recv().await.is_some());
    let next = snapshot(&[backend.address], 2, true);
    assert!(fixture.gateway.adopt(Arc::new(next)));
    let answer = caller.answer().await.expect("refusal");
    assert_eq!(
        (answer.status(), answer.refusal()),
        (401, ("unknown", "withdrawn"))
    );
    assert!(backend.closed.recv().await.is_some());
    let older = snapshot(&[backend.address], 1, false);
    assert!(
        !fixture.gateway.adopt(Arc::new(older)),
        "an older version is ignored"
    );
}

/// Guards against work at a backend server for a caller that has disconnected.
#[tokio::test]
async fn a_caller_that_goes_away_cancels_its_request() {
    for reply in [Reply::Silent, Reply::LongBody(DOWNLOAD_BYTES)] {
        let mut backend = Backend::start(move |_| reply.clone()).await;
        let fixture = Fixture::start(&[backend.address]).await;
        let mut caller = Caller::connect(fixture.address).await;
        caller.send(&get("/read")).await;
        assert!(backend.requests.recv().await.is_some());
        drop(caller);
        assert!(backend.closed.recv().await.is_some());
    }
}

/// Guards against a caller that reads nothing and occupies a backend server indefinitely.
#[tokio::test(start_paused = true)]
async fn a_caller_that_stops_reading_is_cut_off() {
    let mut backend = Backend::start(|_| Reply::LongBody(DOWNLOAD_BYTES)).await;
    let fixture = Fixture::start(&[backend.address]).await;
    advance(BUCKET_FILL_TIME).await;
    let mut caller = Caller::connect(fixture.address).await;
    caller.send(&get("/read")).await;
    assert!(caller.head().await.is_some());
    // Paused time skips idle periods; the event arrives once the stall timeout has passed.
    let started = tokio::time::Instant::now();
    assert!(backend.closed.recv().await.is_some());
    assert!(started.elapsed() >= READER_STALL_TIMEOUT);
    assert!(backend.written.load(Ordering::SeqCst) < DOWNLOAD_BYTES);
}

/// Guards against a backend server that truncates its answers and is not ejected.
#[tokio::test(start_paused = true)]
async fn a_server_that_truncates_answers_loses_traffic() {
    let _frozen = FrozenClock::new();
    let part = b"HTTP/1.1 200 OK\r\nazurenotch-request: {id}\r\ncontent-length: 9\r\n\r\npart";
    let mut bad = Backend::start(|_| Reply::Raw(part.to_vec())).await;
    let good = Backend::start(|_| Reply::Answer("200 OK", b"right".to_vec())).await;
    let fixture = Fixture::start(&[bad.address, good.address]).await;
    advance(BUCKET_FILL_TIME).await;
    for _ in 0..200 {
        let mut caller = Caller::connect(fixture.address).await;
        caller.send(&get("/read")).await;
        drop(caller.answer().await);
    }
    // Five consecutive failures eject the server; time is frozen, so it is not restored.
    assert!(bad.drain().len() <= 5);
}
