//! A gateway with scripted backend servers and raw callers.

#![allow(
    dead_code,
    reason = "each test program uses a part of the shared support"
)]

use azurenotch_config::{
    document::{Access, Contract, Document, Fleet, Route, Server},
    snapshot::{Key, Snapshot},
};
use azurenotch_core::request::access;
use azurenotch_daemon::{
    connection::listener::Listener,
    request::{
        clock::Monotonic,
        directory::{Fixed, Site},
        gateway::Gateway,
    },
};
use azurenotch_wire::{id::Incarnation, version::Version};
use prometheus::Registry;
use slog::{Discard, Logger, o};
use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    task::JoinHandle,
};
use tokio_util::sync::CancellationToken;

/// Key that the snapshot accepts.
pub const KEY: &str = "good-key";
/// Time after which a workspace's bucket, which starts empty, admits requests.
pub const FILL: Duration = Duration::from_millis(1);
/// Largest body that the routes take.
pub const BODY_LIMIT: u64 = 1024 * 1024;
/// Timeout of the routes.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// A request as a backend server saw it.
#[derive(Debug, Clone)]
pub struct Seen {
    /// Request line and headers.
    pub head: String,
    /// Body, as far as its length was declared.
    pub body: Vec<u8>,
}

impl Seen {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }
}

/// What a backend server does with a request.
#[derive(Debug, Clone)]
pub enum Reply {
    /// Answers with status line and headers, the echoed id and a body of declared length.
    Answer(&'static str, Vec<u8>),
    /// Writes bytes and closes the connection.
    Raw(Vec<u8>),
    /// Echoes the id, declares `length` bytes and writes as many as the caller takes.
    Endless(usize),
    /// Resets the connection.
    Reset,
    /// Says nothing and keeps the connection open.
    Silent,
}

/// Decides the reply to a request.
type Script = Arc<dyn Fn(Seen) -> Pin<Box<dyn Future<Output = Reply> + Send>> + Send + Sync>;

/// A backend server that follows a script.
#[derive(Debug)]
pub struct Backend {
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests in the order of their arrival.
    pub seen: UnboundedReceiver<Seen>,
    /// Bytes of bodies that it wrote.
    pub written: Arc<AtomicUsize>,
    connections: Arc<AtomicUsize>,
    /// One event for each connection that ended.
    pub closed: UnboundedReceiver<()>,
}

impl Backend {
    /// Starts a backend server.
    pub async fn start(script: impl Fn(&Seen) -> Reply + Send + Sync + 'static) -> Self {
        let script = Arc::new(script);
        Self::start_with(Arc::new(move |seen: Seen| {
            let script = Arc::clone(&script);
            Box::pin(async move { script(&seen) })
        }))
        .await
    }

    async fn start_with(script: Script) -> Self {
        let socket = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("free port");
        let address = socket.local_addr().expect("bound socket");
        let (sender, seen) = unbounded_channel();
        let (closing, closed) = unbounded_channel();
        let written = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&written);
        let connections = Arc::new(AtomicUsize::new(0));
        let accepted = Arc::clone(&connections);
        tokio::spawn(async move {
            while let Ok((stream, _)) = socket.accept().await {
                accepted.fetch_add(1, Ordering::SeqCst);
                let (sender, closing) = (sender.clone(), closing.clone());
                let (script, count) = (Arc::clone(&script), Arc::clone(&count));
                tokio::spawn(async move {
                    converse(stream, script, sender, count).await;
                    // A test that has ended no longer listens for events.
                    let _ = closing.send(());
                });
            }
        });
        Self {
            address,
            seen,
            written,
            connections,
            closed,
        }
    }

    /// Starts a backend server whose script may block its thread.
    pub async fn start_blocking(script: impl Fn(&Seen) -> Reply + Send + Sync + 'static) -> Self {
        let script = Arc::new(script);
        Self::start_with(Arc::new(move |seen: Seen| {
            let script = Arc::clone(&script);
            Box::pin(async move {
                let reply = tokio::task::spawn_blocking(move || script(&seen));
                reply.await.expect("the script does not panic")
            })
        }))
        .await
    }

    /// Returns the number of connections accepted so far.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// Returns the requests seen so far.
    pub fn drain(&mut self) -> Vec<Seen> {
        std::iter::from_fn(|| self.seen.try_recv().ok()).collect()
    }
}

