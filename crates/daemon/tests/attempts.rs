//! How often a request is sent, and what its caller is told when an attempt fails.

mod support;

use azurenotch_test_support::backend::{Behaviour, Server};
use support::{Backend, Caller, FILL, Fixture, Frozen, Reply, TIMEOUT, get, post, snapshot};
use test_case::test_case;
use tokio::{net::TcpSocket, time::advance};

const SHED: &[u8] =
    b"HTTP/1.1 503 Busy\r\nazurenotch-request: {id}\r\nretry-after: 2\r\ncontent-length: 0\r\n\r\n";
const WRONG_ECHO: &[u8] =
    b"HTTP/1.1 200 OK\r\nazurenotch-request: n1-7-ffff\r\ncontent-length: 5\r\n\r\nother";
const NO_ECHO: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother";
const NO_LENGTH: &[u8] = b"HTTP/1.1 200 OK\r\nazurenotch-request: {id}\r\n\r\npart";
const NOT_HTTP: &[u8] = b"hello\r\n\r\n";

fn right() -> Reply {
    Reply::Answer("200 OK", b"right".to_vec())
}

struct Case {
    reply: Reply,
    reason: &'static str,
}

fn faults() -> [Case; 5] {
    let case = |reply, reason| Case { reply, reason };
    [
        case(Reply::Reset, "lost-server"),
        case(Reply::Raw(NOT_HTTP.to_vec()), "lost-server"),
        case(Reply::Raw(WRONG_ECHO.to_vec()), "broken-answer"),
        case(Reply::Raw(NO_ECHO.to_vec()), "broken-answer"),
        case(Reply::Raw(NO_LENGTH.to_vec()), "broken-answer"),
    ]
}

/// Guards against a non-idempotent request being sent again after a fault.
#[tokio::test]
async fn a_write_is_sent_once() {
    for Case { reply, reason } in faults() {
        let script = move |_: &_| reply.clone();
        let mut first = Backend::start(script.clone()).await;
        let mut second = Backend::start(script).await;
        let fixture = Fixture::start(&[first.address, second.address]).await;
        let answer = fixture.call(&post("/write", "slot 7")).await;
        assert_eq!(
            (answer.status(), answer.refusal()),
            (502, ("unknown", reason))
        );
        assert_eq!(first.drain().len() + second.drain().len(), 1, "{reason}");
    }
}

/// Guards against a fault of one backend server reaching the caller of an idempotent request.
#[tokio::test]
async fn a_read_is_sent_to_another_server() {
    for Case { reply, reason } in faults() {
        let mut bad = Backend::start(move |_| reply.clone()).await;
        let mut good = Backend::start(|_| right()).await;
        let fixture = Fixture::start(&[bad.address, good.address]).await;
        // The choice is random; after eight requests the bad server was chosen at least once.
        for _ in 0..8 {
            let answer = fixture.call(&get("/read")).await;
            assert_eq!(
                (answer.status(), answer.body.as_slice()),
                (200, &b"right"[..])
            );
        }
        assert_ne!(bad.drain().len(), 0, "{reason}");
        assert_eq!(good.drain().len(), 8, "{reason}");
    }
}

/// Guards against retries without end when all backend servers fail.
#[tokio::test]
async fn retries_end() {
    let mut backends = Vec::new();
    for _ in 0..5 {
        backends.push(Backend::start(|_| Reply::Reset).await);
    }
    let addresses = backends.iter().map(|backend| backend.address);
    let fixture = Fixture::start(&addresses.collect::<Vec<_>>()).await;
    for _ in 0..100 {
        let answer = fixture.call(&get("/read")).await;
        assert_eq!(answer.refusal(), ("unknown", "lost-server"));
    }
    let sent = backends.iter_mut().map(|backend| backend.drain().len());
    // 100 requests, 10 retries saved up at the start and a tenth of 100 more.
    assert!((100..=120).contains(&sent.sum::<usize>()));
}

