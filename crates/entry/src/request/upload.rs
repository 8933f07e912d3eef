//! Reads the body of a request as a whole, so that it can be sent again.

use crate::request::{memory::Part, reply::Reason};
use azurenotch_core::request::body_memory;
use bytes::{Bytes, BytesMut};
use http::StatusCode;
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use snafu::Snafu;
use std::time::Duration;
use tokio::time::timeout;

/// Result of reading a body.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub(crate) enum Error {
    /// It is longer than permitted.
    #[snafu(display("the body is longer than {limit} bytes"))]
    TooLarge {
        /// Longest body in bytes.
        limit: u64,
    },
    /// The memory for bodies is in use.
    #[snafu(display("no memory for the body: {source}"), context(false))]
    NoMemory {
        /// What is in use.
        source: body_memory::Exhausted,
    },
    /// The caller broke it off.
    #[snafu(display("the caller broke off the body"))]
    Broken,
    /// The caller took too long.
    #[snafu(display("the body did not arrive within {} ms", time.as_millis()))]
    Slow {
        /// Time that was waited.
        time: Duration,
    },
}

impl Error {
    /// Returns the status and the reason of the answer.
    pub(crate) fn answer(&self) -> (StatusCode, Reason) {
        match self {
            Self::TooLarge { .. } => (StatusCode::PAYLOAD_TOO_LARGE, Reason::BodyTooLarge),
            Self::NoMemory { .. } => (StatusCode::SERVICE_UNAVAILABLE, Reason::NoMemory),
            Self::Broken => (StatusCode::BAD_REQUEST, Reason::BrokenBody),
            Self::Slow { .. } => (StatusCode::REQUEST_TIMEOUT, Reason::Timeout),
        }
    }
}

/// Reads a body of at most `limit` bytes within `time`.
///
/// # Errors
///
/// Fails at once if the length is known and too large, or if there is no memory for it.
pub(crate) async fn collect(
    mut body: Incoming,
    part: &mut Part,
    limit: u64,
    time: Duration,
) -> Result<Bytes> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let declared = body.size_hint().lower();
    if declared > limit {
        return Err(Error::TooLarge { limit });
    }
    part.grow(declared)?;
    let read = timeout(time, async {
        let mut whole = BytesMut::with_capacity(declared as usize);
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_broken| Error::Broken)?.into_data() else {
                continue;
            };
            let length = (whole.len() + data.len()) as u64;
            if length > limit {
                return Err(Error::TooLarge { limit });
            }
            if length > part.bytes() {
                part.grow(body_memory::next_capacity(part.bytes(), length, limit))?;
                whole.reserve(part.bytes() as usize - whole.len());
            }
            whole.extend_from_slice(&data);
        }
        Ok(whole.freeze())
    });
    read.await.unwrap_or(Err(Error::Slow { time }))
}
