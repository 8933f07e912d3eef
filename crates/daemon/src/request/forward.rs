//! Sends one request to a backend server, again to another one if that is harmless.

use crate::{
    connection::pool::{self, Failed, Lease, Need, Pool},
    request::{
        body::{Body, Download},
        gateway::{Gateway, Held, Result},
        shift::{Choice, Observation},
        upload::{self, Source, Upload},
    },
    version::current::Place,
};
use azurenotch_core::{
    request::{access::Grant, deadline::Deadline, header, retry::Attempt},
    version::balance::Verdict,
};
use azurenotch_wire::{
    refusal::{self, Outcome, Reason, Refusal},
    time::Instant,
};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, Uri, Version, request::Parts};
use hyper::body::{Body as _, Incoming};
use std::{sync::Arc, time::Duration};
use tokio::{select, time::timeout};
use tokio_util::sync::CancellationToken;

/// Product name in the `via` header.
const VIA: &str = "1.1 azurenotch";
/// Time after which a caller may try again when all connections are in use.
const BUSY_RETRY: Duration = Duration::from_millis(200);

/// A request that was admitted.
#[derive(Debug)]
pub(crate) struct Job<'a> {
    pub(crate) gateway: &'a Gateway,
    pub(crate) grant: &'a Grant,
    pub(crate) choice: Choice,
    pub(crate) head: Parts,
    pub(crate) upload: Source,
    pub(crate) deadline: Deadline,
    pub(crate) arrived: Instant,
    pub(crate) held: Held,
}

/// An answer's header with the connection that carries its body.
#[derive(Debug)]
struct Answer {
    response: Response<Incoming>,
    lease: Lease,
    place: Place,
}

/// Why an attempt got no answer.
#[derive(Debug)]
struct Failure {
    refusal: Refusal,
    /// Whether a byte of the request may have been written.
    sent: bool,
    /// Whether another backend server may do better.
    elsewhere: bool,
    verdict: Verdict,
}

/// Sends a request until it is answered or must not be sent again.
pub(crate) async fn run(mut job: Job<'_>) -> Result<Response<Body>> {
    prepare(&mut job)?;
    let mut tried = Vec::new();
    let mut waited = Duration::ZERO;
    let mut shed = None;
    let mut worst = Refusal::not_run(Reason::NoServer);
    loop {
        let now = job.gateway.clock.now();
        let Some((place, pool)) = job.pick(now, &tried) else {
            if worst.outcome == Outcome::NotRun && tried.is_empty() {
                worst = Refusal::not_run(Reason::Overload).retry_after(BUSY_RETRY);
            }
            break;
        };
        tried.push(place.index());
        let result = job.attempt(place, &pool).await;
        waited += job.gateway.clock.now().since(now);
        match result {
            Ok(answer) if is_shed(&answer.response) => {
                shed = Some(answer);
                if !job.grant.route.idempotent || !job.permits(tried.len(), true) {
                    break;
                }
            }
            Ok(answer) => return Ok(job.pass_on(answer, waited)),
            Err(failure) => {
                if failure.sent || worst.outcome == Outcome::NotRun {
                    worst = failure.refusal;
                }
                if !failure.elsewhere || !job.permits(tried.len(), failure.sent) {
                    break;
                }
            }
        }
        job.gateway.metrics.retried(job.grant.name.as_str());
    }
    match shed {
        // An unknown outcome of another attempt must not be hidden behind a shed request.
        Some(answer) if worst.outcome == Outcome::NotRun => Ok(job.pass_on(answer, waited)),
        _ => Err(worst),
    }
}

/// Brings the caller's header into the form that a backend server gets.
fn prepare(job: &mut Job<'_>) -> Result<()> {
    let malformed = || Refusal::not_run(Reason::Malformed);
    let head = &mut job.head;
    let headers = &mut head.headers;
    if headers.contains_key(http::header::TRANSFER_ENCODING) {
        headers.remove(http::header::CONTENT_LENGTH);
    }
    header::clean_request(headers);
    // This host answers the expectation itself when it reads the body.
    headers.remove(http::header::EXPECT);
    headers.remove(refusal::TIMEOUT);
    headers.append(http::header::VIA, HeaderValue::from_static(VIA));
    if let Some(holder) = &job.grant.holder {
        let workspace = HeaderValue::from_str(holder.workspace.as_str());
        headers.insert(refusal::WORKSPACE, workspace.ok().ok_or_else(malformed)?);
    }
    let target = head.uri.path_and_query().cloned();
    head.uri = target.map_or_else(|| Uri::from_static("/"), Uri::from);
    head.version = Version::HTTP_11;
    Ok(())
}

