//! Takes requests of callers and answers each of them.

use crate::{
    process::state::State,
    request::{
        attempt::Job,
        forward::{self, Flight, Outcome},
        head,
        memory::Part,
        reply::{self, Body, Reason, Unit},
        upload,
    },
    version::catalog::{Catalog, Denial, Grant},
};
use azurenotch_core::request::admission;
use azurenotch_wire::time::Instant;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use rand::random;
use slog::{info, o, warn};
use std::{sync::Arc, time::Duration};

/// Time after which a caller comes back to a host that cannot trust keys.
const STALE_RETRY: Duration = Duration::from_millis(800);
/// Time after which a caller comes back to a host without a configuration.
const START_RETRY: Duration = Duration::from_millis(300);
/// Time after which a caller comes back whose body found no memory.
const MEMORY_RETRY: Duration = Duration::from_millis(500);
/// Longest body as a share of the host's memory.
const LONGEST_SHARE: f64 = 0.25;

/// Answers one request.
pub async fn handle(state: &Arc<State>, request: Request<Incoming>) -> Response<Body> {
    let arrived = state.now();
    let _in_flight = Unit::new(&state.metrics.in_flight);
    let protocol = state.dependencies.format.protocol();
    let id = request.headers().get(&protocol.request_id);
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or("").to_owned();
    let mut ticket = Ticket {
        state,
        arrived,
        id,
        route: String::new(),
        workspace: String::new(),
        version: 0,
    };
    let outcome = ticket.answer(request).await;
    let mut response = ticket.finish(outcome);
    if state.is_leaving() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// One request with what its log line needs.
struct Ticket<'a> {
    state: &'a State,
    arrived: Instant,
    id: String,
    route: String,
    workspace: String,
    version: u64,
}

