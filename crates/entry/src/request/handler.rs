//! Handles requests of callers: checks each one, has it forwarded, and logs the outcome.

use crate::{
    process::state::{Pending, State},
    request::{
        attempt::Job,
        charge::Charge,
        forward::{self, Forwarder, Outcome},
        head,
        memory::Reservation,
        reply::{self, Body, GaugeGuard, Reason},
        stopwatch::Stopwatch,
        upload,
    },
    version::catalog::{Catalog, Denial, Grant},
};
use azurenotch_core::request::{admission, deadline::ANSWER_ALLOWANCE};
use azurenotch_wire::{id::Region, time::Instant};
use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body::Body as HttpBody;
use rand::random;
use slog::{info, o, warn};
use std::{sync::Arc, time::Duration};

/// Retry delay for callers while keys may be out of date, or if no region is allowed.
const STALE_KEYS_RETRY_DELAY: Duration = Duration::from_millis(800);
/// Retry delay for callers while the host has no configuration, or does not know the rejections.
const STARTING_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Retry delay for callers whose request body finds no memory.
const NO_MEMORY_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Retry delay for callers whose connection finds no room.
const NO_ROOM_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Largest request body, as a share of the host's memory.
const MAX_BODY_MEMORY_SHARE: f64 = 0.25;

/// When a request arrived, and on which connection.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// When its header was read.
    pub read: Instant,
    /// When its connection was accepted.
    pub accepted: Instant,
}

/// Handles one request and returns the answer to the caller.
pub async fn handle<B>(state: &Arc<State>, request: Request<B>, arrival: Arrival) -> Response<Body>
where
    B: HttpBody<Data = Bytes> + Unpin,
{
    let _in_flight = GaugeGuard::new(&state.metrics.in_flight);
    let mut exchange = Exchange::new(state, &request, arrival);
    let outcome = exchange.answer(request).await;
    exchange.finish(outcome)
}

/// Rejects a request on a connection for which the host has no room.
pub fn reject_connection<B>(
    state: &Arc<State>,
    request: &Request<B>,
    arrival: Arrival,
) -> Response<Body> {
    let wait = admission::retry_after(NO_ROOM_RETRY_DELAY, random());
    let outcome = refuse(
        StatusCode::SERVICE_UNAVAILABLE,
        Reason::ConnectionLimit,
        wait,
    );
    Exchange::new(state, request, arrival).finish(outcome)
}

/// Returns the route and the workspace of a request.
///
/// # Errors
///
/// Returns why the configuration does not allow the request.
pub fn grant<B>(state: &State, catalog: &Catalog, request: &Request<B>) -> Result<Grant, Denial> {
    let headers = request.headers();
    let host = headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or("");
    let protocol = state.dependencies.format.protocol();
    catalog.grant(host, request.uri().path(), headers, protocol.scheme)
}

/// Request being handled, with the fields of its log line.
struct Exchange<'a> {
    state: &'a Arc<State>,
    arrived: Instant,
    accepted: Instant,
    id: String,
    route: String,
    workspace: String,
    version: u64,
    /// Regions in which the request may run; empty if it may run in all.
    allowed_regions: Vec<Region>,
    /// Time for an answer: the caller's, or that of the route if it is shorter.
    time: Option<Duration>,
    /// Whether there is an answer; otherwise the caller has left before.
    finished: bool,
}

impl Drop for Exchange<'_> {
    fn drop(&mut self) {
        if !self.finished {
            let now = self.state.now();
            info!(self.state.log(), "request: caller left"; "id" => &self.id, "route" => &self.route,
                "ms" => now.since(self.arrived).as_millis() as u64, "time-ms" => self.time.map(ms),
                "stop-left-ms" => self.state.time_to_stop(now).map(ms));
        }
    }
}

impl<'a> Exchange<'a> {
    fn new<B>(state: &'a Arc<State>, request: &Request<B>, arrival: Arrival) -> Self {
        let protocol = state.dependencies.format.protocol();
        let id = request.headers().get(&protocol.request_id);
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or("").to_owned();
        Self {
            state,
            arrived: arrival.read,
            accepted: arrival.accepted,
            id,
            route: String::new(),
            workspace: String::new(),
            version: 0,
            allowed_regions: Vec::new(),
            time: None,
            finished: false,
        }
    }

