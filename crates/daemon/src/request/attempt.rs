//! Makes one attempt at a backend server.

use crate::{
    connection::pool::{self, Failed, Lease, Need, Pool},
    request::{
        forward::Job,
        upload::{self, Upload},
        watch::Watch,
    },
    version::current::Place,
};
use azurenotch_core::version::balance::Verdict;
use azurenotch_wire::{
    refusal::{self, Reason, Refusal},
    time::Instant,
};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use hyper::body::{Body as _, Incoming};
use std::{pin::pin, sync::Arc, time::Duration};
use tokio::{select, time::timeout};
use tokio_util::sync::CancellationToken;

/// Time after which a caller may try again when all slots or connections are in use.
pub(crate) const BUSY_RETRY: Duration = Duration::from_millis(200);

/// Result of an attempt.
type Result<T, E = Failure> = std::result::Result<T, E>;

/// An answer's header with the connection that carries its body.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) response: Response<Incoming>,
    pub(crate) lease: Lease,
    pub(crate) watch: Watch,
}

/// An answer's header with the time that the backend server took, without making a connection.
#[derive(Debug)]
struct Exchanged {
    response: Response<Incoming>,
    lease: Lease,
    service: Duration,
}

/// Why an attempt got no answer.
#[derive(Debug)]
pub(crate) struct Failure {
    pub(crate) refusal: Refusal,
    /// Whether a byte of the request may have been written.
    pub(crate) sent: bool,
    /// Whether another attempt may do better.
    pub(crate) elsewhere: bool,
    /// Whether the connection may have been closed before the attempt.
    pub(crate) stale: bool,
    verdict: Verdict,
}

impl Job<'_> {
    /// Makes one attempt at a backend server.
    pub(crate) async fn attempt(
        &self,
        place: Place,
        pool: &Arc<Pool>,
        number: u32,
    ) -> Result<Answer> {
        let mut watch = self.watch(place);
        let started = self.gateway.clock.now();
        let need = match (number, self.grant.route.idempotent) {
            (0, true) => Need::Any,
            (0, false) => Need::Proven,
            _ => Need::Fresh,
        };
        let result = self.exchange(pool, need).await;
        let verdict = match &result {
            Ok(exchanged) if is_shed(&exchanged.response) => Verdict::Shed,
            Ok(exchanged) if exchanged.response.status().is_server_error() => Verdict::Failed,
            Ok(_) => Verdict::Answered,
            Err(failure) => failure.verdict,
        };
        // A version that has just got its share needs new connections, which is no fault of it.
        let latency = match &result {
            Ok(exchanged) => exchanged.service,
            Err(_) => self.gateway.clock.now().since(started),
        };
        watch.end(verdict, latency);
        result.map(
            |Exchanged {
                 response, lease, ..
             }| Answer {
                response,
                lease,
                watch,
            },
        )
    }

    /// Sends the request and waits for the header of the answer.
    async fn exchange(&self, pool: &Arc<Pool>, need: Need) -> Result<Exchanged> {
        let withdrawn = self.withdrawn();
        let lease = select! {
            biased;
            () = withdrawn.cancelled() => return Err(Failure::withdrawn(false)),
            lease = self.lease(pool, need) => lease?,
        };
        let started = self.gateway.clock.now();
        let left = self.deadline.remaining(started).ok_or_else(Failure::late)?;
        let answered = select! {
            biased;
            () = withdrawn.cancelled() => return Err(Failure::withdrawn(true)),
            answered = timeout(left, self.send(pool, lease)) => answered,
        };
        let Ok(answered) = answered else {
            return Err(self.timed_out(left));
        };
        let (response, mut lease) = answered?;
        let now = self.gateway.clock.now();
        let service = now.since(started);
        pool.record(now, service);
        lease.prove(now);
        Ok(Exchanged {
            response,
            lease,
            service,
        })
    }

    /// Sends the request, a second time if the connection may have gone silent.
    async fn send(&self, pool: &Arc<Pool>, lease: Lease) -> Result<(Response<Incoming>, Lease)> {
        let proven = lease.proven();
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
            let lease = self.lease(pool, Need::Fresh).await?;
            self.send_once(lease).await
        });
        select! {
            answered = &mut first => match answered {
                Ok(answer) => Ok(answer),
                // The failure of the first sending is the one that may have run the request.
                Err(failure) => second.await.map_err(|_unsent| failure),
            },
            answered = &mut second => match answered {
                Ok(answer) => {
                    pool.close_idle(proven);
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
            Err(failed) => return Err(self.lost(failed, lease.is_reused())),
        };
        if !is_proper(&response, &id) {
            return Err(Failure::server(Reason::BrokenAnswer));
        }
        Ok((response, lease))
    }

    async fn lease(&self, pool: &Arc<Pool>, need: Need) -> Result<Lease> {
        let now = self.gateway.clock.now();
        let left = self.deadline.remaining(now).ok_or_else(Failure::late)?;
        pool.lease(now, need, left).await.map_err(|error| {
            if self.deadline.remaining(self.gateway.clock.now()).is_none() {
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
        let left = HeaderValue::from(self.deadline.remaining_ms(now));
        headers.insert(refusal::DEADLINE, left);
        request
    }

    fn withdrawn(&self) -> CancellationToken {
        let transfer = self.held.transfer.as_ref();
        transfer.map_or_else(CancellationToken::new, |it| it.token().clone())
    }

    fn watch(&self, place: Place) -> Watch {
        let gateway = self.gateway;
        Watch::new(
            place,
            self.grant.clone(),
            self.choice.clone(),
            Arc::clone(&gateway.clock),
            Arc::clone(&gateway.shift),
            gateway.metrics.broken(self.grant.name.as_str()),
        )
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

    /// Explains that no answer came within `left`.
    fn timed_out(&self, left: Duration) -> Failure {
        if self.upload.is_waiting() {
            return Failure::caller(upload::Error::Stalled);
        }
        let failure = Failure {
            elsewhere: false,
            ..Failure::server(Reason::Timeout)
        };
        // Callers with short timeouts of their own must not get a backend server ejected.
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
pub(crate) fn is_shed<B>(response: &Response<B>) -> bool {
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response.headers().contains_key(http::header::RETRY_AFTER)
}
