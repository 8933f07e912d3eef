//! Requests that the commands send, and what they print.

use crate::support::{DOCUMENT, Host, Reply, accepting, closed, file, problem, run, version};
use azurenotch_config::{change::Change, snapshot::KeyHash};
use serde_json::Value;
use test_case::test_case;

struct Case {
    args: &'static str,
    /// Request, or the line that describes the change that is asked for.
    asks: &'static str,
    prints: &'static str,
}

/// Guards against a command that sends another request than the one it reports.
#[test_case(Case { args: "status", asks: "GET /v1/status", prints: "\
FIELD          VALUE
host           n1
incarnation    3
data centre    norte-1
state          live
version        1.6
store contact  120 ms ago
in flight      5
roles          budget, planner
" }; "status")]
#[test_case(Case { args: "hosts", asks: "GET /v1/hosts", prints: "\
HOST     DATA CENTRE  STATE    VERSION       CALLERS         OPERATORS
n1       norte-1      live     1.6           127.0.0.1:8080  127.0.0.1:9
norte-2  norte-1      suspect  1.5 (behind)  127.0.0.1:8080  127.0.0.1:9
" }; "hosts")]
#[test_case(Case { args: "key list", asks: "GET /v1/snapshot", prints: "\
WORKSPACE  NAME  STATE
ctt        app   granted
ctt        desk  withdrawn
" }; "key list")]
#[test_case(Case { args: "key list other", asks: "GET /v1/snapshot", prints: "There are no keys.\n" }; "key list of another workspace")]
#[test_case(Case { args: "key withdraw ctt app", asks: "withdraw key app of workspace ctt", prints: "Key app of workspace ctt is withdrawn in version 1.7.\n" }; "key withdraw")]
#[test_case(Case { args: "move status", asks: "GET /v1/snapshot", prints: "\
SERVICE   MOVE  FROM  TO  STATE    SHARE  WITHIN  NOTE
consulta  1     1     2   running  0.0 %  2h      \n" }; "move status")]
#[test_case(Case { args: "move start consulta 2 --within 90m", asks: "move service consulta to version 2 within 5400s", prints: "Service consulta moves to version 2 within 90m, from configuration 1.7.\n" }; "move start")]
#[test_case(Case { args: "move cancel consulta", asks: "cancel the move of service consulta", prints: "The move of service consulta is cancelled in configuration 1.7.\n" }; "move cancel")]
#[test_case(Case { args: "drain c1", asks: "drain backend server c1", prints: "Backend server c1 takes no new work from version 1.7.\n" }; "drain")]
#[test_case(Case { args: "drain --undo c1", asks: "end the drain of backend server c1", prints: "The drain of backend server c1 ends in version 1.7.\n" }; "end of a drain")]
#[tokio::test]
async fn asks_and_prints(case: Case) {
    let host = accepting().await;
    let run = run(&[host.address], case.args).await;
    assert_eq!((run.code, run.stderr.as_str()), (0, ""));
    assert_eq!(run.stdout, case.prints);
    let [seen] = &host.seen()[..] else {
        panic!("one request, not {:?}", host.seen());
    };
    let asked = host.changes().first().map(Change::to_string);
    assert_eq!(asked.unwrap_or(seen.line.clone()), case.asks);
}

/// Guards against output that programs cannot read.
#[test_case("status", "/version/number", "6"; "status")]
#[test_case("hosts", "/1/state", "\"suspect\""; "hosts")]
#[test_case("key list", "/0/name", "\"app\""; "key list")]
#[test_case("key withdraw ctt app", "/version/number", "7"; "key withdraw")]
#[test_case("move status", "/consulta/state", "\"running\""; "move status")]
#[test_case("drain c1", "/in_force", "null"; "drain")]
#[tokio::test]
async fn prints_json(args: &str, pointer: &str, expected: &str) {
    let host = accepting().await;
    let run = run(&[host.address], &format!("--json {args}")).await;
    let json = serde_json::from_str::<Value>(&run.stdout).unwrap();
    assert_eq!(json.pointer(pointer).unwrap().to_string(), expected);
}

