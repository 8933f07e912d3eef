//! Answers to callers.

use crate::{connection::pool::Lease, request::memory::Part};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::Full;
use hyper::body::Incoming;
use prometheus::IntGauge;
use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

/// Body of an answer.
#[derive(Debug)]
pub enum Body {
    /// A body that is there as a whole, with the memory that it takes.
    Whole(Full<Bytes>, Option<Part>),
    /// A body that a backend server is still sending.
    Stream(Box<Stream>),
}

/// A body of which the first part is there and the rest is still being sent.
///
/// If the server breaks off, the caller's connection is closed so that the answer does not look
/// complete; if the caller leaves, the server's connection is closed.
#[derive(Debug)]
pub struct Stream {
    first: Option<Bytes>,
    rest: Incoming,
    hint: SizeHint,
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
    /// Creates a body from its first part and the rest.
    pub fn new(first: Bytes, rest: Incoming, lease: Lease, in_flight: GaugeGuard) -> Self {
        let mut hint = rest.size_hint();
        if let Some(length) = hint.exact() {
            hint.set_exact(length + first.len() as u64);
        }
        Self {
            first: Some(first),
            rest,
            hint,
            _lease: lease,
            _in_flight: in_flight,
        }
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Self::Whole(body, _) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Self::Stream(stream) => match stream.first.take() {
                Some(first) => Poll::Ready(Some(Ok(Frame::data(first)))),
                None => Pin::new(&mut stream.rest).poll_frame(cx),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body, _) => body.is_end_stream(),
            Self::Stream(stream) => stream.first.is_none() && stream.rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body, _) => body.size_hint(),
            Self::Stream(stream) => stream.hint,
        }
    }
}

/// Why the host itself answers a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Reason {
    /// It has no configuration yet.
    #[display("no-configuration")]
    NoConfiguration,
    /// It cannot know of withdrawn keys.
    #[display("stale-keys")]
    StaleKeys,
    /// It stops before the request might end.
    #[display("leaving")]
    Leaving,
    /// The workspace is over its rate and burst.
    #[display("quota")]
    Quota,
    /// The queues at the backend servers are too long.
    #[display("overload")]
    Overload,
    /// No backend server may take the request.
    #[display("no-server")]
    NoServer,
    /// The body is too long.
    #[display("body-too-large")]
    BodyTooLarge,
    /// The memory for bodies is in use.
    #[display("no-memory")]
    NoMemory,
    /// The caller broke off its body.
    #[display("broken-body")]
    BrokenBody,
    /// The time is over.
    #[display("timeout")]
    Timeout,
    /// A backend server failed and may have run the request.
    #[display("server-failed")]
    ServerFailed,
    /// The configuration does not allow the request.
    #[display("denied")]
    Denied,
}

/// Returns an answer of the host itself.
pub fn own(status: StatusCode, retry_after: Option<Duration>) -> Response<Body> {
    let mut response = Response::new(Body::Whole(Full::default(), None));
    *response.status_mut() = status;
    if let Some(wait) = retry_after {
        let text = format!("{:.2}", wait.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// Returns an answer with the status and headers of a backend server.
pub fn passed(status: StatusCode, headers: HeaderMap, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
