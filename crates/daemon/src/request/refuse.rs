//! Answers that this host creates itself: refusals and look-ups.

use crate::request::{body::Body, directory::Answer};
use azurenotch_wire::refusal::{self, Reason, Refusal};
use http::{HeaderValue, Response, StatusCode, header};
use std::time::Duration;

/// Delay after which a caller may retry if the refusal has none of its own.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Returns the answer for a refusal.
pub fn answer(refusal: &Refusal, alternatives: Vec<String>) -> Response<Body> {
    let (mut head, body) = parts(refusal, alternatives).into_parts();
    let length = HeaderValue::from(body.len());
    head.headers.insert(header::CONTENT_LENGTH, length);
    Response::from_parts(head, Body::whole(body))
}

/// Returns the bytes of the answer for a refusal, which asks to close the connection.
pub fn raw(refusal: &Refusal, alternatives: Vec<String>) -> Vec<u8> {
    let (head, body) = parts(refusal, alternatives).into_parts();
    let mut text = format!(
        "HTTP/1.1 {} {}\r\nconnection: close\r\ncontent-length: {}\r\n",
        head.status.as_str(),
        head.status.canonical_reason().unwrap_or_default(),
        body.len(),
    );
    for (name, value) in &head.headers {
        let value = value.to_str().unwrap_or_default();
        text.extend([name.as_str(), ": ", value, "\r\n"]);
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&body);
    bytes
}

/// Returns the answer to a look-up.
pub fn look_up(answer: &Answer) -> Response<Body> {
    let seconds = answer.lifetime_ms / 1000;
    let body = serde_json::to_vec(answer).unwrap_or_default();
    let mut response = Response::new(Body::whole(body));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, json());
    if let Ok(value) = HeaderValue::try_from(format!("max-age={seconds}")) {
        headers.insert(header::CACHE_CONTROL, value);
    }
    response
}

fn parts(refusal: &Refusal, alternatives: Vec<String>) -> Response<Vec<u8>> {
    let status = refusal.reason.status();
    let retry_after = refusal.retry_after.or_else(|| default_retry(status));
    let mut response = Response::new(Vec::new());
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, json());
    let mut set = |name, text: String| {
        if let Ok(value) = HeaderValue::try_from(text) {
            headers.insert(name, value);
        }
    };
    set(refusal::OUTCOME, refusal.outcome.to_string());
    set(refusal::REASON, refusal.reason.to_string());
    if let Some(delay) = retry_after {
        // The header can only state whole seconds; the body states milliseconds.
        set(header::RETRY_AFTER, delay.as_secs_f64().ceil().to_string());
    }
    if !alternatives.is_empty() {
        set(refusal::ALTERNATIVES, alternatives.join(","));
    }
    if status == StatusCode::UNAUTHORIZED {
        set(header::WWW_AUTHENTICATE, "Bearer".to_owned());
    }
    let body = refusal::Body {
        outcome: refusal.outcome,
        reason: refusal.reason,
        // Rounded up, so that a caller that waits this long does not retry too early.
        retry_after_ms: retry_after.map(|delay| (delay.as_secs_f64() * 1000.0).ceil() as u64),
        alternatives,
    };
    // Names and numbers always have a JSON form.
    *response.body_mut() = serde_json::to_vec(&body).unwrap_or_default();
    response
}

fn default_retry(status: StatusCode) -> Option<Duration> {
    let is_temporary = status.is_server_error() || status == Reason::Rate.status();
    is_temporary.then_some(DEFAULT_RETRY_DELAY)
}

fn json() -> HeaderValue {
    HeaderValue::from_static("application/json")
}
