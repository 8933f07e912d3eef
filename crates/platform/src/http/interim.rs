//! Limit on interim answers (1xx), which a faulty server may send without end.
//!
//! The HTTP library drops interim answers as it reads them, and does not return before there is
//! nothing more to read. A server that never stops would keep the thread from all other work.

use hyper::ext;
use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Interim answers to one request above which a connection fails.
///
/// A sound server sends at most a few: 100 once, 103 once, 102 now and then during long work.
const MAX_INTERIM_ANSWERS: usize = 16;

/// Number of interim answers to the request that a connection carries.
#[derive(Debug, Clone, Default)]
pub struct Count(Arc<AtomicUsize>);

impl Count {
    /// Counts the interim answers to a request from zero.
    ///
    /// The request is the next one on the connection whose [`Stream`] has this count.
    pub fn follow<B>(&self, request: &mut http::Request<B>) {
        self.0.store(0, Ordering::Relaxed);
        let count = Arc::clone(&self.0);
        ext::on_informational(request, move |_| {
            count.fetch_add(1, Ordering::Relaxed);
        });
    }

    fn check(&self) -> io::Result<()> {
        if self.0.load(Ordering::Relaxed) > MAX_INTERIM_ANSWERS {
            let text = format!("more than {MAX_INTERIM_ANSWERS} interim answers to one request");
            return Err(io::Error::new(io::ErrorKind::InvalidData, text));
        }
        Ok(())
    }
}

/// Connection that fails once there were too many interim answers.
#[derive(Debug)]
pub struct Stream<S> {
    inner: S,
    count: Count,
}

impl<S> Stream<S> {
    /// Wraps a connection; `count` is shared with those who send requests on it.
    pub fn new(inner: S, count: Count) -> Self {
        Self { inner, count }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Stream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Err(error) = self.count.check() {
            return Poll::Ready(Err(error));
        }
        Pin::new(&mut self.inner).poll_read(cx, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Stream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
