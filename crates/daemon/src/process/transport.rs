//! Calls between hosts.

use async_trait::async_trait;
use bytes::Bytes;
use http::{Method, Request, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};
use std::{fmt::Debug, net::SocketAddr, time::Duration};
use tokio::{net::TcpStream, time};

use azurenotch_wire::Map;

/// Maximum size of a peer's answer; the largest message is a configuration snapshot.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Result of a call to a peer.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Sends one message to a peer and returns its answer.
#[async_trait]
pub trait Transport: Debug + Send + Sync {
    /// Posts `body` to `path` at a peer and returns the body of its answer.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete answer arrives within `timeout`.
    async fn post(
        &self,
        to: SocketAddr,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Bytes>;
}

/// Sends a typed message to a peer.
///
/// # Errors
///
/// Returns an error if no complete answer arrives within `timeout` or it cannot be decoded.
pub async fn call<M, A>(
    transport: &dyn Transport,
    to: SocketAddr,
    path: &str,
    message: &M,
    timeout: Duration,
) -> Result<A>
where
    M: Serialize + Sync,
    A: DeserializeOwned,
{
    let body = rmp_serde::to_vec(message).context(EncodeSnafu)?;
    let answer = transport.post(to, path, body, timeout).await?;
    rmp_serde::from_slice(&answer).context(DecodeSnafu { to })
}

/// HTTP transport that keeps one idle connection per peer.
///
/// A call that fails on a kept connection is retried once on a new one. This is safe because all
/// messages between hosts are idempotent.
#[derive(Debug, Default)]
pub struct Http {
    idle: Mutex<Map<SocketAddr, SendRequest<Full<Bytes>>>>,
}

#[async_trait]
impl Transport for Http {
    async fn post(
        &self,
        to: SocketAddr,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Bytes> {
        let body = Bytes::from(body);
        let attempt = async {
            let kept = self
                .idle
                .lock()
                .remove(&to)
                .filter(|sender| !sender.is_closed());
            if let Some(sender) = kept
                && let Ok(answer) = self.exchange(sender, to, path, body.clone()).await
            {
                return Ok(answer);
            }
            let sender = connect(to).await?;
            self.exchange(sender, to, path, body).await
        };
        time::timeout(timeout, attempt)
            .await
            .ok()
            .unwrap_or_else(|| TimeoutSnafu { to }.fail())
    }
}

impl Http {
    async fn exchange(
        &self,
        mut sender: SendRequest<Full<Bytes>>,
        to: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header(header::HOST, to.to_string())
            .body(Full::new(body))
            .context(RequestSnafu)?;
        let response = sender
            .send_request(request)
            .await
            .context(ExchangeSnafu { to })?;
        let status = response.status();
        let answer = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|source| Error::Body { to, source })?
            .to_bytes();
        if !status.is_success() {
            return StatusSnafu {
                to,
                status: status.as_u16(),
            }
            .fail();
        }
        self.idle.lock().insert(to, sender);
        Ok(answer)
    }
}

async fn connect(to: SocketAddr) -> Result<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(to).await.context(ConnectSnafu { to })?;
    stream.set_nodelay(true).context(ConnectSnafu { to })?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .context(ExchangeSnafu { to })?;
    // The task ends when the sender is dropped or the peer closes the connection.
    tokio::spawn(connection);
    Ok(sender)
}

/// Why a call to a peer failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The message could not be encoded.
    #[snafu(display("message to a peer cannot be encoded"))]
    Encode {
        /// Cause.
        source: rmp_serde::encode::Error,
    },
    /// The answer could not be decoded.
    #[snafu(display("answer of peer {to} cannot be decoded"))]
    Decode {
        /// Address of the peer.
        to: SocketAddr,
        /// Cause.
        source: rmp_serde::decode::Error,
    },
    /// The request could not be built.
    #[snafu(display("request to a peer is malformed"))]
    Request {
        /// Cause.
        source: http::Error,
    },
    /// No connection could be made.
    #[snafu(display("cannot connect to peer {to}"))]
    Connect {
        /// Address of the peer.
        to: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The connection failed before the response header arrived.
    #[snafu(display("connection to peer {to} failed"))]
    Exchange {
        /// Address of the peer.
        to: SocketAddr,
        /// Cause.
        source: hyper::Error,
    },
    /// The answer was incomplete or too large.
    #[snafu(display("answer of peer {to} is incomplete or too large"))]
    Body {
        /// Address of the peer.
        to: SocketAddr,
        /// Cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The peer answered with an error status.
    #[snafu(display("peer {to} answered with status {status}"))]
    Status {
        /// Address of the peer.
        to: SocketAddr,
        /// HTTP status.
        status: u16,
    },
    /// The peer did not answer in time.
    #[snafu(display("peer {to} did not answer in time"))]
    Timeout {
        /// Address of the peer.
        to: SocketAddr,
    },
}
