//! Sends a request to one backend server and reads the answer.

mod count;
mod limit;
mod record;

use crate::{
    connection::pool::{self, Lease, Pool, SendError},
    process::{server_limit::Process, state::State},
    request::{
        charge::Charge,
        head,
        memory::Reservation,
        reply::{Body, GaugeGuard, Stream},
        suspect::Permit,
    },
    version::catalog::Grant,
};
use azurenotch_core::{
    request::{
        identity::{Identity, Key, Parts},
        pause,
    },
    version::placement::{Choice, Verdict},
};
use azurenotch_platform::http::status;
use azurenotch_wire::{
    id::{Region, Release, Server, Service},
    time::Instant,
};
use bytes::{Bytes, BytesMut};
use http::{
    HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header, uri::PathAndQuery,
};
use http_body::Body as _;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use rand::random;
use record::Record;
use slog::info;
use std::{error::Error, io, sync::Arc, time::Duration};
use tokio::{select, time::timeout};

/// Timeout of opening a connection to a backend server in any region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest idle time of a connection that is reused for a request that may run only once.
///
/// A server may close a connection that has been idle for longer at the moment the request is sent.
/// The host could then not find out whether the server read the request.
const NON_REPEATABLE_MAX_IDLE: Duration = Duration::from_millis(1_500);
/// Resolution of the time that a server is given.
const GIVEN_TIME_RESOLUTION: Duration = Duration::from_millis(1);
/// Largest answer body that is buffered as a whole; the rest of a larger one is streamed.
const MAX_BUFFERED_ANSWER_BYTES: usize = 256 * 1024;
/// Why no answer came if the connection closed before one.
const RESET: &str = "reset";
/// Time without reuse of a server's connections after one carried the answer to another request.
const NO_REUSE_AFTER_MISMATCH: Duration = Duration::from_secs(8);

/// Caller's request, prepared for backend servers; the same for all its sends.
#[derive(Debug)]
pub(crate) struct Job {
    /// Id of the request as sent by the caller, for logs.
    pub(crate) id: String,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) charge: Charge,
    /// Whether the request may run more than once.
    pub(crate) repeatable: bool,
    /// End of the time that servers are given.
    pub(crate) deadline: Instant,
    /// When the request is given up.
    pub(crate) end: Instant,
    /// When the rest of an answer is given up that is passed on while the server sends it.
    pub(crate) stream_end: Instant,
}

impl Job {
    /// Returns the identity of the request, which belongs to a caller of `workspace`.
    pub(crate) fn identity(&self, key: &Key, workspace: &str) -> Identity {
        let host = self.headers.get(header::HOST);
        let parts = Parts {
            workspace,
            method: self.method.as_str(),
            host: host.map_or(&[], HeaderValue::as_bytes),
            path: self.uri.path_and_query().map_or("", PathAndQuery::as_str),
            body: &self.body,
        };
        Identity::new(key, &parts)
    }
}

/// Backend server of one send.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    /// Route and workspace of the request.
    pub(crate) grant: Grant,
    /// Region of the server; `None` if it is not known.
    pub(crate) region: Option<Region>,
    pub(crate) service: Service,
    pub(crate) server: Server,
    /// Start of the server's process.
    pub(crate) incarnation: u64,
    /// Version that the server runs.
    pub(crate) release: Release,
    pub(crate) choice: Choice,
    pub(crate) pool: Arc<Pool>,
    /// Largest number of connections of this host to the server.
    pub(crate) connections: usize,
}

impl Target {
    /// Returns the process of the server.
    pub(crate) fn process(&self) -> Process<'_> {
        Process {
            service: &self.service,
            server: &self.server,
            incarnation: self.incarnation,
        }
    }
}

