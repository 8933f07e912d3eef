//! The stand-in backend server and the test callers against each other.

use azurenotch_test_support::{
    backend::{Behaviour, Cold, Load, Mode, Outcome, RELEASE, Reported, Server, byte_at},
    caller::{Client, Error, Raw},
};
use azurenotch_wire::refusal;
use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use std::time::Duration;
use test_case::test_case;
use tokio::time;

/// Latency that no test reaches in real time.
const LONG: Duration = Duration::from_secs(50);
const MOST_OF_LONG: Duration = Duration::from_secs(45);
const REST_OF_LONG: Duration = Duration::from_secs(5);

async fn start(behaviour: Behaviour) -> (Server, Client) {
    let server = Server::start(behaviour).await.expect("a port is free");
    let client = Client::new(server.address()).timeout(LONG * 10);
    (server, client)
}

fn request(path: &str, id: &str) -> Request<Bytes> {
    Request::builder()
        .method("POST")
        .uri(path)
        .header(refusal::REQUEST, id)
        .header(refusal::WORKSPACE, "aprel")
        .body(Bytes::from_static(b"abc"))
        .expect("the request is valid")
}

/// Advances paused time after the server has received the given number of requests.
async fn pass(server: &Server, received: u64, duration: Duration) {
    server.wait_for(|count| count.received == received).await;
    time::pause();
    time::advance(duration).await;
    time::resume();
}

fn echo(answer: &Response<Bytes>) -> Option<&str> {
    answer.headers().get(refusal::REQUEST)?.to_str().ok()
}

// Guards against a fault mode without effect.
#[test_case(Mode::Normal, Some("r1"); "right")]
#[test_case(Mode::WrongId, Some("r1-other"); "wrong id")]
#[test_case(Mode::MissingId, None; "missing id")]
#[tokio::test]
async fn mode_changes_echo(mode: Mode, expected: Option<&str>) {
    let (server, mut client) = start(Behaviour::default()).await;
    server.override_mode(mode, 1);
    let answer = client.send(request("/a", "r1")).await.expect("it answers");
    assert_eq!(echo(&answer), expected);
    assert_eq!(answer.headers()[RELEASE], "1");
    assert_eq!(answer.body(), "1\n");
    let answer = client.send(request("/a", "r2")).await.expect("it answers");
    assert_eq!(echo(&answer), Some("r2"));
}

// Guards against broken connections that look like complete answers.
#[test_case(Mode::Truncated, true; "truncated")]
#[test_case(Mode::Hangup, false; "closed without an answer")]
#[tokio::test]
async fn mode_breaks_connection(mode: Mode, has_head: bool) {
    let (server, mut client) = start(Behaviour::default()).await;
    server.override_mode(mode, 1);
    let broken = client.send(request("/x/bytes/50000", "r1")).await;
    match broken {
        Err(Error::Truncated { .. }) => assert!(has_head),
        Err(Error::Unanswered { .. }) => assert!(!has_head),
        other => panic!("unexpected result {other:?}"),
    }
    assert_eq!(server.counter().failed, 1);
    client.get("/a").await.expect("the next request works");
    assert_eq!(server.receipts()[1].connection, 1);
}

// Guards against wrong content, and against receipts that lack parts of a request.
#[tokio::test]
async fn streams_and_records() {
    let (server, mut client) = start(Behaviour::default()).await;
    let path = "/catalogue/bytes/100000";
    let answer = client.send(request(path, "r1")).await.expect("it answers");
    let expected: Vec<u8> = (0..100_000).map(byte_at).collect();
    assert_eq!(answer.body(), &expected);
    client
        .send(request("/a?b", "r1"))
        .await
        .expect("it answers");
    assert_eq!((server.count("r1"), server.count("r2")), (2, 0));
    let receipts = server.receipts();
    assert_eq!(receipts[1].path, "/a?b");
    for receipt in &receipts {
        assert_eq!(receipt.workspace.as_deref(), Some("aprel"));
        assert_eq!(receipt.body_bytes, 3);
        assert_eq!(receipt.outcome, Outcome::Answered);
        assert_eq!(receipt.connection, 0);
    }
}

