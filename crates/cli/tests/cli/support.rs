//! Stand-in for the operators' interface of a host, and runs of the binary against it.

use azurenotch_config::{
    change::Change,
    snapshot::{KeyHash, Snapshot},
};
use azurenotch_wire::{
    event::{Event, Kind, Reachability},
    time::Stamp,
    version::Version,
};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde_json::{Value, json};
use std::{
    io,
    net::SocketAddr,
    process::Command,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering::Relaxed},
    },
    time::Duration,
};
use tokio::net::{TcpListener, TcpSocket};

/// Document with one service, backend servers of two versions, and one workspace.
pub const DOCUMENT: &str = "\
[region norte]
[data-centre norte-1]
region = norte
[service consulta]
version = 1
[server c1]
service = consulta
version = 1
data-centre = norte-1
address = 127.0.0.1:9001
slots = 9
connections = 390
[server c2]
service = consulta
version = 2
data-centre = norte-1
address = 127.0.0.1:9002
slots = 9
connections = 390
[workspace ctt]
rate = 200/s
burst = 40
concurrency = 8
latency = 1s
[block 127.1.0.0/16]
regions = norte
";

/// A request as the stand-in received it.
#[derive(Debug, Clone)]
pub struct Seen {
    pub line: String,
    pub body: String,
}

/// What the stand-in does with a request.
#[derive(Debug, Clone)]
pub enum Reply {
    Answer(u16, String),
    /// Closes the connection after the request has arrived.
    Hangup,
}

/// Stand-in for one host.
#[derive(Debug)]
pub struct Host {
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<Seen>>>,
}

impl Host {
    /// Serves; `script` gets each request and the number of requests before it.
    pub async fn start(script: impl Fn(&Seen, usize) -> Reply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let seen = Arc::new(Mutex::new(Vec::new()));
        let (script, log) = (Arc::new(script), Arc::clone(&seen));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (script, log) = (Arc::clone(&script), Arc::clone(&log));
                let service = service_fn(move |request| {
                    let (script, log) = (Arc::clone(&script), Arc::clone(&log));
                    async move { answer(request, &*script, &log).await }
                });
                tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
            }
        });
        Self { address, seen }
    }

    /// Returns the requests so far.
    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }

    /// Returns the changes that were asked for.
    pub fn changes(&self) -> Vec<Change> {
        let seen = self.seen();
        let posts = seen.iter().filter(|seen| seen.line == "POST /v1/change");
        posts
            .map(|seen| serde_json::from_str(&seen.body).unwrap())
            .collect()
    }
}

async fn answer(
    request: Request<Incoming>,
    script: &(dyn Fn(&Seen, usize) -> Reply + Send + Sync),
    log: &Mutex<Vec<Seen>>,
) -> io::Result<Response<Full<Bytes>>> {
    let line = format!("{} {}", request.method(), request.uri());
    let body = request
        .into_body()
        .collect()
        .await
        .map_err(io::Error::other)?;
    let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    let seen = Seen { line, body };
    let before = {
        let mut log = log.lock().unwrap();
        log.push(seen.clone());
        log.len() - 1
    };
    match script(&seen, before) {
        Reply::Answer(status, body) => {
            let mut response = Response::new(Full::from(body));
            *response.status_mut() = status.try_into().unwrap();
            Ok(response)
        }
        Reply::Hangup => Err(io::Error::other("hang up")),
    }
}

/// Address that refuses connections while the socket is held.
pub fn closed() -> (SocketAddr, TcpSocket) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    (socket.local_addr().unwrap(), socket)
}

pub fn json(value: impl Serialize) -> Reply {
    Reply::Answer(200, serde_json::to_string(&value).unwrap())
}

pub fn problem(status: u16, code: &str, current: Option<Version>) -> Reply {
    let detail = "first line\nsecond line";
    let problem = json!({ "code": code, "detail": detail, "current": current });
    Reply::Answer(status, problem.to_string())
}

