//! Body of a request, streamed from the caller to a backend server.

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use parking_lot::Mutex;
use snafu::Snafu;
use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::time::{Instant, Sleep, sleep};

/// Why a caller's body ended early.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The body is longer than the route allows.
    #[snafu(display("body is longer than the route's limit"))]
    TooLarge,
    /// The caller sent no data for too long in the middle of the body.
    #[snafu(display("caller stopped sending its body"))]
    Stalled,
    /// The caller's connection broke, or its chunked coding is not valid.
    #[snafu(display("caller's body broke off or is malformed"))]
    Broken,
}

/// Body of one request, from which each attempt takes an [`Upload`].
///
/// If an attempt ends before it has read any data, the next one gets the body.
#[derive(Debug, Clone)]
pub struct Source {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    hint: SizeHint,
    empty: bool,
    max_bytes: u64,
    /// Longest time without data from the caller in the middle of the body.
    stall_timeout: Duration,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    body: Option<Incoming>,
    consumed: bool,
    done: bool,
    waiting: bool,
    error: Option<Error>,
}

/// Body of one attempt.
#[derive(Debug)]
pub struct Upload {
    shared: Arc<Shared>,
    body: Option<Incoming>,
    bytes_read: u64,
    stall: Option<Pin<Box<Sleep>>>,
    armed: bool,
}

impl Source {
    /// Creates the source of a body of at most `max_bytes`.
    ///
    /// The body fails if the caller sends nothing for `stall_timeout` in the middle of it.
    pub fn new(body: Incoming, max_bytes: u64, stall_timeout: Duration) -> Self {
        let empty = body.is_end_stream();
        Self {
            shared: Arc::new(Shared {
                hint: body.size_hint(),
                empty,
                max_bytes,
                stall_timeout,
                state: Mutex::new(State {
                    body: Some(body),
                    consumed: false,
                    done: empty,
                    waiting: false,
                    error: None,
                }),
            }),
        }
    }

    /// Returns the body for one attempt.
    pub fn upload(&self) -> Upload {
        Upload {
            shared: Arc::clone(&self.shared),
            body: None,
            bytes_read: 0,
            stall: None,
            armed: false,
        }
    }

    /// Returns whether the body can no longer be sent from its start.
    pub fn is_consumed(&self) -> bool {
        let state = self.shared.state.lock();
        !self.shared.empty && (state.consumed || state.body.is_none())
    }

    /// Returns whether the whole body has been read by an attempt.
    pub fn is_done(&self) -> bool {
        self.shared.state.lock().done
    }

    /// Returns whether an attempt is waiting for the caller's next data.
    pub fn is_waiting(&self) -> bool {
        self.shared.state.lock().waiting
    }

    /// Returns why the body ended early, if it did.
    pub fn error(&self) -> Option<Error> {
        self.shared.state.lock().error
    }
}

impl Upload {
    fn fail(&mut self, error: Error) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        self.body = None;
        let mut state = self.shared.state.lock();
        state.error = Some(error);
        state.consumed = true;
        Poll::Ready(Some(Err(error)))
    }

    fn poll_stall(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let stall = self
            .stall
            .get_or_insert_with(|| Box::pin(sleep(self.shared.stall_timeout)));
        if !self.armed {
            self.armed = true;
            stall
                .as_mut()
                .reset(Instant::now() + self.shared.stall_timeout);
            self.shared.state.lock().waiting = true;
        }
        stall.as_mut().poll(cx)
    }

    fn disarm(&mut self) {
        if self.armed {
            self.armed = false;
            self.shared.state.lock().waiting = false;
        }
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if self.body.is_none() {
            let body = self.shared.state.lock().body.take();
            self.body = body;
        }
        let Some(body) = self.body.as_mut() else {
            return Poll::Ready(None);
        };
        let Poll::Ready(frame) = Pin::new(body).poll_frame(cx) else {
            ready!(self.poll_stall(cx));
            return self.fail(Error::Stalled);
        };
        self.disarm();
        match frame {
            None => {
                let mut state = self.shared.state.lock();
                state.consumed = true;
                state.done = true;
                Poll::Ready(None)
            }
            Some(Err(_)) => self.fail(Error::Broken),
            Some(Ok(frame)) => {
                let length = frame.data_ref().map_or(0, Bytes::len);
                self.bytes_read += length as u64;
                if self.bytes_read > self.shared.max_bytes {
                    return self.fail(Error::TooLarge);
                }
                let done = self.body.as_ref().is_some_and(Body::is_end_stream);
                let mut state = self.shared.state.lock();
                state.consumed = true;
                state.done |= done;
                Poll::Ready(Some(Ok(frame)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.shared.empty || self.body.as_ref().is_some_and(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.body
            .as_ref()
            .map_or_else(|| self.shared.hint, Body::size_hint)
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        let body = self.body.take();
        let mut state = self.shared.state.lock();
        if !state.consumed && body.is_some() {
            state.body = body;
        }
    }
}