// Guards against a server that runs more requests than it has slots, or loses a slot when a
// caller gives up, and against current values where a fixed or delayed report is set.
#[tokio::test]
async fn sheds_above_slots_and_frees_cancelled() {
    let (server, mut first) = start(Behaviour {
        slots: 1,
        latency: LONG,
        ..Behaviour::default()
    })
    .await;
    let mut second = Client::new(server.address());
    let running = tokio::spawn(async move {
        let _ = first.get("/slow").await;
    });
    server.wait_for(|count| count.received == 1).await;
    let shed = second.get("/a").await.expect("it answers");
    assert_eq!(shed.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(shed.headers()[header::RETRY_AFTER], "1");

    for (reported, expected) in [
        (Reported::Actual, 1),
        (Reported::Fixed(7), 7),
        (Reported::Delayed(LONG), 0),
    ] {
        server.change(|behaviour| behaviour.load_reported = reported);
        let answer = second.get("/load").await.expect("it answers");
        let load: Load = serde_json::from_slice(answer.body()).expect("it is a load");
        assert_eq!((load.in_flight, load.slots), (expected, 1));
    }
    running.abort();
    server.wait_for(|count| count.cancelled == 1).await;
    assert_eq!(server.receipts()[0].outcome, Outcome::Cancelled);
    server.change(|behaviour| behaviour.latency = Duration::ZERO);
    let answer = second.get("/a").await.expect("it answers");
    assert_eq!(answer.status(), StatusCode::OK);
}

// Guards against a health endpoint that ignores a fixed or delayed report.
#[test_case(Reported::Actual, StatusCode::SERVICE_UNAVAILABLE; "truth")]
#[test_case(Reported::Fixed(true), StatusCode::OK; "lie")]
#[test_case(Reported::Delayed(LONG), StatusCode::OK; "lag")]
#[tokio::test]
async fn health_is_reported(reported: Reported<bool>, expected: StatusCode) {
    let (server, mut client) = start(Behaviour::default()).await;
    server.change(|behaviour| {
        behaviour.healthy = false;
        behaviour.health_reported = reported;
    });
    let answer = client.get("/health").await.expect("it answers");
    assert_eq!(answer.status(), expected);
    assert_eq!(server.counter().received, 0);
}

// Guards against silent connections that answer, and against new ones that do not.
#[tokio::test]
async fn silence_spares_new_connections() {
    let (server, mut old) = start(Behaviour::default()).await;
    old.get("/a").await.expect("it answers");
    server.silence_connections();
    let silent = tokio::spawn(async move { old.get("/b").await });
    server.wait_for(|count| count.silenced == 1).await;
    let mut new = Client::new(server.address());
    new.get("/c").await.expect("a new connection works");
    assert!(!silent.is_finished());
    assert_eq!(server.counter().received, 2);
    silent.abort();
}

fn cold(requests: u64, time: Duration) -> Cold {
    Cold {
        requests,
        time,
        extra: LONG,
    }
}

// Guards against latency, a cold start or a deadline without effect.
#[test_case(cold(0, Duration::ZERO), LONG, None, StatusCode::OK; "latency")]
#[test_case(cold(1, Duration::ZERO), Duration::ZERO, None, StatusCode::OK; "cold first request")]
#[test_case(cold(0, LONG), Duration::ZERO, None, StatusCode::OK; "cold first seconds")]
#[test_case(
    cold(0, Duration::ZERO), LONG * 2, Some(LONG), StatusCode::GATEWAY_TIMEOUT; "deadline"
)]
#[tokio::test]
async fn answer_takes_time(
    cold: Cold,
    latency: Duration,
    deadline: Option<Duration>,
    expected: StatusCode,
) {
    let (server, mut client) = start(Behaviour {
        latency,
        cold,
        ..Behaviour::default()
    })
    .await;
    let mut request = request("/a", "r1");
    if let Some(deadline) = deadline {
        let value = deadline.as_millis().to_string().parse();
        let value = value.expect("a number is a header value");
        request.headers_mut().insert(refusal::DEADLINE, value);
    }
    let call = tokio::spawn(async move { (client.send(request).await, client) });
    pass(&server, 1, MOST_OF_LONG).await;
    assert!(!call.is_finished());
    pass(&server, 1, REST_OF_LONG).await;
    let (answer, mut client) = call.await.expect("the call does not panic");
    assert_eq!(answer.expect("it answers").status(), expected);
    server.change(|behaviour| behaviour.latency = Duration::ZERO);
    client
        .get("/b")
        .await
        .expect("the warm server answers at once");
}

// Guards against an error share that ignores its bounds or its seed.
#[tokio::test]
async fn errors_follow_seed() {
    let mut runs = Vec::new();
    for seed in [3, 3, 4] {
        let (server, mut client) = start(Behaviour {
            error_share: 0.5,
            seed,
            ..Behaviour::default()
        })
        .await;
        let mut statuses = Vec::new();
        for _ in 0..64 {
            statuses.push(client.get("/a").await.expect("it answers").status());
        }
        assert_eq!(server.counter().failed + server.counter().answered, 64);
        runs.push(statuses);
    }
    assert_eq!(runs[0], runs[1]);
    assert_ne!(runs[0], runs[2]);
}

// Guards against a raw caller that alters its bytes, and a server that runs partial requests.
#[tokio::test]
async fn raw_bytes_arrive_as_sent() {
    let (server, _) = start(Behaviour::default()).await;
    let mut raw = Raw::connect(server.address()).await.expect("it listens");
    let text = b"GET /slow HTTP/1.1\r\nhost: a\r\n\r\n";
    raw.send_slowly(text, 10, Duration::from_micros(1))
        .await
        .expect("it reads");
    let head = raw.receive_head().await.expect("it answers");
    assert!(head.starts_with(b"HTTP/1.1 200 OK\r\n"));
    assert_eq!(raw.receive_exact(2).await.expect("it answers"), b"1\n");

    raw.send(b"PUT /cut HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nabc")
        .await
        .expect("it reads");
    raw.finish().await.expect("it reads");
    let _ = raw.receive_rest().await;
    server.wait_for(|count| count.cancelled == 1).await;
    assert_eq!(server.counter().answered, 1);

    let mut raw = Raw::connect(server.address()).await.expect("it listens");
    raw.send(b"not HTTP\r\n\r\n").await.expect("it reads");
    let rest = raw.receive_rest().await.expect("it answers");
    assert!(rest.starts_with(b"HTTP/1.1 400 Bad Request\r\n"));
}
