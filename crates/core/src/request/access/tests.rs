use super::*;
use azurenotch_config::{document::Document, snapshot::Key};
use std::{collections::BTreeMap, time::Duration};
use test_case::test_case;

fn route(prefix: &str, access: Mode) -> Route {
    Route {
        service: "consulta".into(),
        prefix: prefix.to_owned(),
        methods: vec!["GET".to_owned()],
        access,
        idempotent: true,
        timeout: Duration::from_secs(1),
        body_limit: 1024,
    }
}

fn access() -> Access {
    let key = |name: &str, withdrawn| Key {
        workspace: name.into(),
        name: "first".to_owned(),
        withdrawn,
    };
    Access::new(&Snapshot {
        document: Document {
            routes: BTreeMap::from([
                ("labels".into(), route("/labels", Mode::Keyed)),
                ("public".into(), route("/labels/public", Mode::Open)),
            ]),
            ..Document::default()
        },
        keys: BTreeMap::from([
            (KeyHash::of(b"good"), key("correios", false)),
            (KeyHash::of(b"gone"), key("hoteis", true)),
        ]),
        ..Snapshot::default()
    })
}

struct Case {
    method: &'static str,
    path: &'static str,
    authorization: Option<&'static str>,
    expected: std::result::Result<Option<&'static str>, Reason>,
}

#[test_case(Case { method: "GET", path: "/labels/1", authorization: Some("Bearer good"), expected: Ok(Some("correios")) }; "valid key")]
#[test_case(Case { method: "GET", path: "/labels/1", authorization: Some("bearer good"), expected: Ok(Some("correios")) }; "scheme is case insensitive")]
#[test_case(Case { method: "GET", path: "/labels/1", authorization: None, expected: Err(Reason::NoKey) }; "missing key")]
#[test_case(Case { method: "GET", path: "/labels/1", authorization: Some("Bearer "), expected: Err(Reason::NoKey) }; "empty key")]
#[test_case(Case { method: "GET", path: "/labels/1", authorization: Some("Bearer other"), expected: Err(Reason::BadKey) }; "unknown key")]
#[test_case(Case { method: "GET", path: "/labels/1", authorization: Some("Bearer gone"), expected: Err(Reason::Withdrawn) }; "withdrawn key")]
#[test_case(Case { method: "GET", path: "/labels/public/x", authorization: None, expected: Ok(None) }; "open route wins by longer prefix")]
#[test_case(Case { method: "GET", path: "/labelsx", authorization: Some("Bearer good"), expected: Err(Reason::NoRoute) }; "prefix ends at a segment boundary")]
#[test_case(Case { method: "POST", path: "/labels/1", authorization: Some("Bearer good"), expected: Err(Reason::NoRoute) }; "method not allowed")]
fn admits_only_the_workspace_of_the_key(case: Case) {
    let result = access().admit(
        case.method,
        case.path,
        case.authorization.map(str::as_bytes),
    );
    let actual = result
        .map(|grant| grant.holder.map(|holder| holder.workspace.to_string()))
        .map_err(|refusal| refusal.reason);
    assert_eq!(actual, case.expected.map(|name| name.map(str::to_owned)));
}
