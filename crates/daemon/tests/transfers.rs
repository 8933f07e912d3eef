//! Long answers: back pressure, truncation, withdrawal of a key and callers that go away.

mod support;

use azurenotch_daemon::connection::stream::READER_STALL_TIMEOUT;
use std::sync::{Arc, atomic::Ordering};
use support::{Backend, Caller, FILL, Fixture, Frozen, Reply, get, settle, snapshot};
use tokio::{io::AsyncReadExt, time::advance};

const DOWNLOAD: usize = 64 * 1024 * 1024;

/// Guards against a host that reads an answer faster than its caller takes it.
#[tokio::test(start_paused = true)]
async fn a_slow_reader_stops_the_backend_server() {
    let backend = Backend::start(|_| Reply::Endless(DOWNLOAD)).await;
    let fixture = Fixture::start(&[backend.address]).await;
    advance(FILL).await;
    let mut caller = Caller::connect(fixture.address).await;
    caller.send(&get("/read")).await;
    let head = caller.head().await.expect("an answer");
    assert!(
        head.contains(&format!("content-length: {DOWNLOAD}\r\n")),
        "{head}"
    );
    let mut written = usize::MAX;
    while written != backend.written.load(Ordering::SeqCst) {
        written = backend.written.load(Ordering::SeqCst);
        settle().await;
    }
    // The buffers of the system's sockets hold some of the answer.
    assert!(
        written < DOWNLOAD / 2,
        "the backend server wrote {written} bytes to a caller that reads nothing"
    );
    let _frozen = Frozen::new();
    let mut read = caller.buffered();
    let mut buffer = vec![0; 256 * 1024];
    while read < DOWNLOAD {
        let count = caller
            .stream
            .read(&mut buffer)
            .await
            .expect("an open connection");
        assert_ne!(count, 0, "the answer ended after {read} bytes");
        read += count;
    }
    assert_eq!(read, DOWNLOAD);
}

/// Guards against a truncated answer being passed on as a complete one.
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

/// Guards against a withdrawn key that goes on receiving an answer.
#[tokio::test]
async fn a_withdrawal_breaks_a_running_answer() {
    let mut backend = Backend::start(|_| Reply::Endless(DOWNLOAD)).await;
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
    // The connection may end with a reset, because the host drops what it had not written.
    drop(caller.stream.read_to_end(&mut rest).await);
    assert!(rest.len() + caller.buffered() < DOWNLOAD);
    assert!(
        backend.closed.recv().await.is_some(),
        "cancelled at the backend server"
    );
    let refused = fixture.call(&get("/read")).await;
    assert_eq!(refused.refusal(), ("not-run", "withdrawn"));
    // A transfer without a key goes on.
    let mut read = open.buffered();
    let mut buffer = vec![0; 256 * 1024];
    while read < DOWNLOAD {
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
    assert!(backend.seen.recv().await.is_some());
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

/// Guards against work at a backend server for a caller that went away.
#[tokio::test]
async fn a_caller_that_goes_away_cancels_its_request() {
    for reply in [Reply::Silent, Reply::Endless(DOWNLOAD)] {
        let mut backend = Backend::start(move |_| reply.clone()).await;
        let fixture = Fixture::start(&[backend.address]).await;
        let mut caller = Caller::connect(fixture.address).await;
        caller.send(&get("/read")).await;
        assert!(backend.seen.recv().await.is_some());
        drop(caller);
        assert!(backend.closed.recv().await.is_some());
    }
}

/// Guards against a caller that takes no data and holds a backend server without end.
#[tokio::test(start_paused = true)]
async fn a_caller_that_stops_reading_is_cut_off() {
    let mut backend = Backend::start(|_| Reply::Endless(DOWNLOAD)).await;
    let fixture = Fixture::start(&[backend.address]).await;
    advance(FILL).await;
    let mut caller = Caller::connect(fixture.address).await;
    caller.send(&get("/read")).await;
    assert!(caller.head().await.is_some());
    // Idle time is skipped: the event comes when no data has moved for the longest stall.
    let started = tokio::time::Instant::now();
    assert!(backend.closed.recv().await.is_some());
    assert!(started.elapsed() >= READER_STALL_TIMEOUT);
    assert!(backend.written.load(Ordering::SeqCst) < DOWNLOAD);
}

/// Guards against a backend server that breaks off its answers and is not ejected.
#[tokio::test(start_paused = true)]
async fn a_server_that_breaks_off_answers_loses_traffic() {
    let _frozen = Frozen::new();
    let part = b"HTTP/1.1 200 OK\r\nazurenotch-request: {id}\r\ncontent-length: 9\r\n\r\npart";
    let mut bad = Backend::start(|_| Reply::Raw(part.to_vec())).await;
    let good = Backend::start(|_| Reply::Answer("200 OK", b"right".to_vec())).await;
    let fixture = Fixture::start(&[bad.address, good.address]).await;
    advance(FILL).await;
    for _ in 0..200 {
        let mut caller = Caller::connect(fixture.address).await;
        caller.send(&get("/read")).await;
        drop(caller.answer().await);
    }
    // Five failures in a row eject it, and time does not pass here.
    assert!(bad.drain().len() <= 5);
}
