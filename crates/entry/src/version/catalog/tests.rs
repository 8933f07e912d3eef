//! Choice of the route, checks of keys, allowed regions and weights.

use super::{Catalog, Denial};
use crate::model::{Config, Contract, Kind, Limits, Route};
use azurenotch_wire::Map;
use http::{HeaderMap, HeaderValue, header};
use std::time::Duration;
use test_case::test_case;

fn route(prefix: &str, open: bool) -> Route {
    Route {
        host: "a.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::Idempotent,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(500),
        priority: 2,
        parts: vec![("s".into(), 90), ("t".into(), 10)],
        attempts: 2,
        open,
        sticky: true,
        homes: vec!["norte".into(), "sul".into()],
    }
}

fn catalog() -> Catalog {
    Catalog::new(&config())
}

fn config() -> Config {
    let routes = [
        ("short", route("/a/", false)),
        ("long", route("/a/b/", false)),
        ("open", route("/open/", true)),
    ];
    let contract = Contract {
        keys: vec!["k1".to_owned()],
        priority: Some(0),
        rate: 10.0,
        burst: 10.0,
        homes: vec!["sul".into(), "centro".into()],
    };
    Config {
        version: 1,
        routes: routes
            .into_iter()
            .map(|(name, route)| (name.into(), route))
            .collect(),
        services: Map::default(),
        limits: Limits {
            header_bytes: 16384,
            body_bytes: 1 << 20,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        },
        workspaces: Some(std::iter::once(("w".into(), contract)).collect()),
    }
}

fn grant_names(
    host: &str,
    path: &str,
    key: Option<&str>,
) -> Result<(String, Option<String>), Denial> {
    let mut headers = HeaderMap::new();
    if let Some(key) = key {
        let value = HeaderValue::from_str(key).expect("valid header");
        headers.insert(header::AUTHORIZATION, value);
    }
    let grant = catalog().grant(host, path, &headers, "Token")?;
    let workspace = grant.workspace.map(|workspace| workspace.name.to_string());
    Ok((grant.entry.name.to_string(), workspace))
}

/// Request with the name of the wanted route or the wanted denial.
struct Case {
    host: &'static str,
    path: &'static str,
    key: Option<&'static str>,
    wanted: Result<&'static str, Denial>,
}

const KEYED: Case = Case {
    host: "a.example",
    path: "/a/x",
    key: Some("Token k1"),
    wanted: Ok("short"),
};

#[test_case(KEYED; "keyed")]
#[test_case(Case { path: "/a/b/x", wanted: Ok("long"), ..KEYED }; "the longest prefix wins")]
#[test_case(Case { host: "A.example:8080", ..KEYED }; "case and port do not matter")]
#[test_case(Case { key: None, wanted: Err(Denial::UnknownKey), ..KEYED }; "no key")]
#[test_case(Case { key: Some("Token k2"), wanted: Err(Denial::UnknownKey), ..KEYED }; "unknown key")]
#[test_case(Case { key: Some("Bearer k1"), wanted: Err(Denial::UnknownKey), ..KEYED }; "another scheme")]
#[test_case(Case { path: "/c/", wanted: Err(Denial::NoRoute), ..KEYED }; "no route")]
#[test_case(Case { host: "b.example", wanted: Err(Denial::NoRoute), ..KEYED }; "no such host")]
#[test_case(Case { path: "/open/x", key: None, wanted: Ok("open"), ..KEYED }; "open route")]
#[test_case(Case { path: "/open/../a/x", wanted: Err(Denial::AmbiguousPath), ..KEYED }; "dot segment")]
fn a_request_gets_its_route(case: Case) {
    let got = grant_names(case.host, case.path, case.key);
    let got = got.as_ref().map(|(route, _)| route.as_str());
    assert_eq!(got, case.wanted.as_ref().map(|it| *it));
}

#[test]
fn a_request_runs_only_in_regions_that_route_and_workspace_share() {
    let mut headers = HeaderMap::new();
    headers.insert(header::AUTHORIZATION, HeaderValue::from_static("Token k1"));
    let grant = catalog().grant("a.example", "/a/", &headers, "Token");
    let grant = grant.expect("allowed");
    assert_eq!(grant.allowed_regions(), Some(vec!["sul".into()]));
    assert_eq!(grant.rank(), 0);
}

#[test]
fn services_get_requests_by_their_weights() {
    let catalog = catalog();
    let grant = catalog.grant("a.example", "/open/", &HeaderMap::new(), "Token");
    let entry = grant.expect("allowed").entry;
    let second = (0..100).filter(|_| entry.next_service().as_str() == "t");
    assert_eq!(second.count(), 10);
}

/// What a later configuration changes, and where a request of the earlier one may run then.
struct Renewal {
    change: fn(&mut Config),
    wanted: Option<&'static [&'static str]>,
}

fn contract(config: &mut Config) -> &mut Contract {
    let mut workspaces = config.workspaces.iter_mut().flat_map(Map::values_mut);
    workspaces.next().expect("a workspace")
}

fn set_homes(config: &mut Config, homes: &[&str]) {
    contract(config).homes = homes.iter().map(|it| (*it).into()).collect();
}

/// Guards against requests that run where their workspace or route no longer allows it.
#[test_case(Renewal { change: |_| {}, wanted: Some(&["sul"]) }; "nothing")]
#[test_case(Renewal { change: |it| set_homes(it, &["norte"]), wanted: Some(&["norte"]) }; "the workspace moves")]
#[test_case(Renewal { change: |it| set_homes(it, &["centro"]), wanted: None }; "no region is left")]
#[test_case(Renewal { change: |it| {
    set_homes(it, &["norte"]);
    contract(it).keys = vec!["k2".to_owned()];
}, wanted: Some(&["norte"]) }; "the workspace moves and its keys are replaced")]
#[test_case(Renewal { change: |it| {
    set_homes(it, &["norte"]);
    contract(it).keys.clear();
}, wanted: Some(&["norte"]) }; "the workspace moves and loses its keys")]
#[test_case(Renewal { change: |it| it.routes.clear(), wanted: Some(&["sul"]) }; "the route is removed")]
#[test_case(Renewal { change: |it| it.workspaces = None, wanted: Some(&["sul"]) }; "the workspace is removed")]
fn an_admitted_request_goes_by_the_later_homes(renewal: Renewal) {
    let mut headers = HeaderMap::new();
    headers.insert(header::AUTHORIZATION, HeaderValue::from_static("Token k1"));
    let grant = catalog().grant("a.example", "/a/", &headers, "Token");
    let mut next = config();
    next.version = 2;
    (renewal.change)(&mut next);
    let renewed = Catalog::new(&next).renew(&grant.expect("allowed"));
    let wanted = renewal.wanted;
    let wanted = wanted.map(|it| it.iter().map(|it| (*it).into()).collect());
    assert_eq!(renewed.allowed_regions(), wanted);
}