async fn converse(
    mut stream: TcpStream,
    script: Script,
    seen: UnboundedSender<Seen>,
    written: Arc<AtomicUsize>,
) {
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer).await {
        drop(seen.send(request.clone()));
        let id = request.header("azurenotch-request").unwrap_or_default();
        match script(request.clone()).await {
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status}\r\nazurenotch-request: {id}\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                let bytes = [head.as_bytes(), &body].concat();
                if stream.write_all(&bytes).await.is_err() {
                    return;
                }
            }
            Reply::Raw(bytes) => {
                let text = String::from_utf8_lossy(&bytes).replace("{id}", id);
                drop(stream.write_all(text.as_bytes()).await);
                return;
            }
            Reply::Endless(length) => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nazurenotch-request: {id}\r\ncontent-length: {length}\r\n\r\n"
                );
                drop(stream.write_all(head.as_bytes()).await);
                let chunk = vec![b'x'; 16 * 1024];
                for _ in 0..length / chunk.len() {
                    if stream.write_all(&chunk).await.is_err() {
                        return;
                    }
                    written.fetch_add(chunk.len(), Ordering::SeqCst);
                }
            }
            Reply::Reset => {
                stream.set_zero_linger().expect("open socket");
                return;
            }
            Reply::Silent => {
                let mut rest = [0; 1024];
                while matches!(stream.read(&mut rest).await, Ok(length) if length > 0) {}
                return;
            }
        }
    }
}

async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Seen> {
    let end = read_head(stream, buffer).await?;
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end);
    let length = header(&head, "content-length").map_or(0, |text| text.parse().expect("a number"));
    while buffer.len() < length {
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
    let body = buffer.drain(..length).collect();
    Some(Seen { head, body })
}

/// Reads up to the end of a header and returns its position.
async fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<usize> {
    loop {
        if let Some(start) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            return Some(start + 4);
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then_some(value.trim())
    })
}

/// An answer as a caller saw it.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status line and headers.
    pub head: String,
    /// Body, as far as it arrived.
    pub body: Vec<u8>,
    /// Whether the body ended as declared.
    pub complete: bool,
}

impl Answer {
    /// Returns the status.
    pub fn status(&self) -> u16 {
        let number = self.head.split(' ').nth(1).expect("status line");
        number.parse().expect("status is a number")
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }

    /// Returns outcome and reason of a refusal.
    pub fn refusal(&self) -> (&str, &str) {
        let value = |name| self.header(name).unwrap_or("none");
        (value("azurenotch-outcome"), value("azurenotch-reason"))
    }
}

/// A caller with one connection.
#[derive(Debug)]
pub struct Caller {
    /// The connection.
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Caller {
    /// Connects to a host.
    pub async fn connect(address: SocketAddr) -> Self {
        Self {
            stream: TcpStream::connect(address).await.expect("host listens"),
            buffer: Vec::new(),
        }
    }

    /// Returns the number of bytes that were read behind the last header.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Sends bytes.
    pub async fn send(&mut self, text: &str) {
        let sent = self.stream.write_all(text.as_bytes()).await;
        sent.expect("host reads");
    }

    /// Reads the header of an answer; `None` if the connection closed before it.
    pub async fn head(&mut self) -> Option<String> {
        let end = read_head(&mut self.stream, &mut self.buffer).await?;
        let head = self.buffer.drain(..end).collect::<Vec<_>>();
        Some(String::from_utf8_lossy(&head).into_owned())
    }

    /// Reads a whole answer with a declared length; `None` if the connection closed before it.
    pub async fn answer(&mut self) -> Option<Answer> {
        let head = self.head().await?;
        let length =
            header(&head, "content-length").map_or(0, |text| text.parse().expect("number"));
        let mut complete = true;
        while self.buffer.len() < length && complete {
            let read = self.stream.read_buf(&mut self.buffer).await;
            complete = matches!(read, Ok(count) if count > 0);
        }
        let end = length.min(self.buffer.len());
        let body = self.buffer.drain(..end).collect();
        Some(Answer {
            head,
            body,
            complete,
        })
    }

    /// Sends a request and reads its answer.
    pub async fn call(&mut self, request: &str) -> Answer {
        self.send(request).await;
        self.answer().await.expect("an answer")
    }
}

/// Returns a request with the key and without a body.
pub fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {KEY}\r\n\r\n")
}

