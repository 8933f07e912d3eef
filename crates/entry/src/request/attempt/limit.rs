//! Limits that backend servers name in their answers.

use super::{Target, is_from_other};
use crate::{process::state::State, request::head};
use azurenotch_wire::time::Instant;
use http::Response;
use hyper::body::Incoming;

/// Records the limit that the server named in its answer to a request sent at `sent`, or none.
///
/// Only a signed answer can end a limit: what is on the way to the server may answer without it.
pub(super) fn observe(
    state: &State,
    target: &Target,
    response: &Response<Incoming>,
    sent: Instant,
) {
    if is_from_other(state, target, response) {
        return;
    }
    let protocol = state.dependencies.format.protocol();
    let headers = response.headers();
    let limit = head::limit(headers, protocol);
    if limit == Ok(None) && !headers.contains_key(&protocol.signature) {
        return;
    }
    state.record_limit(target.process(), limit, sent);
}
