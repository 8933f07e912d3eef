//! A backend server whose replies are scripted.

use super::head::{header, read_head};
use std::{
    net::{Ipv4Addr, SocketAddr},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
};

/// A request as a backend server received it.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// Request line and headers.
    pub head: String,
    /// Body of the length declared in `content-length`; empty without one.
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }
}

/// Scripted reaction of a backend server to a request.
#[derive(Debug, Clone)]
pub enum Reply {
    /// Answers with this status, the echoed request id and a body of declared length.
    Answer(&'static str, Vec<u8>),
    /// Writes these bytes, with `{id}` replaced by the request id, and closes the connection.
    Raw(Vec<u8>),
    /// Echoes the id, declares this many bytes and writes them as fast as they are read.
    LongBody(usize),
    /// Resets the connection.
    Reset,
    /// Sends nothing and keeps the connection open.
    Silent,
}

/// Chooses the reply to a request.
type Script =
    Arc<dyn Fn(ReceivedRequest) -> Pin<Box<dyn Future<Output = Reply> + Send>> + Send + Sync>;

/// A backend server whose replies are scripted.
#[derive(Debug)]
pub struct Backend {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Requests in the order of their arrival.
    pub requests: UnboundedReceiver<ReceivedRequest>,
    /// Number of body bytes written by [`Reply::LongBody`].
    pub written: Arc<AtomicUsize>,
    connections: Arc<AtomicUsize>,
    /// One event for each connection that ended.
    pub closed: UnboundedReceiver<()>,
}

impl Backend {
    /// Starts a backend server.
    pub async fn start(script: impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static) -> Self {
        let script = Arc::new(script);
        Self::start_with(Arc::new(move |request: ReceivedRequest| {
            let script = Arc::clone(&script);
            Box::pin(async move { script(&request) })
        }))
        .await
    }

    async fn start_with(script: Script) -> Self {
        let socket = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("free port");
        let address = socket.local_addr().expect("bound socket");
        let (sender, requests) = unbounded_channel();
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
                    serve_connection(stream, script, sender, count).await;
                    // The receiver is dropped when the test has ended.
                    let _ = closing.send(());
                });
            }
        });
        Self {
            address,
            requests,
            written,
            connections,
            closed,
        }
    }

    /// Starts a backend server whose script may block its thread.
    pub async fn start_blocking(
        script: impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static,
    ) -> Self {
        let script = Arc::new(script);
        Self::start_with(Arc::new(move |request: ReceivedRequest| {
            let script = Arc::clone(&script);
            Box::pin(async move {
                let reply = tokio::task::spawn_blocking(move || script(&request));
                reply.await.expect("the script does not panic")
            })
        }))
        .await
    }

    /// Returns the number of connections accepted so far.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// Removes and returns the requests received so far.
    pub fn drain(&mut self) -> Vec<ReceivedRequest> {
        std::iter::from_fn(|| self.requests.try_recv().ok()).collect()
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    script: Script,
    requests: UnboundedSender<ReceivedRequest>,
    written: Arc<AtomicUsize>,
) {
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer).await {
        drop(requests.send(request.clone()));
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
            Reply::LongBody(length) => {
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

async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<ReceivedRequest> {
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
    Some(ReceivedRequest { head, body })
}
