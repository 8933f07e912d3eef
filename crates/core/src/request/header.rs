//! Filters for headers that a host forwards between caller and backend server.

use azurenotch_wire::refusal;
use http::{HeaderMap, HeaderName, header};

/// Hop-by-hop headers, which apply to a single connection and are never forwarded.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Headers that are never forwarded.
///
/// `authorization` carries the caller's key; the others are set only by the host, because backend
/// servers and callers trust them.
const RESERVED: [HeaderName; 8] = [
    header::AUTHORIZATION,
    refusal::WORKSPACE,
    refusal::REQUEST,
    refusal::DEADLINE,
    refusal::OUTCOME,
    refusal::REASON,
    refusal::ALTERNATIVES,
    refusal::REPLAYED,
];

/// Removes hop-by-hop and reserved headers from a caller's request.
pub fn clean_request(headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
    for name in &RESERVED {
        headers.remove(name);
    }
}

/// Removes hop-by-hop and reserved headers from a backend server's response.
pub fn clean_response(headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
    for name in &RESERVED {
        headers.remove(name);
    }
}

/// Removes the standard hop-by-hop headers and those listed in the `connection` header.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse::<HeaderName>().ok())
        .collect::<Vec<_>>();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

#[cfg(test)]
mod tests;