impl Job<'_> {
    /// Chooses a backend server of the newest configuration.
    fn pick(&self, now: Instant, tried: &[usize]) -> Option<(Place, Arc<Pool>)> {
        let current = self.gateway.current()?;
        let group = current.group(&self.grant.route.service)?;
        let place = group.pick(now, &self.choice.release, tried)?;
        let pool = current.pool(place.server()).map(Arc::clone)?;
        Some((place, pool))
    }

    /// Makes one attempt at a backend server.
    async fn attempt(
        &self,
        mut place: Place,
        pool: &Arc<Pool>,
    ) -> std::result::Result<Answer, Failure> {
        let started = self.gateway.clock.now();
        let result = self.exchange(pool).await;
        let now = self.gateway.clock.now();
        let latency = now.since(started);
        let verdict = match &result {
            Ok((response, _)) if is_shed(response) => Verdict::Shed,
            Ok((response, _)) if response.status().is_server_error() => Verdict::Failed,
            Ok(_) => Verdict::Answered,
            Err(failure) => failure.verdict,
        };
        place.end(now, verdict, latency);
        if verdict != Verdict::Abandoned {
            self.record(verdict != Verdict::Answered, latency);
        }
        result.map(|(response, lease)| Answer {
            response,
            lease,
            place,
        })
    }

    /// Sends the request once and checks the header of the answer.
    async fn exchange(
        &self,
        pool: &Arc<Pool>,
    ) -> std::result::Result<(Response<Incoming>, Lease), Failure> {
        let clock = &self.gateway.clock;
        let withdrawn = self.withdrawn();
        let mut lease = select! {
            biased;
            () = withdrawn.cancelled() => return Err(Failure::withdrawn(false)),
            lease = self.lease(pool) => lease?,
        };
        let now = clock.now();
        let left = self.deadline.left(now).ok_or_else(Failure::late)?;
        let id = self.gateway.request_id();
        let request = self.request(&id, now);
        let response = select! {
            biased;
            () = withdrawn.cancelled() => return Err(Failure::withdrawn(true)),
            sent = timeout(left, lease.send(request)) => match sent {
                Ok(Ok(response)) => response,
                Ok(Err(failed)) => return Err(self.lost(failed)),
                Err(_) => return Err(self.timed_out()),
            },
        };
        if !is_proper(&response, &id) {
            return Err(Failure::server(Reason::BrokenAnswer));
        }
        lease.prove(clock.now());
        Ok((response, lease))
    }

    async fn lease(&self, pool: &Arc<Pool>) -> std::result::Result<Lease, Failure> {
        let now = self.gateway.clock.now();
        let left = self.deadline.left(now).ok_or_else(Failure::late)?;
        let need = if self.grant.route.idempotent {
            Need::Any
        } else {
            Need::Proven
        };
        pool.lease(now, need, left).await.map_err(|error| {
            if self.deadline.left(self.gateway.clock.now()).is_none() {
                Failure::late()
            } else {
                Failure::unreachable(&error)
            }
        })
    }

    fn request(&self, id: &str, now: Instant) -> Request<Upload> {
        let mut request = Request::new(self.upload.upload());
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        let headers = request.headers_mut();
        headers.clone_from(&self.head.headers);
        set_id(headers, id);
        let left = HeaderValue::from(self.deadline.header(now));
        headers.insert(refusal::DEADLINE, left);
        request
    }

    fn withdrawn(&self) -> CancellationToken {
        let transfer = self.held.transfer.as_ref();
        transfer.map_or_else(CancellationToken::new, |it| it.token().clone())
    }

    fn permits(&self, attempts: usize, sent: bool) -> bool {
        let attempt = Attempt {
            number: u32::try_from(attempts).unwrap_or(u32::MAX),
            idempotent: self.grant.route.idempotent,
            sent,
            consumed: self.upload.is_consumed(),
            left: self.deadline.left(self.gateway.clock.now()),
        };
        self.gateway.retry.lock().permits(&attempt)
    }

    fn record(&self, failed: bool, latency: Duration) {
        let holder = self.grant.holder.as_ref();
        let observation = Observation {
            service: &self.grant.route.service,
            choice: &self.choice,
            route: &self.grant.name,
            workspace: holder.map(|holder| &holder.workspace),
            failed,
            latency,
        };
        let now = self.gateway.clock.now();
        self.gateway.shift.record(now, &observation);
    }

    /// Explains a failure of the connection, which may be due to the caller's own body.
    fn lost(&self, failed: Failed) -> Failure {
        match (self.upload.error(), failed) {
            (Some(error), _) => Failure::caller(error),
            (None, Failed::NotSent) => Failure {
                refusal: Refusal::not_run(Reason::NoServer),
                sent: false,
                elsewhere: true,
                verdict: Verdict::Abandoned,
            },
            (None, Failed::Sent(_)) => Failure::server(Reason::LostServer),
        }
    }

    fn timed_out(&self) -> Failure {
        if self.upload.is_waiting() {
            return Failure::caller(upload::Error::Stalled);
        }
        Failure {
            elsewhere: false,
            ..Failure::server(Reason::Timeout)
        }
    }

    /// Turns a backend server's answer into the one for the caller.
    fn pass_on(self, answer: Answer, waited: Duration) -> Response<Body> {
        let total = self.gateway.clock.now().since(self.arrived);
        let route = self.grant.name.as_str();
        self.gateway.metrics.answered(route, total, waited);
        let (mut head, body) = answer.response.into_parts();
        header::clean_response(&mut head.headers);
        head.headers
            .append(http::header::VIA, HeaderValue::from_static(VIA));
        let withdrawn = self.held.transfer.as_ref().map(|it| it.token().clone());
        let guards = (answer.place, self.held);
        let body = Download::new(body, answer.lease, self.upload, withdrawn, guards);
        Response::from_parts(head, Body::Stream(Box::new(body)))
    }
}

