//! Control of the stand-in platform over HTTP.

use azurenotch_platform::{Roster, http::Client as Platform, roster::Entry, store::Store};
use azurenotch_test_support::{
    caller::Client,
    fault::{Counter, Endpoint, Fault, PerEndpoint},
    platform::Server,
};
use bytes::Bytes;
use http::{Request, StatusCode};
use std::{io::ErrorKind, time::Duration};
use test_case::test_case;
use tokio::net::TcpSocket;

async fn put(client: &mut Client, path: &str, body: &str) -> StatusCode {
    let request = Request::builder()
        .method("PUT")
        .uri(path)
        .body(Bytes::from(body.to_owned()))
        .expect("the request is valid");
    client.send(request).await.expect("it answers").status()
}

// Guards against faults that control messages do not set, change by accident, or cannot end.
#[tokio::test]
async fn control_sets_faults_and_reads_counters() {
    let server = Server::start(1).await.expect("a port is free");
    let mut control = Client::new(server.address());
    let text = r#"{"table":{"delay_ms":3},"object":{"down":true}}"#;
    assert_eq!(
        put(&mut control, "/control/fault", text).await,
        StatusCode::NO_CONTENT
    );
    let delayed = Fault {
        delay: Duration::from_millis(3),
        ..Fault::default()
    };
    assert_eq!(server.platform().fault(Endpoint::Table), delayed);

    let client = Platform::new(server.address());
    assert!(Store::put(&client, "a", b"x").await.is_err());
    assert_eq!(
        put(&mut control, "/control/fault", r#"{"object":{}}"#).await,
        StatusCode::NO_CONTENT
    );
    Store::put(&client, "a", b"x")
        .await
        .expect("the fault is gone");
    assert_eq!(server.platform().fault(Endpoint::Table), delayed);

    let answer = control.get("/control/counters").await.expect("it answers");
    let counters: PerEndpoint<Counter> = serde_json::from_slice(answer.body()).expect("it is JSON");
    assert_eq!(counters, server.counters());
    assert_eq!(
        (
            counters.object.received,
            counters.object.writes,
            counters.object.faults
        ),
        (2, 1, 1)
    );
}

// Guards against accepting a mistyped fault as no fault.
#[test_case("/control/fault", r#"{"table":{"dwon":true}}"#; "unknown fault")]
#[test_case("/control/fault", r#"{"tabel":{"down":true}}"#; "unknown endpoint")]
#[test_case("/control/fault", "down"; "no JSON")]
#[test_case("/control/roster", r#"[{"host":"n1"}]"#; "incomplete host")]
#[tokio::test]
async fn control_refuses_what_it_cannot_read(path: &str, body: &str) {
    let server = Server::start(1).await.expect("a port is free");
    let mut control = Client::new(server.address());
    assert_eq!(put(&mut control, path, body).await, StatusCode::BAD_REQUEST);
}

// Guards against a host list that is not set or changed in transfer.
#[tokio::test]
async fn control_sets_roster() {
    let server = Server::start(1).await.expect("a port is free");
    let mut control = Client::new(server.address());
    let entry = Entry {
        host: "n1".into(),
        data_centre: "porto".into(),
        address: ([127, 0, 0, 1], 8080).into(),
        peer: ([127, 0, 0, 1], 8081).into(),
        operator: ([127, 0, 0, 1], 8082).into(),
        leaving: true,
    };
    let text = serde_json::to_string(&[&entry]).expect("an entry serializes");
    assert_eq!(
        put(&mut control, "/control/roster", &text).await,
        StatusCode::NO_CONTENT
    );
    let client = Platform::new(server.address());
    assert_eq!(client.list().await.expect("it answers"), [entry]);
}

// Guards against the port of a closed server being assigned to another test, whose calls would
// then be counted in this one.
#[tokio::test]
async fn closed_server_keeps_port() {
    let server = Server::start(1).await.expect("a port is free");
    server.close().await;
    let other = TcpSocket::new_v4().expect("a socket is free");
    let taken = other.bind(server.address());
    assert_eq!(
        taken.expect_err("it is reserved").kind(),
        ErrorKind::AddrInUse
    );
    server.reopen().await.expect("the port is reserved");
    let mut client = Client::new(server.address());
    client.get("/roster").await.expect("it answers");
}
