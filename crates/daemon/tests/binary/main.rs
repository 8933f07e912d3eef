//! The daemon as a process: settings, start, invalid requests of callers, and stop.

mod log;
mod pause;
mod process;
mod reload;

use azurenotch_test_support::{
    caller::{Client, Raw},
    platform::Server as Platform,
};
use bytes::Bytes;
use http::StatusCode;
use process::{Installation, KEY, Process, command, keyed, settings, write_settings};
use serde_json::Value;
use std::{net::TcpListener, time::Duration};
use test_case::test_case;

/// Timeout for the answer to a slow caller, which the daemon refuses after 15 s.
const SLOW_CALLER_TIMEOUT: Duration = Duration::from_mins(1);

/// A start that exits before any port is served.
struct Start {
    /// Text of the settings file; `None` if there is no file.
    settings: Option<&'static str>,
    /// Whether `--check` is given, which only checks the settings.
    check: bool,
    code: i32,
    /// Texts that the output has to contain.
    output: &'static [&'static str],
}

const VALID_SETTINGS: &str = "[host]\nname = n1\ndata-centre = norte-1\nlisten = 127.0.0.1:0\n\
    peer = 127.0.0.1:0\noperator = 127.0.0.1:0\n[platform]\ntable = http://127.0.0.1:1\n\
    store = http://127.0.0.1:1\nroster = http://127.0.0.1:1\n";

/// Guards against starting with missing or invalid settings.
#[test_case("missing-file", Start { settings: None, check: false, code: 2, output: &["missing-file.ini", "No such file"] }; "missing file")]
#[test_case("empty", Start { settings: Some(""), check: false, code: 2, output: &["line 1: missing section [host]", "line 1: missing section [platform]"] }; "empty file")]
#[test_case("bad-value", Start { settings: Some("[host]\nname = n1\nlisten = here\n"), check: false, code: 2, output: &["line 3: field \"listen\" in [host]: \"here\" is not an address"] }; "bad value")]
#[test_case("unknown-field", Start { settings: Some("[host]\nname = n1\ncolour = blue\n"), check: false, code: 2, output: &["line 3: unknown field \"colour\" in [host]"] }; "unknown field")]
#[test_case("check-bad", Start { settings: Some("[host]\ncolour = blue\n"), check: true, code: 2, output: &["line 2: unknown field \"colour\" in [host]"] }; "check of bad settings")]
#[test_case("check-good", Start { settings: Some(VALID_SETTINGS), check: true, code: 0, output: &["settings are valid"] }; "check of good settings")]
fn a_start_ends_at_once(name: &str, start: Start) {
    let path = write_settings(name, start.settings.unwrap_or_default());
    if start.settings.is_none() {
        std::fs::remove_file(&path).expect("it was written");
    }
    let path = path.to_str().expect("the path is text");
    let mut arguments = vec!["--settings", path];
    arguments.extend(start.check.then_some("--check"));
    let output = command(&arguments).output().expect("the daemon starts");
    let text = String::from_utf8([output.stdout, output.stderr].concat()).expect("text");
    assert_eq!(output.status.code(), Some(start.code), "{text}");
    for expected in start.output {
        assert!(text.contains(expected), "{expected:?} is not in {text:?}");
    }
    assert!(!text.contains("daemon: serving"), "nothing is served");
}

/// Guards against a daemon that serves only some ports, or does not report which port is in use.
#[test_case("listen"; "callers")]
#[test_case("peer"; "hosts")]
#[test_case("operator"; "operators")]
fn a_port_in_use_is_named(field: &str) {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = taken.local_addr().expect("it is bound").to_string();
    let text = VALID_SETTINGS.replace(
        &format!("{field} = 127.0.0.1:0"),
        &format!("{field} = {address}"),
    );
    let path = write_settings(&format!("port-{field}"), &text);
    let path = path.to_str().expect("the path is text");
    let output = command(&["--settings", path]).output().expect("it starts");
    let text = String::from_utf8(output.stderr).expect("text");
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert!(text.contains(&address), "{text}");
    assert!(text.contains("in use"), "the cause is reported: {text}");
    assert!(!text.contains("daemon: serving"), "nothing is served");
}

/// Guards against a daemon that exits, or serves without a configuration, while the platform is
/// unreachable.
#[tokio::test]
async fn a_daemon_waits_for_the_platform() {
    let platform = Platform::start(1).await.expect("a port is free");
    let settings = settings(platform.address());
    let first = Process::start("platform-first", &settings).await;
    let text = include_str!("document.ini").replace("SERVER", "127.0.0.1:1");
    let expect = azurenotch_wire::version::Version::default();
    first
        .change(&azurenotch_config::change::Change::Apply { text, expect })
        .await;
    drop(first);
    platform.close().await;
    let mut daemon = Process::start("platform-away", &settings).await;
    assert_eq!(daemon.get("/healthz").await.status(), StatusCode::OK);
    let ready = daemon.get("/readyz").await.status();
    assert_eq!(ready, StatusCode::SERVICE_UNAVAILABLE);
    let answer = Client::new(daemon.callers).get("/consulta").await;
    let answer = answer.expect("callers are answered");
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.headers()["azurenotch-reason"], "no-configuration");
    assert_eq!(answer.headers()["azurenotch-outcome"], "not-run");
    platform.reopen().await.expect("the port is reserved");
    daemon.ready().await;
    daemon.terminate();
    assert_eq!(daemon.exit().await.code(), Some(0));
}

