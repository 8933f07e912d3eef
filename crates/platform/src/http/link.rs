//! One connection to the platform.

use super::{interim, status};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::{ResultExt, Snafu};
use std::{
    future::poll_fn,
    io::{self, IoSlice},
    net::SocketAddr,
    pin::{Pin, pin},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// HTTP/1.1 connection that is polled only while a call uses it.
///
/// No background task writes to it, so the number of written bytes is final as soon as the
/// call ends or is dropped.
pub(super) struct Link {
    sender: SendRequest<Full<Bytes>>,
    connection: Connection<TokioIo<interim::Stream<CountingStream>>, Full<Bytes>>,
    /// Interim answers to the current request.
    interim: interim::Count,
    written: Arc<AtomicU64>,
}

impl Link {
    pub(super) async fn connect(address: SocketAddr) -> Result<Self, Error> {
        let stream = TcpStream::connect(address).await.context(ConnectSnafu)?;
        stream.set_nodelay(true).context(ConnectSnafu)?;
        let written = Arc::new(AtomicU64::new(0));
        let counting = CountingStream {
            stream,
            written: Arc::clone(&written),
        };
        let interim = interim::Count::default();
        let stream = interim::Stream::new(counting, interim.clone());
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .context(ExchangeSnafu)?;
        Ok(Self {
            sender,
            connection,
            interim,
            written,
        })
    }

    /// Sends a request and reads the whole answer.
    pub(super) async fn exchange(
        &mut self,
        mut request: Request<Full<Bytes>>,
        limit: usize,
        trace: &mut Trace,
    ) -> Result<Response<Bytes>, Error> {
        trace.follow(&self.written);
        self.interim.follow(&mut request);
        let sender = &mut self.sender;
        let mut answer = pin!(async move {
            let answer = sender.send_request(request).await.context(ExchangeSnafu)?;
            let (head, body) = answer.into_parts();
            if !status::is_final(head.status) {
                let status = head.status.as_u16();
                return StatusSnafu { status }.fail();
            }
            let body = Limited::new(body, limit)
                .collect()
                .await
                .context(BodySnafu)?;
            Ok(Response::from_parts(head, body.to_bytes()))
        });
        tokio::select! {
            biased;
            result = &mut answer => result,
            // The connection future may end before the answer is read, if the peer closes it.
            _ = &mut self.connection => answer.await,
        }
    }

    /// Returns whether the connection can take another request.
    pub(super) async fn is_usable(&mut self) -> bool {
        poll_fn(|context| {
            let closed = Pin::new(&mut self.connection).poll(context).is_ready();
            let ready = matches!(self.sender.poll_ready(context), Poll::Ready(Ok(())));
            Poll::Ready(ready && !closed)
        })
        .await
    }
}

/// Tracks whether a call has written at least one byte to its connection.
#[derive(Debug, Default)]
pub(super) struct Trace(Option<(Arc<AtomicU64>, u64)>);

impl Trace {
    /// Returns whether at least one byte was written during the call.
    pub(super) fn sent(&self) -> bool {
        self.0
            .as_ref()
            .is_some_and(|(written, start)| written.load(Ordering::Acquire) != *start)
    }

    fn follow(&mut self, written: &Arc<AtomicU64>) {
        let start = written.load(Ordering::Acquire);
        self.0 = Some((Arc::clone(written), start));
    }
}

/// Reason why an exchange failed.
#[derive(Debug, Snafu)]
pub(super) enum Error {
    #[snafu(display("failed to connect to the platform"))]
    Connect { source: io::Error },
    #[snafu(display("failed to exchange a message with the platform"))]
    Exchange { source: hyper::Error },
    #[snafu(display("failed to read the answer of the platform"))]
    Body {
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    #[snafu(display("the platform answered with {status}, which is no status of HTTP"))]
    Status { status: u16 },
}

/// Stream that counts the bytes written to it.
struct CountingStream {
    stream: TcpStream,
    written: Arc<AtomicU64>,
}

impl CountingStream {
    fn count(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &result {
            self.written.fetch_add(*bytes as u64, Ordering::AcqRel);
        }
        result
    }
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.count(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.count(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

#[cfg(test)]
mod tests;
