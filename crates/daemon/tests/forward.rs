//! Requests that are forwarded to a backend server or refused.

mod support;

use azurenotch_config::document::Contract;
use azurenotch_daemon::{
    connection::listener::Listener,
    request::{clock::Monotonic, freshness::Freshness, gateway::Gateway},
};
use azurenotch_wire::{
    id::Incarnation,
    refusal::{Reason, Refusal},
    time::Instant,
};
use prometheus::Registry;
use slog::{Discard, Logger, o};
use std::sync::Arc;
use support::{Backend, Caller, Fixture, KEY, Reply, get, post};
use test_case::test_case;
use tokio_util::sync::CancellationToken;

/// Guards against a key or a forged identity reaching a backend server.
#[tokio::test]
async fn a_backend_server_sees_the_workspace_and_no_key() {
    let mut backend = Backend::start(|_| Reply::Answer("200 OK", b"labels".to_vec())).await;
    let fixture = Fixture::start(&[backend.address]).await;
    let request = format!(
        "GET /read/1?code=9 HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {KEY}\r\n\
         authorization: Bearer other\r\nazurenotch-workspace: hoteis\r\n\
         azurenotch-request: forged\r\nazurenotch-deadline-ms: 999999\r\n\
         proxy-authorization: x\r\nconnection: x-hop\r\nx-hop: 1\r\nx-kept: yes\r\n\r\n"
    );
    let answer = fixture.call(&request).await;
    assert_eq!(
        (answer.status(), answer.body.as_slice()),
        (200, &b"labels"[..])
    );
    let requests = backend.drain();
    assert_eq!(requests.len(), 1);
    let request = &requests[0];
    assert!(
        request.head.starts_with("GET /read/1?code=9 HTTP/1.1\r\n"),
        "{}",
        request.head
    );
    assert_eq!(request.header("azurenotch-workspace"), Some("correios"));
    assert_eq!(request.header("azurenotch-request"), Some("n1-7-0"));
    assert_eq!(request.header("x-kept"), Some("yes"));
    let left = request
        .header("azurenotch-deadline-ms")
        .expect("a deadline");
    assert!(left.parse::<u128>().expect("a number") <= support::ROUTE_TIMEOUT.as_millis());
    for text in [
        KEY,
        "other",
        "hoteis",
        "forged",
        "999999",
        "authorization",
        "x-hop",
    ] {
        assert!(!request.head.contains(text), "{text} in {}", request.head);
    }
    assert_eq!(answer.header("azurenotch-request"), None);
}

struct Case {
    request: String,
    status: u16,
    reason: &'static str,
}

fn get_with_key(path: &str, key: &str) -> String {
    get(path).replace(KEY, key)
}

/// Guards against a refused request that is still forwarded.
#[test_case(Case { request: get("/other"), status: 404, reason: "no-route" }; "no route")]
#[test_case(Case { request: get("/readx"), status: 404, reason: "no-route" }; "prefix of a longer segment")]
#[test_case(Case { request: get("/open/../read"), status: 400, reason: "malformed" }; "dot segment")]
#[test_case(Case { request: "GET /read HTTP/1.1\r\nhost: h\r\n\r\n".to_owned(), status: 401, reason: "no-key" }; "no key")]
#[test_case(Case { request: get_with_key("/read", "x"), status: 401, reason: "bad-key" }; "bad key")]
#[test_case(Case { request: get_with_key("/read", "old-key"), status: 401, reason: "withdrawn" }; "withdrawn key")]
#[test_case(Case { request: get_with_key("/read", "slow-key"), status: 429, reason: "rate" }; "rate")]
#[test_case(Case { request: get_with_key("/read", "narrow-key"), status: 429, reason: "concurrency" }; "concurrency")]
#[test_case(Case { request: get("/none"), status: 503, reason: "no-server" }; "no server")]
#[test_case(Case { request: post("/write", "").replace("content-length: 0", "content-length: 1048577"), status: 413, reason: "body-too-large" }; "declared body too large")]
#[test_case(Case { request: get("/read").replace("host: h", "host: h\r\nazurenotch-timeout-ms: soon"), status: 400, reason: "malformed" }; "malformed timeout")]
#[test_case(Case { request: get("/read").replace("host: h", "host: h\r\nazurenotch-timeout-ms: 0"), status: 504, reason: "timeout" }; "no time")]
#[test_case(Case { request: get("/read").replace("host: h\r\n", ""), status: 400, reason: "malformed" }; "no host")]
#[test_case(Case { request: get("/read").replace("host: h", "host: h\r\nhost: other"), status: 400, reason: "malformed" }; "two hosts")]
#[test_case(Case { request: "NOT HTTP\r\n\r\n".to_owned(), status: 400, reason: "malformed" }; "malformed request line")]
#[test_case(Case { request: get("/read").replace("host: h", &format!("host: h\r\nx-long: {}", "x".repeat(40_000))), status: 431, reason: "header-too-large" }; "header too large")]
#[tokio::test]
async fn a_refused_request_reaches_no_backend_server(case: Case) {
    let mut backend = Backend::start(|_| Reply::Answer("200 OK", Vec::new())).await;
    let fixture = Fixture::start(&[backend.address]).await;
    let answer = fixture.call(&case.request).await;
    assert_eq!(answer.status(), case.status, "{}", answer.head);
    assert_eq!(answer.refusal(), ("not-run", case.reason));
    assert_eq!(
        answer.header("azurenotch-alternatives"),
        Some("127.0.0.2:8080")
    );
    let body = serde_json::from_slice::<serde_json::Value>(&answer.body).expect("JSON");
    assert_eq!(body["reason"], case.reason);
    assert_eq!(body["alternatives"][0], "127.0.0.2:8080");
    // A refusal does not affect the next request.
    assert_eq!(fixture.call(&get("/read")).await.status(), 200);
    assert_eq!(backend.drain().len(), 1);
}