    /// Checks the request and forwards it unless a check fails.
    async fn answer<B>(&mut self, request: Request<B>) -> Outcome
    where
        B: HttpBody<Data = Bytes> + Unpin,
    {
        let catalog = match self.catalog() {
            Ok(catalog) => catalog,
            Err(reason) => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                return refuse(status, reason, STARTING_RETRY_DELAY);
            }
        };
        self.version = catalog.version;
        let grant = match grant(self.state, &catalog, &request) {
            Ok(grant) => grant,
            Err(denial) => return deny(denial),
        };
        self.route = grant.entry.name.to_string();
        if let Some(workspace) = &grant.workspace {
            self.workspace = workspace.name.to_string();
        }
        let route = &grant.entry.route;
        let protocol = self.state.dependencies.format.protocol();
        let caller_timeout = head::caller_timeout(request.headers(), protocol);
        let timeout = caller_timeout.map_or(route.timeout, |it| it.min(route.timeout));
        self.time = Some(timeout);
        let repeatable = route.kind.is_repeatable();
        let route_hash = grant.entry.hash;
        let pending = Pending {
            id: &self.id,
            route: route_hash,
            arrived: self.arrived,
            left: timeout + ANSWER_ALLOWANCE,
            repeatable,
        };
        if !self.state.ends_before_stop(self.arrived, &pending) {
            let wait = admission::retry_after(Duration::ZERO, random());
            return refuse(StatusCode::SERVICE_UNAVAILABLE, Reason::Leaving, wait);
        }
        let Some(allowed_regions) = grant.allowed_regions() else {
            return refuse(
                StatusCode::SERVICE_UNAVAILABLE,
                Reason::NoServer,
                STALE_KEYS_RETRY_DELAY,
            );
        };
        self.allowed_regions.clone_from(&allowed_regions);
        // Last of the checks, because it takes a token of the quota.
        if let Some(outcome) = self.admit(&grant) {
            return outcome;
        }
        let workspace = grant.workspace.as_ref();
        let charge = Charge::new(self.state, workspace.map(|it| it.name.clone()));
        let (parts, body) = request.into_parts();
        let time_limit = self.arrived + timeout;
        let stop = self.state.stop.get();
        // The server's own answer at the end of its time has to come before the cutoff.
        let deadline = stop.map_or(time_limit, |stop| {
            time_limit.min(stop.cutoff - ANSWER_ALLOWANCE)
        });
        let limit = catalog.limits.body_bytes.min(self.max_body_bytes());
        // The memory stays reserved until the request has ended.
        let mut reservation = Reservation::new(&self.state.memory);
        let body = match upload::collect(body, &mut reservation, limit, timeout).await {
            Ok(body) => body,
            Err(error) => return self.refuse_body(&error),
        };
        // The caller may count its time from the last byte of its body.
        let sent = if body.is_empty() {
            self.arrived
        } else {
            self.state.now()
        };
        let object = route
            .sticky
            .then(|| forward::object_hash(&parts.headers, &protocol.object));
        let forwarder = Forwarder {
            state: self.state,
            grant: &grant,
            service: grant.entry.next_service().clone(),
            object: object.flatten(),
            arrived: self.arrived,
            time_limit,
            job: Job {
                id: self.id.clone(),
                headers: head::prepare(&parts.headers, protocol, &grant),
                method: parts.method,
                uri: origin_form(&parts.uri),
                body,
                charge,
                repeatable,
                deadline,
                end: sent + timeout + ANSWER_ALLOWANCE,
                stream_end: sent + caller_timeout.unwrap_or(route.timeout) + ANSWER_ALLOWANCE,
            },
        };
        let stopwatch = Stopwatch::start(self.state, route_hash);
        let mut outcome = forwarder.run().await;
        if !outcome.ran {
            forwarder.job.charge.release();
        }
        measure(&mut outcome, stopwatch);
        outcome
    }

    /// Returns the configuration in force, or why the host cannot serve callers yet.
    fn catalog(&self) -> Result<Arc<Catalog>, Reason> {
        let catalog = self.state.catalog.load_full();
        let catalog = catalog.ok_or(Reason::NoConfiguration)?;
        if !self.state.knows_rejections(self.arrived) {
            return Err(Reason::Starting);
        }
        Ok(catalog)
    }

    /// Answers a request whose body could not be read.
    fn refuse_body(&self, error: &upload::Error) -> Outcome {
        info!(self.state.log(), "request: body not read"; "id" => &self.id,
            "cause" => %error);
        let (status, reason) = error.status_and_reason();
        if reason != Reason::NoMemory {
            return reject(status, reason);
        }
        let wait = admission::retry_after(NO_MEMORY_RETRY_DELAY, random());
        refuse(status, reason, wait)
    }

    /// Checks the age of the keys and the quota; returns the outcome if the request is refused.
    fn admit(&self, grant: &Grant) -> Option<Outcome> {
        let workspace = grant.workspace.as_ref()?;
        let now = self.arrived;
        if !self.state.trusts_keys(now) {
            let wait = admission::retry_after(STALE_KEYS_RETRY_DELAY, random());
            return Some(refuse(
                StatusCode::SERVICE_UNAVAILABLE,
                Reason::StaleKeys,
                wait,
            ));
        }
        let mut quotas = self.state.quotas.lock();
        let quota = quotas.get_mut(&workspace.name)?;
        let wait = quota.take(now).err()?;
        Some(refuse(StatusCode::TOO_MANY_REQUESTS, Reason::Quota, wait))
    }

    fn max_body_bytes(&self) -> u64 {
        self.state.setting().machine.memory(MAX_BODY_MEMORY_SHARE)
    }

    /// Logs and counts the outcome, and returns the answer.
    fn finish(mut self, outcome: Outcome) -> Response<Body> {
        self.finished = true;
        let latency = self.state.now().since(self.arrived);
        let status = outcome.response.status().as_u16();
        let reason = outcome.reason.map(|reason| reason.to_string());
        let reason = reason.as_deref().unwrap_or("server");
        let metrics = &self.state.metrics;
        metrics.count_answer(&self.route, status, reason, latency);
        let candidate = outcome.candidate.as_ref();
        let figure = candidate.and_then(|candidate| candidate.figure);
        let left_us = |time: Duration| time.as_micros() as i64 - latency.as_micros() as i64;
        let estimate = candidate.map(|candidate| &candidate.estimate);
        let line = o!(
            "id" => &self.id, "status" => status, "reason" => reason, "ran" => outcome.ran,
            "route" => &self.route, "workspace" => &self.workspace,
            "configuration" => self.version, "sends" => outcome.sends, "ms" => ms(latency),
            "time-ms" => self.time.map(ms), "time-left-us" => self.time.map(left_us),
            "connection-ms" => ms(self.arrived.since(self.accepted)),
            "lag-ms" => (metrics.lag.get() * 1e3) as u64,
            "stop-left-ms" => self.state.time_to_stop(self.arrived).map(ms),
            "server" => candidate.map(|candidate| candidate.server.as_str()),
            "version" => candidate.map(|candidate| candidate.release.as_str()),
            "region" => candidate.and_then(|it| it.region.as_ref()).map(Region::as_str),
            "data-centre" => candidate.map(|candidate| candidate.data_centre.as_str()),
            "address" => candidate.and_then(|it| it.address).map(|it| it.to_string()),
            "allowed-regions" => forward::regions(
                candidate.map_or(&self.allowed_regions, |it| &it.allowed_regions)),
            "preferred-region" => candidate.and_then(|it| it.preferred_region.as_ref()).map(Region::as_str),
            "expected-ms" => estimate.map(|estimate| ms(estimate.expected)),
            "wait-ms" => estimate.map(|estimate| ms(estimate.wait)),
            "left-ms" => estimate.map(|estimate| ms(estimate.left)),
            "objective-ms" => estimate.map(|estimate| ms(estimate.objective)),
            "rank" => estimate.map(|estimate| estimate.rank),
            "warm" => candidate.map(|candidate| candidate.hit_probability),
            "home-rank" => candidate.and_then(|it| it.place).map(|place| place.rank.name()),
            "object-class" => candidate.and_then(|it| it.place).map(|place| place.class.name()),
            "load-age-ms" => candidate.and_then(|candidate| candidate.load_age).map(ms),
            "speed" => figure.map(|figure| (figure.factor * 100.0).round() as u64),
            "speed-age-ms" => figure.map(|figure| ms(figure.age)),
            "limit-per-s" => candidate.and_then(|candidate| candidate.limit),
            "rows-age-ms" => candidate.and_then(|candidate| candidate.rows_age).map(ms),
        );
        // The journal limits warnings separately, so successful requests cannot push out failures.
        if status >= 500 || status == StatusCode::TOO_MANY_REQUESTS {
            warn!(self.state.log(), "request: answered"; line);
        } else {
            info!(self.state.log(), "request: answered"; line);
        }
        outcome.response
    }
}

