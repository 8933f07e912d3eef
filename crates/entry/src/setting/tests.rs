//! Parsing of settings, and changes of them without a restart.

use super::{Setting, Usage};
use std::time::Duration;
use test_case::test_case;

const TEXT: &str = "\
[host]
name = edge-porto-a-1
data-centre = porto-a
region = norte
callers = 127.0.0.1:8389
ready = 127.0.0.1:8384
look-ups = 127.0.0.1:8385
control = 127.0.0.1:8383
peer-port = 7460
seeds = 127.0.0.1:8383,127.0.0.2:8383
first-start = yes
[data-centre porto-a]
region = norte
[data-centre faro-a]
region = sul
[store]
address = 127.0.0.1:8382
[machine]
memory-mb = 260
descriptors = 4100
[bounds]
withdrawal-s = 5
drain-s = 2.5
strict-withdrawal = yes
";

#[test]
fn settings_are_read() {
    let setting = Setting::parse(TEXT).expect("valid settings");
    assert_eq!(setting.host.name.as_str(), "edge-porto-a-1");
    assert_eq!(setting.host.seeds.len(), 2);
    assert!(setting.host.is_first);
    assert_eq!(setting.data_centres.len(), 2);
    assert_eq!(setting.bounds.drain, Duration::from_millis(2500));
    assert_eq!(setting.bounds.withdrawal, Duration::from_secs(5));
}

/// Section of the usage reports.
const USAGE: &str = "address = 127.0.0.1:8386\nwindow-s = 5\nlate-s = 10\nlease-s = 3\n";

#[test_case(&[], false; "no duty")]
#[test_case(&["usage"], true; "without a name")]
#[test_case(&["usage usage-reports"], true; "the only duty")]
#[test_case(&["usage other", "usage usage-reports", "usage third"], true; "one of several duties")]
#[test_case(&["usage other"], false; "another duty")]
fn usage_is_reported_only_with_its_section(headers: &[&str], expected: bool) {
    let sections = headers.iter().map(|it| format!("[{it}]\n{USAGE}"));
    let text = TEXT.to_owned() + &sections.collect::<String>();
    let usage = Setting::parse(&text).expect("valid settings").usage;
    let expected = expected.then(|| Usage {
        address: "127.0.0.1:8386".parse().expect("valid address"),
        window: Duration::from_secs(5),
        late: Duration::from_secs(10),
        lease: Duration::from_secs(3),
    });
    assert_eq!(usage, expected);
}

#[test_case("address = 127.0.0.1:8386\n", ""; "no address")]
#[test_case("window-s = 5", "window-s = 0"; "no window")]
#[test_case("late-s = 10", "late-s = soon"; "not a number")]
fn wrong_settings_of_usage_are_refused(right: &str, wrong: &str) {
    let section = format!("[usage usage-reports]\n{USAGE}").replace(right, wrong);
    assert!(Setting::parse(&(TEXT.to_owned() + &section)).is_err());
}

#[test_case("region = sul", "regime = sul"; "unknown field")]
#[test_case("drain-s = 2.5", "drain-s = soon"; "not a number")]
#[test_case("[store]\naddress = 127.0.0.1:8382\n", ""; "no store")]
#[test_case("descriptors = 4100", "descriptors = 1"; "too few descriptors")]
fn wrong_settings_are_refused(right: &str, wrong: &str) {
    assert!(Setting::parse(&TEXT.replace(right, wrong)).is_err());
}

#[test_case("65536"; "too large")]
#[test_case("0"; "zero")]
fn a_peer_port_out_of_range_is_named(port: &str) {
    let text = TEXT.replace("peer-port = 7460", &format!("peer-port = {port}"));
    let error = Setting::parse(&text).expect_err("no such port").to_string();
    for part in ["line 9", "[host]", "\"peer-port\"", port] {
        assert!(error.contains(part), "{part} is missing in {error}");
    }
}

/// A change of the settings while the host runs.
struct Change {
    from: &'static str,
    to: &'static str,
    /// Settings that wait for the next start.
    waiting: &'static [&'static str],
}

#[test_case(Change { from: "withdrawal-s = 5", to: "withdrawal-s = 3", waiting: &[] }; "bound")]
#[test_case(Change { from: "127.0.0.1:8382", to: "127.0.0.9:8382", waiting: &[] }; "store")]
#[test_case(Change { from: "127.0.0.2:8383", to: "127.0.0.7:8383", waiting: &[] }; "seeds")]
#[test_case(Change { from: "memory-mb = 260", to: "memory-mb = 90", waiting: &[] }; "memory")]
#[test_case(Change { from: "[data-centre faro-a]", to: "[data-centre faro-b]", waiting: &[] }; "data centres")]
#[test_case(Change { from: "callers = 127.0.0.1:8389", to: "callers = 127.0.0.1:9389", waiting: &["callers"] }; "port")]
#[test_case(Change { from: "descriptors = 4100", to: "descriptors = 900", waiting: &["descriptors"] }; "descriptors")]
#[test_case(Change { from: "[machine]", to: "[usage]\naddress = 127.0.0.1:9\n[machine]", waiting: &["usage"] }; "usage")]
#[test_case(Change { from: "name = edge-porto-a-1", to: "name = edge-2", waiting: &["name"] }; "name")]
fn changes_without_a_restart(change: Change) {
    let former = Setting::parse(TEXT).expect("valid settings");
    let text = TEXT.replace(change.from, change.to);
    let next = Setting::parse(&text).expect("valid settings");
    assert_ne!(former, next, "the text differs");
    let (in_force, waiting) = former.succeeded_by(next.clone());
    assert_eq!(waiting, change.waiting);
    if waiting.is_empty() {
        assert_eq!(in_force, next);
    } else {
        assert_eq!(in_force, former);
    }
}
