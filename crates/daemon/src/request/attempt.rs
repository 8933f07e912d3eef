//! One attempt to send a request to a backend server.

use crate::{
    connection::pool::{self, Lease, Pool, Reuse, SendError},
    request::{
        forward::Job,
        observer::Observer,
        upload::{self, Upload},
    },
    version::current::ServerSlot,
};
use azurenotch_core::{request::deadline::ANSWER_ALLOWANCE, version::balance::Verdict};
use azurenotch_platform::http::status;
use azurenotch_wire::{
    refusal::{self, Reason, Refusal},
    time::Instant,
};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use hyper::body::{Body as _, Incoming};
use std::{pin::pin, sync::Arc, time::Duration};
use tokio::{select, time::timeout};
use tokio_util::sync::CancellationToken;

/// Delay after which a caller may retry when all slots or connections are in use.
pub(crate) const BUSY_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Result of an attempt.
type Result<T, E = Failure> = std::result::Result<T, E>;

/// Header of an answer, with the connection that carries its body.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) response: Response<Incoming>,
    pub(crate) lease: Lease,
    pub(crate) observer: Observer,
}

/// Header of an answer, with the backend server's latency.
///
/// The latency excludes the time to open a connection.
#[derive(Debug)]
struct TimedAnswer {
    response: Response<Incoming>,
    lease: Lease,
    latency: Duration,
}

/// Why an attempt got no answer.
#[derive(Debug)]
pub(crate) struct Failure {
    pub(crate) refusal: Refusal,
    /// Whether a byte of the request may have been written.
    pub(crate) sent: bool,
    /// Whether an attempt at another backend server may succeed.
    pub(crate) retryable: bool,
    /// Whether the backend server may have closed the connection before the attempt.
    pub(crate) stale: bool,
    verdict: Verdict,
}