impl Failure {
    /// The backend server may have run the request but did not answer it properly.
    fn server(reason: Reason) -> Self {
        Self {
            refusal: Refusal::unknown(reason),
            sent: true,
            elsewhere: true,
            verdict: Verdict::Failed,
        }
    }

    fn unreachable(error: &pool::Error) -> Self {
        let (refusal, verdict) = match error {
            pool::Error::Busy { .. } => (
                Refusal::not_run(Reason::Overload).retry_after(BUSY_RETRY),
                Verdict::Abandoned,
            ),
            pool::Error::Connect { .. } | pool::Error::Slow { .. } | pool::Error::SetUp { .. } => {
                (Refusal::not_run(Reason::NoServer), Verdict::Failed)
            }
        };
        Self {
            refusal,
            sent: false,
            elsewhere: true,
            verdict,
        }
    }

    /// The deadline passed before anything was sent.
    fn late() -> Self {
        Self {
            refusal: Refusal::not_run(Reason::Timeout),
            sent: false,
            elsewhere: false,
            verdict: Verdict::Abandoned,
        }
    }

    fn withdrawn(sent: bool) -> Self {
        let refusal = if sent {
            Refusal::unknown(Reason::Withdrawn)
        } else {
            Refusal::not_run(Reason::Withdrawn)
        };
        Self {
            refusal,
            sent,
            elsewhere: false,
            verdict: Verdict::Abandoned,
        }
    }

    fn caller(error: upload::Error) -> Self {
        let reason = match error {
            upload::Error::TooLarge => Reason::BodyTooLarge,
            upload::Error::Stalled => Reason::SlowCaller,
            upload::Error::Broken => Reason::Malformed,
        };
        Self {
            refusal: Refusal::unknown(reason),
            sent: true,
            elsewhere: false,
            verdict: Verdict::Abandoned,
        }
    }
}

fn set_id(headers: &mut HeaderMap, id: &str) {
    // Host names are valid in a header; a request without an id would only fail the echo check.
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(refusal::REQUEST, value);
    }
}

/// Returns whether an answer belongs to the request and its end can be told from a broken one.
fn is_proper(response: &Response<Incoming>, id: &str) -> bool {
    let echo = response.headers().get(refusal::REQUEST);
    let body = response.body();
    let framed = body.is_end_stream()
        || body.size_hint().exact().is_some()
        || response
            .headers()
            .contains_key(http::header::TRANSFER_ENCODING);
    echo.is_some_and(|echo| echo.as_bytes() == id.as_bytes())
        && framed
        && response.status() != StatusCode::SWITCHING_PROTOCOLS
}

/// Returns whether a backend server declined the request because of its load.
fn is_shed(response: &Response<Incoming>) -> bool {
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response.headers().contains_key(http::header::RETRY_AFTER)
}