/// Guards against look-ups that need a configuration or a backend server.
#[tokio::test]
async fn a_look_up_names_the_hosts() {
    let fixture = Fixture::start(&[]).await;
    let answer = fixture
        .call("GET /.azurenotch/lookup?client=10.0.0.1 HTTP/1.1\r\nhost: h\r\n\r\n")
        .await;
    let body = String::from_utf8(answer.body.clone()).expect("text");
    assert_eq!(
        body,
        r#"{"lifetime_ms":10000,"hosts":[{"host":"n1","address":"127.0.0.1:8080","weight":100}]}"#
    );
    assert_eq!(answer.header("cache-control"), Some("max-age=10"));
}

/// Freshness check of a host that may have missed the withdrawal of a key.
#[derive(Debug)]
struct Isolated;

impl Freshness for Isolated {
    fn check(&self, _now: Instant, _contract: &Contract) -> Result<(), Refusal> {
        Err(Refusal::not_run(Reason::Isolated))
    }
}

/// Guards against an isolated host that accepts keys or refuses open routes.
#[tokio::test]
async fn an_isolated_host_refuses_keyed_requests() {
    let mut backend = Backend::start(|_| Reply::Answer("200 OK", Vec::new())).await;
    let isolate = |gateway: Gateway| gateway.with_freshness(Arc::new(Isolated));
    let fixture = Fixture::with(&[backend.address], isolate, |listener| listener).await;
    let refused = fixture.call(&get("/read")).await;
    assert_eq!(
        (refused.status(), refused.refusal()),
        (503, ("not-run", "isolated"))
    );
    let open = fixture.call("GET /open HTTP/1.1\r\nhost: h\r\n\r\n").await;
    assert_eq!(open.status(), 200);
    assert_eq!(backend.drain().len(), 1);
    let refusals = fixture.metric_sum("azurenotch_refusals_total");
    let requests = fixture.metric_sum("azurenotch_requests_total");
    assert_eq!((requests, refusals), (2, 1));
}

/// Guards against a request that runs before the host has a configuration.
#[tokio::test]
async fn a_host_without_configuration_refuses() {
    let built = Gateway::new(
        &"n1".into(),
        Incarnation(7),
        "lisboa".into(),
        Arc::new(Monotonic::new()),
        &Registry::new(),
    );
    let gateway = Arc::new(built.expect("empty registry"));
    let any = "127.0.0.1:0".parse().expect("an address");
    let log = Logger::root(Discard, o!());
    let listener = Listener::bind(any, gateway, log).await.expect("free port");
    let address = listener.address();
    tokio::spawn(listener.run(CancellationToken::new()));
    let answer = Caller::connect(address).await.call(&get("/read")).await;
    assert_eq!(
        (answer.status(), answer.refusal()),
        (503, ("not-run", "no-configuration"))
    );
}
