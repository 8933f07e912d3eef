//! Prevents a request with an idempotency key from running twice.

use crate::request::{
    attempt::is_shed,
    body::Body,
    gateway::{Gateway, Guards, Result},
    head::idempotency_key,
    tee::Tee,
};
use async_trait::async_trait;
use azurenotch_config::snapshot::Snapshot;
use azurenotch_core::request::{access::Grant, deadline::Deadline, once::Answer};
use azurenotch_wire::{
    id::Workspace,
    refusal::{Outcome, REPLAYED, Reason, Refusal},
    time::Instant,
};
use http::{HeaderValue, Response, StatusCode, header, request::Parts};
use std::{fmt::Debug, time::Duration};
use tokio::select;

/// A request with an idempotency key.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Workspace of the caller.
    pub workspace: &'a Workspace,
    /// Key that the caller chose.
    pub key: &'a [u8],
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Time left for the request.
    pub left: Duration,
}

/// Records of requests with an idempotency key, shared by all hosts.
#[async_trait]
pub trait Records: Debug + Send + Sync {
    /// Applies the limits of a new configuration version.
    fn adopt(&self, now: Instant, snapshot: &Snapshot);

    /// Creates the record of a request, or returns the stored answer if the request is a repeat.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request must not run or if it cannot be recorded.
    async fn begin(&self, request: Request<'_>) -> Result<Begun>;

    /// Waits until the records of ended requests are written, at most for `max_wait`.
    async fn drain(&self, max_wait: Duration);
}

/// Result of [`Records::begin`].
#[derive(Debug)]
pub enum Begun {
    /// The request is recorded and may run.
    Run(Box<dyn Run>),
    /// The request has already run with this answer.
    Replay(Answer),
}

/// Record of a request that may run.
pub trait Run: Debug + Send + Sync {
    /// Records the end of the run; it is written in the background.
    fn end(self: Box<Self>, end: End);
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// No backend server ran the request; a repeat may run.
    NotRun,
    /// The request may have run, but its answer is not available for a replay.
    Unknown,
    /// The backend server gave this answer.
    Answered(Answer),
}

/// Records of a host without a store: refuses every request with an idempotency key.
#[derive(Debug, Clone, Copy)]
pub struct Unavailable;

#[async_trait]
impl Records for Unavailable {
    fn adopt(&self, _now: Instant, _snapshot: &Snapshot) {}

    async fn begin(&self, _request: Request<'_>) -> Result<Begun> {
        Err(Refusal::not_run(Reason::StoreDown))
    }

    async fn drain(&self, _max_wait: Duration) {}
}

/// How to answer a request.
#[derive(Debug)]
pub(crate) enum Start {
    /// Run it.
    Run(RunGuard),
    /// Return the stored answer.
    Replay(Response<Body>),
}

/// Ends the record of a run, as [`End::Unknown`] if the guard is dropped without an end.
#[derive(Debug, Default)]
pub(crate) struct RunGuard {
    run: Option<Box<dyn Run>>,
}

impl RunGuard {
    pub(crate) fn end(mut self, end: End) {
        if let Some(run) = self.run.take() {
            run.end(end);
        }
    }

    /// Records the result of the run and returns it for the caller.
    pub(crate) fn pass_on(self, result: Result<Response<Body>>) -> Result<Response<Body>> {
        if self.run.is_none() {
            return result;
        }
        match result {
            // A backend server that sheds a request does not run it, so a repeat may run.
            Ok(response) if is_shed(&response) => {
                self.end(End::NotRun);
                Ok(response)
            }
            Ok(response) => Ok(Tee::wrap(response, self)),
            Err(refusal) => {
                self.end(match refusal.outcome {
                    Outcome::NotRun => End::NotRun,
                    Outcome::Unknown => End::Unknown,
                });
                Err(refusal)
            }
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if let Some(run) = self.run.take() {
            run.end(End::Unknown);
        }
    }
}

impl Gateway {
    /// Records a non-idempotent request that carries an idempotency key.
    pub(crate) async fn begin(
        &self,
        grant: &Grant,
        head: &Parts,
        deadline: Deadline,
        guards: &Guards,
    ) -> Result<Start> {
        let Some(holder) = grant.holder.as_ref().filter(|_| !grant.route.idempotent) else {
            return Ok(Start::Run(RunGuard::default()));
        };
        let Some(key) = idempotency_key(&head.headers).inspect_err(|it| self.count_refusal(it))?
        else {
            return Ok(Start::Run(RunGuard::default()));
        };
        let left = deadline.remaining(self.clock.now());
        let request = Request {
            workspace: &holder.workspace,
            key,
            method: head.method.as_str(),
            target: head.uri.path_and_query().map_or("/", |it| it.as_str()),
            left: left.ok_or(Refusal::not_run(Reason::Timeout))?,
        };
        let withdrawn = async {
            match &guards.running {
                Some(running) => running.token().cancelled().await,
                None => std::future::pending().await,
            }
        };
        let begun = select! {
            biased;
            () = withdrawn => Err(Refusal::not_run(Reason::Withdrawn)),
            begun = self.records.begin(request) => begun,
        };
        match begun.inspect_err(|refusal| self.count_refusal(refusal))? {
            Begun::Run(run) => {
                self.metrics.once("run");
                Ok(Start::Run(RunGuard { run: Some(run) }))
            }
            Begun::Replay(answer) => {
                self.metrics.once("replay");
                self.metrics.replayed(grant.name.as_str());
                Ok(Start::Replay(replay(answer)))
            }
        }
    }

    fn count_refusal(&self, refusal: &Refusal) {
        self.metrics.once(&refusal.reason.to_string());
    }
}

fn replay(answer: Answer) -> Response<Body> {
    let length = HeaderValue::from(answer.body.len());
    let mut response = Response::new(Body::whole(answer.body));
    // Stored statuses come from real answers, so the conversion cannot fail.
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or_default();
    let headers = response.headers_mut();
    headers.insert(REPLAYED, HeaderValue::from_static("true"));
    if answer.status != StatusCode::NO_CONTENT.as_u16() {
        headers.insert(header::CONTENT_LENGTH, length);
    }
    let content_type = answer.content_type.as_deref().map(HeaderValue::from_bytes);
    if let Some(Ok(content_type)) = content_type {
        headers.insert(header::CONTENT_TYPE, content_type);
    }
    response
}
