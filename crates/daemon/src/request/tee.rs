//! Copies the body of an answer to the record of its request while it is sent.

use crate::request::{
    body::{Body, Error},
    idempotency::{End, RunGuard},
};
use azurenotch_core::request::once::{Answer, MAX_STORED_BODY_BYTES};
use bytes::Bytes;
use http::{Response, header};
use http_body::{Body as _, Frame};
use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

/// Body of an answer that is copied while it is sent to the caller.
///
/// The record is ended after the last byte. It ends as unknown if the body is too large to store,
/// breaks, or is dropped because the caller disconnected.
#[derive(Debug)]
pub struct Tee {
    inner: Body,
    recording: Option<Recording>,
}

#[derive(Debug)]
struct Recording {
    guard: RunGuard,
    answer: Answer,
}

impl Tee {
    /// Copies the body of `response` for the record that `guard` ends.
    pub(crate) fn wrap(response: Response<Body>, guard: RunGuard) -> Response<Body> {
        let (head, inner) = response.into_parts();
        let content_type = head.headers.get(header::CONTENT_TYPE);
        let answer = Answer {
            status: head.status.as_u16(),
            content_type: content_type.map(|value| value.as_bytes().to_vec()),
            body: Vec::new(),
        };
        // A record does not store the content coding, without which the bytes cannot be decoded.
        let coded = head.headers.contains_key(header::CONTENT_ENCODING);
        let mut tee = Self {
            inner,
            recording: (!coded).then_some(Recording { guard, answer }),
        };
        tee.end_if_complete();
        Response::from_parts(head, Body::Tee(Box::new(tee)))
    }

    pub(crate) fn inner(&self) -> &Body {
        &self.inner
    }

    pub(crate) fn poll(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(cx));
        match &frame {
            None => self.end(),
            // Dropping the guard ends the record as unknown.
            Some(Err(_)) => self.recording = None,
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    self.add(data);
                }
                self.end_if_complete();
            }
        }
        Poll::Ready(frame)
    }

    fn add(&mut self, data: &Bytes) {
        let Some(recording) = &mut self.recording else {
            return;
        };
        if recording.answer.body.len() + data.len() > MAX_STORED_BODY_BYTES {
            self.recording = None;
        } else {
            recording.answer.body.extend_from_slice(data);
        }
    }

    /// Ends the record with the last byte: the HTTP library does not poll a body after it.
    fn end_if_complete(&mut self) {
        if self.inner.is_end_stream() {
            self.end();
        }
    }

    fn end(&mut self) {
        if let Some(Recording { guard, answer }) = self.recording.take() {
            guard.end(End::Answered(answer));
        }
    }
}
