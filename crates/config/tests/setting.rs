//! Parsing a daemon's settings.

use azurenotch_config::setting::{Level, Limits, Setting};
use std::time::Duration;
use test_case::test_case;

const MINIMAL: &str = "\
[host]
name = n1
data-centre = norte-1
listen = 127.0.0.1:8080
peer = 127.0.0.1:8081
operator = 127.0.0.1:8082
[platform]
table = http://127.0.0.9:7000
store = http://127.0.0.9:7001
roster = http://127.0.0.9:7002
";

#[test]
fn fields_and_defaults_are_read() {
    let setting = Setting::parse(MINIMAL).expect("the settings are valid");
    assert_eq!(setting.host.name.as_str(), "n1");
    assert_eq!(setting.host.peer.port(), 8081);
    assert_eq!(setting.platform.store.to_string(), "http://127.0.0.9:7001");
    assert_eq!(setting.platform.timeout, Duration::from_secs(2));
    assert_eq!(
        (setting.limits, setting.log.level),
        (Limits::default(), Level::Info)
    );
    let text = format!("{MINIMAL}[limits]\nheader-bytes = 8KiB\nqueue = 7\n[log]\nlevel = debug\n");
    let setting = Setting::parse(&text).expect("the settings are valid");
    assert_eq!(
        (setting.limits.header_bytes, setting.limits.queue),
        (8192, 7)
    );
    assert_eq!(setting.log.level, Level::Debug);
}

struct Case {
    from: &'static str,
    to: &'static str,
    expected: &'static str,
}

#[test_case(Case { from: "name = n1", to: "", expected: "line 1: missing field \"name\" in [host]" }; "missing name")]
#[test_case(Case { from: "[platform]", to: "[platforms]", expected: "line 1: missing section [platform]\nline 7: unknown section [platforms]" }; "missing section")]
#[test_case(Case { from: "name = n1", to: "region = norte", expected: "line 1: missing field \"name\" in [host]\nline 2: unknown field \"region\" in [host]" }; "unknown field")]
#[test_case(Case { from: "127.0.0.1:8082", to: "127.0.0.1:8080", expected: "line 6: fields \"listen\" and \"operator\" in [host] have the same address" }; "same listener")]
#[test_case(Case { from: "http://127.0.0.9:7000", to: "https://127.0.0.9:7000", expected: "line 8: field \"table\" in [platform]: \"https://127.0.0.9:7000\" is not a base URL such as http://127.0.0.1:7000" }; "other scheme")]
#[test_case(Case { from: "http://127.0.0.9:7000", to: "http://store:7000", expected: "line 8: field \"table\" in [platform]: \"http://store:7000\" is not a base URL such as http://127.0.0.1:7000" }; "host name")]
#[test_case(Case { from: "[platform]", to: "[limits]\nheader-bytes = 2MiB\n[platform]", expected: "line 8: field \"header-bytes\" in [limits]: \"2MiB\" is not in the range 1024B to 1048576B" }; "header too large")]
#[test_case(Case { from: "[platform]", to: "[log]\nlevel = loud\n[platform]", expected: "line 8: field \"level\" in [log]: \"loud\" is not one of critical, error, warning, info, debug, trace" }; "unknown level")]
fn wrong_settings_are_refused_with_their_line(case: Case) {
    let text = MINIMAL.replace(case.from, case.to);
    let invalid = Setting::parse(&text).expect_err("the settings are invalid");
    assert_eq!(invalid.to_string(), case.expected);
}
