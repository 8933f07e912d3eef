//! One send of a request to a backend server.

use crate::{
    connection::pool::{self, Failed, Lease, Pool},
    process::state::State,
    request::{
        head,
        memory::Part,
        reply::{Body, Stream, Unit},
    },
};
use azurenotch_core::version::placement::{Choice, Load, Verdict};
use azurenotch_wire::{
    id::{Release, Route, Server, Service},
    time::Instant,
};
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, header};
use http_body::Body as _;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use slog::info;
use std::{sync::Arc, time::Duration};
use tokio::time::timeout;

/// Answers slower than this multiple of the usual cold work count against a new version.
const SLOW_FACTOR: f64 = 2.2;
/// Longest time for a new connection to a server of the same region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time since its last use for which a connection carries a request that may run only once.
///
/// The server may close a connection that was idle for longer just then, and the request may or
/// may not have been read.
const FRESH: Duration = Duration::from_millis(1_500);
/// Largest answer that is read as a whole before it is passed on.
const WHOLE: usize = 256 * 1024;
/// Time for which connections of a server are not used again after an answer out of order.
const DISTRUST: Duration = Duration::from_secs(8);

/// What one request needs for all its sends.
#[derive(Debug)]
pub(crate) struct Job {
    /// Id of the caller's attempt, for logs.
    pub(crate) id: String,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) repeatable: bool,
    pub(crate) deadline: Instant,
}

/// Where one send goes.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) route: Route,
    pub(crate) service: Service,
    pub(crate) server: Server,
    /// Version that it runs.
    pub(crate) release: Release,
    pub(crate) choice: Choice,
    pub(crate) pool: Arc<Pool>,
    /// Connections that this host may have to the server.
    pub(crate) connections: usize,
}

/// How a send ended.
#[derive(Debug)]
pub(crate) enum Ending {
    /// The server answered.
    Answered(Response<Body>),
    /// The server says that it did not run the request.
    NotRun(StatusCode),
    /// Nothing was sent.
    Unsent(pool::Error),
    /// The request may have run.
    Lost(&'static str),
}

/// A send that is under way; it counts as abandoned if it is dropped.
struct Running<'a> {
    state: &'a State,
    target: &'a Target,
    /// Id of the caller's attempt, for logs.
    id: &'a str,
    sent: Instant,
    ended: bool,
}

impl Running<'_> {
    fn end(&mut self, verdict: Verdict) {
        self.ended = true;
        let now = self.state.now();
        let took = now.since(self.sent);
        if verdict == Verdict::Unreachable {
            self.state.slew.lock().record_failure(now);
        }
        let mut fleets = self.state.fleets.lock();
        let Some(fleet) = fleets.get_mut(&self.target.service) else {
            return;
        };
        let usual = fleet.placement.cold_work(self.target.choice.route);
        let served = took.saturating_sub(self.target.choice.wait).as_secs_f64();
        let cold = fleet.placement.is_cold(now, self.target.choice.index);
        let slow = !cold && served > SLOW_FACTOR * usual;
        if slow {
            let choice = &self.target.choice;
            info!(self.state.log(), "attempt: slower than expected"; "id" => self.id,
                "server" => %self.target.server, "version" => %self.target.release,
                "verdict" => ?verdict, "ms" => took.as_millis() as u64,
                "expected-ms" => choice.expected.as_millis() as u64,
                "wait-ms" => choice.wait.as_millis() as u64, "warm" => choice.hit_probability);
        }
        fleet.placement.end(now, &self.target.choice, verdict, took);
        let failed = match verdict {
            Verdict::Answered => false,
            Verdict::Failed => true,
            // A caller that gave up on a slow answer tells as much as the answer would have.
            Verdict::Abandoned if slow => false,
            Verdict::Abandoned | Verdict::Shed | Verdict::Unreachable => return,
        };
        fleet.observe_release(&self.target.route, &self.target.release, failed, slow);
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.end(Verdict::Abandoned);
        }
    }
}

/// Sends the request once; the placement has counted it already.
pub(crate) async fn send(state: &State, job: &Job, target: &Target) -> Ending {
    let mut running = Running {
        state,
        target,
        id: &job.id,
        sent: state.now(),
        ended: false,
    };
    let lease = match lease(state, job, target).await {
        Ok(lease) => lease,
        Err(error) => {
            let busy = matches!(error, pool::Error::Busy { .. });
            running.end(if busy {
                Verdict::Shed
            } else {
                Verdict::Unreachable
            });
            return Ending::Unsent(error);
        }
    };
    let reused = lease.reused;
    running.sent = state.now();
    match exchange(state, job, target, lease).await {
        Exchanged::Head(response, lease) => {
            observe_load(state, target, response.headers());
            let status = response.status();
            let protocol = state.dependencies.format.protocol();
            let not_run = response.headers().contains_key(&protocol.not_run)
                || status == StatusCode::MISDIRECTED_REQUEST;
            let verdict = match status {
                StatusCode::MISDIRECTED_REQUEST => Verdict::Unreachable,
                _ if not_run => Verdict::Shed,
                _ if status.is_server_error() => Verdict::Failed,
                _ => Verdict::Answered,
            };
            running.end(verdict);
            if not_run {
                release(state, &response, lease);
                return Ending::NotRun(status);
            }
            receive(state, job, response, lease).await
        }
        Exchanged::NotSent => {
            running.end(Verdict::Abandoned);
            Ending::Unsent(pool::Error::Slow {
                left: Duration::ZERO,
            })
        }
        Exchanged::Broken(reason) => {
            state.slew.lock().record_failure(state.now());
            // A kept connection may have been closed before the request came.
            running.end(if reused {
                Verdict::Abandoned
            } else {
                Verdict::Failed
            });
            Ending::Lost(reason)
        }
        Exchanged::Crossed => {
            target.pool.distrust(state.now() + DISTRUST);
            running.end(Verdict::Failed);
            Ending::Lost("crossed")
        }
    }
}