/// Guards against a silent backend server being asked twice to do the same.
#[tokio::test(start_paused = true)]
async fn a_silent_server_ends_in_a_timeout() {
    let _frozen = Frozen::new();
    let mut first = Backend::start(|_| Reply::Silent).await;
    let mut second = Backend::start(|_| Reply::Silent).await;
    let fixture = Fixture::start(&[first.address, second.address]).await;
    advance(FILL).await;
    let mut caller = Caller::connect(fixture.address).await;
    caller.send(&post("/write", "slot 7")).await;
    tokio::select! {
        seen = first.seen.recv() => assert!(seen.is_some()),
        seen = second.seen.recv() => assert!(seen.is_some()),
    }
    advance(TIMEOUT).await;
    let answer = caller.answer().await.expect("an answer");
    assert_eq!(answer.status(), 504);
    assert_eq!(answer.refusal(), ("unknown", "timeout"));
    // The request is cancelled at the backend server by closing its connection.
    tokio::select! {
        closed = first.closed.recv() => assert!(closed.is_some()),
        closed = second.closed.recv() => assert!(closed.is_some()),
    }
    assert_eq!(first.drain().len() + second.drain().len(), 0);
}

/// Guards against a request that was never sent being reported as lost.
#[test_case(get("/read"); "read")]
#[test_case(post("/write", "slot 7"); "write")]
#[tokio::test]
async fn a_refused_connection_is_tried_elsewhere(request: String) {
    // A bound socket that does not listen refuses connections and keeps its port from others.
    let closed = TcpSocket::new_v4().expect("a socket");
    let any = "127.0.0.1:0".parse().expect("an address");
    closed.bind(any).expect("free port");
    let dead = closed.local_addr().expect("bound socket");
    let alone = Fixture::start(&[dead]).await;
    assert_eq!(
        alone.call(&request).await.refusal(),
        ("not-run", "no-server")
    );
    let mut good = Backend::start(|_| right()).await;
    let fixture = Fixture::start(&[dead, good.address]).await;
    for _ in 0..8 {
        assert_eq!(fixture.call(&request).await.status(), 200);
    }
    assert_eq!(good.drain().len(), 8);
}

/// Guards against work being pushed onto a backend server that sheds load, and against a write
/// that was shed being refused with an unknown outcome.
#[tokio::test]
async fn shed_load_is_honoured() {
    let mut shedding = Backend::start(|_| Reply::Raw(SHED.to_vec())).await;
    let fixture = Fixture::start(&[shedding.address]).await;
    for request in [get("/read"), post("/write", "slot 7")] {
        let answer = fixture.call(&request).await;
        assert_eq!(
            (answer.status(), answer.header("retry-after")),
            (503, Some("2"))
        );
        assert_eq!(
            answer.header("azurenotch-reason"),
            None,
            "the backend server's own answer"
        );
    }
    assert_eq!(shedding.drain().len(), 2);
    let mut good = Backend::start(|_| right()).await;
    let fixture = Fixture::start(&[shedding.address, good.address]).await;
    for _ in 0..8 {
        assert_eq!(fixture.call(&get("/read")).await.status(), 200);
    }
    assert_eq!(good.drain().len(), 8);
}

/// Guards against a write on a connection that may have gone silent.
#[tokio::test(start_paused = true)]
async fn a_write_uses_only_a_proven_connection() {
    let _frozen = Frozen::new();
    let mut backend = Backend::start(|_| right()).await;
    let fixture = Fixture::start(&[backend.address]).await;
    advance(FILL).await;
    let request = post("/write", "slot 7");
    assert_eq!(fixture.call(&request).await.status(), 200);
    assert_eq!(fixture.call(&request).await.status(), 200);
    assert_eq!(
        backend.connections(),
        1,
        "a proven connection is used again"
    );
    advance(std::time::Duration::from_secs(1)).await;
    assert_eq!(fixture.call(&request).await.status(), 200);
    assert_eq!(backend.connections(), 2);
    assert_eq!(backend.drain().len(), 3);
}

