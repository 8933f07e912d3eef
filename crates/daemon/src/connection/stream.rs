//! A caller's connection, with the host's own refusals in place of the HTTP library's.

use http::Version;
use parking_lot::Mutex;
use std::{
    fmt::{self, Debug, Formatter},
    io::{self, IoSlice},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep, sleep},
};

/// Longest time that a caller may take no data of its answer.
pub const READER_STALL: Duration = Duration::from_secs(30);

/// Returns the host's refusal for the status of the library's answer to a malformed request.
pub type Replace = Box<dyn Fn(u16) -> Vec<u8> + Send>;

/// A caller's connection.
pub struct Stream {
    io: TcpStream,
    exchange: Exchange,
    replace: Replace,
    /// Bytes of a refusal that were not written yet.
    pending: Vec<u8>,
    stall: Option<Pin<Box<Sleep>>>,
    armed: bool,
}

/// What the service and the connection know of the request under way.
#[derive(Debug, Clone, Default)]
pub struct Exchange {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    /// A request was handed to the service and its answer's header was not written.
    owed: bool,
    /// Bytes arrived since anything was last written.
    begun: bool,
    /// The end of an answer without a length is the end of the connection, as in HTTP/1.0.
    ends_with_connection: bool,
}

impl Exchange {
    /// Takes note that a request was handed to the service.
    pub fn begin(&self, version: Version) {
        let mut state = self.state.lock();
        state.ends_with_connection = version < Version::HTTP_11;
        state.owed = true;
        state.begun = false;
    }

    /// Returns whether the caller takes the end of the connection for the end of an answer.
    pub fn ends_with_connection(&self) -> bool {
        self.state.lock().ends_with_connection
    }

    /// Returns whether the caller has sent a part of a request that was not handed on.
    pub fn is_begun(&self) -> bool {
        let state = self.state.lock();
        state.begun && !state.owed
    }
}

impl Stream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, exchange: Exchange, replace: Replace) -> Self {
        Self {
            io: stream,
            exchange,
            replace,
            pending: Vec::new(),
            stall: None,
            armed: false,
        }
    }

    /// Returns the connection.
    pub fn into_inner(self) -> TcpStream {
        self.io
    }

    /// Returns the refusal to write instead of `data`, if that is the library's own answer.
    fn substitute(&self, data: &[u8]) -> Option<Vec<u8>> {
        let mut state = self.exchange.state.lock();
        state.begun = false;
        if state.owed {
            state.owed = false;
            return None;
        }
        drop(state);
        status_of_library_answer(data).map(|status| (self.replace)(status))
    }

    fn poll_pending(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.pending.is_empty() {
            let written = ready!(Pin::new(&mut self.io).poll_write(cx, &self.pending))?;
            if written == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.pending.drain(..written);
        }
        Poll::Ready(Ok(()))
    }

    /// Fails a write that makes no progress for [`READER_STALL`].
    fn guard(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.armed = false;
            return written;
        }
        let stall = self
            .stall
            .get_or_insert_with(|| Box::pin(sleep(READER_STALL)));
        if !self.armed {
            self.armed = true;
            stall.as_mut().reset(Instant::now() + READER_STALL);
        }
        ready!(stall.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl Debug for Stream {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Stream")
            .field("io", &self.io)
            .field("exchange", &self.exchange)
            .finish_non_exhaustive()
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.io).poll_read(cx, buf))?;
        if buf.filled().len() > before {
            self.exchange.state.lock().begun = true;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_pending(cx))?;
        if let Some(refusal) = self.substitute(data) {
            self.pending = refusal;
            return Poll::Ready(Ok(data.len()));
        }
        let written = Pin::new(&mut self.io).poll_write(cx, data);
        self.guard(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_pending(cx))?;
        let first = slices.first().map_or(&[][..], |slice| slice);
        let refusal = self.substitute(first);
        if let Some(refusal) = refusal {
            self.pending = refusal;
            return Poll::Ready(Ok(slices.iter().map(|slice| slice.len()).sum()));
        }
        let written = Pin::new(&mut self.io).poll_write_vectored(cx, slices);
        self.guard(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_pending(cx))?;
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_pending(cx))?;
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

/// Returns the status if `data` is the HTTP library's whole answer to a malformed request.
///
/// It is told from the answers of this host by the missing `via` and `azurenotch-reason` headers.
fn status_of_library_answer(data: &[u8]) -> Option<u16> {
    let text = std::str::from_utf8(data).ok()?;
    let rest = text.strip_prefix("HTTP/1.1 4")?;
    let whole = text.ends_with("\r\n\r\n") && text.matches("\r\n\r\n").count() == 1;
    let ours = text.contains("\r\nvia: ") || text.contains("\r\nazurenotch-reason: ");
    let number = rest.get(..2)?.parse::<u16>().ok()?;
    (whole && !ours && text.contains("\r\ncontent-length: 0\r\n")).then_some(400 + number)
}
