//! Answers of a backend server to single requests.

use super::{
    Behaviour, Connection, Load, Mode, RELEASE, Shared, Slot,
    body::Stream,
    record::{Outcome, PendingOutcome, Receipt},
};
use crate::serve::Hangup;
use azurenotch_wire::refusal;
use http::{HeaderValue, Request, Response, StatusCode, header, request::Parts};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use std::{future, sync::Arc, time::Duration};
use tokio::time;

const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
const RETRY_AFTER_SECONDS: &str = "1";

type Answer = Response<Stream>;

pub(super) async fn answer(
    shared: Arc<Shared>,
    connection: Arc<Connection>,
    request: Request<Incoming>,
) -> Result<Answer, Hangup> {
    if connection.is_silent() {
        shared.record.silenced();
        return future::pending().await;
    }
    let answer = respond(&shared, &connection, request).await;
    if connection.is_silent() {
        // The connection was silenced while the request ran.
        return future::pending().await;
    }
    answer
}

async fn respond(
    shared: &Arc<Shared>,
    connection: &Connection,
    request: Request<Incoming>,
) -> Result<Answer, Hangup> {
    let behaviour = shared.behaviour.lock().clone();
    match request.uri().path() {
        "/health" => return Ok(health(shared, &behaviour)),
        "/load" => return Ok(load(shared, &behaviour)),
        _ => {}
    }
    let (head, body) = request.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await.ok();
    let body_bytes = body.map(|body| body.to_bytes().len());
    let receipt = Receipt::new(&head, body_bytes.unwrap_or(0), connection.number);
    let mut pending = PendingOutcome::new(shared, receipt);
    if body_bytes.is_none() {
        // The request is incomplete and must not run; dropping `pending` records a cancellation.
        return Err(Hangup);
    }
    let Some(slot) = Slot::take(shared, behaviour.slots) else {
        pending.finish(Outcome::Shed);
        return Ok(with_labels(&head, &behaviour, Mode::Normal, shed()));
    };
    let mode = shared.mode(&behaviour);
    if mode == Mode::Hangup {
        pending.finish(Outcome::Failed);
        return Err(Hangup);
    }
    if !work(shared, &behaviour, &head, mode).await {
        pending.finish(Outcome::Expired);
        let answer = plain(StatusCode::GATEWAY_TIMEOUT, "deadline passed\n");
        return Ok(with_labels(&head, &behaviour, mode, answer));
    }
    let answer = if shared.fails(behaviour.error_share) {
        pending.finish(Outcome::Failed);
        plain(StatusCode::INTERNAL_SERVER_ERROR, "injected error\n")
    } else {
        let body = content(head.uri.path(), &behaviour);
        let body = match mode {
            Mode::Truncated => body.truncated(),
            _ => body,
        };
        Response::new(body.holding(pending, slot))
    };
    Ok(with_labels(&head, &behaviour, mode, answer))
}

/// Waits for the latency of the request, and returns whether its deadline was met.
async fn work(shared: &Shared, behaviour: &Behaviour, head: &Parts, mode: Mode) -> bool {
    let latency = shared.latency(behaviour);
    if let Mode::Late(delay) = mode {
        // A late answer ignores the deadline.
        time::sleep(latency + delay).await;
        return true;
    }
    let deadline = head
        .headers
        .get(refusal::DEADLINE)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map(Duration::from_millis);
    match deadline {
        _ if latency.is_zero() => true,
        Some(deadline) if deadline < latency => {
            time::sleep(deadline).await;
            false
        }
        _ => {
            time::sleep(latency).await;
            true
        }
    }
}

fn content(path: &str, behaviour: &Behaviour) -> Stream {
    let length = path
        .rsplit_once("/bytes/")
        .and_then(|(_, length)| length.parse().ok());
    match length {
        Some(length) => Stream::pattern(length),
        None => Stream::text(format!("{}\n", behaviour.release)),
    }
}

fn health(shared: &Shared, behaviour: &Behaviour) -> Answer {
    if behaviour.health_reported.report(&shared.healthy) {
        plain(StatusCode::OK, "healthy\n")
    } else {
        plain(StatusCode::SERVICE_UNAVAILABLE, "unhealthy\n")
    }
}

fn load(shared: &Shared, behaviour: &Behaviour) -> Answer {
    let load = Load {
        in_flight: behaviour.load_reported.report(&shared.loads),
        slots: behaviour.slots,
    };
    let text = serde_json::to_vec(&load).expect("a load serializes");
    Response::new(Stream::text(text))
}

fn shed() -> Answer {
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE, "all slots are occupied\n");
    let value = HeaderValue::from_static(RETRY_AFTER_SECONDS);
    answer.headers_mut().insert(header::RETRY_AFTER, value);
    answer
}

fn plain(status: StatusCode, text: &'static str) -> Answer {
    let mut answer = Response::new(Stream::text(text));
    *answer.status_mut() = status;
    answer
}

/// Adds the release label and the echoed request id.
fn with_labels(head: &Parts, behaviour: &Behaviour, mode: Mode, mut answer: Answer) -> Answer {
    let headers = answer.headers_mut();
    if let Ok(release) = HeaderValue::from_str(behaviour.release.as_str()) {
        headers.insert(RELEASE, release);
    }
    if let Some(request) = head.headers.get(refusal::REQUEST) {
        match mode {
            Mode::MissingId => {}
            Mode::WrongId => {
                let mut wrong = request.as_bytes().to_vec();
                wrong.extend_from_slice(b"-other");
                let wrong = HeaderValue::from_bytes(&wrong);
                headers.insert(refusal::REQUEST, wrong.expect("a suffix keeps it valid"));
            }
            _ => {
                headers.insert(refusal::REQUEST, request.clone());
            }
        }
    }
    answer
}
