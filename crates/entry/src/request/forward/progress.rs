//! What is known of a request between its sends, and its outcome.

use crate::{
    request::reply::{self, Body, Reason},
    version::fleet::Selection,
};
use azurenotch_core::{
    request::admission::Estimate,
    version::placement::{Figure, Place},
};
use azurenotch_wire::id::{DataCentre, Region, Release, Server};
use http::{Response, StatusCode};
use std::{net::SocketAddr, time::Duration};

/// Backend server chosen last, with the estimates behind the choice.
#[derive(Debug)]
pub(crate) struct Candidate {
    pub(crate) server: Server,
    pub(crate) release: Release,
    /// Region of the server; `None` if it is not known.
    pub(crate) region: Option<Region>,
    pub(crate) data_centre: DataCentre,
    /// Address to which the request was sent.
    pub(crate) address: Option<SocketAddr>,
    /// Regions in which the request could run when it was chosen; empty for all.
    pub(crate) allowed_regions: Vec<Region>,
    /// Region preferred without the limit on how fast requests move between regions.
    pub(crate) preferred_region: Option<Region>,
    pub(crate) estimate: Estimate,
    /// Probability that the server has the object in its cache.
    pub(crate) hit_probability: f64,
    /// What that probability was measured by; `None` if the request concerns no object.
    pub(crate) place: Option<Place>,
    /// Age of the load that the server reported last; `None` if it has reported none.
    pub(crate) load_age: Option<Duration>,
    /// Speed that the server told last; `None` if it tells none.
    pub(crate) figure: Option<Figure>,
    /// Requests per second that the server takes from all hosts; `None` without a limit.
    pub(crate) limit: Option<f64>,
    /// Age of the last confirmation of the rows of servers; `None` if there was none.
    pub(crate) rows_age: Option<Duration>,
}

/// Outcome of a request.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) response: Response<Body>,
    /// Reason why the host answered itself; `None` if a backend server answered.
    pub(crate) reason: Option<Reason>,
    /// Whether the request may have run.
    pub(crate) ran: bool,
    /// Number of sends to backend servers.
    pub(crate) sends: usize,
    /// Server chosen last; `None` if none was chosen.
    pub(crate) candidate: Option<Candidate>,
}

/// State of a request between two sends.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    /// Indices of the backend servers that the request was sent to.
    pub(super) tried: Vec<usize>,
    /// Number of sends that may have run the request.
    pub(super) runs: u32,
    /// Number of sends that did not run it.
    pub(super) declined: usize,
    /// Whether only the running version may answer, after another send has failed.
    pub(super) running_version_only: bool,
    /// Failure of a backend server, which is passed on unless a later send succeeds.
    pub(super) failure: Option<Response<Body>>,
    /// Regions in which the request may run as of the last choice; empty if it may run in all.
    pub(super) allowed_regions: Vec<Region>,
    pub(super) candidate: Option<Candidate>,
    /// Whether a health check was made before a send; there is at most one for each request.
    pub(super) is_checked: bool,
    /// Version selected for the send before which a health check is made.
    pub(super) selection: Option<Selection>,
}

impl Attempts {
    /// Returns the answer of a backend server, or 502 if its status would imply a safe retry.
    ///
    /// Callers take 408, 429 and 503 to mean that the request has not run.
    pub(super) fn pass_on(&mut self, response: Response<Body>) -> Outcome {
        let status = response.status();
        let implies_not_run = matches!(
            status,
            StatusCode::REQUEST_TIMEOUT
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::SERVICE_UNAVAILABLE
        );
        let (response, reason) = if implies_not_run {
            let response = reply::from_host(StatusCode::BAD_GATEWAY, None);
            (response, Some(Reason::ServerFailed))
        } else {
            (response, None)
        };
        Outcome {
            response,
            reason,
            ran: true,
            sends: self.tried.len(),
            candidate: self.candidate.take(),
        }
    }

    /// Ends a request that cannot be sent any further.
    ///
    /// The answer carries the retry delay `wait` only if the request has not run.
    pub(super) fn refuse(&mut self, reason: Reason, wait: Duration) -> Outcome {
        if self.runs > 0 {
            return self.give_up(Reason::ServerFailed);
        }
        Outcome {
            response: reply::from_host(StatusCode::SERVICE_UNAVAILABLE, Some(wait)),
            reason: Some(reason),
            ran: false,
            sends: self.tried.len(),
            candidate: self.candidate.take(),
        }
    }

    /// Ends a request that may have run.
    pub(super) fn give_up(&mut self, reason: Reason) -> Outcome {
        if let Some(response) = self.failure.take() {
            return self.pass_on(response);
        }
        let status = match reason {
            Reason::Timeout => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        };
        Outcome {
            response: reply::from_host(status, None),
            reason: Some(reason),
            ran: true,
            sends: self.tried.len(),
            candidate: self.candidate.take(),
        }
    }
}
