//! HTTP adapter for the table, the object store and the roster.
//!
//! # Protocol
//!
//! * `GET /table/KEY` answers `200` with the value and `ETag: "VERSION"`, or `404`.
//! * `PUT /table/KEY` carries `If-Match: "VERSION"` or `If-None-Match: *` and answers `204` with
//!   the new `ETag`. `DELETE /table/KEY` carries `If-Match`.
//! * [`FENCE`] on a write names the lease row and the token that it must hold.
//! * A refused write answers `412`. If the fence does not hold, [`FAILED`] has the value
//!   [`FAILED_FENCE`]. Otherwise the body is the current row with its `ETag`, or there is no
//!   `ETag` if there is no row.
//! * `GET /object/NAME` and `PUT /object/NAME`.
//! * `GET /roster` answers a JSON list of [`Entry`](crate::roster::Entry).
//! * After a `5xx` answer it is unknown whether a write took effect, unless the body is a
//!   [`Report`] with `written` set to `false`.
//!
//! Keys and names are percent-encoded; slashes are not encoded.

pub mod interim;
mod link;
mod pool;
mod roster;
pub mod status;
mod store;
mod table;

use bytes::Bytes;
use http::{HeaderName, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use link::{Link, Trace};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use pool::Pool;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::{net::SocketAddr, time::Duration};
use tokio::{sync::Semaphore, time};

/// Header that names the lease row and the token of a fenced write, as `KEY=TOKEN`.
pub const FENCE: HeaderName = HeaderName::from_static("azurenotch-fence");
/// Header of a `412` answer that names the failed check.
pub const FAILED: HeaderName = HeaderName::from_static("azurenotch-failed");
/// Value of [`FAILED`] when the fence did not hold.
pub const FAILED_FENCE: &str = "fence";

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(1);
const DEFAULT_MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
const DEFAULT_MAX_CONNECTIONS: usize = 64;
const DEFAULT_MAX_IDLE_CONNECTIONS: usize = 8;
const DEFAULT_MAX_IDLE_TIME: Duration = Duration::from_secs(5);

/// Bytes that are not percent-encoded in a path and in the fence header.
const UNENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'/')
    .remove(b'-')
    .remove(b'_')
    .remove(b'.')
    .remove(b'~');

/// Body of a failed write that states whether the write took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Whether the write took effect.
    pub written: bool,
}

/// Client of a platform that speaks HTTP.
///
/// A write is sent at most once per call. The timeout of a call covers waiting for a connection,
/// connecting, sending and reading the whole answer. Dropping a call closes its connection.
///
/// # Examples
///
/// ```
/// use azurenotch_platform::http::Client;
/// use std::time::Duration;
///
/// let client = Client::new("127.0.0.1:7070".parse()?).timeout(Duration::from_millis(500));
/// # let _ = client;
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
    response_limit: usize,
    permits: Semaphore,
    pool: Pool,
}

impl Client {
    /// Creates a client of the platform at the given address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            timeout: DEFAULT_TIMEOUT,
            response_limit: DEFAULT_MAX_RESPONSE_BYTES,
            permits: Semaphore::new(DEFAULT_MAX_CONNECTIONS),
            pool: Pool::new(DEFAULT_MAX_IDLE_CONNECTIONS, DEFAULT_MAX_IDLE_TIME),
        }
    }

    /// Sets how long a call may take, from waiting for a connection to the end of the answer.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets the largest answer body in bytes that the client accepts; larger answers count as lost.
    #[must_use]
    pub fn response_limit(mut self, bytes: usize) -> Self {
        self.response_limit = bytes;
        self
    }

    /// Sets how many calls run at once, each on its own connection; further calls wait.
    #[must_use]
    pub fn connections(mut self, connections: usize) -> Self {
        self.permits = Semaphore::new(connections);
        self
    }

    /// Sets how many idle connections are kept, and for how long.
    #[must_use]
    pub fn idle(mut self, connections: usize, limit: Duration) -> Self {
        self.pool = Pool::new(connections, limit);
        self
    }

    /// Sends one request and reads the whole answer.
    async fn call(&self, request: Request<Full<Bytes>>) -> Result<Response<Bytes>, Failure> {
        let mut trace = Trace::default();
        let exchange = self.exchange(request, &mut trace);
        // A timeout drops the exchange with its connection, so nothing more is written and the
        // trace is final.
        match time::timeout(self.timeout, exchange).await {
            Ok(Ok(answer)) => Ok(answer),
            _ if trace.sent() => LostSnafu.fail(),
            _ => NotSentSnafu.fail(),
        }
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        trace: &mut Trace,
    ) -> Result<Response<Bytes>, link::Error> {
        // The semaphore is never closed, so acquiring cannot fail.
        let _permit = self.permits.acquire().await;
        if let Some(mut link) = self.pool.take().await {
            match link
                .exchange(request.clone(), self.response_limit, trace)
                .await
            {
                Ok(answer) => {
                    self.pool.put(link);
                    return Ok(answer);
                }
                Err(error) if trace.sent() => return Err(error),
                // The peer had closed the connection before a byte was written.
                Err(_) => {}
            }
        }
        let mut link = Link::connect(self.address).await?;
        let answer = link.exchange(request, self.response_limit, trace).await?;
        self.pool.put(link);
        Ok(answer)
    }

    fn request(&self, method: Method, path: &str) -> http::request::Builder {
        Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string())
    }
}

/// Reason why a call has no answer.
#[derive(Debug, Snafu)]
enum Failure {
    /// No byte of the request was written to a connected socket.
    #[snafu(display("request was not sent"))]
    NotSent,
    /// At least one byte was written and no complete answer arrived.
    #[snafu(display("answer was lost"))]
    Lost,
}

/// Class of an answer with an unexpected status.
enum Unexpected {
    /// The platform reported that nothing was written.
    NotWritten,
    /// The platform failed and the write may have taken effect.
    Ambiguous,
    /// The status is not part of the protocol.
    Protocol(u16),
}

impl Unexpected {
    fn new(answer: &Response<Bytes>) -> Self {
        let status = answer.status();
        if !status.is_server_error() {
            return Self::Protocol(status.as_u16());
        }
        match serde_json::from_slice::<Report>(answer.body()) {
            Ok(Report { written: false }) => Self::NotWritten,
            _ => Self::Ambiguous,
        }
    }
}

fn path(prefix: &str, name: &str) -> String {
    format!("{prefix}{}", encode(name))
}

fn encode(text: &str) -> String {
    // Intermediaries would resolve `.` and `..` segments as relative paths.
    text.split('/')
        .map(|segment| match segment {
            "." | ".." => segment.replace('.', "%2E"),
            _ => utf8_percent_encode(segment, UNENCODED).to_string(),
        })
        .collect::<Vec<_>>()
        .join("/")
}

fn is_success(status: StatusCode) -> bool {
    status == StatusCode::OK || status == StatusCode::CREATED || status == StatusCode::NO_CONTENT
}
