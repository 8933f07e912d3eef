//! Refusals: the responses to requests that no backend server answered, and azurenotch's headers.

use crate::id::Workspace;
use derive_more::Display;
use http::{HeaderName, StatusCode};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Header that states whether the request was run.
pub const OUTCOME: HeaderName = HeaderName::from_static("azurenotch-outcome");
/// Header with the reason code of a refusal.
pub const REASON: HeaderName = HeaderName::from_static("azurenotch-reason");
/// Header that lists addresses of other hosts to try, in order of preference.
pub const ALTERNATIVES: HeaderName = HeaderName::from_static("azurenotch-alternatives");
/// Header that states the workspace of a request, sent to a backend server.
pub const WORKSPACE: HeaderName = HeaderName::from_static("azurenotch-workspace");
/// Header with the unique id of a request, which a backend server returns in its response.
pub const REQUEST: HeaderName = HeaderName::from_static("azurenotch-request");
/// Header with the milliseconds left for a request, sent to a backend server.
pub const DEADLINE: HeaderName = HeaderName::from_static("azurenotch-deadline-ms");
/// Header with which a caller shortens the timeout of a route, in milliseconds.
pub const TIMEOUT: HeaderName = HeaderName::from_static("azurenotch-timeout-ms");
/// Header with the caller's key for a request that must not run twice.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Header that marks a stored response, sent for a repeated request instead of running it again.
pub const REPLAYED: HeaderName = HeaderName::from_static("azurenotch-replayed");

/// Whether a refused request may have been run by a backend server.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No backend server ran the request or any part of it.
    #[display("not-run")]
    NotRun,
    /// A backend server may have run the request.
    #[display("unknown")]
    Unknown,
}

/// Reason why a request was refused.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[expect(
    missing_docs,
    reason = "the reason codes are described in docs/design.md"
)]
pub enum Reason {
    #[display("no-route")]
    NoRoute,
    #[display("malformed")]
    Malformed,
    #[display("header-too-large")]
    HeaderTooLarge,
    #[display("body-too-large")]
    BodyTooLarge,
    #[display("slow-caller")]
    SlowCaller,
    #[display("no-key")]
    NoKey,
    #[display("bad-key")]
    BadKey,
    #[display("withdrawn")]
    Withdrawn,
    #[display("rate")]
    Rate,
    #[display("concurrency")]
    Concurrency,
    #[display("regional-share")]
    RegionalShare,
    #[display("overload")]
    Overload,
    #[display("no-server")]
    NoServer,
    #[display("stopping")]
    Stopping,
    #[display("isolated")]
    Isolated,
    #[display("no-configuration")]
    NoConfiguration,
    #[display("store-down")]
    StoreDown,
    #[display("in-progress")]
    InProgress,
    #[display("outcome-lost")]
    OutcomeLost,
    #[display("timeout")]
    Timeout,
    #[display("broken-answer")]
    BrokenAnswer,
    #[display("lost-server")]
    LostServer,
}

impl Reason {
    /// Returns the HTTP status of a refusal with this reason.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::HeaderTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowCaller => StatusCode::REQUEST_TIMEOUT,
            Self::NoKey | Self::BadKey | Self::Withdrawn => StatusCode::UNAUTHORIZED,
            Self::Rate | Self::Concurrency | Self::RegionalShare => StatusCode::TOO_MANY_REQUESTS,
            Self::Overload
            | Self::NoServer
            | Self::Stopping
            | Self::Isolated
            | Self::NoConfiguration
            | Self::StoreDown => StatusCode::SERVICE_UNAVAILABLE,
            Self::InProgress | Self::OutcomeLost => StatusCode::CONFLICT,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
            Self::BrokenAnswer | Self::LostServer => StatusCode::BAD_GATEWAY,
        }
    }
}

/// Final response to a request that no backend server answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request may have been run.
    pub outcome: Outcome,
    /// Reason why it was refused.
    pub reason: Reason,
    /// Time after which the caller may try again, if known.
    pub retry_after: Option<Duration>,
    /// Workspace of the key, if the key was valid; used for accounting and not sent to the caller.
    pub workspace: Option<Workspace>,
}

impl Refusal {
    /// Creates a refusal of a request that no backend server ran, not even in part.
    pub const fn not_run(reason: Reason) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
            retry_after: None,
            workspace: None,
        }
    }

    /// Creates a refusal of a request that a backend server may have run.
    pub const fn unknown(reason: Reason) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason,
            retry_after: None,
            workspace: None,
        }
    }

    /// Sets the time after which the caller may try again.
    #[must_use]
    pub const fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Sets the workspace under which the refusal is counted.
    #[must_use]
    pub fn workspace(mut self, workspace: Workspace) -> Self {
        self.workspace = Some(workspace);
        self
    }
}

/// JSON body of a refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Body {
    /// Whether the request may have been run.
    pub outcome: Outcome,
    /// Reason why it was refused.
    pub reason: Reason,
    /// Milliseconds after which the caller may try again.
    pub retry_after_ms: Option<u64>,
    /// Addresses of other hosts to try, in order of preference.
    pub alternatives: Vec<String>,
}
