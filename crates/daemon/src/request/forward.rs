//! Sends a request to a backend server and retries at another one if that is safe.

use crate::{
    connection::pool::Pool,
    request::{
        attempt::{Answer, BUSY_RETRY_DELAY, is_shed},
        body::{Body, Download},
        gateway::{Gateway, Guards, Result},
        release::Choice,
        upload::Source,
    },
    version::current::ServerSlot,
};
use azurenotch_core::request::{access::Grant, deadline::Deadline, header, retry::Attempt};
use azurenotch_wire::{
    refusal::{self, Outcome, Reason, Refusal},
    time::Instant,
};
use http::{HeaderValue, Response, Uri, Version, request::Parts};
use std::{sync::Arc, time::Duration};

/// Product name in the `via` header.
const VIA: &str = "1.1 azurenotch";
/// Longest wait for a free slot at any backend server.
const MAX_SLOT_WAIT: Duration = Duration::from_millis(100);

/// An admitted request that is to be sent to a backend server.
#[derive(Debug)]
pub(crate) struct Job<'a> {
    pub(crate) gateway: &'a Gateway,
    pub(crate) grant: &'a Grant,
    pub(crate) choice: Choice,
    pub(crate) head: Parts,
    pub(crate) upload: Source,
    pub(crate) deadline: Deadline,
    pub(crate) arrived: Instant,
    pub(crate) guards: Guards,
}

/// Attempts made for one request so far.
#[derive(Debug, Default)]
struct Progress {
    number: u32,
    /// Indexes of the backend servers that further attempts skip.
    excluded: Vec<usize>,
    /// Time spent on attempts and on waiting for a free slot.
    waited: Duration,
    /// Last answer of a backend server that shed the request.
    shed: Option<Answer>,
    /// Refusal that the caller gets if no attempt succeeds.
    refusal: Option<Refusal>,
}

impl Progress {
    /// Sets the refusal for the caller; an unknown outcome is never replaced by `not-run`.
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
    while let Some((slot, pool)) = job.pick(&mut progress).await {
        let started = job.gateway.clock.now();
        let index = slot.index();
        let result = job.attempt(slot, &pool, progress.number).await;
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
                // A connection closed while idle is no failure of its backend server.
                if !failure.stale {
                    progress.excluded.push(index);
                }
                progress.fail(failure.refusal);
                if !failure.retryable {
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
    conclude(job, progress)
}

/// Returns the result of a request of which no attempt succeeded.
fn conclude(job: Job<'_>, progress: Progress) -> Result<Response<Body>> {
    let refusal = progress.refusal;
    let unknown = refusal
        .as_ref()
        .is_some_and(|refusal| refusal.outcome == Outcome::Unknown);
    match progress.shed {
        // An unknown outcome of another attempt must not be hidden behind a shed request.
        Some(answer) if !unknown => Ok(job.pass_on(answer, progress.waited)),
        _ => Err(refusal.unwrap_or(Refusal::not_run(Reason::NoServer))),
    }
}

/// Turns the caller's header into the one for the backend server.
///
/// # Errors
///
/// Refuses a request as malformed if its `host` header is ambiguous or missing.
fn prepare(job: &mut Job<'_>) -> Result<()> {
    let malformed = || Refusal::not_run(Reason::Malformed);
    let head = &mut job.head;
    let headers = &mut head.headers;
    if headers.contains_key(http::header::TRANSFER_ENCODING) {
        headers.remove(http::header::CONTENT_LENGTH);
    }
    header::clean_request(headers);
    // The HTTP library answers the expectation when this host reads the body.
    headers.remove(http::header::EXPECT);
    headers.remove(refusal::TIMEOUT);
    headers.append(http::header::VIA, HeaderValue::from_static(VIA));
    if let Some(holder) = &job.grant.holder {
        let workspace = HeaderValue::from_str(holder.workspace.as_str());
        headers.insert(refusal::WORKSPACE, workspace.ok().ok_or_else(malformed)?);
    }
    // Given several `host` headers, this host and the backend server could each use another one.
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
    /// Chooses a backend server from the configuration in force.
    ///
    /// The first attempt waits a short time for a free slot, so that a burst within the contract is
    /// not refused because its requests arrive together. Later attempts do not wait.
    async fn pick(&self, progress: &mut Progress) -> Option<(ServerSlot, Arc<Pool>)> {
        let current = self.gateway.current()?;
        let group = current.group(&self.grant.route.service)?;
        let now = self.gateway.clock.now();
        let slot = match group.pick(now, &self.choice.release, &progress.excluded) {
            Some(slot) => Some(slot),
            None if progress.number == 0 => {
                let wait = self
                    .deadline
                    .remaining(now)?
                    .div_f64(2.0)
                    .min(MAX_SLOT_WAIT);
                let started = now;
                let slot = group
                    .wait(&*self.gateway.clock, &self.choice.release, wait)
                    .await;
                progress.waited += self.gateway.clock.now().since(started);
                slot
            }
            None => None,
        };
        let Some(slot) = slot else {
            let busy = Refusal::not_run(Reason::Overload).retry_after(BUSY_RETRY_DELAY);
            progress.refusal.get_or_insert(busy);
            return None;
        };
        let pool = self
            .gateway
            .current()?
            .pool(slot.server())
            .map(Arc::clone)?;
        Some((slot, pool))
    }

    fn permits(&self, number: u32, sent: bool) -> bool {
        let attempt = Attempt {
            number,
            idempotent: self.grant.route.idempotent,
            sent,
            consumed: self.upload.is_consumed(),
            left: self.deadline.remaining(self.gateway.clock.now()),
        };
        self.gateway.retry.lock().permits(&attempt)
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
        let withdrawn = self.guards.running.as_ref().map(|it| it.token().clone());
        let lease = answer.lease;
        let body = Download::new(
            body,
            lease,
            self.upload,
            answer.observer,
            withdrawn,
            self.guards,
        );
        Response::from_parts(head, Body::Stream(Box::new(body)))
    }
}
