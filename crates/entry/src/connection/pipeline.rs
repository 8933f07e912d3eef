//! Requests that a caller sends before the answer to its last one (HTTP pipelining).
//!
//! Load pattern: a caller sends several idempotent requests at once on one connection. Served in
//! turn, each would wait for the work of all before it, which alone is longer than its objective.
//!
//! The HTTP library stays in charge of the connection: it reads every byte, answers in order and
//! closes. This module looks at the bytes on their way to the library. It starts a request that
//! stands behind others at once, if that request and all before it may run more than once, and
//! keeps its answer until the library asks for it.

mod scanner;

use crate::{
    connection::probe::Probe,
    process::state::State,
    request::{
        handler::{self, Arrival},
        reply::{self, Body},
    },
};
use azurenotch_wire::time::Instant;
use bytes::{Buf, Bytes, BytesMut};
use http::{Request, Response, StatusCode, Version};
use http_body_util::Empty;
use hyper::body::Incoming;
use parking_lot::Mutex;
use scanner::Scanner;
use slog::warn;
use std::{
    collections::VecDeque,
    future::{self, poll_fn},
    io::{self, IoSlice},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time::{self, Sleep, sleep},
};
use tokio_util::task::AbortOnDropHandle;

/// Maximum number of requests behind the current one that run at the same time.
///
/// While so many wait for their turn, the connection is not read ahead of the library.
const MAX_PENDING: usize = 8;
/// Maximum number of bytes of one connection that are read before the library takes them.
const MAX_AHEAD_BYTES: usize = 16 * 1024;
/// Time without a byte after which a closed connection is not read any more.
///
/// The system resets a connection on which bytes arrive after it was closed, and discards what the caller
/// has not received of its last answer. Bytes that are read here are no request that anybody waits for.
/// Covers a round trip between continents, or the pause of a busy caller. Most callers close at once.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// Longest time for which a closed connection is read.
const MAX_LINGER_TIME: Duration = Duration::from_secs(2);
/// Size of one read ahead of the library, in bytes.
const READ_BYTES: usize = 4 * 1024;

/// Unanswered requests of one connection, shared by its stream and its service.
#[derive(Debug, Clone)]
pub struct Pipeline(Arc<Mutex<Inner>>);

#[derive(Debug)]
struct Inner {
    state: Arc<State>,
    /// When the connection was accepted.
    accepted: Instant,
    reader: OwnedReadHalf,
    /// Bytes that were read before the library asked for them.
    ahead: BytesMut,
    /// How the bytes of the caller have ended.
    end: Option<End>,
    writer: OwnedWriteHalf,
    probe: Probe,
    scanner: Scanner,
    /// Request that the library handles; `None` without one.
    current: Option<Current>,
    /// Requests behind the current one, in order.
    pending: VecDeque<Pending>,
}

/// End of the bytes of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// The caller has closed its sending side, and maybe the whole connection.
    Closed,
    /// The connection was reset.
    Failed,
}

/// Request that the library handles.
#[derive(Debug, Clone, Copy)]
struct Current {
    /// Whether it may run more than once.
    repeatable: bool,
    /// Whether its caller understands interim responses.
    takes_interim: bool,
    /// Whether the library has its answer.
    is_answered: bool,
}

/// Request whose header was read and that the library has not yet asked for.
#[derive(Debug)]
struct Pending {
    request: Request<()>,
    arrived: Instant,
    repeatable: bool,
    /// Whether it may be started before the library asks for it.
    plain: bool,
    started: Option<AbortOnDropHandle<Response<Body>>>,
}

/// Marks the current request as answered when it is dropped.
///
/// Requests behind it start at the latest when the library asks for the next one.
#[derive(Debug)]
pub struct Guard(Pipeline);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.0.lock().current = None;
    }
}

impl Pipeline {
    /// Creates the pipeline and the stream of a connection.
    ///
    /// A request header of more than `max_header_bytes` ends the search for further requests.
    pub fn new(stream: TcpStream, state: &Arc<State>, max_header_bytes: usize) -> (Self, Stream) {
        let (reader, writer) = stream.into_split();
        let inner = Inner {
            state: Arc::clone(state),
            accepted: state.now(),
            reader,
            ahead: BytesMut::new(),
            end: None,
            writer,
            probe: Probe::default(),
            scanner: Scanner::new(max_header_bytes),
            current: None,
            pending: VecDeque::new(),
        };
        let pipeline = Self(Arc::new(Mutex::new(inner)));
        let stream = Stream {
            pipeline: pipeline.clone(),
            linger: None,
        };
        (pipeline, stream)
    }

