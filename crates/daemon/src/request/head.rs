//! Headers with which a caller controls its request.

use crate::request::gateway::Result;
use azurenotch_core::request::once::MAX_KEY_BYTES;
use azurenotch_wire::refusal::{self, Reason, Refusal};
use http::HeaderMap;

/// Returns the caller's own timeout in milliseconds.
pub(crate) fn timeout(headers: &HeaderMap) -> Result<Option<u64>> {
    let Some(value) = headers.get(refusal::TIMEOUT) else {
        return Ok(None);
    };
    let millis = value.to_str().ok().and_then(|text| text.parse().ok());
    millis.map_or(Err(Refusal::not_run(Reason::Malformed)), |millis| {
        Ok(Some(millis))
    })
}

/// Returns the caller's idempotency key, which must occur once and must not be empty or too long.
pub(crate) fn idempotency_key(headers: &HeaderMap) -> Result<Option<&[u8]>> {
    let mut values = headers.get_all(refusal::IDEMPOTENCY_KEY).iter();
    let Some(key) = values.next() else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > MAX_KEY_BYTES || values.next().is_some() {
        return Err(Refusal::not_run(Reason::Malformed));
    }
    Ok(Some(key.as_bytes()))
}
