//! Reads the whole body of a request, so that a retry can send it again.

use crate::request::{memory::Reservation, reply::Reason};
use azurenotch_core::request::body_memory;
use bytes::{Bytes, BytesMut};
use http::StatusCode;
use http_body::Body;
use http_body_util::BodyExt;
use snafu::Snafu;
use std::time::Duration;
use tokio::time::timeout;

/// Result of reading a body.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// Error of reading a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub(crate) enum Error {
    /// The body is longer than permitted.
    #[snafu(display("the body is longer than {limit} bytes"))]
    TooLarge {
        /// Largest permitted body in bytes.
        limit: u64,
    },
    /// The memory limit of all bodies would be exceeded.
    #[snafu(display("no memory for the body: {source}"), context(false))]
    NoMemory {
        /// Reservation that failed.
        source: body_memory::Exhausted,
    },
    /// The body ended early or was malformed.
    #[snafu(display("the body is incomplete or malformed"))]
    Incomplete,
    /// The body did not arrive in time.
    #[snafu(display("the body did not arrive within {} ms", max_wait.as_millis()))]
    TimedOut {
        /// Timeout that expired.
        max_wait: Duration,
    },
}

impl Error {
    /// Returns the status and the reason of the answer to the caller.
    pub(crate) fn status_and_reason(&self) -> (StatusCode, Reason) {
        match self {
            Self::TooLarge { .. } => (StatusCode::PAYLOAD_TOO_LARGE, Reason::BodyTooLarge),
            Self::NoMemory { .. } => (StatusCode::SERVICE_UNAVAILABLE, Reason::NoMemory),
            Self::Incomplete => (StatusCode::BAD_REQUEST, Reason::BrokenBody),
            Self::TimedOut { .. } => (StatusCode::REQUEST_TIMEOUT, Reason::Timeout),
        }
    }
}

/// Reads a body of at most `limit` bytes within `max_wait`.
///
/// Memory for a declared length is reserved before the first byte is read; otherwise the
/// reservation grows with the body.
///
/// # Errors
///
/// Fails at once if the declared length is too large or there is no memory for it, and later if the
/// body turns out too large, exceeds the memory, is incomplete or takes too long.
pub(crate) async fn collect<B>(
    mut body: B,
    reservation: &mut Reservation,
    limit: u64,
    max_wait: Duration,
) -> Result<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
{
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let declared_bytes = body.size_hint().lower();
    if declared_bytes > limit {
        return Err(Error::TooLarge { limit });
    }
    reservation.grow(declared_bytes)?;
    let read = timeout(max_wait, async {
        let mut buffer = BytesMut::with_capacity(declared_bytes as usize);
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_invalid| Error::Incomplete)?.into_data() else {
                continue;
            };
            let length = (buffer.len() + data.len()) as u64;
            if length > limit {
                return Err(Error::TooLarge { limit });
            }
            if length > reservation.bytes() {
                reservation.grow(body_memory::next_capacity(
                    reservation.bytes(),
                    length,
                    limit,
                ))?;
                buffer.reserve(reservation.bytes() as usize - buffer.len());
            }
            buffer.extend_from_slice(&data);
        }
        Ok(buffer.freeze())
    });
    read.await.unwrap_or(Err(Error::TimedOut { max_wait }))
}