/// Outcome of one send.
#[derive(Debug)]
pub(crate) enum Ending {
    /// The server answered.
    Answered(Response<Body>),
    /// The server answered that it did not run the request.
    NotRun(StatusCode),
    /// No byte of the request was sent.
    Unsent(pool::Error),
    /// No byte of the request was sent, because the server has become unavailable since the choice.
    Withdrawn,
    /// No usable answer arrived, and the request may have run; the text says why.
    Lost(&'static str),
    /// This host stops before an answer arrives.
    Stopped,
}

/// Sends the request once; [`Placement::begin`] has already counted it.
///
/// `lease` is the connection, or why there is none; `None` if none was sought yet.
///
/// [`Placement::begin`]: azurenotch_core::version::placement::Placement::begin
pub(crate) async fn send(
    state: &State,
    job: &Job,
    target: &Target,
    permit: &Permit<'_>,
    lease: Option<pool::Result<Lease>>,
) -> Ending {
    let mut record = Record::new(state, target, &job.id);
    let acquired = match lease {
        Some(acquired) => acquired,
        None => acquire(state, job, target).await,
    };
    let lease = match acquired {
        Ok(lease) => lease,
        Err(error) => {
            let limit_reached = matches!(error, pool::Error::LimitReached { .. });
            record.end(if limit_reached {
                Verdict::Shed
            } else {
                Verdict::Unreachable
            });
            return Ending::Unsent(error);
        }
    };
    record.reused = lease.reused;
    record.sent = state.now();
    if !is_still_available(state, target, record.sent) || !permit.may_send(record.sent) {
        record.end(Verdict::Abandoned);
        return Ending::Withdrawn;
    }
    permit.begin(record.sent);
    job.charge.spend();
    record.end = None;
    let exchange = exchange(state, job, target, lease, record.sent);
    let exchanged = record.watch(exchange).await;
    record.end = Some(count::end(state, &exchanged));
    match exchanged {
        Exchanged::Head(response, lease) => {
            observe_report(state, target, response.headers());
            let status = response.status();
            let protocol = state.dependencies.format.protocol();
            let pauses = observe_pause(state, target, &response);
            let not_run = response.headers().contains_key(&protocol.not_run)
                || status == StatusCode::MISDIRECTED_REQUEST;
            let verdict = match status {
                StatusCode::MISDIRECTED_REQUEST => Verdict::Unreachable,
                _ if pauses => Verdict::Paused,
                _ if not_run => Verdict::Shed,
                // It has worked for as long as it was given, which callers choose.
                StatusCode::GATEWAY_TIMEOUT if is_at_end(state, job) => Verdict::Abandoned,
                _ if status.is_server_error() => Verdict::Failed,
                _ => Verdict::Answered,
            };
            record.end(verdict);
            if not_run {
                release_unread(state, &response, lease);
                return Ending::NotRun(status);
            }
            read_answer(state, job, response, lease).await
        }
        Exchanged::NotSent => {
            record.end(Verdict::Abandoned);
            Ending::Unsent(pool::Error::Closed)
        }
        Exchanged::Broken(reason) => {
            state.slew.lock().record_failure(state.now());
            // The server may have closed a reused connection before it read the request: no fault.
            record.end(if record.reused {
                Verdict::Abandoned
            } else {
                Verdict::Failed
            });
            Ending::Lost(reason)
        }
        Exchanged::Mismatched => {
            target
                .pool
                .disable_reuse(state.now() + NO_REUSE_AFTER_MISMATCH);
            record.end(Verdict::Failed);
            Ending::Lost("crossed")
        }
    }
}

/// Returns whether the time that the servers of the request were given is over.
fn is_at_end(state: &State, job: &Job) -> bool {
    state.now() + GIVEN_TIME_RESOLUTION >= job.deadline
}

/// Returns whether nothing was heard of the server, since it was chosen, that forbids the send.
///
/// Opening a connection takes time, in which the server may have left, or another configuration may
/// have come into force.
fn is_still_available(state: &State, target: &Target, now: Instant) -> bool {
    let allowed = state.allowed_regions(&target.grant);
    let region = target.region.as_ref();
    let is_in = |allowed: &[Region]| region.is_some_and(|region| allowed.contains(region));
    if !allowed.is_some_and(|it| it.is_empty() || is_in(&it)) {
        return false;
    }
    let fleets = state.fleets.lock();
    let fleet = fleets.get(&target.service);
    fleet.is_some_and(|fleet| fleet.placement.may_send(now, &target.choice))
}

/// Result of sending a request on a connection.
enum Exchanged {
    Head(Response<Incoming>, Lease),
    NotSent,
    Broken(&'static str),
    /// The answer belongs to another request.
    Mismatched,
}

/// Reuses an idle connection or opens a new one.
pub(crate) async fn acquire(state: &State, job: &Job, target: &Target) -> pool::Result<Lease> {
    let now = state.now();
    let max_idle = if job.repeatable {
        pool::DEFAULT_KEEP_ALIVE
    } else {
        NON_REPEATABLE_MAX_IDLE
    };
    if let Some(lease) = target.pool.reuse(now, max_idle) {
        return Ok(lease);
    }
    let max_wait = job.deadline.since(now).min(CONNECT_TIMEOUT);
    let lease = target
        .pool
        .connect(now, max_wait, target.connections)
        .await?;
    let rtt = state.now().since(now);
    if let Some(fleet) = state.fleets.lock().get_mut(&target.service) {
        fleet.placement.observe_rtt(target.choice.index, rtt);
    }
    Ok(lease)
}

/// Sends the request on a connection and checks the header of the answer.
async fn exchange(
    state: &State,
    job: &Job,
    target: &Target,
    mut lease: Lease,
    sent: Instant,
) -> Exchanged {
    let protocol = state.dependencies.format.protocol();
    let left = job.deadline.since(state.now());
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    *request.headers_mut() = job.headers.clone();
    head::set_target(request.headers_mut(), protocol, &target.server, left);
    let response = match lease.send(request).await {
        Ok(response) => response,
        Err(SendError::NotSent) => return Exchanged::NotSent,
        Err(SendError::Sent(error)) => {
            return Exchanged::Broken(if error.is_parse() || is_malformed(&error) {
                "not-http"
            } else {
                RESET
            });
        }
    };
    if !status::is_final(response.status()) {
        return Exchanged::Broken("no-status");
    }
    observe_leaving(state, target, &response);
    let request_id = job.headers.get(&protocol.request_id);
    let echoed_id = response.headers().get(&protocol.request_id);
    // Without an id, the answer may be that to the request which the connection carried before.
    let belongs = echoed_id.map_or(!lease.reused, |id| Some(id) == request_id);
    if !belongs {
        // Answer to an earlier request, sent at an unknown time.
        limit::observe(state, target, &response, Instant::ZERO);
        return Exchanged::Mismatched;
    }
    limit::observe(state, target, &response, sent);
    let success = response.status().is_success();
    if success && !response.headers().contains_key(&protocol.signature) {
        return Exchanged::Broken("unsigned");
    }
    Exchanged::Head(response, lease)
}

/// Returns whether the server sent bytes that are no answer.
fn is_malformed(error: &hyper::Error) -> bool {
    let cause = error.source().and_then(|it| it.downcast_ref::<io::Error>());
    cause.is_some_and(|it| it.kind() == io::ErrorKind::InvalidData)
}

/// Reads the body of an answer, and streams the rest if it exceeds the buffer or the memory limit.
async fn read_answer(
    state: &State,
    job: &Job,
    response: Response<Incoming>,
    lease: Lease,
) -> Ending {
    let (mut parts, mut body) = response.into_parts();
    let keep_alive = head::keep_alive(&parts.headers, pool::DEFAULT_KEEP_ALIVE);
    let head_only = job.method == Method::HEAD;
    head::remove_connection_headers(&mut parts.headers);
    let mut buffer = BytesMut::new();
    let mut reservation = Reservation::new(&state.memory);
    while !body.is_end_stream() {
        let frame = match body.frame().await {
            None => break,
            Some(Ok(frame)) => frame,
            Some(Err(_)) => return Ending::Lost("broken-off"),
        };
        if let Ok(data) = frame.into_data() {
            buffer.extend_from_slice(&data);
        }
        if buffer.len() > MAX_BUFFERED_ANSWER_BYTES
            || reservation.grow(buffer.len() as u64).is_err()
        {
            let in_flight = GaugeGuard::new(&state.metrics.in_flight);
            let buffered = reservation.hold(buffer.freeze());
            let left = job.stream_end.since(state.now());
            let stream = Stream::new(buffered, body, left, lease, in_flight);
            let body = Body::Stream(Box::new(stream));
            return Ending::Answered(crate::request::reply::from_server(
                parts.status,
                parts.headers,
                body,
            ));
        }
    }
    if let Some(keep_alive) = keep_alive {
        lease.release(state.now(), keep_alive);
    }
    if !head_only {
        parts.headers.remove(header::CONTENT_LENGTH);
    }
    let body = Body::Whole(Full::new(reservation.hold(buffer.freeze())));
    Ending::Answered(crate::request::reply::from_server(
        parts.status,
        parts.headers,
        body,
    ))
}

/// Returns the connection of a discarded answer to its pool, unless a body is left to read.
fn release_unread(state: &State, response: &Response<Incoming>, lease: Lease) {
    if response.body().is_end_stream()
        && let Some(keep_alive) = head::keep_alive(response.headers(), pool::DEFAULT_KEEP_ALIVE)
    {
        lease.release(state.now(), keep_alive);
    }
}

/// Returns whether another process answered at the server's address.
fn is_from_other(state: &State, target: &Target, response: &Response<Incoming>) -> bool {
    let protocol = state.dependencies.format.protocol();
    let named = response.headers().get(&protocol.server);
    response.status() == StatusCode::MISDIRECTED_REQUEST
        || named.is_some_and(|name| name.as_bytes() != target.server.as_str().as_bytes())
}

/// Records that the server said in its answer that it is leaving.
fn observe_leaving(state: &State, target: &Target, response: &Response<Incoming>) {
    let protocol = state.dependencies.format.protocol();
    if !is_from_other(state, target, response) && head::is_leaving(response.headers(), protocol) {
        state.record_leaving(&target.service, &target.server, target.incarnation);
    }
}

/// Records the pause that the server asked for; returns whether it asked for one.
fn observe_pause(state: &State, target: &Target, response: &Response<Incoming>) -> bool {
    if response.status() != StatusCode::SERVICE_UNAVAILABLE {
        return false;
    }
    let text = response.headers().get(header::RETRY_AFTER);
    let Some(pause) = text.and_then(|text| pause::parse(text.to_str().ok()?)) else {
        return false;
    };
    let now = state.now();
    let mut fleets = state.fleets.lock();
    if let Some(fleet) = fleets.get_mut(&target.service) {
        let end = pause::end(now, pause, random());
        let placement = &mut fleet.placement;
        let is_new = placement.hear_pause(now, &target.server, target.incarnation, end);
        drop(fleets);
        if is_new {
            info!(state.log(), "servers: server asked for a pause"; "server" => %target.server,
                "service" => %target.service, "ms" => pause.as_millis() as u64);
        }
    }
    true
}

/// Records what the server reported about itself in the header of its answer; returns whether it did.
pub(crate) fn observe_report(state: &State, target: &Target, headers: &HeaderMap) -> bool {
    let format = &state.dependencies.format;
    let Some(value) = headers.get(&format.protocol().load) else {
        return false;
    };
    let Some(report) = value.to_str().ok().and_then(|it| format.load(it)) else {
        let metrics = &state.metrics;
        metrics.count_malformed_load(target.service.as_str());
        return false;
    };
    if let Some(fleet) = state.fleets.lock().get_mut(&target.service) {
        let placement = &mut fleet.placement;
        placement.observe_report(state.now(), target.choice.index, &report);
    }
    true
}

/// Sends the request once; returns `None` if it has not ended when the request is given up.
pub(crate) async fn send_in_time(
    state: &State,
    job: &Job,
    target: &Target,
    permit: &Permit<'_>,
    lease: Option<pool::Result<Lease>>,
) -> Option<Ending> {
    let left = job.end.since(state.now());
    select! {
        ending = timeout(left, send(state, job, target, permit, lease)) => ending.ok(),
        () = state.cutoff.cancelled() => Some(Ending::Stopped),
    }
}
