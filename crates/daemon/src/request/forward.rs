//! Sends one request to a backend server, again to another one if that is harmless.

use crate::{
    connection::pool::{self, Failed, Lease, Need, Pool},
    request::{
        body::{Body, Download},
        gateway::{Gateway, Held, Result},
        shift::Observation,
        upload::{self, Source, Upload},
    },
    version::current::Place,
};
use azurenotch_core::{
    request::{access::Grant, deadline::Deadline, header, retry::Attempt},
    version::balance::Verdict,
};
use azurenotch_wire::{
    id::Release,
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
/// Time after which a caller may try again when all slots or connections are in use.
const BUSY_RETRY: Duration = Duration::from_millis(200);
/// Longest wait for a free slot at any backend server.
const SLOT_WAIT: Duration = Duration::from_millis(100);

/// A request that was admitted.
#[derive(Debug)]
pub(crate) struct Job<'a> {
    pub(crate) gateway: &'a Gateway,
    pub(crate) grant: &'a Grant,
    pub(crate) release: Release,
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
    /// Whether another attempt may do better.
    elsewhere: bool,
    /// Whether the connection may have been closed before the attempt.
    stale: bool,
    verdict: Verdict,
}

/// Attempts made for one request so far.
#[derive(Debug, Default)]
struct Progress {
    number: u32,
    /// Backend servers that are not asked again.
    excluded: Vec<usize>,
    /// Time spent on the attempts.
    waited: Duration,
    /// Last answer of a backend server that shed the request.
    shed: Option<Answer>,
    /// What the caller is told if no attempt succeeds.
    refusal: Option<Refusal>,
}

impl Progress {
    /// Keeps the refusal that says more: an unknown outcome is never replaced by `not-run`.
    fn fail(&mut self, refusal: Refusal) {
        let known = self.refusal.as_ref();
        if known.is_none_or(|known| {
            known.outcome == Outcome::NotRun || refusal.outcome == Outcome::Unknown
        }) {
            self.refusal = Some(refusal);
        }
    }
}

