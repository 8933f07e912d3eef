//! How long a caller takes for the header of a request.

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

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No request is under way.
    Idle,
    /// The first byte of a header came at this moment, the last one did not.
    Header(Instant),
    /// A request is answered.
    Request,
}

/// Phase of one connection, shared by its stream and its answers.
#[derive(Debug, Clone)]
pub struct Mark(Arc<Mutex<Phase>>);

impl Default for Mark {
    fn default() -> Self {
        Self(Arc::new(Mutex::new(Phase::Idle)))
    }
}

impl Mark {
    /// Returns when the header began that is not complete yet.
    pub fn header_since(&self) -> Option<Instant> {
        match *self.0.lock() {
            Phase::Header(since) => Some(since),
            Phase::Idle | Phase::Request => None,
        }
    }

    /// Takes note of a complete header; the request lasts until the returned guard is dropped.
    pub fn begin(&self) -> Guard {
        *self.0.lock() = Phase::Request;
        Guard(self.clone())
    }

    fn read(&self) {
        let mut phase = self.0.lock();
        if *phase == Phase::Idle {
            *phase = Phase::Header(Instant::now());
        }
    }
}

/// A request under way.
#[derive(Debug)]
pub struct Guard(Mark);

impl Drop for Guard {
    fn drop(&mut self) {
        *self.0.0.lock() = Phase::Idle;
    }
}

/// A stream that notes when bytes arrive.
#[derive(Debug)]
pub struct Stream<S> {
    inner: S,
    mark: Mark,
}

impl<S> Stream<S> {
    /// Wraps the stream of a connection.
    pub fn new(inner: S, mark: &Mark) -> Self {
        let mark = mark.clone();
        Self { inner, mark }
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
            this.mark.read();
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

/// Body of an answer; the request lasts until it is written.
#[derive(Debug)]
pub struct Answer<B> {
    body: B,
    _guard: Guard,
}

impl<B> Answer<B> {
    /// Wraps the body of an answer.
    pub fn new(body: B, guard: Guard) -> Self {
        Self {
            body,
            _guard: guard,
        }
    }
}

impl<B: Body + Unpin> Body for Answer<B> {
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
