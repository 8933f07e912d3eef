//! Number of attempts of a request, and the answer to its caller when an attempt fails.

mod support;

use azurenotch_core::request::deadline::ANSWER_ALLOWANCE;
use azurenotch_test_support::backend::{Behaviour, Mode, Server};
use support::{
    BUCKET_FILL_TIME, Backend, Caller, Fixture, FrozenClock, ROUTE_TIMEOUT, Reply, get, post,
    snapshot,
};
use test_case::test_case;
use tokio::{net::TcpSocket, time::advance};

const SHED_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Busy\r\nazurenotch-request: {id}\r\nretry-after: 2\r\ncontent-length: 0\r\n\r\n";
const WRONG_ID_RESPONSE: &[u8] =
    b"HTTP/1.1 200 OK\r\nazurenotch-request: n1-7-ffff\r\ncontent-length: 5\r\n\r\nother";
const NO_ID_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother";
const NO_LENGTH_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nazurenotch-request: {id}\r\n\r\npart";
const UNDEFINED_STATUS_RESPONSE: &[u8] =
    b"HTTP/1.1 600 High\r\nazurenotch-request: {id}\r\ncontent-length: 5\r\n\r\nother";
const ZERO_STATUS_RESPONSE: &[u8] =
    b"HTTP/1.1 000 None\r\nazurenotch-request: {id}\r\ncontent-length: 5\r\n\r\nother";
const NOT_HTTP_RESPONSE: &[u8] = b"hello\r\n\r\n";

fn ok_reply() -> Reply {
    Reply::Answer("200 OK", b"right".to_vec())
}

struct Case {
    reply: Reply,
    reason: &'static str,
}

fn faulty_replies() -> [Case; 7] {
    let case = |reply, reason| Case { reply, reason };
    [
        case(Reply::Reset, "lost-server"),
        case(Reply::Raw(NOT_HTTP_RESPONSE.to_vec()), "lost-server"),
        case(Reply::Raw(WRONG_ID_RESPONSE.to_vec()), "broken-answer"),
        case(Reply::Raw(NO_ID_RESPONSE.to_vec()), "broken-answer"),
        case(Reply::Raw(NO_LENGTH_RESPONSE.to_vec()), "broken-answer"),
        case(
            Reply::Raw(UNDEFINED_STATUS_RESPONSE.to_vec()),
            "broken-answer",
        ),
        case(Reply::Raw(ZERO_STATUS_RESPONSE.to_vec()), "lost-server"),
    ]
}