/// Sends a request until it is answered or must not be sent again.
pub(crate) async fn run(mut job: Job<'_>) -> Result<Response<Body>> {
    prepare(&mut job)?;
    let mut progress = Progress::default();
    while let Some((place, pool)) = job.pick(&mut progress).await {
        let started = job.gateway.clock.now();
        let index = place.index();
        let result = job.attempt(place, &pool, progress.number).await;
        progress.number += 1;
        progress.waited += job.gateway.clock.now().since(started);
        let sent = match result {
            Ok(answer) if is_shed(&answer.response) => {
                progress.excluded.push(index);
                progress.shed = Some(answer);
                if !job.grant.route.idempotent {
                    break;
                }
                true
            }
            Ok(answer) => return Ok(job.pass_on(answer, progress.waited)),
            Err(failure) => {
                // A connection that was closed while idle says nothing about its server.
                if !failure.stale {
                    progress.excluded.push(index);
                }
                progress.fail(failure.refusal);
                if !failure.elsewhere {
                    break;
                }
                failure.sent
            }
        };
        if !job.permits(progress.number, sent) {
            break;
        }
        job.gateway.metrics.retried(job.grant.name.as_str());
    }
    let unknown = progress
        .refusal
        .as_ref()
        .is_some_and(|refusal| refusal.outcome == Outcome::Unknown);
    match progress.shed {
        // An unknown outcome of another attempt must not be hidden behind a shed request.
        Some(answer) if !unknown => Ok(job.pass_on(answer, progress.waited)),
        _ => Err(progress
            .refusal
            .unwrap_or(Refusal::not_run(Reason::NoServer))),
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
    // A request with several hosts could mean another one to the backend server.
    let hosts = headers.get_all(http::header::HOST).iter().count();
    if hosts > 1 || (hosts == 0 && head.version == Version::HTTP_11) {
        return Err(malformed());
    }
    let target = head.uri.path_and_query().cloned();
    head.uri = target.map_or_else(|| Uri::from_static("/"), Uri::from);
    head.version = Version::HTTP_11;
    Ok(())
}

impl Job<'_> {
    /// Chooses a backend server of the newest configuration.
    ///
    /// The first attempt waits a short time for a free slot, so that a burst within the contract is
    /// not refused because its requests arrive together. Later attempts do not wait.
    async fn pick(&self, progress: &mut Progress) -> Option<(Place, Arc<Pool>)> {
        let current = self.gateway.current()?;
        let group = current.group(&self.grant.route.service)?;
        let now = self.gateway.clock.now();
        let place = match group.pick(now, &self.release, &progress.excluded) {
            Some(place) => Some(place),
            None if progress.number == 0 => {
                let wait = self.deadline.left(now)?.div_f64(2.0).min(SLOT_WAIT);
                let started = now;
                let place = group.wait(&*self.gateway.clock, &self.release, wait).await;
                progress.waited += self.gateway.clock.now().since(started);
                place
            }
            None => None,
        };
        let Some(place) = place else {
            let busy = Refusal::not_run(Reason::Overload).retry_after(BUSY_RETRY);
            progress.refusal.get_or_insert(busy);
            return None;
        };
        let pool = self
            .gateway
            .current()?
            .pool(place.server())
            .map(Arc::clone)?;
        Some((place, pool))
    }

    /// Makes one attempt at a backend server.
    async fn attempt(
        &self,
        mut place: Place,
        pool: &Arc<Pool>,
        number: u32,
    ) -> std::result::Result<Answer, Failure> {
        let started = self.gateway.clock.now();
        let need = match (number, self.grant.route.idempotent) {
            (0, true) => Need::Any,
            (0, false) => Need::Proven,
            _ => Need::Fresh,
        };
        let result = self.exchange(pool, need).await;
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
        need: Need,
    ) -> std::result::Result<(Response<Incoming>, Lease), Failure> {
        let clock = &self.gateway.clock;
        let withdrawn = self.withdrawn();
        let mut lease = select! {
            biased;
            () = withdrawn.cancelled() => return Err(Failure::withdrawn(false)),
            lease = self.lease(pool, need) => lease?,
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
                Ok(Err(failed)) => return Err(self.lost(failed, lease.is_reused())),
                Err(_) => return Err(self.timed_out()),
            },
        };
        if !is_proper(&response, &id) {
            return Err(Failure::server(Reason::BrokenAnswer));
        }
        lease.prove(clock.now());
        Ok((response, lease))
    }

    async fn lease(&self, pool: &Arc<Pool>, need: Need) -> std::result::Result<Lease, Failure> {
        let now = self.gateway.clock.now();
        let left = self.deadline.left(now).ok_or_else(Failure::late)?;
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

    fn permits(&self, number: u32, sent: bool) -> bool {
        let attempt = Attempt {
            number,
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
            release: &self.release,
            route: &self.grant.name,
            workspace: holder.map(|holder| &holder.workspace),
            failed,
            latency,
        };
        let now = self.gateway.clock.now();
        self.gateway.shift.record(now, &observation);
    }

    /// Explains a failure of the connection, which may be due to the caller's own body.
    ///
    /// A connection that was idle may have been closed meanwhile, which says nothing about the
    /// backend server itself.
    fn lost(&self, failed: Failed, reused: bool) -> Failure {
        if let Some(error) = self.upload.error() {
            return Failure::caller(error);
        }
        let stale = Failure {
            stale: true,
            verdict: Verdict::Abandoned,
            ..Failure::server(Reason::LostServer)
        };
        match failed {
            Failed::NotSent => Failure {
                refusal: Refusal::not_run(Reason::NoServer),
                sent: false,
                ..stale
            },
            Failed::Sent(_) if reused => stale,
            Failed::Sent(_) => Failure::server(Reason::LostServer),
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
        let broken = self.gateway.metrics.broken(route);
        let body = Download::new(body, answer.lease, self.upload, withdrawn, broken, guards);
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
            stale: false,
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
            stale: false,
            verdict,
        }
    }

    /// The deadline passed before anything was sent.
    fn late() -> Self {
        Self {
            refusal: Refusal::not_run(Reason::Timeout),
            sent: false,
            elsewhere: false,
            stale: false,
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
            stale: false,
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
            stale: false,
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