impl Job<'_> {
    /// Makes one attempt at a backend server.
    pub(crate) async fn attempt(
        &self,
        slot: ServerSlot,
        pool: &Arc<Pool>,
        number: u32,
    ) -> Result<Answer> {
        let mut observer = self.observer(slot);
        let started = self.gateway.clock.now();
        let reuse = match (number, self.grant.route.idempotent) {
            (0, true) => Reuse::Any,
            (0, false) => Reuse::Recent,
            _ => Reuse::Never,
        };
        let result = self.exchange(pool, reuse).await;
        let verdict = match &result {
            Ok(answer) if is_shed(&answer.response) => Verdict::Shed,
            Ok(answer) if answer.response.status().is_server_error() => Verdict::Failed,
            Ok(_) => Verdict::Answered,
            Err(failure) => failure.verdict,
        };
        // The time to open a connection is left out, because a version that has just got its share
        // needs new connections and would seem slow.
        let latency = match &result {
            Ok(answer) => answer.latency,
            Err(_) => self.gateway.clock.now().since(started),
        };
        observer.record_end(verdict, latency);
        result.map(
            |TimedAnswer {
                 response, lease, ..
             }| Answer {
                response,
                lease,
                observer,
            },
        )
    }

    /// Sends the request and waits for the header of the answer.
    async fn exchange(&self, pool: &Arc<Pool>, reuse: Reuse) -> Result<TimedAnswer> {
        let withdrawn = self.withdrawn();
        let lease = select! {
            biased;
            () = withdrawn.cancelled() => return Err(Failure::withdrawn(false)),
            lease = self.lease(pool, reuse) => lease?,
        };
        let started = self.gateway.clock.now();
        let left = self
            .deadline
            .remaining(started)
            .ok_or_else(Failure::deadline_passed)?;
        let answered = select! {
            biased;
            () = withdrawn.cancelled() => return Err(Failure::withdrawn(true)),
            answered = timeout(left + ANSWER_ALLOWANCE, self.send(pool, lease)) => answered,
        };
        let Ok(answered) = answered else {
            return Err(self.timed_out(left));
        };
        let (response, mut lease) = answered?;
        let now = self.gateway.clock.now();
        let latency = now.since(started);
        pool.record(now, latency);
        lease.record_answer(now);
        Ok(TimedAnswer {
            response,
            lease,
            latency,
        })
    }

    /// Sends the request, and again on a new connection if a reused one does not answer in time.
    async fn send(&self, pool: &Arc<Pool>, lease: Lease) -> Result<(Response<Incoming>, Lease)> {
        let last_answer = lease.last_answer();
        // A body cannot be sent on two connections.
        let hedged = self.grant.route.idempotent && lease.is_reused() && self.upload.is_done();
        let mut first = pin!(self.send_once(lease));
        if !hedged {
            return first.await;
        }
        if let Ok(answered) = timeout(pool.hedge_after(), &mut first).await {
            return answered;
        }
        if !self.gateway.retry.lock().try_take_token() {
            return first.await;
        }
        let mut second = pin!(async {
            let lease = self.lease(pool, Reuse::Never).await?;
            self.send_once(lease).await
        });
        select! {
            answered = &mut first => match answered {
                Ok(answer) => Ok(answer),
                // The request that was sent first may have run, so its failure is returned.
                Err(failure) => second.await.map_err(|_unsent| failure),
            },
            answered = &mut second => match answered {
                Ok(answer) => {
                    pool.close_idle(last_answer);
                    Ok(answer)
                }
                Err(_) => first.await,
            },
        }
    }

    /// Sends the request on one connection and checks the header of the answer.
    async fn send_once(&self, mut lease: Lease) -> Result<(Response<Incoming>, Lease)> {
        let id = self.gateway.request_id();
        let request = self.request(&id, self.gateway.clock.now());
        let response = match lease.send(request).await {
            Ok(response) => response,
            Err(failed) => return Err(self.connection_failure(failed, lease.is_reused())),
        };
        if !is_valid_answer(&response, &id) {
            return Err(Failure::server(Reason::BrokenAnswer));
        }
        Ok((response, lease))
    }

    async fn lease(&self, pool: &Arc<Pool>, reuse: Reuse) -> Result<Lease> {
        let now = self.gateway.clock.now();
        let left = self
            .deadline
            .remaining(now)
            .ok_or_else(Failure::deadline_passed)?;
        pool.lease(now, reuse, left).await.map_err(|error| {
            if self.deadline.remaining(self.gateway.clock.now()).is_none() {
                Failure::deadline_passed()
            } else {
                Failure::no_connection(&error)
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
        let left = HeaderValue::from(self.deadline.remaining_ms(now));
        headers.insert(refusal::DEADLINE, left);
        request
    }

    fn withdrawn(&self) -> CancellationToken {
        let running = self.guards.running.as_ref();
        running.map_or_else(CancellationToken::new, |it| it.token().clone())
    }

    fn observer(&self, slot: ServerSlot) -> Observer {
        let gateway = self.gateway;
        Observer::new(
            slot,
            self.grant.clone(),
            self.choice.clone(),
            Arc::clone(&gateway.clock),
            Arc::clone(&gateway.selector),
            gateway.metrics.broken_answers(self.grant.name.as_str()),
        )
    }

    /// Classifies a failure of the connection, which the caller's own body may have caused.
    ///
    /// A reused connection may have been closed while idle, which is no failure of the backend
    /// server.
    fn connection_failure(&self, failed: SendError, reused: bool) -> Failure {
        if let Some(error) = self.upload.error() {
            return Failure::caller_fault(error);
        }
        let stale = Failure {
            stale: true,
            verdict: Verdict::Abandoned,
            ..Failure::server(Reason::LostServer)
        };
        match failed {
            SendError::NotSent => Failure {
                refusal: Refusal::not_run(Reason::NoServer),
                sent: false,
                ..stale
            },
            SendError::Sent(_) if reused => stale,
            SendError::Sent(_) => Failure::server(Reason::LostServer),
        }
    }

    /// Classifies that no answer arrived within `left`.
    fn timed_out(&self, left: Duration) -> Failure {
        if self.upload.is_waiting() {
            return Failure::caller_fault(upload::Error::Stalled);
        }
        let failure = Failure {
            retryable: false,
            ..Failure::server(Reason::Timeout)
        };
        // A short timeout chosen by the caller must not cause a backend server to be ejected.
        if left < self.grant.route.timeout / 2 {
            return Failure {
                verdict: Verdict::Abandoned,
                ..failure
            };
        }
        failure
    }
}

impl Failure {
    /// Returns the failure of a server that may have run the request but gave no valid answer.
    fn server(reason: Reason) -> Self {
        Self {
            refusal: Refusal::unknown(reason),
            sent: true,
            retryable: true,
            stale: false,
            verdict: Verdict::Failed,
        }
    }

    fn no_connection(error: &pool::Error) -> Self {
        let (refusal, verdict) = match error {
            pool::Error::Busy { .. } => (
                Refusal::not_run(Reason::Overload).retry_after(BUSY_RETRY_DELAY),
                Verdict::Abandoned,
            ),
            pool::Error::Connect { .. } | pool::Error::Slow { .. } | pool::Error::SetUp { .. } => {
                (Refusal::not_run(Reason::NoServer), Verdict::Failed)
            }
        };
        Self {
            refusal,
            sent: false,
            retryable: true,
            stale: false,
            verdict,
        }
    }

    /// Returns the failure of a deadline that passed before anything was sent.
    fn deadline_passed() -> Self {
        Self {
            refusal: Refusal::not_run(Reason::Timeout),
            sent: false,
            retryable: false,
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
            retryable: false,
            stale: false,
            verdict: Verdict::Abandoned,
        }
    }

    fn caller_fault(error: upload::Error) -> Self {
        let reason = match error {
            upload::Error::TooLarge => Reason::BodyTooLarge,
            upload::Error::Stalled => Reason::SlowCaller,
            upload::Error::Broken => Reason::Malformed,
        };
        Self {
            refusal: Refusal::unknown(reason),
            sent: true,
            retryable: false,
            stale: false,
            verdict: Verdict::Abandoned,
        }
    }
}

fn set_id(headers: &mut HeaderMap, id: &str) {
    // Host names are valid in a header. Without its id, a request would only fail the check that
    // the backend server returned the id.
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(refusal::REQUEST, value);
    }
}

/// Returns whether an answer has a status of HTTP, belongs to the request, and its body has a
/// recognizable end.
fn is_valid_answer(response: &Response<Incoming>, id: &str) -> bool {
    let echo = response.headers().get(refusal::REQUEST);
    let body = response.body();
    let framed = body.is_end_stream()
        || body.size_hint().exact().is_some()
        || response
            .headers()
            .contains_key(http::header::TRANSFER_ENCODING);
    echo.is_some_and(|echo| echo.as_bytes() == id.as_bytes())
        && framed
        && status::is_final(response.status())
}

/// Returns whether a backend server shed the request because of its load.
pub(crate) fn is_shed<B>(response: &Response<B>) -> bool {
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response.headers().contains_key(http::header::RETRY_AFTER)
}