/// Guards against a closed idle connection being taken for a failure of its backend server.
#[tokio::test]
async fn a_read_survives_closed_idle_connections() {
    let answer = b"HTTP/1.1 200 OK\r\nazurenotch-request: {id}\r\ncontent-length: 2\r\n\r\nok";
    let backend = Backend::start(|_| Reply::Raw(answer.to_vec())).await;
    let fixture = Fixture::start(&[backend.address]).await;
    for _ in 0..50 {
        assert_eq!(fixture.call(&get("/read")).await.status(), 200);
    }
}

/// Guards against a burst being refused although a slot becomes free at once, and against waiting
/// for a slot without end.
#[tokio::test(start_paused = true)]
async fn a_request_waits_a_short_time_for_a_slot() {
    let _frozen = Frozen::new();
    let (release, gate) = std::sync::mpsc::channel::<()>();
    let gate = std::sync::Mutex::new(gate);
    let mut backend = Backend::start_blocking(move |_| {
        let gate = gate.lock().expect("not poisoned");
        gate.recv().expect("test runs");
        right()
    })
    .await;
    let fixture = Fixture::start(&[]).await;
    let mut narrow = snapshot(&[backend.address], 2, false);
    for server in narrow.document.servers.values_mut() {
        server.slots = 1;
    }
    assert!(fixture.gateway.adopt(std::sync::Arc::new(narrow)));
    advance(FILL).await;
    let mut first = Caller::connect(fixture.address).await;
    first.send(&get("/read")).await;
    assert!(backend.seen.recv().await.is_some());
    let mut second = Caller::connect(fixture.address).await;
    second.send(&get("/read")).await;
    fixture.waits_for(2).await;
    release.send(()).expect("backend server runs");
    assert_eq!(first.answer().await.expect("an answer").status(), 200);
    assert!(backend.seen.recv().await.is_some());
    fixture.waits_for(1).await;
    first.send(&get("/read")).await;
    fixture.waits_for(2).await;
    advance(std::time::Duration::from_millis(100)).await;
    let refused = first.answer().await.expect("a refusal");
    assert_eq!(refused.refusal(), ("not-run", "overload"));
    release.send(()).expect("backend server runs");
    assert_eq!(second.answer().await.expect("an answer").status(), 200);
    assert_eq!(backend.drain().len(), 0);
}

/// Guards against reads that wait for their deadline on connections that went silent while idle.
#[tokio::test(start_paused = true)]
async fn a_read_on_a_silent_connection_is_hedged() {
    let _frozen = Frozen::new();
    let slow = Behaviour {
        latency: FILL,
        ..Behaviour::default()
    };
    let backend = Server::start(slow).await.expect("free port");
    let fixture = Fixture::start(&[backend.address()]).await;
    advance(FILL).await;
    let mut callers = Vec::new();
    for _ in 0..3 {
        let mut caller = Caller::connect(fixture.address).await;
        caller.send(&get("/read")).await;
        callers.push(caller);
    }
    backend.wait_for(|counter| counter.received == 3).await;
    backend.change(|behaviour| behaviour.latency = std::time::Duration::ZERO);
    advance(FILL).await;
    for caller in &mut callers {
        assert_eq!(caller.answer().await.expect("an answer").status(), 200);
    }
    fixture.waits_for(0).await;
    backend.silence_connections();
    let mut caller = Caller::connect(fixture.address).await;
    caller.send(&get("/read")).await;
    backend.wait_for(|counter| counter.silenced == 1).await;
    advance(std::time::Duration::from_millis(500)).await;
    assert_eq!(caller.answer().await.expect("an answer").status(), 200);
    // The other idle connections were closed with the silent one, so nothing waits again.
    for caller in &mut callers {
        assert_eq!(caller.call(&get("/read")).await.status(), 200);
    }
    assert_eq!(backend.counter().silenced, 1);
}
