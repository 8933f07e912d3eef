//! The merged timeline in its formats.

use crate::support::{Host, closed, event, file, json, peer, run, version};
use azurenotch_core::process::timeline::merge;
use azurenotch_wire::{
    event::{Event, Kind, Reachability},
    id::Incarnation,
    operator::Events,
};
use serde_json::Value;
use std::net::SocketAddr;
use test_case::test_case;

/// Wall clock of the first event: 2026-12-04 00:00:00 UTC.
const START: u64 = 1_796_342_400_000;
/// Wall clock far in the future, so that it is never older than a filter.
const FUTURE: u64 = 32_503_680_000_000;
const HOSTILE: &str = "n2<script>alert('&\"')</script>";

fn accepted(change: &str) -> Kind {
    Kind::Accepted {
        version: version(7),
        change: change.to_owned(),
    }
}

/// Events of two hosts; their order over both is the order of the number in `Started`.
fn events() -> [Vec<Event>; 2] {
    let started = |number| Kind::Started {
        incarnation: Incarnation(number),
    };
    let share = |workspace: &str| Kind::Share {
        workspace: workspace.into(),
        rate: 2.0,
        burst: 1.0,
    };
    let moved = Kind::MoveShare {
        service: "consulta".into(),
        release: "<2>".into(),
        share: 0.01,
    };
    [
        vec![
            event("n1", 1, START, started(1)),
            event("n1", 2, START + 20, share("ctt")),
            event(
                "n1",
                3,
                START + 40,
                accepted("grant key a to workspace ctt"),
            ),
        ],
        vec![
            event(HOSTILE, 1, START + 10, share("aprel")),
            event(HOSTILE, 2, START + 30, moved),
            event(
                HOSTILE,
                3,
                FUTURE,
                accepted("raise move 1 of service consulta: ok"),
            ),
        ],
    ]
}

/// Starts two hosts with events and one that lists them with a third that cannot be reached.
async fn fleet(missing: SocketAddr) -> [Host; 3] {
    let [first, second] = events().map(|events| Events { events, next: 3 });
    let first = Host::start(move |_, _| json(&first)).await;
    let second = Host::start(move |_, _| json(&second)).await;
    let list = [
        peer("n1", first.address, Reachability::Live, 6),
        peer(HOSTILE, second.address, Reachability::Live, 6),
        peer("n3", missing, Reachability::Dead, 6),
    ];
    let lister = Host::start(move |_, _| json(&list)).await;
    [lister, first, second]
}

/// Guards against an order that differs from that of the stamps, and against wrong filters.
#[test_case("", &[0, 1, 2, 3, 4, 5]; "all")]
#[test_case("--workspace ctt", &[2, 4]; "workspace")]
#[test_case("--service consulta", &[3, 5]; "service")]
#[test_case("--host-name n1", &[0, 2, 4]; "host")]
#[test_case("--since-seconds 60", &[5]; "since")]
#[test_case("--workspace ctt --since-seconds 60", &[]; "none")]
#[tokio::test]
async fn merges_and_filters(filters: &str, expected: &[usize]) {
    let (missing, _socket) = closed();
    let [lister, first, second] = fleet(missing).await;
    let all = merge(events().to_vec());
    let run_json = run(&[lister.address], &format!("--json timeline {filters}")).await;
    let json = serde_json::from_str::<Value>(&run_json.stdout).unwrap();
    let expected = expected.iter().map(|index| all[*index].clone());
    let expected = expected.collect::<Vec<_>>();
    let events = serde_json::from_value::<Vec<Event>>(json["events"].clone());
    assert_eq!(events.unwrap(), expected);
    // A filter by host asks only this host.
    let one = filters.contains("--host-name");
    let unreachable: &[&str] = if one { &[] } else { &["n3"] };
    assert_eq!(json["unreachable"], serde_json::json!(unreachable));
    assert_eq!(first.seen()[0].line, "GET /v1/events?after=0");
    assert_eq!(second.seen().is_empty(), one);
}

#[tokio::test]
async fn the_text_has_one_line_per_event() {
    let (missing, _socket) = closed();
    let [lister, ..] = fleet(missing).await;
    let run = run(&[lister.address], "timeline --host-name n1").await;
    let expected = "\
TIME (UTC)               HOST  EVENT
2026-12-04 00:00:00.000  n1    host started, incarnation 1
2026-12-04 00:00:00.020  n1    workspace ctt: share is 2.0/s, burst 1.0
2026-12-04 00:00:00.040  n1    change accepted as 1.7: grant key a to workspace ctt
";
    assert_eq!((run.code, run.stdout.as_str()), (0, expected));
}

/// Guards against events that the page leaves out, and against names that break it.
#[tokio::test]
async fn the_page_has_every_event_and_stands_alone() {
    let (missing, _socket) = closed();
    let [lister, ..] = fleet(missing).await;
    let path = file("timeline.html", "");
    let run = run(&[lister.address], &format!("timeline --html {path}")).await;
    assert_eq!(run.code, 0, "{}", run.stderr);
    assert!(
        run.stdout
            .starts_with(&format!("6 events are written to {path}.\n"))
    );
    assert!(
        run.stdout
            .ends_with("Host n3 does not answer; its events are missing.\n")
    );
    let page = std::fs::read_to_string(&path).unwrap();
    let count = |text: &str| page.matches(text).count();
    assert_eq!((count("<circle "), count("<tr data-kind=")), (6, 6));
    for event in events().into_iter().flatten() {
        let escape = |text: String| text.replace('<', "&lt;").replace('>', "&gt;");
        // Once as the hover text of the mark and once in the table.
        assert_eq!(count(&escape(event.kind.to_string())), 2, "{}", event.kind);
    }
    for kind in ["started", "share", "accepted", "move-share"] {
        assert_eq!(count(&format!("value=\"{kind}\" checked")), 1, "{kind}");
    }
    assert_eq!((count("<script"), count("alert('")), (1, 0));
    assert!(count("n2&lt;script&gt;alert(&#39;&amp;&quot;&#39;)&lt;/script&gt;") > 6);
    assert!(page.contains("Host n3 does not answer"));
    for external in ["http:", "https:", "src=", "href=", "url(", "@import"] {
        assert_eq!(count(external), 0, "{external}");
    }
}

/// Guards against a page that cannot be drawn without events.
#[tokio::test]
async fn a_page_without_events_is_drawn() {
    let lister = Host::start(|_, _| json(Vec::<u8>::new())).await;
    let path = file("empty.html", "");
    let run = run(&[lister.address], &format!("timeline --html {path}")).await;
    let page = std::fs::read_to_string(&path).unwrap();
    assert_eq!((run.code, page.contains("NaN")), (0, false));
    assert!(page.contains("</svg>"));
}
