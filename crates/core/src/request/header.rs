//! Headers that pass between caller, host and backend server.

use azurenotch_wire::refusal;
use http::{HeaderMap, HeaderName, header};

/// Headers that concern one connection only and are never passed on.
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

/// Headers that a caller must not set, because a backend server trusts the host's values, and the
/// key itself.
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

/// Removes what a backend server must not see from a caller's headers.
pub fn clean_request(headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
    for name in &RESERVED {
        headers.remove(name);
    }
}

/// Removes what a caller must not see from a backend server's headers.
pub fn clean_response(headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
    for name in &RESERVED {
        headers.remove(name);
    }
}

/// Removes the standard hop-by-hop headers and those that `connection` names.
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