/// Guards against an invalid request that affects other callers or gets the wrong refusal.
#[test_case("malformed", "BAD\r\n\r\n".into(), "400", "malformed"; "malformed request")]
#[test_case("header", format!("GET /consulta HTTP/1.1\r\nhost: h\r\nx: {}\r\n\r\n", "x".repeat(5000)), "431", "header-too-large"; "header above the limit of the settings")]
#[test_case("body", format!("POST /consulta HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {KEY}\r\ncontent-length: 2000\r\n\r\n{}", "x".repeat(2000)), "413", "body-too-large"; "body above the limit of the route")]
#[test_case("slow", "GET /consulta HTTP/1.1\r\nhost: ".into(), "408", "slow-caller"; "header that does not end")]
#[tokio::test]
async fn a_bad_caller_disturbs_nobody(name: &str, bytes: String, status: &str, reason: &str) {
    let installation =
        Installation::start(&format!("caller-{name}"), "[limits]\nheader-bytes = 4KiB\n").await;
    let bad = Raw::connect(installation.daemon.callers).await;
    let mut bad = bad.expect("the port is open").timeout(SLOW_CALLER_TIMEOUT);
    bad.send(bytes.as_bytes()).await.expect("it is sent");
    assert_eq!(
        installation.call().await,
        StatusCode::OK,
        "others are served"
    );
    let head = bad.receive_head().await.expect("a refusal");
    let head = String::from_utf8(head).expect("text");
    assert!(head.starts_with(&format!("HTTP/1.1 {status}")), "{head}");
    assert!(
        head.contains(&format!("azurenotch-reason: {reason}\r\n")),
        "{head}"
    );
    assert_eq!(
        installation.call().await,
        StatusCode::OK,
        "others are served"
    );
}

/// Guards against a stop that interrupts running requests or exits with an error.
#[tokio::test]
async fn a_termination_cuts_no_request() {
    const REQUESTS: usize = 6;
    let mut installation = Installation::start("termination", "").await;
    installation
        .backend
        .change(|behaviour| behaviour.latency = Duration::from_secs(2));
    let before = installation.backend.counter().received;
    let requests = (0..REQUESTS).map(|_| {
        let mut client = Client::new(installation.daemon.callers).timeout(SLOW_CALLER_TIMEOUT);
        tokio::spawn(async move {
            let request = keyed("/consulta/bytes/100000", KEY).body(Bytes::new());
            client.send(request.expect("the request is valid")).await
        })
    });
    let requests = requests.collect::<Vec<_>>();
    installation
        .backend
        .wait_for(|counter| counter.received >= before + REQUESTS as u64)
        .await;
    installation.daemon.terminate();
    for request in requests {
        let answer = request.await.expect("no panic").expect("it is not cut");
        assert_eq!(answer.status(), StatusCode::OK);
        assert_eq!(answer.body().len(), 100_000);
    }
    assert_eq!(installation.daemon.exit().await.code(), Some(0));
    let log = installation.daemon.log().join("\n");
    assert!(log.contains("daemon: stopping"), "{log}");
}

/// Guards against keys in outputs, and against log lines that are not valid JSON records.
#[tokio::test]
async fn outputs_are_regular_and_hold_no_key() {
    const WRONG_KEY: &str = "0bad0bad-key-that-nobody-was-granted-0bad";
    let mut installation = Installation::start("outputs", "[log]\nlevel = trace\n").await;
    let mut client = Client::new(installation.daemon.callers);
    let request = keyed("/consulta", WRONG_KEY).body(Bytes::new());
    let answer = client.send(request.expect("valid")).await.expect("answer");
    assert_eq!(answer.headers()["azurenotch-reason"], "bad-key");
    let raw = Raw::connect(installation.daemon.callers).await;
    let mut raw = raw.expect("the port is open");
    let malformed = format!("GET / HTTP/1.1\r\nauthorization: Bearer {KEY}\r\n{WRONG_KEY}\r\n\r\n");
    raw.send(malformed.as_bytes()).await.expect("it is sent");
    raw.receive_head().await.expect("a refusal");
    let mut outputs = Vec::new();
    for path in [
        "/metrics",
        "/v1/events",
        "/v1/snapshot",
        "/v1/status",
        "/v1/hosts",
    ] {
        let answer = installation.daemon.get(path).await;
        assert_eq!(answer.status(), StatusCode::OK, "{path}");
        let text = String::from_utf8(answer.into_body().to_vec()).expect("text");
        outputs.push((path, text));
    }
    assert!(outputs[0].1.contains("azurenotch_requests_total"));
    assert!(outputs[1].1.contains("balcao"), "the grant is an event");
    installation.daemon.terminate();
    assert_eq!(installation.daemon.exit().await.code(), Some(0));
    let log = installation.daemon.log();
    assert!(!log.is_empty());
    for line in &log {
        let record = serde_json::from_str::<Value>(line).expect("each line is JSON");
        let message = record["msg"].as_str().expect("each record has a message");
        let (part, text) = message.split_once(": ").expect("the part comes first");
        let plain = |byte: u8| byte.is_ascii_lowercase() || byte == b'-';
        assert!(!part.is_empty() && part.bytes().all(plain), "{message}");
        assert!(!text.is_empty(), "{message}");
    }
    outputs.push(("log", log.join("\n")));
    for (name, text) in outputs {
        for key in [KEY, WRONG_KEY] {
            assert!(!text.contains(key), "{name} contains a key");
        }
    }
}
