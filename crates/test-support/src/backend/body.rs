//! Streamed answer bodies.

use super::{
    Slot,
    record::{Outcome, PendingOutcome},
};
use crate::serve::Hangup;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use std::{
    pin::Pin,
    task::{Context, Poll},
};

const CHUNK_BYTES: u64 = 16 * 1024;
const PATTERN_PERIOD_BYTES: u64 = 251;

/// Returns the byte at an offset of a `/bytes/N` answer.
pub const fn byte_at(offset: u64) -> u8 {
    (offset % PATTERN_PERIOD_BYTES) as u8
}

/// Body that is generated while it is sent and occupies its slot until the end.
#[derive(Debug)]
pub(super) struct Stream {
    content: Content,
    position: u64,
    length: u64,
    /// Offset at which the connection is closed.
    cut: Option<u64>,
    flushed: bool,
    pending: Option<PendingOutcome>,
    slot: Option<Slot>,
}

#[derive(Debug)]
enum Content {
    Pattern,
    Text(Bytes),
}

impl Stream {
    /// Creates a body of the given length that follows [`byte_at`].
    pub(super) fn pattern(length: u64) -> Self {
        Self {
            content: Content::Pattern,
            position: 0,
            length,
            cut: None,
            flushed: false,
            pending: None,
            slot: None,
        }
    }

    /// Creates a body with the given content.
    pub(super) fn text(text: impl Into<Bytes>) -> Self {
        let text = text.into();
        Self {
            length: text.len() as u64,
            content: Content::Text(text),
            ..Self::pattern(0)
        }
    }

    /// Closes the connection after half of the body.
    #[must_use]
    pub(super) fn truncated(mut self) -> Self {
        self.cut = Some(self.length / 2);
        self
    }

    /// Keeps the slot and the pending outcome until the end of the body.
    #[must_use]
    pub(super) fn holding(mut self, pending: PendingOutcome, slot: Slot) -> Self {
        self.pending = Some(pending);
        self.slot = Some(slot);
        if self.length == 0 {
            self.finish(Outcome::Answered);
        }
        self
    }

    fn finish(&mut self, outcome: Outcome) {
        if let Some(mut pending) = self.pending.take() {
            pending.finish(outcome);
        }
        self.slot = None;
    }

    fn chunk(&self, end: u64) -> Bytes {
        match &self.content {
            Content::Pattern => (self.position..end).map(byte_at).collect(),
            Content::Text(text) => text.slice(self.position as usize..end as usize),
        }
    }
}

impl Body for Stream {
    type Data = Bytes;
    type Error = Hangup;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Hangup>>> {
        let this = &mut *self;
        let end = this.cut.unwrap_or(this.length);
        if this.position < end {
            let next = end.min(this.position + CHUNK_BYTES);
            let chunk = this.chunk(next);
            this.position = next;
            if next == this.length {
                this.finish(Outcome::Answered);
            }
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        if this.cut.is_none() {
            return Poll::Ready(None);
        }
        if !this.flushed {
            // Returning `Pending` once makes the connection flush the bytes before the cut.
            this.flushed = true;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        this.finish(Outcome::Failed);
        Poll::Ready(Some(Err(Hangup)))
    }

    fn is_end_stream(&self) -> bool {
        self.cut.is_none() && self.position == self.length
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length - self.position)
    }
}
