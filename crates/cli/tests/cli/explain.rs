//! `explain` on logs of several hosts.

use serde_json::Value;
use std::{
    io::Write,
    process::{Command, Stdio},
};
use test_case::test_case;

/// Logs of three hosts around a few failed requests, as a collector joins them.
const LOG: &str = include_str!("explain_current.log");
/// The same log with the messages of the build before they were reworded.
const OLD_BUILD_LOG: &str = include_str!("explain.log");

fn explain(arguments: &[&str], log: &str) -> (String, String, i32) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_azurenotch"))
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the command starts");
    let mut input = child.stdin.take().expect("stdin is piped");
    input.write_all(log.as_bytes()).expect("the log is read");
    drop(input);
    let output = child.wait_with_output().expect("the command ends");
    let text = |bytes| String::from_utf8(bytes).expect("text");
    let code = output.status.code().expect("no signal");
    (text(output.stdout), text(output.stderr), code)
}

/// A failed request and what its explanation must and must not contain.
struct Case {
    id: &'static str,
    /// Texts that the explanation has to contain, in this order.
    says: &'static [&'static str],
    /// Texts that it must not contain.
    never: &'static [&'static str],
}

#[test_case(Case { id: "reset", says: &[
    "state of its hosts before the request", "configuration: adopted", "version=4", "servers: server added or updated",
    "log lines of the request", "attempt: failed", "ending=reset", "request: answered", "status=502",
    "other events near the request", "edge-2  attempt: failed", "cause",
    "Send 1: i-1 closed the connection before its answer.", "ran the request or may have run it",
    "Near the request: 1 other failed sends to its backend servers.",
], never: &["version=3", "i-2", "overload"] }; "a backend server broke off")]
#[test_case(Case { id: "late", says: &[
    "status=504", "attempt: slower than expected", "Send 1: i-2 did not answer in time.",
    "The timeout of the route expired after 2000 ms; the answer was expected in 574 ms.",
], never: &["i-1"] }; "a slow backend server")]
#[test_case(Case { id: "full", says: &[
    "status=503",
    "The best server was i-2, with a queue of 1498 ms (load report: 231 ms old) and an answer \
     expected in 2156 ms; the objective is 500 ms, 1999 ms were left, and the rank is 0.",
    "No backend server ran the request.",
], never: &["Send 1:"] }; "a full backend server")]
#[test_case(Case { id: "stale", says: &[
    "feed: store reads failing", "status=503", "had received no updates of the keys", "edge-3 could not read the store (orders) at that time.",
], never: &["edge-1"] }; "a host without the store")]
#[test_case(Case { id: "gone", says: &["attempt: failed", "The log contains no answer"],
    never: &["request: answered"] }; "a request without an answer")]
fn the_cause_is_explained(case: Case) {
    for log in [LOG, OLD_BUILD_LOG] {
        let (text, error, code) = explain(&["explain", case.id], log);
        assert_eq!(code, 0, "{error}");
        let mut rest = text.as_str();
        for part in case.says {
            let at = rest.find(part);
            let at = at.unwrap_or_else(|| panic!("{part:?} is not in {rest}"));
            rest = &rest[at + part.len()..];
        }
        for part in case.never {
            assert!(!text.contains(part), "{part:?} is in {text}");
        }
    }
}

#[test]
fn the_order_of_the_files_does_not_matter() {
    for log in [LOG, OLD_BUILD_LOG] {
        let mut lines: Vec<&str> = log.lines().collect();
        let (sorted, ..) = explain(&["explain", "reset"], log);
        lines.reverse();
        let (reversed, ..) = explain(&["explain", "reset"], &lines.join("\n"));
        assert_eq!(sorted, reversed);
    }
}

#[test]
fn programs_get_json() {
    for log in [LOG, OLD_BUILD_LOG] {
        let (text, ..) = explain(&["--json", "explain", "full"], log);
        let value: Value = serde_json::from_str(&text).expect("JSON");
        assert_eq!(value["id"], "full");
        assert_eq!(value["course"][0]["fields"]["status"], 503);
    }
}

#[test]
fn an_unknown_id_is_an_error() {
    for log in [LOG, OLD_BUILD_LOG] {
        let (_, error, code) = explain(&["explain", "none"], log);
        assert_eq!(code, 1);
        assert!(error.contains("has the id \"none\""), "{error}");
    }
}

#[test_case("attempt: slow", "attempt: slower than expected")]
#[test_case("attempt: no answer", "attempt: failed")]
#[test_case("orders: move", "orders: move order received")]
#[test_case("orders: state of move", "orders: move state received")]
#[test_case("orders: evacuation", "orders: evacuation order received")]
#[test_case("servers: listed", "servers: server added or updated")]
#[test_case("servers: gone", "servers: server removed")]
#[test_case("servers: checked", "servers: health check passed")]
#[test_case(
    "entry: requests are cut",
    "entry: grace period over, running requests aborted"
)]
#[test_case("feed: regained", "feed: store reads succeeding")]
#[test_case("feed: lost", "feed: store reads failing")]
#[test_case("hosts: gone", "hosts: unreachable peer removed")]
#[test_case("hosts: heard", "hosts: peer joined or restarted")]
#[test_case("relay: no answer", "relay: request to peer failed")]
#[test_case("settings: in force", "settings: applied")]
#[test_case("settings: unusable", "settings: rejected")]
fn an_old_message_is_explained_as_its_new_text(old: &str, new: &str) {
    let explained = |message: &str| {
        let event = format!(
            r#"{{"msg":"{message}","ts":"2026-07-26T18:42:47.9Z","host":"edge-1","server":"i-1"}}"#
        );
        let log = format!("{event}\n{LOG}");
        let (text, error, code) = explain(&["explain", "reset"], &log);
        assert_eq!(code, 0, "{error}");
        text
    };
    assert!(explained(new).contains(&format!("-0.087 s  edge-1  {new}")));
    assert_eq!(explained(old), explained(new));
}

/// Reason of a rejection, and the sentence that explains it.
struct Rejection {
    reason: &'static str,
    says: &'static str,
}

#[test_case(Rejection { reason: "connection-limit", says: "All connections that the host may have had requests; this one was accepted 12 ms before." }; "no room for the connection")]
#[test_case(Rejection { reason: "paused", says: "All backend servers that could take the request had asked for a pause." }; "servers that want no requests")]
fn rejections_are_explained(case: Rejection) {
    let log = format!(
        r#"{{"msg":"connections: limit reached","level":"WARN","ts":"2026-07-26T18:42:50.000000Z","host":"edge-1","port":"callers"}}
{{"msg":"request: answered","level":"WARN","ts":"2026-07-26T18:42:56.000000Z","host":"edge-1","id":"x","status":503,"reason":"{}","ran":false,"ms":0,"connection-ms":12}}
"#,
        case.reason
    );
    let (text, error, code) = explain(&["explain", "x"], &log);
    assert_eq!(code, 0, "{error}");
    for part in [
        "connections: limit reached",
        case.says,
        "No backend server ran the request.",
    ] {
        assert!(text.contains(part), "{part:?} is not in {text}");
    }
}
