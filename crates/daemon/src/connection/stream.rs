//! Connection of a caller that replaces the HTTP library's error answers by refusals.

use azurenotch_entry::connection::probe::Probe;
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

/// Longest time for which a caller may accept no data of its answer.
pub const READER_STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Function that returns the refusal to write instead of the HTTP library's answer to a malformed
/// request, given the status of that answer.
pub type Replace = Box<dyn Fn(u16) -> Vec<u8> + Send>;

/// Connection of a caller, which fails if the caller accepts no data for too long.
pub struct Stream {
    io: TcpStream,
    probe: Probe,
    exchange: Exchange,
    replace: Replace,
    /// Bytes of a refusal that are not written yet.
    pending: Vec<u8>,
    stall: Option<Pin<Box<Sleep>>>,
    armed: bool,
}

/// State of the current request, shared by the connection and the HTTP service.
#[derive(Debug, Clone, Default)]
pub struct Exchange {
    state: Arc<Mutex<State>>,
}

/// Keeps a request open until it is dropped with the body of the answer.
#[derive(Debug)]
pub struct Guard(Exchange);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.state.lock().is_open = false;
    }
}

#[derive(Debug, Default)]
struct State {
    /// Whether a request was passed to the service and its answer is not complete.
    is_open: bool,
    /// Whether a request was passed to the service and no part of its answer is written yet.
    answer_pending: bool,
    /// Whether bytes have arrived since the last write or the last complete request header.
    request_started: bool,
    /// Version of HTTP of the last request.
    version: Option<Version>,
}

impl Exchange {
    /// Records that a request of this HTTP version was passed to the service.
    ///
    /// Returns the guard of the request, to be dropped when its answer is complete.
    pub fn begin(&self, version: Version) -> Guard {
        let mut state = self.state.lock();
        state.is_open = true;
        state.version = Some(version);
        state.answer_pending = true;
        state.request_started = false;
        Guard(self.clone())
    }

    /// Returns whether the caller may take the end of the connection for the end of an answer, as in
    /// HTTP/1.0.
    pub fn ends_with_connection(&self) -> bool {
        let version = self.state.lock().version;
        version.is_some_and(|version| version < Version::HTTP_11)
    }

    /// Returns whether the caller has sent only a part of a request's header.
    pub fn has_partial_request(&self) -> bool {
        let state = self.state.lock();
        state.request_started && !state.answer_pending
    }
}

impl Stream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, exchange: Exchange, replace: Replace) -> Self {
        Self {
            io: stream,
            probe: Probe::default(),
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

    /// Returns the refusal to write instead of `data` if that is an answer of the HTTP library.
    fn substitute(&self, data: &[u8]) -> Option<Vec<u8>> {
        let mut state = self.exchange.state.lock();
        state.request_started = false;
        if state.answer_pending {
            state.answer_pending = false;
            return None;
        }
        drop(state);
        status_of_library_answer(data).map(|status| (self.replace)(status))
    }

    /// Waits with the end of the caller's bytes until its request is answered or it has left.
    ///
    /// The library takes the end for the caller's leave; it may have closed its sending side only.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let (is_open, is_answered) = {
            let state = self.exchange.state.lock();
            (state.is_open, !state.answer_pending)
        };
        // A caller of HTTP/1.0 does not understand the interim responses of the probe.
        if is_open && !self.exchange.ends_with_connection() {
            let Self { io, probe, .. } = self;
            ready!(probe.poll_left(cx, is_answered, |bytes| io.try_write(bytes)));
        }
        Poll::Ready(Ok(()))
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

    /// Writes what has to be written before the library's bytes.
    fn poll_begin(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Self { io, probe, .. } = self;
        ready!(probe.poll_write(|rest| Pin::new(&mut *io).poll_write(cx, rest)))?;
        self.poll_pending(cx)
    }

    /// Fails a write that makes no progress for [`READER_STALL_TIMEOUT`].
    fn fail_if_stalled(
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
            .get_or_insert_with(|| Box::pin(sleep(READER_STALL_TIMEOUT)));
        if !self.armed {
            self.armed = true;
            stall.as_mut().reset(Instant::now() + READER_STALL_TIMEOUT);
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
            self.exchange.state.lock().request_started = true;
            return Poll::Ready(Ok(()));
        }
        self.poll_end(cx)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_begin(cx))?;
        if let Some(refusal) = self.substitute(data) {
            self.pending = refusal;
            return Poll::Ready(Ok(data.len()));
        }
        let written = Pin::new(&mut self.io).poll_write(cx, data);
        self.fail_if_stalled(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_begin(cx))?;
        let first = slices.first().map_or(&[][..], |slice| slice);
        let refusal = self.substitute(first);
        if let Some(refusal) = refusal {
            self.pending = refusal;
            return Poll::Ready(Ok(slices.iter().map(|slice| slice.len()).sum()));
        }
        let written = Pin::new(&mut self.io).poll_write_vectored(cx, slices);
        self.fail_if_stalled(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_pending(cx))?;
        ready!(Pin::new(&mut self.io).poll_flush(cx))?;
        self.probe.on_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_pending(cx))?;
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

/// Returns the status if `data` is the HTTP library's whole answer to a malformed request.
///
/// Answers of this host differ from it by a `via` or `azurenotch-reason` header.
fn status_of_library_answer(data: &[u8]) -> Option<u16> {
    let text = std::str::from_utf8(data).ok()?;
    let rest = text.strip_prefix("HTTP/1.1 4")?;
    let whole = text.ends_with("\r\n\r\n") && text.matches("\r\n\r\n").count() == 1;
    let ours = text.contains("\r\nvia: ") || text.contains("\r\nazurenotch-reason: ");
    let number = rest.get(..2)?.parse::<u16>().ok()?;
    (whole && !ours && text.contains("\r\ncontent-length: 0\r\n")).then_some(400 + number)
}