fn ms(time: Duration) -> u64 {
    time.as_millis() as u64
}

/// Measures the time until the end of the answer, unless it shows nothing of the route's work.
///
/// A failure or a rejection may come far sooner than an answer, or later.
fn measure(outcome: &mut Outcome, stopwatch: Stopwatch) {
    let status = outcome.response.status();
    // A server that gives up at the end of its time says as much as one that does not answer.
    let timed_out = outcome.reason == Some(Reason::Timeout)
        || outcome.reason.is_none() && status == StatusCode::GATEWAY_TIMEOUT;
    let answered = outcome.reason.is_none() && !status.is_server_error();
    match outcome.response.body_mut() {
        Body::Stream(stream) => stream.observe(stopwatch),
        Body::Whole(_) if answered => stopwatch.stop(),
        Body::Whole(_) if timed_out => stopwatch.time_out(),
        Body::Whole(_) => {}
    }
}

/// Answers a request that did not run; the caller may retry after `wait`.
fn refuse(status: StatusCode, reason: Reason, wait: Duration) -> Outcome {
    Outcome {
        response: reply::from_host(status, Some(wait)),
        reason: Some(reason),
        ran: false,
        sends: 0,
        candidate: None,
    }
}

/// Answers a request that did not run, without a retry delay.
fn reject(status: StatusCode, reason: Reason) -> Outcome {
    Outcome {
        response: reply::from_host(status, None),
        reason: Some(reason),
        ran: false,
        sends: 0,
        candidate: None,
    }
}

fn deny(denial: Denial) -> Outcome {
    let status = match denial {
        Denial::NoRoute => StatusCode::NOT_FOUND,
        Denial::UnknownKey => StatusCode::UNAUTHORIZED,
        Denial::AmbiguousPath => StatusCode::BAD_REQUEST,
    };
    reject(status, Reason::Denied)
}

/// Returns the URI in origin form (path and query), as backend servers expect it.
fn origin_form(uri: &http::Uri) -> http::Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| uri.clone(), http::Uri::from)
}