impl Ticket<'_> {
    async fn answer(&mut self, request: Request<Incoming>) -> Outcome {
        let Some(catalog) = self.state.catalog.load_full() else {
            return refuse(
                StatusCode::SERVICE_UNAVAILABLE,
                Reason::NoConfiguration,
                START_RETRY,
            );
        };
        self.version = catalog.version;
        let grant = match self.grant(&catalog, &request) {
            Ok(grant) => grant,
            Err(denial) => return deny(denial),
        };
        self.route = grant.entry.name.to_string();
        let route = &grant.entry.route;
        let protocol = self.state.dependencies.format.protocol();
        let patience = head::patience(request.headers(), protocol);
        let time = patience.map_or(route.timeout, |it| it.min(route.timeout));
        if !self.ends_before_stop(time) {
            let wait = admission::retry_after(Duration::ZERO, random());
            return refuse(StatusCode::SERVICE_UNAVAILABLE, Reason::Leaving, wait);
        }
        if let Some(outcome) = self.admit(&grant) {
            return outcome;
        }
        let Some(homes) = grant.homes() else {
            return refuse(
                StatusCode::SERVICE_UNAVAILABLE,
                Reason::NoServer,
                STALE_RETRY,
            );
        };
        let (parts, body) = request.into_parts();
        let deadline = self.arrived + time;
        let limit = catalog.limits.body_bytes.min(self.longest_body());
        // Held until the request has ended.
        let mut part = Part::new(&self.state.memory);
        let body = match upload::collect(body, &mut part, limit, time).await {
            Ok(body) => body,
            Err(error) => return self.reject(&grant, &error),
        };
        let object = route
            .sticky
            .then(|| forward::object(&parts.headers, &protocol.object));
        let flight = Flight {
            state: self.state,
            grant: &grant,
            homes,
            service: grant.entry.next_service().clone(),
            object: object.flatten(),
            job: Job {
                id: self.id.clone(),
                headers: head::prepare(&parts.headers, protocol, &grant),
                method: parts.method,
                uri: origin(&parts.uri),
                body,
                repeatable: route.kind.is_repeatable(),
                deadline,
            },
        };
        let outcome = flight.run().await;
        if !outcome.ran {
            self.put_back(&grant);
        }
        outcome
    }

    /// Returns whether a request that may last for `time` ends before this host does.
    fn ends_before_stop(&self, time: Duration) -> bool {
        let Some((cut, grace)) = self.state.stop.get() else {
            return true;
        };
        let left = cut.since(self.arrived);
        admission::ends_before_stop(time, left, *grace)
    }

    /// Returns the token of a request that was turned away.
    fn put_back(&self, grant: &Grant) {
        if let Some(tenant) = &grant.tenant
            && let Some(quota) = self.state.quotas.lock().get_mut(&tenant.name)
        {
            quota.refund();
        }
    }

    /// Answers a request whose body was not read.
    fn reject(&self, grant: &Grant, error: &upload::Error) -> Outcome {
        info!(self.state.log(), "request: body not read"; "id" => &self.id,
            "cause" => %error);
        let (status, reason) = error.answer();
        if reason != Reason::NoMemory {
            return own(status, reason);
        }
        self.put_back(grant);
        let wait = admission::retry_after(MEMORY_RETRY, random());
        refuse(status, reason, wait)
    }

    fn grant(&self, catalog: &Catalog, request: &Request<Incoming>) -> Result<Grant, Denial> {
        let headers = request.headers();
        let host = headers.get(header::HOST);
        let host = host.and_then(|host| host.to_str().ok()).unwrap_or("");
        let protocol = self.state.dependencies.format.protocol();
        catalog.grant(host, request.uri().path(), headers, protocol.scheme)
    }

    /// Checks key and quota; returns an outcome if the request is refused.
    fn admit(&mut self, grant: &Grant) -> Option<Outcome> {
        let tenant = grant.tenant.as_ref()?;
        self.workspace = tenant.name.to_string();
        let now = self.arrived;
        if !self.state.trusts_keys(now) {
            let wait = admission::retry_after(STALE_RETRY, random());
            return Some(refuse(
                StatusCode::SERVICE_UNAVAILABLE,
                Reason::StaleKeys,
                wait,
            ));
        }
        let mut quotas = self.state.quotas.lock();
        let quota = quotas.get_mut(&tenant.name)?;
        let wait = quota.take(now).err()?;
        Some(refuse(StatusCode::TOO_MANY_REQUESTS, Reason::Quota, wait))
    }

    fn longest_body(&self) -> u64 {
        self.state.setting().machine.memory(LONGEST_SHARE)
    }

    fn finish(&self, outcome: Outcome) -> Response<Body> {
        let took = self.state.now().since(self.arrived);
        let status = outcome.response.status().as_u16();
        let reason = outcome.reason.map(|reason| reason.to_string());
        let reason = reason.as_deref().unwrap_or("server");
        let counter = &self.state.metrics;
        counter.answer(&self.route, status, reason, took);
        let belief = outcome.belief.as_ref();
        let ms = |time: Duration| time.as_millis() as u64;
        let estimate = belief.map(|belief| &belief.estimate);
        let line = o!(
            "id" => &self.id, "status" => status, "reason" => reason, "ran" => outcome.ran,
            "route" => &self.route, "workspace" => &self.workspace,
            "configuration" => self.version, "sends" => outcome.sends, "ms" => ms(took),
            "server" => belief.map(|belief| belief.server.as_str()),
            "version" => belief.map(|belief| belief.release.as_str()),
            "expected-ms" => estimate.map(|estimate| ms(estimate.expected)),
            "wait-ms" => estimate.map(|estimate| ms(estimate.wait)),
            "left-ms" => estimate.map(|estimate| ms(estimate.left)),
            "objective-ms" => estimate.map(|estimate| ms(estimate.objective)),
            "rank" => estimate.map(|estimate| estimate.rank),
            "warm" => belief.map(|belief| belief.warm),
            "load-age-ms" => belief.and_then(|belief| belief.told).map(ms),
        );
        // Failures have a bound of their own in the journal.
        if status >= 500 || status == StatusCode::TOO_MANY_REQUESTS {
            warn!(self.state.log(), "request: answered"; line);
        } else {
            info!(self.state.log(), "request: answered"; line);
        }
        outcome.response
    }
}

fn refuse(status: StatusCode, reason: Reason, wait: Duration) -> Outcome {
    Outcome {
        response: reply::own(status, Some(wait)),
        reason: Some(reason),
        ran: false,
        sends: 0,
        belief: None,
    }
}

fn own(status: StatusCode, reason: Reason) -> Outcome {
    Outcome {
        response: reply::own(status, None),
        reason: Some(reason),
        ran: false,
        sends: 0,
        belief: None,
    }
}

fn deny(denial: Denial) -> Outcome {
    let status = match denial {
        Denial::NoRoute => StatusCode::NOT_FOUND,
        Denial::UnknownKey => StatusCode::UNAUTHORIZED,
        Denial::Ambiguous => StatusCode::BAD_REQUEST,
    };
    own(status, Reason::Denied)
}

/// Returns path and query, as backend servers get them.
fn origin(uri: &http::Uri) -> http::Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| uri.clone(), http::Uri::from)
}
