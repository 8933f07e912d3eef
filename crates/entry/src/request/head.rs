//! Rewrites headers between callers and backend servers.

use crate::{protocol::Protocol, version::catalog::Grant};
use azurenotch_core::{request::header::remove_hop_by_hop, version::limit};
use azurenotch_wire::id::Server;
use http::{HeaderMap, HeaderName, HeaderValue, header};
use std::time::Duration;

/// Header whose `timeout` parameter is the keep-alive time of a connection in seconds.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Removes the headers that apply to a single connection (hop-by-hop) and `Expect`.
pub(crate) fn remove_connection_headers(headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
    headers.remove(header::EXPECT);
}

/// Returns the headers of a request for all its sends.
///
/// Removes the caller's key, and headers that only hosts may set, and adds the workspace.
pub(crate) fn prepare(headers: &HeaderMap, protocol: &Protocol, grant: &Grant) -> HeaderMap {
    let mut headers = headers.clone();
    remove_connection_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::AUTHORIZATION);
    headers.remove(&protocol.workspace);
    headers.remove(&protocol.expected);
    if let Some(workspace) = &grant.workspace
        && let Ok(name) = HeaderValue::from_str(workspace.name.as_str())
    {
        headers.insert(protocol.workspace.clone(), name);
    }
    headers
}

/// Sets the headers that differ between sends: the id of the backend server and the time left.
pub(crate) fn set_target(
    headers: &mut HeaderMap,
    protocol: &Protocol,
    server: &Server,
    left: Duration,
) {
    if let Ok(name) = HeaderValue::from_str(server.as_str()) {
        headers.insert(protocol.expected.clone(), name);
    }
    let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(protocol.deadline.clone(), HeaderValue::from(left));
}

/// Returns the timeout that the caller sent; `None` without a valid one.
pub(crate) fn caller_timeout(headers: &HeaderMap, protocol: &Protocol) -> Option<Duration> {
    let value = headers.get(&protocol.deadline)?.to_str().ok()?;
    value.trim().parse().ok().map(Duration::from_millis)
}

/// Returns whether an answer says that the backend server is leaving.
pub(crate) fn is_leaving(headers: &HeaderMap, protocol: &Protocol) -> bool {
    let mut values = headers.get_all(&protocol.leaving).iter();
    values.any(|value| value.as_bytes().trim_ascii() == b"1")
}

/// Returns the requests per second that the backend server takes; `None` if an answer names none.
///
/// # Errors
///
/// Fails if the header is not a decimal number.
pub(crate) fn limit(headers: &HeaderMap, protocol: &Protocol) -> limit::Result<Option<f64>> {
    let values = headers.get_all(&protocol.limit).iter();
    limit::parse(values.map(HeaderValue::as_bytes))
}

/// Returns the keep-alive time of a connection; `None` if the backend server closes it.
///
/// `default` applies if the server sends no valid time.
pub(crate) fn keep_alive(headers: &HeaderMap, default: Duration) -> Option<Duration> {
    let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    let closes = text(&header::CONNECTION).is_some_and(|value| {
        let mut options = value.split(',');
        options.any(|option| option.trim().eq_ignore_ascii_case("close"))
    });
    if closes {
        return None;
    }
    let announced = text(&KEEP_ALIVE).and_then(|value| {
        let mut parameters = value.split(',').filter_map(|part| part.split_once('='));
        let seconds = parameters.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?;
        seconds.1.trim().parse().ok().map(Duration::from_secs)
    });
    // The server started its timer before the answer arrived here: the full time would be too long.
    Some(announced.map_or(default, |announced| announced.mul_f64(0.7)))
}

#[cfg(test)]
mod tests;