/// Guards against a document that is changed on its way, or sent for another version.
#[tokio::test]
async fn diff_and_apply_use_the_file() {
    let host = accepting().await;
    let text = DOCUMENT.replace("200/s", "300/s");
    let path = file("apply.ini", &text);
    let shown = run(&[host.address], &format!("diff {path}")).await;
    let change = "[workspace ctt] rate: 200/s -> 300/s";
    assert_eq!(
        shown.stdout,
        format!("{path} changes version 1.6:\n  {change}\n")
    );
    let done = run(&[host.address], &format!("apply {path} --expect 1.6")).await;
    assert_eq!(done.stdout, format!("{path} is accepted as version 1.7.\n"));
    let expect = version(6);
    assert_eq!(host.changes(), [Change::Apply { text, expect }]);
}

/// Guards against a key that leaves the operator's machine, or that nobody can use.
#[tokio::test]
async fn a_new_key_is_printed_and_only_its_hash_is_sent() {
    let host = accepting().await;
    let granted = run(&[host.address], "key grant ctt app2").await;
    let key = granted.stdout.lines().last().unwrap();
    assert_eq!((granted.code, key.len()), (0, 64));
    assert!(!host.seen()[0].body.contains(key));
    let expected = Change::GrantKey {
        hash: KeyHash::of(key.as_bytes()),
        workspace: "ctt".into(),
        name: "app2".to_owned(),
    };
    assert_eq!(host.changes(), [expected]);
    let other = run(&[host.address], "key grant ctt app3").await;
    assert_ne!(other.stdout.lines().last(), Some(key));
}

const KEY: &str = "0123456789abcdef0123456789abcdef-secret";

/// Guards against a key in an error, in the output or in a request.
#[test_case(KEY, Reply::Answer(200, r#"{"version":{"epoch":1,"number":7}}"#.to_owned()), 0; "granted")]
#[test_case(KEY, problem(422, "invalid", None), 5; "refused")]
#[test_case(KEY, Reply::Hangup, 4; "lost answer")]
#[test_case(KEY, Reply::Answer(200, "{}".to_owned()), 4; "answer that cannot be decoded")]
#[test_case("0123456789abcdef0123456789abcdef secret", Reply::Hangup, 2; "not a key")]
#[test_case("secret", Reply::Hangup, 2; "too short")]
#[tokio::test]
async fn an_existing_key_is_never_shown(key: &'static str, reply: Reply, code: i32) {
    let host = Host::start(move |_, _| reply.clone()).await;
    let path = file("key", &format!("{key}\n"));
    let args = format!("key grant ctt app --key-file {path}");
    for args in [args.clone(), format!("--json {args}")] {
        let run = run(&[host.address], &args).await;
        assert_eq!(run.code, code, "{run:?}");
        assert!(!format!("{run:?}{:?}", host.seen()).contains("secret"));
    }
    for change in host.changes() {
        let hash = KeyHash::of(KEY.as_bytes());
        assert!(matches!(change, Change::GrantKey { hash: sent, .. } if sent == hash));
    }
}

/// Guards against a command that fails although another host answers.
#[tokio::test]
async fn the_next_host_is_asked_when_one_cannot_be_reached() {
    let (host, (address, _socket)) = (accepting().await, closed());
    for args in ["status", "drain c1"] {
        assert_eq!(run(&[address, host.address], args).await.code, 0);
    }
    let variable = format!("AZURENOTCH_HOST={address},{} hosts", host.address);
    assert_eq!(run(&[], &variable).await.code, 0);
    // An address among the arguments replaces those of the environment.
    assert_eq!(run(&[address], &variable).await.code, 4);
    assert_eq!(host.seen().len(), 3);
}
