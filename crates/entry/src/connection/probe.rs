//! Finds out whether a caller that has closed its sending side still receives its answer.

use std::{
    io::{self, ErrorKind},
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::time::{Instant, Sleep, sleep};

/// Interim response that is sent to a caller which has closed its sending side.
///
/// The system of a caller that has closed the whole connection answers it with a reset. A caller
/// that waits for its answer skips it, as it does any interim response (RFC 9110, section 15.2).
const INTERIM: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Time after the first probe at which the next one is sent; doubles with each probe.
///
/// A write fails only after the reset has arrived, which takes a round trip.
const FIRST_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time between two probes.
///
/// A caller may still close the whole connection later.
const MAX_INTERVAL: Duration = Duration::from_millis(200);
/// Time without bytes in the middle of an answer after which a caller counts as gone.
///
/// Nothing can be sent there that shows whether it is.
const QUIET_TIME: Duration = Duration::from_millis(300);

/// What is known of the bytes to a caller.
#[derive(Debug)]
pub struct Probe {
    /// When bytes of an answer were last written.
    written: Option<Instant>,
    /// Whether the HTTP library has no bytes left that it has begun to write.
    flushed: bool,
    /// Rest of an interim response.
    rest: &'static [u8],
    schedule: Option<Schedule>,
}

/// Times of the probes.
#[derive(Debug)]
struct Schedule {
    next: Pin<Box<Sleep>>,
    interval: Duration,
}

impl Default for Probe {
    fn default() -> Self {
        Self {
            written: None,
            flushed: true,
            rest: &[],
            schedule: None,
        }
    }
}

impl Probe {
    /// Returns when bytes of an answer were last written.
    pub fn written(&self) -> Option<Instant> {
        self.written
    }

    /// Records that the library writes, and passes on what is left of an interim response.
    ///
    /// # Errors
    ///
    /// Fails if `write` does.
    pub fn poll_write(
        &mut self,
        mut write: impl FnMut(&[u8]) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<()>> {
        self.written = Some(Instant::now());
        self.flushed = false;
        while !self.rest.is_empty() {
            let length = ready!(write(self.rest))?;
            self.rest = &self.rest[length..];
        }
        Poll::Ready(Ok(()))
    }

    /// Records that the library has no bytes left to write.
    pub fn on_flushed(&mut self) {
        self.flushed = true;
    }

    /// Waits until the caller, which has closed its sending side, has closed its other side too.
    ///
    /// `is_answered` says that the answer to its request has begun. `try_write` writes without
    /// waiting.
    pub fn poll_left(
        &mut self,
        cx: &mut Context<'_>,
        is_answered: bool,
        mut try_write: impl FnMut(&[u8]) -> io::Result<usize>,
    ) -> Poll<()> {
        loop {
            let schedule = self.schedule.get_or_insert_with(|| Schedule {
                next: Box::pin(sleep(Duration::ZERO)),
                interval: FIRST_INTERVAL,
            });
            ready!(schedule.next.as_mut().poll(cx));
            let next = Instant::now() + schedule.interval;
            schedule.next.as_mut().reset(next);
            schedule.interval = (schedule.interval * 2).min(MAX_INTERVAL);
            // Bytes that wait for room show in the end whether the caller is there.
            if !self.flushed {
                continue;
            }
            let has_left = if is_answered {
                self.written.is_none_or(|at| at.elapsed() >= QUIET_TIME)
            } else {
                self.send(&mut try_write).is_err()
            };
            if has_left {
                return Poll::Ready(());
            }
        }
    }

    /// Sends an interim response, as far as there is room for it.
    fn send(&mut self, try_write: &mut impl FnMut(&[u8]) -> io::Result<usize>) -> io::Result<()> {
        if self.rest.is_empty() {
            self.rest = INTERIM;
        }
        match try_write(self.rest) {
            Ok(length) => self.rest = &self.rest[length..],
            // Without room for a byte, it need not be sent at all.
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                if self.rest.len() == INTERIM.len() {
                    self.rest = &[];
                }
            }
            Err(error) => return Err(error),
        }
        Ok(())
    }
}
