//! Parsing, validating and comparing documents.

use azurenotch_config::{
    diff::diff,
    document::{Access, Document},
};
use proptest::{
    prelude::{ProptestConfig, any, prop_oneof, proptest},
    strategy::{Just, Strategy},
    test_runner::{RngAlgorithm, RngSeed},
};
use std::{collections::BTreeMap, time::Duration};
use test_case::test_case;

const APREL: &str = include_str!("../../../deploy/aprel.ini");
const ZAFRA: &str = include_str!("../../../deploy/zafra.ini");

/// Small document of 25 lines with every kind of section.
const SMALL: &str = "\
[region norte]
[data-centre n1]
region = norte
[service consulta]
version = 1
[server c1]
service = consulta
version = 1
data-centre = n1
address = 127.0.0.1:9000
slots = 9
connections = 390
[route labels]
service = consulta
prefix = /labels
methods = GET, HEAD
[workspace correios]
rate = 200/s
burst = 50
concurrency = 20
latency = 250ms
regional-share = norte:60%
[block 127.1.0.0/16]
regions = norte
[fleet]
";

struct Deployment {
    text: &'static str,
    servers: &'static [(&'static str, usize, u32)],
    non_idempotent: &'static str,
}

/// Guards against sample documents that no longer parse or lack a backend server.
#[test_case(Deployment { text: APREL, servers: &[("consulta", 20, 9), ("registo", 14, 9), ("catalogo", 12, 3)], non_idempotent: "registo" }; "aprel")]
#[test_case(Deployment { text: ZAFRA, servers: &[("rota-view", 24, 3), ("asignacion", 12, 3), ("planilla", 12, 3)], non_idempotent: "asignacion" }; "zafra")]
fn sample_documents_describe_the_deployments(case: Deployment) {
    let document = Document::parse(case.text).unwrap_or_else(|invalid| panic!("{invalid}"));
    assert_eq!(document.data_centres.len(), 6);
    assert_eq!(document.workspaces.len(), 8);
    for (service, count, slots) in case.servers {
        let servers = document
            .servers
            .values()
            .filter(|server| server.service.as_str() == *service);
        let found = servers
            .map(|server| (server.slots, server.connections))
            .collect::<Vec<_>>();
        assert_eq!(found, vec![(*slots, 390); *count], "{service}");
    }
    let unsafe_routes = document
        .routes
        .iter()
        .filter(|(_, route)| !route.idempotent);
    let names = unsafe_routes
        .map(|(name, _)| name.as_str())
        .collect::<Vec<_>>();
    assert_eq!(names, [case.non_idempotent]);
}

#[test]
fn fields_and_defaults_are_read() {
    let document = Document::parse(SMALL).expect("the document is valid");
    let route = &document.routes["labels"];
    assert_eq!(route.methods, ["GET", "HEAD"]);
    assert_eq!((route.access, route.idempotent), (Access::Keyed, false));
    assert_eq!(
        (route.timeout, route.body_limit),
        (Duration::from_secs(10), 1 << 20)
    );
    let contract = &document.workspaces["correios"];
    assert_eq!(
        (contract.rate, contract.burst, contract.concurrency),
        (200.0, 50.0, 20)
    );
    assert_eq!(
        contract.regional_share,
        BTreeMap::from([("norte".into(), 0.6)])
    );
    assert_eq!(
        (contract.version_share_step, contract.refusals),
        (0.1, 0.01)
    );
    assert_eq!(contract.isolation_limit, Duration::from_mins(1));
    assert_eq!(document.fleet.slots, 16);
}

struct Edit {
    /// Line of [`SMALL`] to replace, or 0 to append a line.
    line: usize,
    with: &'static str,
    expected: &'static str,
}

