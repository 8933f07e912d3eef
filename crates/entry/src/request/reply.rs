//! Answers to callers.

use crate::connection::pool::Lease;
use azurenotch_core::request::deadline::ANSWER_ALLOWANCE;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::Full;
use hyper::body::Incoming;
use prometheus::IntGauge;
use snafu::{ResultExt, Snafu};
use std::{
    fmt::Debug,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};
use tokio::time::{Instant, Sleep, sleep};

/// Time after its deadline for which an answer of known length is passed on.
///
/// What the backend server has sent is ready, and the caller may be slow to read it. Bounded, so that a
/// caller cannot keep a server's connection.
const MAX_LATE_TIME: Duration = Duration::from_secs(5);

/// Body of an answer.
#[derive(Debug)]
pub enum Body {
    /// Complete body.
    Whole(Full<Bytes>),
    /// Body that a backend server is still sending.
    Stream(Box<Stream>),
}

/// Why the body of an answer ends before it is complete.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The backend server broke off.
    #[snafu(display("the backend server broke off: {source}"))]
    Server {
        /// Cause.
        source: hyper::Error,
    },
    /// The caller does not wait any longer.
    #[snafu(display("the deadline of the caller has passed"))]
    Expired,
}

/// How an answer ended that was passed on while the backend server sent it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The server sent all of it.
    Whole,
    /// The server broke off.
    BrokenOff,
}

/// Learns how such an answer ended.
///
/// It is dropped instead if the caller left or its deadline passed before.
pub trait Observer: Debug + Send + Sync {
    /// Records the end.
    fn end(self: Box<Self>, end: End);
}

/// Body of which the first part is buffered while the backend server still sends the rest.
///
/// If the server fails, or has nothing to send after the deadline, the caller's connection is closed,
/// so that the answer does not look complete. If the caller disconnects, the connection to the server
/// is closed.
#[derive(Debug)]
pub struct Stream {
    buffered: Option<Bytes>,
    rest: Incoming,
    /// End of the time for the server to send more.
    deadline: Pin<Box<Sleep>>,
    /// When the answer is cut although the server still sends.
    end: Instant,
    /// Whether the server had nothing to send when it was last asked.
    waiting: bool,
    hint: SizeHint,
    /// Those who have to learn of the end; empty after it.
    observers: Vec<Box<dyn Observer>>,
    _lease: Lease,
    _in_flight: GaugeGuard,
}

/// Increment of a gauge, undone when the guard is dropped.
#[derive(Debug)]
pub struct GaugeGuard(IntGauge);

impl GaugeGuard {
    /// Increments a gauge.
    pub fn new(gauge: &IntGauge) -> Self {
        gauge.inc();
        Self(gauge.clone())
    }
}

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        self.0.dec();
    }
}

impl Stream {
    /// Creates a body from the buffered part and the rest.
    ///
    /// The server may take `max_time`. `lease` and `in_flight` are held until the body is dropped.
    pub fn new(
        buffered: Bytes,
        rest: Incoming,
        max_time: Duration,
        lease: Lease,
        in_flight: GaugeGuard,
    ) -> Self {
        let mut hint = rest.size_hint();
        if let Some(length) = hint.exact() {
            hint.set_exact(length + buffered.len() as u64);
        }
        // An answer of unknown length may have no end.
        let late_time = hint.exact().map_or(Duration::ZERO, |_| MAX_LATE_TIME);
        Self {
            buffered: Some(buffered),
            rest,
            deadline: Box::pin(sleep(max_time)),
            end: Instant::now() + max_time + late_time,
            waiting: false,
            hint,
            observers: Vec::new(),
            _lease: lease,
            _in_flight: in_flight,
        }
    }

    /// Adds an observer of the end.
    pub fn observe(&mut self, observer: impl Observer + 'static) {
        self.observers.push(Box::new(observer));
    }

    fn poll_frame(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let now = Instant::now();
        if now >= self.end {
            return Poll::Ready(Some(ExpiredSnafu.fail()));
        }
        if let Some(buffered) = self.buffered.take() {
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        if !self.waiting {
            // The time in which the caller has not read does not count against the server.
            let next = (now + ANSWER_ALLOWANCE).min(self.end);
            if next > self.deadline.deadline() {
                self.deadline.as_mut().reset(next);
            }
        }
        let polled = Pin::new(&mut self.rest).poll_frame(cx);
        self.waiting = polled.is_pending();
        if self.waiting && self.deadline.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(ExpiredSnafu.fail()));
        }
        let end = match &polled {
            Poll::Ready(Some(Err(_))) => Some(End::BrokenOff),
            Poll::Ready(None) => Some(End::Whole),
            _ => self.rest.is_end_stream().then_some(End::Whole),
        };
        if let Some(end) = end {
            for observer in self.observers.drain(..) {
                observer.end(end);
            }
        }
        polled.map(|frame| frame.map(|frame| frame.context(ServerSnafu)))
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Self::Stream(stream) => stream.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Stream(stream) => stream.buffered.is_none() && stream.rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Stream(stream) => stream.hint,
        }
    }
}

/// Reason why the host answers a request itself, without the answer of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Reason {
    /// All connections that the host may have are in use.
    #[display("connection-limit")]
    ConnectionLimit,
    /// The host has no configuration yet.
    #[display("no-configuration")]
    NoConfiguration,
    /// The host has just started and does not know yet which requests crash their servers.
    #[display("starting")]
    Starting,
    /// The host's list of keys may be out of date, so a withdrawn key could be accepted.
    #[display("stale-keys")]
    StaleKeys,
    /// The host is stopping, and the request might not end before it does.
    #[display("leaving")]
    Leaving,
    /// The workspace has exceeded the rate and burst of its contract.
    #[display("quota")]
    Quota,
    /// The queues at the backend servers are too long.
    #[display("overload")]
    Overload,
    /// All backend servers that could take the request have asked for a pause.
    #[display("paused")]
    Paused,
    /// All backend servers that could take the request have named a limit, and it is used up.
    #[display("limited")]
    Limited,
    /// Servers crashed while they ran this request, or it runs alone at another host.
    #[display("suspect")]
    Suspect,
    /// No backend server is available for the request.
    #[display("no-server")]
    NoServer,
    /// The body exceeds the size limit.
    #[display("body-too-large")]
    BodyTooLarge,
    /// There is no memory left for the body.
    #[display("no-memory")]
    NoMemory,
    /// The body of the request is incomplete or malformed.
    #[display("broken-body")]
    BrokenBody,
    /// The timeout of the request expired.
    #[display("timeout")]
    Timeout,
    /// A backend server failed, and the request may have run.
    #[display("server-failed")]
    ServerFailed,
    /// The configuration does not allow the request.
    #[display("denied")]
    Denied,
}

/// Creates an answer of the host itself, without a body.
///
/// `retry_after` is sent as the `Retry-After` header in seconds with two decimals.
pub fn from_host(status: StatusCode, retry_after: Option<Duration>) -> Response<Body> {
    let mut response = Response::new(Body::Whole(Full::default()));
    *response.status_mut() = status;
    if let Some(wait) = retry_after {
        let text = format!("{:.2}", wait.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// Creates an answer with the status and headers of a backend server's answer.
pub fn from_server(status: StatusCode, headers: HeaderMap, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
