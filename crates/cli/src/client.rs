//! Requests to the operators' interface.

use crate::error::{
    EncodeSnafu, Error, MalformedSnafu, NoHostSnafu, RefusedSnafu, Result, UnreachableSnafu,
};
use azurenotch_config::change::Change;
use azurenotch_wire::operator::{Accepted, Problem};
use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu, ensure};
use std::{error::Error as StdError, net::SocketAddr, time::Duration};
use tokio::{net::TcpStream, time};

/// Longest time for connecting to a host.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time until a read request is answered.
pub const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time until a change is answered; a host gives up after 15 s.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);
/// Largest answer body that is read; snapshots are the largest answers.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Sends requests to hosts in the given order and tries the next one if a host is unreachable.
#[derive(Debug, Clone)]
pub struct Client {
    hosts: Vec<SocketAddr>,
}

impl Client {
    /// Creates a client for the operators' interfaces of these hosts.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NoHost`] if there is none.
    pub fn new(hosts: Vec<SocketAddr>) -> Result<Self> {
        ensure!(!hosts.is_empty(), NoHostSnafu);
        Ok(Self { hosts })
    }

    /// Reads `path` from the first host that answers.
    ///
    /// # Errors
    ///
    /// Returns an error if no host answers, or if the first that answers refuses.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let mut tried = Vec::new();
        for host in &self.hosts {
            match get(*host, path, READ_TIMEOUT).await {
                Err(Error::Unreachable { tried: reason }) => tried.push(reason),
                answer => return answer,
            }
        }
        let tried = tried.join(", ");
        UnreachableSnafu { tried }.fail()
    }

    /// Sends a change once, to the first host that accepts the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if no host can be reached or the change is refused, and
    /// [`Error::Unknown`] if the answer was lost.
    pub async fn change(&self, change: &Change) -> Result<Accepted> {
        let path = "/v1/change";
        let body = Bytes::from(serde_json::to_vec(change).context(EncodeSnafu)?);
        let mut tried = Vec::new();
        for host in &self.hosts {
            match call(*host, Method::POST, path, body.clone(), CHANGE_TIMEOUT).await {
                Ok(reply) => return accepted(*host, path, &reply),
                Err(Failure::NotSent { reason }) => tried.push(format!("{host} ({reason})")),
                Err(Failure::Lost { reason }) => {
                    return Err(Error::Unknown {
                        host: *host,
                        reason,
                    });
                }
            }
        }
        let tried = tried.join(", ");
        UnreachableSnafu { tried }.fail()
    }
}

/// Reads `path` from one host.
///
/// # Errors
///
/// Returns [`Error::Unreachable`] if it gives no complete answer in time.
pub async fn get<T: DeserializeOwned>(
    host: SocketAddr,
    path: &str,
    timeout: Duration,
) -> Result<T> {
    let reply = call(host, Method::GET, path, Bytes::new(), timeout).await;
    match reply {
        Ok(reply) => decode(host, path, &reply),
        Err(Failure::NotSent { reason } | Failure::Lost { reason }) => UnreachableSnafu {
            tried: format!("{host} ({reason})"),
        }
        .fail(),
    }
}

/// Status and body of an answer.
type Reply = (StatusCode, Bytes);

/// Decodes the answer to a change.
///
/// The change may have been accepted even if the answer is a server error or cannot be decoded, so
/// both cases return [`Error::Unknown`].
fn accepted(host: SocketAddr, path: &str, reply: &Reply) -> Result<Accepted> {
    match decode(host, path, reply) {
        Err(Error::Refused { code, detail, .. })
            if code == "unknown" || code == reply.0.as_str() && reply.0.is_server_error() =>
        {
            Err(Error::Unknown {
                host,
                reason: format!("{code}: {detail}"),
            })
        }
        Err(Error::Malformed { source, .. }) => Err(Error::Unknown {
            host,
            reason: source.to_string(),
        }),
        answer => answer,
    }
}

fn decode<T: DeserializeOwned>(host: SocketAddr, path: &str, reply: &Reply) -> Result<T> {
    let (status, body) = reply;
    if status.is_success() {
        return serde_json::from_slice(body).context(MalformedSnafu { host, path });
    }
    let Ok(problem) = serde_json::from_slice::<Problem>(body) else {
        let (code, detail) = (status.as_str().to_owned(), format!("no reason for {path}"));
        return RefusedSnafu { host, code, detail }.fail();
    };
    let Problem {
        code,
        detail,
        current,
    } = problem;
    if code == "conflict" {
        return Err(Error::Conflict {
            host,
            detail,
            current,
        });
    }
    RefusedSnafu { host, code, detail }.fail()
}

/// Reason why a request got no complete answer.
#[derive(Debug, Snafu)]
pub enum Failure {
    /// The request was not sent.
    #[snafu(display("not sent: {reason}"))]
    NotSent {
        /// Text of the cause.
        reason: String,
    },
    /// The request may have been processed.
    #[snafu(display("answer lost: {reason}"))]
    Lost {
        /// Text of the cause.
        reason: String,
    },
}

/// Sends one request on a new connection, at most once.
///
/// # Errors
///
/// Returns [`Failure::NotSent`] if no byte of the request was sent, and [`Failure::Lost`] if no
/// complete answer arrived within `timeout`.
pub async fn call(
    host: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    timeout: Duration,
) -> Result<Reply, Failure> {
    let connect_timeout = timeout.min(CONNECT_TIMEOUT);
    let stream = time::timeout(connect_timeout, TcpStream::connect(host))
        .await
        .map_err(|_elapsed| not_sent(&format_args!("no connection within {connect_timeout:?}")))?
        .map_err(|error| not_sent(&error))?;
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, host.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(|error| not_sent(&error))?;
    time::timeout(timeout, exchange(stream, request))
        .await
        .unwrap_or_else(|_| Err(lost(&format_args!("no answer within {timeout:?}"))))
}

async fn exchange(stream: TcpStream, request: Request<Full<Bytes>>) -> Result<Reply, Failure> {
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| not_sent(&error))?;
    let connection = tokio::spawn(connection);
    let answer = async {
        let response = sender
            .send_request(request)
            .await
            .map_err(|error| lost(&error))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|error: Box<dyn StdError + Send + Sync>| lost(&error))?
            .to_bytes();
        Ok((status, body))
    };
    let answer = answer.await;
    connection.abort();
    answer
}

fn not_sent(reason: &dyn std::fmt::Display) -> Failure {
    let reason = reason.to_string();
    Failure::NotSent { reason }
}

fn lost(reason: &dyn std::fmt::Display) -> Failure {
    let reason = reason.to_string();
    Failure::Lost { reason }
}