    /// Answers a request of the library, which may have been started before.
    ///
    /// Returns also the guard of the request, to be dropped when its answer has been written.
    pub async fn answer(&self, request: Request<Incoming>) -> (Response<Body>, Guard) {
        let (state, accepted, pending) = {
            let mut inner = self.0.lock();
            let pending = inner.take(&request);
            (Arc::clone(&inner.state), inner.accepted, pending)
        };
        let guard = Guard(self.clone());
        let read = pending
            .as_ref()
            .map_or_else(|| state.now(), |it| it.arrived);
        let arrival = Arrival { read, accepted };
        if poll_fn(|cx| Poll::Ready(self.poll_ahead(cx).is_ready())).await {
            // The caller has left; the connection ends before the answer is missed.
            return future::pending().await;
        }
        let response = match pending.and_then(|it| it.started) {
            Some(started) => started.await.unwrap_or_else(|error| {
                warn!(state.log(), "callers: request failed"; "error" => %error);
                reply::from_host(StatusCode::BAD_GATEWAY, None)
            }),
            None => handler::handle(&state, request, arrival).await,
        };
        if let Some(current) = &mut self.0.lock().current {
            current.is_answered = true;
        }
        (response, guard)
    }

    /// Rejects a request of the library, because the host has no room for its connection.
    pub fn reject(&self, request: &Request<Incoming>) -> Response<Body> {
        let (state, accepted) = {
            let inner = self.0.lock();
            (Arc::clone(&inner.state), inner.accepted)
        };
        let read = state.now();
        handler::reject_connection(&state, request, Arrival { read, accepted })
    }

    /// Returns whether a request behind the current one has been read.
    ///
    /// The connection must not be closed before it has been answered.
    pub fn has_pending(&self) -> bool {
        !self.0.lock().pending.is_empty()
    }

    /// Reads ahead of the library while a request is unanswered.
    ///
    /// Ready when the caller has closed the connection. A caller that has only closed its sending
    /// side gets its answers.
    pub fn poll_ahead(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut inner = self.0.lock();
        while let Some(current) = inner.current
            && inner.pending.len() < MAX_PENDING
            && inner.ahead.len() < MAX_AHEAD_BYTES
        {
            match inner.end {
                Some(End::Closed) if current.takes_interim && !inner.scanner.is_in_body() => {
                    return inner.poll_left(cx, current.is_answered);
                }
                Some(_) => return Poll::Ready(()),
                None => {}
            }
            let mut bytes = [0; READ_BYTES];
            let mut buffer = ReadBuf::new(&mut bytes);
            ready!(inner.poll_read(cx, &mut buffer));
            inner.ahead.extend_from_slice(buffer.filled());
            inner.scan(buffer.filled());
        }
        Poll::Pending
    }

    /// Reads and discards what the caller still sends; ready when it has closed the connection.
    fn poll_discard(&self, cx: &mut Context<'_>, linger: &mut Linger) -> Poll<()> {
        let mut inner = self.0.lock();
        let mut bytes = [0; READ_BYTES];
        while inner.end.is_none() {
            ready!(inner.poll_read(cx, &mut ReadBuf::new(&mut bytes)));
            linger.extend();
        }
        Poll::Ready(())
    }
}