pub fn version(number: u64) -> Version {
    Version { epoch: 1, number }
}

/// Answer to a change that is accepted as version 1.7.
pub fn accepted() -> Reply {
    json(json!({ "version": version(7) }))
}

pub fn status(host: &str, number: u64) -> Value {
    json!({
        "host": host, "incarnation": 3, "data_centre": "norte-1", "state": "live",
        "version": version(number), "store_contact_ms": 120, "in_flight": 5,
        "roles": ["budget", "planner"],
    })
}

pub fn peer(host: &str, operator: SocketAddr, state: Reachability, number: u64) -> Value {
    json!({
        "host": host, "data_centre": "norte-1", "address": "127.0.0.1:8080",
        "operator": operator, "state": state, "version": version(number),
    })
}

pub fn event(host: &str, sequence: u64, wall_ms: u64, kind: Kind) -> Event {
    let stamp = Stamp::default().tick(wall_ms);
    let host = host.into();
    Event {
        stamp,
        host,
        sequence,
        kind,
    }
}

/// Checks that a text contains a part, and shows the text otherwise.
#[track_caller]
pub fn contains(text: &str, part: &str) {
    assert!(text.contains(part), "no {part:?} in {text}");
}

/// Snapshot at version 1.6 with two keys, one of them withdrawn, and a running move.
pub fn snapshot() -> Snapshot {
    let grant = |name: &str| Change::GrantKey {
        hash: KeyHash::of(name.as_bytes()),
        workspace: "ctt".into(),
        name: name.to_owned(),
    };
    let base = Snapshot {
        version: version(1),
        ..Snapshot::default()
    };
    let changes = [
        Change::Apply {
            text: DOCUMENT.to_owned(),
            expect: version(1),
        },
        grant("desk"),
        grant("app"),
        Change::WithdrawKey {
            workspace: "ctt".into(),
            name: "desk".to_owned(),
        },
        Change::StartMove {
            service: "consulta".into(),
            to: "2".into(),
            deadline: Duration::from_hours(2),
        },
    ];
    let apply = |snapshot: Snapshot, change| snapshot.apply(change, Stamp::default()).unwrap();
    changes.iter().fold(base, apply)
}

/// Host that accepts every change as version 1.7.
pub async fn accepting() -> Host {
    let operator = "127.0.0.1:9".parse().unwrap();
    Host::start(move |seen, _| match seen.line.as_str() {
        "POST /v1/change" => accepted(),
        "GET /v1/status" => json(status("n1", 6)),
        "GET /v1/snapshot" => json(snapshot()),
        "GET /v1/hosts" => json([
            peer("n1", operator, Reachability::Live, 6),
            peer("norte-2", operator, Reachability::Suspect, 5),
        ]),
        _ => problem(404, "not-found", None),
    })
    .await
}

/// End of a run of the binary.
#[derive(Debug)]
pub struct Run {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

/// Runs the binary towards these hosts; `args` are separated by spaces and may set the variable.
pub async fn run(hosts: &[SocketAddr], args: &str) -> Run {
    let mut command = Command::new(env!("CARGO_BIN_EXE_azurenotch"));
    command.env_remove("AZURENOTCH_HOST");
    for host in hosts {
        command.arg("--host").arg(host.to_string());
    }
    for word in args.split_whitespace() {
        match word.split_once('=') {
            Some((name @ "AZURENOTCH_HOST", value)) => command.env(name, value),
            _ => command.arg(word),
        };
    }
    let output = tokio::task::spawn_blocking(move || command.output());
    let output = output.await.unwrap().unwrap();
    Run {
        code: output.status.code().unwrap(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Writes a file of its own for a test and returns its path.
pub fn file(name: &str, text: &str) -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let (folder, process) = (env!("CARGO_TARGET_TMPDIR"), std::process::id());
    let path = format!("{folder}/{process}-{}-{name}", NEXT.fetch_add(1, Relaxed));
    std::fs::write(&path, text).unwrap();
    path
}
