//! Headers on their way between callers and backend servers.

use crate::{protocol::Protocol, version::catalog::Grant};
use azurenotch_core::request::header::remove_hop_by_hop;
use azurenotch_wire::id::Server;
use http::{HeaderMap, HeaderName, HeaderValue, header};
use std::time::Duration;

/// Time for which a connection is kept, among other things.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Removes the headers that concern only one connection.
pub(crate) fn strip(headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
    headers.remove(header::EXPECT);
}

/// Prepares the headers of a caller's request for all its attempts.
pub(crate) fn prepare(headers: &HeaderMap, protocol: &Protocol, grant: &Grant) -> HeaderMap {
    let mut headers = headers.clone();
    strip(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::AUTHORIZATION);
    headers.remove(&protocol.workspace);
    headers.remove(&protocol.expected);
    if let Some(tenant) = &grant.tenant
        && let Ok(name) = HeaderValue::from_str(tenant.name.as_str())
    {
        headers.insert(protocol.workspace.clone(), name);
    }
    headers
}

/// Names the backend server and the time that it has.
pub(crate) fn address(
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

/// Returns the time that the caller waits.
pub(crate) fn patience(headers: &HeaderMap, protocol: &Protocol) -> Option<Duration> {
    let value = headers.get(&protocol.deadline)?.to_str().ok()?;
    value.trim().parse().ok().map(Duration::from_millis)
}

/// Returns how long a backend server keeps the connection; `None` if it closes it.
pub(crate) fn keep(headers: &HeaderMap, usual: Duration) -> Option<Duration> {
    let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    let closes = text(&header::CONNECTION).is_some_and(|value| {
        let mut options = value.split(',');
        options.any(|option| option.trim().eq_ignore_ascii_case("close"))
    });
    if closes {
        return None;
    }
    let named = text(&KEEP_ALIVE).and_then(|value| {
        let mut parts = value.split(',').filter_map(|part| part.split_once('='));
        let seconds = parts.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?;
        seconds.1.trim().parse().ok().map(Duration::from_secs)
    });
    // The server's clock started before its answer arrived here.
    Some(named.map_or(usual, |named| named.mul_f64(0.7)))
}

#[cfg(test)]
mod tests;