/// Guards against rules that are not enforced, and against errors without the line, field or value.
#[test_case(Edit { line: 1, with: "[region norte", expected: "line 1: syntax error in \"[region norte\", expected a section header, a field of a section or a comment" }; "broken header")]
#[test_case(Edit { line: 3, with: "region", expected: "line 3: syntax error in \"region\", expected a section header, a field of a section or a comment" }; "field without value")]
#[test_case(Edit { line: 0, with: "[regions sul]", expected: "line 26: unknown section [regions sul]" }; "unknown section")]
#[test_case(Edit { line: 0, with: "[region norte]", expected: "line 26: duplicate section [region norte], first on line 1" }; "duplicate section")]
#[test_case(Edit { line: 0, with: "[region sul]", expected: "line 26: region \"sul\" has no data centre" }; "empty region")]
#[test_case(Edit { line: 0, with: "[region a b]", expected: "line 26: section [region a b]: \"a b\" is not a name" }; "bad name")]
#[test_case(Edit { line: 0, with: "slot = 4", expected: "line 26: unknown field \"slot\" in [fleet]" }; "unknown field")]
#[test_case(Edit { line: 0, with: "slots = 0", expected: "line 26: field \"slots\" in [fleet]: \"0\" is not in the range 1 to 100000" }; "no slots")]
#[test_case(Edit { line: 0, with: "look-up-lifetime = 5", expected: "line 26: field \"look-up-lifetime\" in [fleet]: \"5\" is not a duration" }; "duration without unit")]
#[test_case(Edit { line: 8, with: "service = consulta", expected: "line 8: duplicate field \"service\" in [server c1], first on line 7" }; "duplicate field")]
#[test_case(Edit { line: 5, with: "; version = 1", expected: "line 4: missing field \"version\" in [service consulta]" }; "missing field")]
#[test_case(Edit { line: 5, with: "version = 2", expected: "line 5: service \"consulta\" has no backend server of version \"2\"" }; "version without server")]
#[test_case(Edit { line: 9, with: "data-centre = n2", expected: "line 9: field \"data-centre\" in [server c1]: there is no section [data-centre n2]" }; "unknown data centre")]
#[test_case(Edit { line: 10, with: "address = host:1", expected: "line 10: field \"address\" in [server c1]: \"host:1\" is not an address" }; "address by name")]
#[test_case(Edit { line: 11, with: "slots = -1", expected: "line 11: field \"slots\" in [server c1]: \"-1\" is not a whole number" }; "negative slots")]
#[test_case(Edit { line: 15, with: "prefix = labels", expected: "line 15: field \"prefix\" in [route labels]: \"labels\" is not a path" }; "relative prefix")]
#[test_case(Edit { line: 16, with: "methods = GET, GET", expected: "line 15: GET /labels is already handled by route \"labels\"" }; "route taken twice")]
#[test_case(Edit { line: 18, with: "rate = 0/s", expected: "line 18: field \"rate\" in [workspace correios]: \"0/s\" is not in the range >0/s to 1000000000/s" }; "no rate")]
#[test_case(Edit { line: 18, with: "rate = 200", expected: "line 18: field \"rate\" in [workspace correios]: \"200\" is not a rate" }; "rate without unit")]
#[test_case(Edit { line: 19, with: "burst = 0.5", expected: "line 19: field \"burst\" in [workspace correios]: \"0.5\" is not in the range" }; "burst below one")]
#[test_case(Edit { line: 22, with: "regional-share = norte:0", expected: "line 22: field \"regional-share\" in [workspace correios]: \"norte:0\" is not a list" }; "share of zero")]
#[test_case(Edit { line: 22, with: "regional-share = norte:110%", expected: "line 22: field \"regional-share\" in [workspace correios]: \"norte:110%\" is not a list" }; "share above one")]
#[test_case(Edit { line: 22, with: "regional-share = sul:1", expected: "line 22: field \"regional-share\" in [workspace correios]: there is no section [region sul]" }; "share of unknown region")]
#[test_case(Edit { line: 23, with: "[block 127.1.0.1/16]", expected: "line 23: section [block 127.1.0.1/16]: \"127.1.0.1/16\" is not an IP prefix" }; "host bits")]
#[test_case(Edit { line: 24, with: "regions = norte, norte", expected: "line 24: field \"regions\" in [block 127.1.0.0/16] contains \"norte\" twice" }; "repeated region")]
fn violations_are_reported_with_their_line(case: Edit) {
    let mut lines = SMALL.lines().collect::<Vec<_>>();
    match case.line {
        0 => lines.push(case.with),
        line => lines[line - 1] = case.with,
    }
    let invalid = Document::parse(&lines.join("\n")).expect_err("the document is invalid");
    let found = invalid
        .errors
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>();
    assert!(
        found.iter().any(|error| error.starts_with(case.expected)),
        "{found:#?}"
    );
}