/// Guards against a non-idempotent request being sent again after a fault.
#[tokio::test]
async fn a_write_is_sent_once() {
    for Case { reply, reason } in faulty_replies() {
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
    for Case { reply, reason } in faulty_replies() {
        let mut bad = Backend::start(move |_| reply.clone()).await;
        let mut good = Backend::start(|_| ok_reply()).await;
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

/// Guards against unlimited retries when all backend servers fail.
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
    // 100 requests, an initial retry budget of 10, and 10 % of 100 requests as further retries.
    assert!((100..=120).contains(&sent.sum::<usize>()));
}

/// Guards against a second attempt of a write whose backend server does not answer.
#[tokio::test(start_paused = true)]
async fn a_silent_server_ends_in_a_timeout() {
    let _frozen = FrozenClock::new();
    let mut first = Backend::start(|_| Reply::Silent).await;
    let mut second = Backend::start(|_| Reply::Silent).await;
    let fixture = Fixture::start(&[first.address, second.address]).await;
    advance(BUCKET_FILL_TIME).await;
    let mut caller = Caller::connect(fixture.address).await;
    caller.send(&post("/write", "slot 7")).await;
    tokio::select! {
        request = first.requests.recv() => assert!(request.is_some()),
        request = second.requests.recv() => assert!(request.is_some()),
    }
    advance(ROUTE_TIMEOUT).await;
    // The server's own answer may be on its way.
    assert!(first.closed.try_recv().is_err() && second.closed.try_recv().is_err());
    advance(ANSWER_ALLOWANCE).await;
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

/// Guards against a host that gives up at the moment at which the server's answer is due.
#[tokio::test(start_paused = true)]
async fn an_answer_at_the_end_of_its_time_is_not_replaced() {
    let _frozen = FrozenClock::new();
    let slow = Behaviour {
        mode: Mode::Late(ROUTE_TIMEOUT + ANSWER_ALLOWANCE / 2),
        ..Behaviour::default()
    };
    let backend = Server::start(slow).await.expect("free port");
    let fixture = Fixture::start(&[backend.address()]).await;
    advance(BUCKET_FILL_TIME).await;
    let mut caller = Caller::connect(fixture.address).await;
    caller.send(&post("/write", "slot 7")).await;
    backend.wait_for(|counter| counter.received == 1).await;
    advance(ROUTE_TIMEOUT).await;
    advance(ANSWER_ALLOWANCE / 2).await;
    assert_eq!(caller.answer().await.expect("an answer").status(), 200);
}

/// Guards against an unknown outcome for a request that was never sent.
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
    let mut good = Backend::start(|_| ok_reply()).await;
    let fixture = Fixture::start(&[dead, good.address]).await;
    for _ in 0..8 {
        assert_eq!(fixture.call(&request).await.status(), 200);
    }
    assert_eq!(good.drain().len(), 8);
}

/// Guards against retries on a backend server that sheds load, and against an unknown outcome for
/// a write that was shed.
#[tokio::test]
async fn shed_load_is_honoured() {
    let mut shedding = Backend::start(|_| Reply::Raw(SHED_RESPONSE.to_vec())).await;
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
    let mut good = Backend::start(|_| ok_reply()).await;
    let fixture = Fixture::start(&[shedding.address, good.address]).await;
    for _ in 0..8 {
        assert_eq!(fixture.call(&get("/read")).await.status(), 200);
    }
    assert_eq!(good.drain().len(), 8);
}

/// Guards against a write on an idle connection whose peer may no longer be reachable.
#[tokio::test(start_paused = true)]
async fn a_write_uses_only_a_recently_used_connection() {
    let _frozen = FrozenClock::new();
    let mut backend = Backend::start(|_| ok_reply()).await;
    let fixture = Fixture::start(&[backend.address]).await;
    advance(BUCKET_FILL_TIME).await;
    let request = post("/write", "slot 7");
    assert_eq!(fixture.call(&request).await.status(), 200);
    assert_eq!(fixture.call(&request).await.status(), 200);
    assert_eq!(
        backend.connections(),
        1,
        "a recently used connection is reused"
    );
    advance(std::time::Duration::from_secs(1)).await;
    assert_eq!(fixture.call(&request).await.status(), 200);
    assert_eq!(backend.connections(), 2);
    assert_eq!(backend.drain().len(), 3);
}

/// Guards against a closed idle connection being counted as a failure of its backend server.
#[tokio::test]
async fn a_read_survives_closed_idle_connections() {
    let answer = b"HTTP/1.1 200 OK\r\nazurenotch-request: {id}\r\ncontent-length: 2\r\n\r\nok";
    let backend = Backend::start(|_| Reply::Raw(answer.to_vec())).await;
    let fixture = Fixture::start(&[backend.address]).await;
    for _ in 0..50 {
        assert_eq!(fixture.call(&get("/read")).await.status(), 200);
    }
}

/// Guards against refusing a burst although a slot becomes free at once, and against waiting for a
/// slot without limit.
#[tokio::test(start_paused = true)]
async fn a_request_waits_a_short_time_for_a_slot() {
    let _frozen = FrozenClock::new();
    let (release, gate) = std::sync::mpsc::channel::<()>();
    let gate = std::sync::Mutex::new(gate);
    let mut backend = Backend::start_blocking(move |_| {
        let gate = gate.lock().expect("not poisoned");
        gate.recv().expect("test runs");
        ok_reply()
    })
    .await;
    let fixture = Fixture::start(&[]).await;
    let mut narrow = snapshot(&[backend.address], 2, false);
    for server in narrow.document.servers.values_mut() {
        server.slots = 1;
    }
    assert!(fixture.gateway.adopt(std::sync::Arc::new(narrow)));
    advance(BUCKET_FILL_TIME).await;
    let mut first = Caller::connect(fixture.address).await;
    first.send(&get("/read")).await;
    assert!(backend.requests.recv().await.is_some());
    let mut second = Caller::connect(fixture.address).await;
    second.send(&get("/read")).await;
    fixture.wait_in_flight(2).await;
    release.send(()).expect("backend server runs");
    assert_eq!(first.answer().await.expect("an answer").status(), 200);
    assert!(backend.requests.recv().await.is_some());
    fixture.wait_in_flight(1).await;
    first.send(&get("/read")).await;
    fixture.wait_in_flight(2).await;
    advance(std::time::Duration::from_millis(100)).await;
    let refused = first.answer().await.expect("a refusal");
    assert_eq!(refused.refusal(), ("not-run", "overload"));
    release.send(()).expect("backend server runs");
    assert_eq!(second.answer().await.expect("an answer").status(), 200);
    assert_eq!(backend.drain().len(), 0);
}

/// Guards against reads that wait until their deadline on connections that broke without notice
/// while idle.
#[tokio::test(start_paused = true)]
async fn a_read_on_a_silent_connection_is_hedged() {
    let _frozen = FrozenClock::new();
    let slow = Behaviour {
        latency: BUCKET_FILL_TIME,
        ..Behaviour::default()
    };
    let backend = Server::start(slow).await.expect("free port");
    let fixture = Fixture::start(&[backend.address()]).await;
    advance(BUCKET_FILL_TIME).await;
    let mut callers = Vec::new();
    for _ in 0..3 {
        let mut caller = Caller::connect(fixture.address).await;
        caller.send(&get("/read")).await;
        callers.push(caller);
    }
    backend.wait_for(|counter| counter.received == 3).await;
    backend.change(|behaviour| behaviour.latency = std::time::Duration::ZERO);
    advance(BUCKET_FILL_TIME).await;
    for caller in &mut callers {
        assert_eq!(caller.answer().await.expect("an answer").status(), 200);
    }
    fixture.wait_in_flight(0).await;
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
