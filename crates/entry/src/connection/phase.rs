//! Tracks whether a connection is idle, and how long a caller takes to send a request header.
//!
//! The timer starts at the first byte of the header, so the idle time before it does not count.

use crate::connection::register::Ticket;
use hyper::body::{Body, Frame, SizeHint};
use parking_lot::Mutex;
use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::Instant,
};

/// Phase of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No request has begun.
    Idle,
    /// A header is incomplete; its first byte arrived at this moment.
    Header(Instant),
    /// A request is being processed and answered.
    Request,
}

/// Current phase of one connection, shared by its stream and its answers.
#[derive(Debug, Clone)]
pub struct Tracker(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    phase: Mutex<Phase>,
    ticket: Ticket,
}

impl Tracker {
    /// Creates the tracker of an idle connection, which holds its entry in the register.
    pub fn new(ticket: Ticket) -> Self {
        Self(Arc::new(Inner {
            phase: Mutex::new(Phase::Idle),
            ticket,
        }))
    }

    /// Returns the connection's entry in the register.
    pub fn ticket(&self) -> &Ticket {
        &self.0.ticket
    }

    /// Returns when the first byte of an incomplete header arrived; `None` if there is none.
    pub fn header_since(&self) -> Option<Instant> {
        match *self.0.phase.lock() {
            Phase::Header(since) => Some(since),
            Phase::Idle | Phase::Request => None,
        }
    }

    /// Records that a header is complete.
    ///
    /// The connection is idle again when the returned guard is dropped.
    pub fn begin_request(&self) -> Guard {
        *self.0.phase.lock() = Phase::Request;
        self.0.ticket.begin();
        Guard(self.clone())
    }

    fn on_read(&self) {
        let mut phase = self.0.phase.lock();
        if *phase == Phase::Idle {
            *phase = Phase::Header(Instant::now());
            self.0.ticket.begin();
        }
    }
}

/// Keeps a connection in the request phase until it is dropped.
#[derive(Debug)]
pub struct Guard(Tracker);

impl Drop for Guard {
    fn drop(&mut self) {
        *self.0.0.phase.lock() = Phase::Idle;
        self.0.0.ticket.end();
    }
}

/// Stream of a connection that records when the first byte of a header arrives.
#[derive(Debug)]
pub struct Stream<S> {
    inner: S,
    tracker: Tracker,
}

impl<S> Stream<S> {
    /// Wraps a stream whose reads update `tracker`.
    pub fn new(inner: S, tracker: &Tracker) -> Self {
        let tracker = tracker.clone();
        Self { inner, tracker }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Stream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        let polled = Pin::new(&mut this.inner).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            this.tracker.on_read();
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Stream<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().inner).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().inner).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_shutdown(cx)
    }
}

/// Body of an answer; its request ends when the body has been written and is dropped.
#[derive(Debug)]
pub struct Answer<B, G> {
    body: B,
    _guards: G,
}

impl<B, G> Answer<B, G> {
    /// Wraps a body that holds `guards` until it is dropped.
    pub fn new(body: B, guards: G) -> Self {
        Self {
            body,
            _guards: guards,
        }
    }
}

impl<B: Body + Unpin, G: Unpin> Body for Answer<B, G> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