impl Inner {
    /// Reads into an empty buffer, or learns how the bytes of the caller have ended.
    fn poll_read(&mut self, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<()> {
        match ready!(Pin::new(&mut self.reader).poll_read(cx, buffer)) {
            Ok(()) if buffer.filled().is_empty() => self.end = Some(End::Closed),
            Ok(()) => {}
            Err(_) => self.end = Some(End::Failed),
        }
        Poll::Ready(())
    }

    /// Looks for request headers in bytes that the library has not seen before.
    fn scan(&mut self, bytes: &[u8]) {
        let arrived = self.state.now();
        let catalog = self.state.catalog.load();
        for seen in self.scanner.scan(bytes) {
            let repeatable = catalog.as_ref().is_none_or(|catalog| {
                let grant = handler::grant(&self.state, catalog, &seen.request);
                // A request that is not allowed does not run at all.
                grant.map_or(true, |grant| grant.entry.route.kind.is_repeatable())
            });
            self.pending.push_back(Pending {
                request: seen.request,
                arrived,
                repeatable,
                plain: seen.plain,
                started: None,
            });
        }
        self.advance();
    }

    /// Waits until a caller that has closed its sending side has left.
    fn poll_left(&mut self, cx: &mut Context<'_>, is_answered: bool) -> Poll<()> {
        let Self { writer, probe, .. } = self;
        probe.poll_left(cx, is_answered, |bytes| writer.try_write(bytes))
    }

    /// Takes the request that the library asks for.
    fn take(&mut self, request: &Request<Incoming>) -> Option<Pending> {
        let pending = self.pending.pop_front();
        let same = |it: &Pending| {
            it.request.method() == request.method()
                && it.request.uri() == request.uri()
                && it.request.headers() == request.headers()
        };
        let found = pending.filter(same);
        if found.is_none() {
            // The scanner and the library disagree, so only the library is right from here on.
            self.pending.clear();
            self.scanner.stop();
        }
        self.current = Some(Current {
            repeatable: found.as_ref().is_some_and(|it| it.repeatable),
            takes_interim: request.version() == Version::HTTP_11,
            is_answered: false,
        });
        self.advance();
        found
    }

    /// Starts the requests that may run at the same time as those before them.
    fn advance(&mut self) {
        let is_repeatable = self.current.is_some_and(|it| it.repeatable);
        if !is_repeatable || self.state.is_leaving() {
            return;
        }
        for pending in self.pending.iter_mut().take(MAX_PENDING) {
            if !pending.repeatable || !pending.plain {
                return;
            }
            if pending.started.is_some() {
                continue;
            }
            let (parts, ()) = pending.request.clone().into_parts();
            let request = Request::from_parts(parts, Empty::<Bytes>::new());
            let state = Arc::clone(&self.state);
            let arrival = Arrival {
                read: pending.arrived,
                accepted: self.accepted,
            };
            let task = tokio::spawn(async move { handler::handle(&state, request, arrival).await });
            pending.started = Some(AbortOnDropHandle::new(task));
        }
    }
}

/// Stream of a caller's connection, which hands the bytes that were read ahead to the library.
#[derive(Debug)]
pub struct Stream {
    pipeline: Pipeline,
    /// Reading after the connection was closed; `None` before.
    linger: Option<Linger>,
}

/// Reading of a closed connection until its caller has closed it too, or sends nothing for a while.
#[derive(Debug)]
struct Linger {
    quiet: Pin<Box<Sleep>>,
    end: time::Instant,
}

impl Linger {
    fn new() -> Self {
        Self {
            quiet: Box::pin(sleep(LINGER_TIME)),
            end: time::Instant::now() + MAX_LINGER_TIME,
        }
    }

    /// Waits for a further time after bytes were read.
    fn extend(&mut self) {
        let next = time::Instant::now() + LINGER_TIME;
        self.quiet.as_mut().reset(next.min(self.end));
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut inner = self.pipeline.0.lock();
        if !inner.ahead.is_empty() {
            let length = buffer.remaining().min(inner.ahead.len());
            buffer.put_slice(&inner.ahead[..length]);
            inner.ahead.advance(length);
            return Poll::Ready(Ok(()));
        }
        if inner.end.is_some() {
            return Poll::Ready(Ok(()));
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut inner.reader).poll_read(cx, buffer);
        inner.scan(&buffer.filled()[before..]);
        polled
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        // The only way on which bytes are written, so that none is missed.
        let mut inner = self.pipeline.0.lock();
        let Inner { writer, probe, .. } = &mut *inner;
        ready!(probe.poll_write(|rest| Pin::new(&mut *writer).poll_write(cx, rest)))?;
        Pin::new(writer).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.pipeline.0.lock().writer.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut inner = self.pipeline.0.lock();
        ready!(Pin::new(&mut inner.writer).poll_flush(cx))?;
        inner.probe.on_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Self { pipeline, linger } = self.get_mut();
        if linger.is_none() {
            let mut inner = pipeline.0.lock();
            ready!(Pin::new(&mut inner.writer).poll_shutdown(cx))?;
            // An idle connection owes its caller nothing.
            let written = inner.probe.written();
            if written.is_none_or(|at| at.elapsed() > LINGER_TIME) {
                return Poll::Ready(Ok(()));
            }
        }
        let linger = linger.get_or_insert_with(Linger::new);
        if pipeline.poll_discard(cx, linger).is_ready() {
            return Poll::Ready(Ok(()));
        }
        linger.quiet.as_mut().poll(cx).map(Ok)
    }
}
