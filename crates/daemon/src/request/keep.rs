//! Copy of an answer on its way to the caller, for the record of its request.

use crate::request::{
    body::{Body, Error},
    repeat::{End, Guard},
};
use azurenotch_core::request::once::{Answer, MAX_STORED_BODY_BYTES};
use bytes::Bytes;
use http::{Response, header};
use http_body::{Body as _, Frame};
use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

/// Body of an answer that is copied while it passes.
///
/// The record is ended when the last byte has passed. It ends as unknown if the body is too large
/// to keep, breaks, or is dropped because the caller has gone away.
#[derive(Debug)]
pub struct Kept {
    inner: Body,
    copy: Option<Copy>,
}

#[derive(Debug)]
struct Copy {
    guard: Guard,
    answer: Answer,
}

impl Kept {
    /// Copies the body of `response` for the record that `guard` ends.
    pub(crate) fn wrap(response: Response<Body>, guard: Guard) -> Response<Body> {
        let (head, inner) = response.into_parts();
        let content_type = head.headers.get(header::CONTENT_TYPE);
        let answer = Answer {
            status: head.status.as_u16(),
            content_type: content_type.map(|value| value.as_bytes().to_vec()),
            body: Vec::new(),
        };
        // A record does not keep the coding, without which the bytes cannot be read.
        let coded = head.headers.contains_key(header::CONTENT_ENCODING);
        let mut kept = Self {
            inner,
            copy: (!coded).then_some(Copy { guard, answer }),
        };
        kept.end_if_complete();
        Response::from_parts(head, Body::Kept(Box::new(kept)))
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
            // Dropping the copy ends the record as unknown.
            Some(Err(_)) => self.copy = None,
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
        let Some(copy) = &mut self.copy else {
            return;
        };
        if copy.answer.body.len() + data.len() > MAX_STORED_BODY_BYTES {
            self.copy = None;
        } else {
            copy.answer.body.extend_from_slice(data);
        }
    }

    /// Ends the record with the last byte: the HTTP library does not poll a body after it.
    fn end_if_complete(&mut self) {
        if self.inner.is_end_stream() {
            self.end();
        }
    }

    fn end(&mut self) {
        if let Some(Copy { guard, answer }) = self.copy.take() {
            guard.end(End::Answered(answer));
        }
    }
}