/// Result of sending a request on a connection.
enum Exchanged {
    Head(Response<Incoming>, Lease),
    NotSent,
    Broken(&'static str),
    /// The answer belongs to another request.
    Crossed,
}

async fn lease(state: &State, job: &Job, target: &Target) -> pool::Result<Lease> {
    let now = state.now();
    let age = if job.repeatable { pool::KEEP } else { FRESH };
    if let Some(lease) = target.pool.reuse(now, age) {
        return Ok(lease);
    }
    let left = job.deadline.since(now).min(CONNECT_TIMEOUT);
    let lease = target.pool.connect(now, left, target.connections).await?;
    let rtt = state.now().since(now);
    if let Some(fleet) = state.fleets.lock().get_mut(&target.service) {
        fleet.placement.observe_rtt(target.choice.index, rtt);
    }
    Ok(lease)
}

async fn exchange(state: &State, job: &Job, target: &Target, mut lease: Lease) -> Exchanged {
    let protocol = state.dependencies.format.protocol();
    let left = job.deadline.since(state.now());
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    *request.headers_mut() = job.headers.clone();
    head::address(request.headers_mut(), protocol, &target.server, left);
    let response = match lease.send(request).await {
        Ok(response) => response,
        Err(Failed::NotSent) => return Exchanged::NotSent,
        Err(Failed::Sent(error)) => {
            return Exchanged::Broken(if error.is_parse() {
                "not-http"
            } else {
                "reset"
            });
        }
    };
    let wanted = job.headers.get(&protocol.request_id);
    let echoed = response.headers().get(&protocol.request_id);
    if echoed.is_some() && echoed != wanted {
        return Exchanged::Crossed;
    }
    let success = response.status().is_success();
    if success && !response.headers().contains_key(&protocol.signature) {
        return Exchanged::Broken("unsigned");
    }
    Exchanged::Head(response, lease)
}

/// Reads the body of an answer, as a whole if it is not too long and there is memory.
async fn receive(state: &State, job: &Job, response: Response<Incoming>, lease: Lease) -> Ending {
    let (mut parts, mut body) = response.into_parts();
    let keep = head::keep(&parts.headers, pool::KEEP);
    let head_only = job.method == Method::HEAD;
    head::strip(&mut parts.headers);
    let mut whole = BytesMut::new();
    let mut part = Part::new(&state.memory);
    while !body.is_end_stream() {
        let frame = match body.frame().await {
            None => break,
            Some(Ok(frame)) => frame,
            Some(Err(_)) => return Ending::Lost("broken-off"),
        };
        if let Ok(data) = frame.into_data() {
            whole.extend_from_slice(&data);
        }
        if whole.len() > WHOLE || part.grow(whole.len() as u64).is_err() {
            let in_flight = Unit::new(&state.metrics.in_flight);
            let stream = Stream::new(whole.freeze(), body, lease, in_flight);
            let body = Body::Stream(Box::new(stream));
            return Ending::Answered(crate::request::reply::passed(
                parts.status,
                parts.headers,
                body,
            ));
        }
    }
    if let Some(keep) = keep {
        lease.release(state.now(), keep);
    }
    if !head_only {
        parts.headers.remove(header::CONTENT_LENGTH);
    }
    let body = Body::Whole(Full::new(whole.freeze()), Some(part));
    Ending::Answered(crate::request::reply::passed(
        parts.status,
        parts.headers,
        body,
    ))
}

/// Returns the connection of an answer that nobody reads, if its body is over.
fn release(state: &State, response: &Response<Incoming>, lease: Lease) {
    if response.body().is_end_stream()
        && let Some(keep) = head::keep(response.headers(), pool::KEEP)
    {
        lease.release(state.now(), keep);
    }
}

fn observe_load(state: &State, target: &Target, headers: &HeaderMap) {
    let value = headers.get(&state.dependencies.format.protocol().load);
    let Some(text) = value.and_then(|value| value.to_str().ok()) else {
        return;
    };
    let mut numbers = text.split(',').map(|number| number.trim().parse::<u32>());
    let (Some(Ok(running)), Some(Ok(waiting)), Some(Ok(slots))) =
        (numbers.next(), numbers.next(), numbers.next())
    else {
        return;
    };
    let load = Load {
        running,
        waiting,
        slots,
    };
    if let Some(fleet) = state.fleets.lock().get_mut(&target.service) {
        let placement = &mut fleet.placement;
        placement.observe_load(state.now(), target.choice.index, load);
    }
}

/// Waits for a send until the deadline.
pub(crate) async fn send_until(state: &State, job: &Job, target: &Target) -> Option<Ending> {
    let left = job.deadline.since(state.now());
    timeout(left, send(state, job, target)).await.ok()
}
