//! Body of an answer, streamed from a backend server to the caller.

use crate::{
    connection::pool::Lease,
    request::{observer::Observer, tee::Tee, upload::Source},
};
use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::Full;
use hyper::body::Incoming;
use snafu::Snafu;
use std::{
    any::Any,
    fmt::{self, Debug, Formatter},
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};
use tokio::time::{Instant, Sleep, sleep};
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

/// Longest time without data from a backend server in the middle of an answer's body.
pub const SERVER_STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Why an answer's body ended early.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The backend server's connection broke.
    #[snafu(display("backend server broke off its answer"))]
    Broken {
        /// Error of the connection.
        source: hyper::Error,
    },
    /// The backend server sent nothing for [`SERVER_STALL_TIMEOUT`].
    #[snafu(display("backend server stopped sending its answer"))]
    Stalled,
    /// The key of the request was withdrawn.
    #[snafu(display("key was withdrawn during the answer"))]
    Withdrawn,
}

/// Body of an answer to a caller.
#[derive(Debug)]
pub enum Body {
    /// A body that this host created.
    Whole(Full<Bytes>),
    /// A body that a backend server sends.
    Stream(Box<Download>),
    /// A body that is also copied into the record of its request.
    Tee(Box<Tee>),
}

/// Body that a backend server sends.
///
/// The connection returns to its pool after the last byte. If the body breaks or the caller
/// disconnects before, the connection is closed, which cancels the request at the backend server.
pub struct Download {
    inner: Incoming,
    lease: Option<Lease>,
    upload: Source,
    withdrawn: Option<Pin<Box<WaitForCancellationFutureOwned>>>,
    stall: Option<Pin<Box<Sleep>>>,
    armed: bool,
    observer: Observer,
    /// Error that is returned by the next poll.
    error: Option<Error>,
    _held: Box<dyn Any + Send>,
}

impl Body {
    /// Creates a body from bytes in memory.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Full::new(bytes.into()))
    }
}

impl Download {
    /// Creates a body that reports to `observer` if it breaks and holds `held` until it is dropped.
    pub fn new<T: Any + Send>(
        inner: Incoming,
        lease: Lease,
        upload: Source,
        observer: Observer,
        withdrawn: Option<CancellationToken>,
        held: T,
    ) -> Self {
        let mut download = Self {
            inner,
            lease: Some(lease),
            upload,
            withdrawn: withdrawn.map(|token| Box::pin(token.cancelled_owned())),
            stall: None,
            armed: false,
            observer,
            error: None,
            _held: Box::new(held),
        };
        download.finish_if_ended();
        download
    }

    fn finish_if_ended(&mut self) {
        if self.inner.is_end_stream() {
            self.finish();
        }
    }

    /// Returns the connection to its pool, or closes it if the caller's body is not yet sent.
    fn finish(&mut self) {
        if let Some(lease) = self.lease.take()
            && self.upload.is_done()
        {
            lease.release();
        }
    }

    /// Closes the connection to the backend server and returns the error at the next poll.
    ///
    /// The HTTP library discards unwritten data when a body fails. The delay by one poll lets it
    /// write the header and the data received so far.
    fn fail(
        &mut self,
        cx: &Context<'_>,
        error: Error,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        self.lease = None;
        self.observer
            .record_broken_body(!matches!(error, Error::Withdrawn));
        self.error = Some(error);
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    fn poll_stall(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let stall = self
            .stall
            .get_or_insert_with(|| Box::pin(sleep(SERVER_STALL_TIMEOUT)));
        if !self.armed {
            self.armed = true;
            stall.as_mut().reset(Instant::now() + SERVER_STALL_TIMEOUT);
        }
        stall.as_mut().poll(cx)
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if let Some(error) = self.error.take() {
            return Poll::Ready(Some(Err(error)));
        }
        if let Some(withdrawn) = &mut self.withdrawn
            && withdrawn.as_mut().poll(cx).is_ready()
        {
            return self.fail(cx, Error::Withdrawn);
        }
        match Pin::new(&mut self.inner).poll_frame(cx) {
            Poll::Pending => match self.poll_stall(cx) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(()) => self.fail(cx, Error::Stalled),
            },
            Poll::Ready(None) => {
                self.finish();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(source))) => self.fail(cx, Error::Broken { source }),
            Poll::Ready(Some(Ok(frame))) => {
                self.armed = false;
                self.finish_if_ended();
                Poll::Ready(Some(Ok(frame)))
            }
        }
    }
}

impl Debug for Download {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Download")
            .field("inner", &self.inner)
            .field("lease", &self.lease)
            .finish_non_exhaustive()
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
            Self::Stream(body) => body.poll(cx),
            Self::Tee(body) => body.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Stream(body) => body.inner.is_end_stream(),
            Self::Tee(body) => body.inner().is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Stream(body) => body.inner.size_hint(),
            Self::Tee(body) => body.inner().size_hint(),
        }
    }
}