/// Returns a request with the key and a body.
pub fn post(path: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {KEY}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A running gateway.
#[derive(Debug)]
pub struct Fixture {
    /// The gateway.
    pub gateway: Arc<Gateway>,
    /// Address of its caller port.
    pub address: SocketAddr,
    /// Stops the listener.
    pub stop: CancellationToken,
    /// Ends when the listener has shut down.
    pub task: JoinHandle<()>,
    /// Registry of its metrics.
    pub registry: Registry,
}

impl Fixture {
    /// Starts a gateway in front of backend servers.
    pub async fn start(servers: &[SocketAddr]) -> Self {
        Self::with(servers, |gateway| gateway, |listener| listener).await
    }

    /// Starts a gateway with other settings.
    pub async fn with(
        servers: &[SocketAddr],
        gateway: impl FnOnce(Gateway) -> Gateway,
        listener: impl FnOnce(Listener) -> Listener,
    ) -> Self {
        let registry = Registry::new();
        let directory = Fixed::new(Duration::from_secs(10))
            .hosts(vec![Site {
                host: "n1".to_owned(),
                address: "127.0.0.1:8080".to_owned(),
                weight: 100,
            }])
            .alternatives(vec!["127.0.0.2:8080".to_owned()]);
        let built = Gateway::new(
            &"n1".into(),
            Incarnation(7),
            "lisboa".into(),
            Arc::new(Monotonic::new()),
            &registry,
        );
        let built = built
            .expect("empty registry")
            .with_directory(Arc::new(directory));
        let gateway = Arc::new(gateway(built));
        gateway.adopt(Arc::new(snapshot(servers, 1, false)));
        let any = (Ipv4Addr::LOCALHOST, 0).into();
        let log = Logger::root(Discard, o!());
        let bound = Listener::bind(any, Arc::clone(&gateway), log).await;
        let listener = listener(bound.expect("free port"));
        let address = listener.address();
        let stop = CancellationToken::new();
        let task = tokio::spawn(listener.run(stop.clone()));
        Self {
            gateway,
            address,
            stop,
            task,
            registry,
        }
    }

    /// Waits until this many requests are in flight; time has to be paused.
    pub async fn waits_for(&self, requests: i64) {
        while self.gauge("azurenotch_in_flight") != requests {
            tokio::task::yield_now().await;
        }
    }

    /// Returns the sum of a metric over all labels.
    pub fn gauge(&self, name: &str) -> i64 {
        let families = self.registry.gather();
        let family = families.iter().find(|family| family.name() == name);
        let metrics = family.map_or(&[][..], |family| family.get_metric());
        let value = |metric: &prometheus::proto::Metric| {
            metric.get_gauge().get_value() + metric.get_counter().get_value()
        };
        metrics.iter().map(value).sum::<f64>() as i64
    }

    /// Sends one request on a connection of its own.
    pub async fn call(&self, request: &str) -> Answer {
        Caller::connect(self.address).await.call(request).await
    }
}

/// Returns a snapshot with a keyed route of each kind, an open one and one without servers.
pub fn snapshot(servers: &[SocketAddr], number: u64, withdrawn: bool) -> Snapshot {
    let route = |prefix: &str, service: &str, access, idempotent| Route {
        service: service.into(),
        prefix: prefix.to_owned(),
        methods: vec!["GET".to_owned(), "POST".to_owned()],
        access,
        idempotent,
        timeout: TIMEOUT,
        body_limit: BODY_LIMIT,
    };
    let contract = |rate, concurrency| Contract {
        rate,
        burst: 1e6,
        concurrency,
        regional_share: BTreeMap::new(),
        version_share_step: 0.1,
        version_step_interval: Duration::from_mins(1),
        latency: Duration::from_secs(1),
        refusals: 0.01,
        isolation_limit: Duration::from_mins(1),
    };
    let key = |workspace: &str, withdrawn| Key {
        workspace: workspace.into(),
        name: "first".to_owned(),
        withdrawn,
    };
    let server = |(index, address): (usize, &SocketAddr)| {
        let server = Server {
            service: "main".into(),
            release: "1".into(),
            data_centre: "lisboa".into(),
            address: *address,
            slots: 64,
            connections: 256,
        };
        (format!("s{index}").into(), server)
    };
    Snapshot {
        version: Version { epoch: 1, number },
        document: Document {
            fleet: Fleet {
                slots: 1,
                ..Fleet::default()
            },
            services: BTreeMap::from([("main".into(), "1".into()), ("none".into(), "1".into())]),
            servers: servers.iter().enumerate().map(server).collect(),
            routes: BTreeMap::from([
                ("open".into(), route("/open", "main", Access::Open, true)),
                ("read".into(), route("/read", "main", Access::Keyed, true)),
                (
                    "write".into(),
                    route("/write", "main", Access::Keyed, false),
                ),
                ("none".into(), route("/none", "none", Access::Keyed, true)),
            ]),
            workspaces: BTreeMap::from([
                ("correios".into(), contract(1e9, 1000)),
                ("no-rate".into(), contract(0.0, 1000)),
                ("no-concurrency".into(), contract(1e9, 0)),
            ]),
            ..Document::default()
        },
        keys: BTreeMap::from([
            (access::hash(KEY.as_bytes()), key("correios", withdrawn)),
            (access::hash(b"old-key"), key("correios", true)),
            (access::hash(b"slow-key"), key("no-rate", false)),
            (access::hash(b"narrow-key"), key("no-concurrency", false)),
        ]),
        ..Snapshot::default()
    }
}

/// Keeps paused time from advancing on its own while it exists, so that only a test moves it.
#[derive(Debug)]
pub struct Frozen {
    _release: std::sync::mpsc::Sender<()>,
}

impl Frozen {
    /// Freezes paused time: the runtime does not skip idle time while a blocking task runs.
    pub fn new() -> Self {
        let (release, wait) = std::sync::mpsc::channel::<()>();
        tokio::task::spawn_blocking(move || wait.recv());
        Self { _release: release }
    }
}

/// Waits until everything that can happen without the passing of time has happened.
///
/// Time has to be paused: each sleep then ends only after the runtime has become idle.
pub async fn settle() {
    for _ in 0..100 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}