/// Guards against a parser that stops at the first error or reports consequential errors.
#[test]
fn all_errors_are_collected_in_order() {
    let text = SMALL
        .replace("slots = 9", "slots = many")
        .replace("rate = 200/s", "rate = x")
        .replace("region = norte\n", "region = centro\n");
    let invalid = Document::parse(&text).expect_err("the document is invalid");
    let lines = invalid
        .errors
        .iter()
        .map(|error| error.line)
        .collect::<Vec<_>>();
    assert_eq!(lines, [1, 3, 11, 18], "{invalid}");
}

/// Guards against an error for each field below a malformed header, which would hide the cause.
#[test]
fn fields_below_a_malformed_header_are_not_reported() {
    let text = format!("{SMALL}[workspace broken\nrate = 1/s\nburst = 1\n");
    let invalid = Document::parse(&text).expect_err("the header is broken");
    assert_eq!(
        invalid.to_string(),
        "line 26: syntax error in \"[workspace broken\", expected a section header, a field of a section or a comment"
    );
}

/// Guards against slow parsing of a section with very many fields.
#[test]
fn the_number_of_fields_is_bounded() {
    let fields = (0..65).map(|index| format!("f{index} = 1\n"));
    let text = format!("{SMALL}{}", fields.collect::<String>());
    let invalid = Document::parse(&text).expect_err("the fields are unknown");
    assert!(
        invalid
            .to_string()
            .ends_with("line 90: more than 64 fields in [fleet]")
    );
}

/// Guards against two backend servers with one address, whose slots would be counted twice.
#[test]
fn an_address_belongs_to_one_server() {
    let server = "[server c2]\nservice = consulta\nversion = 1\ndata-centre = n1\n\
                  address = 127.0.0.1:9000\nslots = 9\nconnections = 390\n";
    let invalid = Document::parse(&format!("{SMALL}{server}")).expect_err("the address is taken");
    assert_eq!(
        invalid.to_string(),
        "line 30: address 127.0.0.1:9000 is already used by backend server \"c1\"",
    );
}

/// Guards against a malformed file whose errors exhaust the memory.
#[test]
fn the_number_of_errors_is_bounded() {
    let invalid = Document::parse(&"nonsense\n".repeat(5000)).expect_err("no line is valid");
    assert_eq!(invalid.errors.len(), 1001);
    assert!(
        invalid
            .to_string()
            .ends_with("the remaining ones are not listed")
    );
}

#[test]
fn differences_name_section_field_and_values() {
    let old = Document::parse(SMALL).expect("the document is valid");
    let text = SMALL
        .replace("rate = 200/s", "rate = 300/s")
        .replace("127.1.0.0", "127.2.0.0");
    let new = Document::parse(&format!("{text}look-up-lifetime = 90s\n")).expect("still valid");
    let lines = diff(&old, &new)
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>();
    assert_eq!(
        lines,
        [
            "[fleet] look-up-lifetime: 10s -> 90s",
            "[workspace correios] rate: 200/s -> 300/s",
            "[block 127.1.0.0/16] regions: norte -> (none)",
            "[block 127.2.0.0/16] regions: (none) -> norte",
        ],
    );
    assert!(diff(&old, &old).is_empty());
}

fn line() -> impl Strategy<Value = String> {
    let known = SMALL.lines().map(str::to_owned).collect::<Vec<_>>();
    let count = known.len();
    prop_oneof![
        (0..count).prop_map(move |index| known[index].clone()),
        "[a-z-]{1,8} ?=? ?[0-9.%/a-z:,]{0,12}",
        any::<String>(),
        Just("\r".to_owned()),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0x617a_7572),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against texts for which the parser panics or reports a line that does not exist.
    #[test]
    fn the_parser_never_panics(lines in proptest::collection::vec(line(), 0..40)) {
        let text = lines.join("\n");
        if let Err(invalid) = Document::parse(&text) {
            let last = text.split(['\n', '\r']).count() as u32;
            assert!(!invalid.errors.is_empty());
            assert!(invalid.errors.iter().all(|error| (1..=last).contains(&error.line)));
        }
    }
}
