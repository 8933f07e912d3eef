//! Health check of the chosen backend server before a request is sent there.
//!
//! It uses the connection of the request and never counts as a send: a server that does not answer
//! it in time gets the request all the same.

use crate::{
    connection::pool::{self, Lease},
    process::{probe, state::State},
    request::{
        attempt::{self, Job, Target},
        head,
    },
};
use azurenotch_core::version::placement::{Finding, MAX_CHECK_TIME};
use derive_more::Display;
use http::{HeaderMap, StatusCode};
use http_body_util::{BodyExt, Limited};
use tokio::{select, time::timeout};

/// Largest body of the answer to a health check.
const MAX_BODY_BYTES: usize = 16 * 1024;

/// What follows from a health check.
#[derive(Debug)]
pub(crate) enum Next {
    /// The request goes to the server, on this connection if there is one.
    Send(Option<pool::Result<Lease>>),
    /// The server is slow or full, so that the choice is made again.
    ChooseAgain,
}

/// Result of a health check in metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "kebab-case")]
enum Label {
    /// The server is as fast as usual and has a free slot.
    Good,
    /// The server is in a slow period.
    Slow,
    /// All slots of the server are in use.
    Full,
    /// The server was unreachable.
    Unreachable,
    /// No answer arrived in time.
    Timeout,
    /// The answer was not that of a healthy server, or it had no load.
    Failed,
    /// This host stops.
    Stopped,
}

/// Health check under way; dropping it ends it.
struct Check<'a> {
    state: &'a State,
    target: &'a Target,
}

impl Drop for Check<'_> {
    fn drop(&mut self) {
        if let Some(fleet) = self.state.fleets.lock().get_mut(&self.target.service) {
            let now = self.state.now();
            fleet.placement.end_check(now, self.target.choice.index);
        }
    }
}

/// Makes a health check that [`Placement::begin_check`] has counted.
///
/// [`Placement::begin_check`]: azurenotch_core::version::placement::Placement::begin_check
pub(crate) async fn run(state: &State, job: &Job, target: &Target) -> Next {
    let check = Check { state, target };
    let (label, next) = select! {
        result = check.make(job) => result,
        () = state.cutoff.cancelled() => (Label::Stopped, Next::Send(None)),
    };
    let label = label.to_string();
    state.metrics.count_check(target.service.as_str(), &label);
    next
}

impl Check<'_> {
    async fn make(&self, job: &Job) -> (Label, Next) {
        let lease = match attempt::acquire(self.state, job, self.target).await {
            Ok(lease) => lease,
            Err(error) => return (Label::Unreachable, Next::Send(Some(Err(error)))),
        };
        let Ok(answer) = timeout(MAX_CHECK_TIME, self.exchange(lease)).await else {
            return (Label::Timeout, Next::Send(None));
        };
        let Some((finding, lease)) = answer else {
            return (Label::Failed, Next::Send(None));
        };
        let label = match finding {
            None => Label::Failed,
            Some(Finding::Good) => Label::Good,
            Some(Finding::Slow) => Label::Slow,
            Some(Finding::Full) => Label::Full,
        };
        if matches!(label, Label::Good | Label::Failed) {
            return (label, Next::Send(lease.map(Ok)));
        }
        if let Some(lease) = lease {
            lease.release(self.state.now(), pool::DEFAULT_KEEP_ALIVE);
        }
        (label, Next::ChooseAgain)
    }

    /// Returns what the answer shows, and the connection if it can carry a request.
    ///
    /// The connection closes if there is no answer, or if its body is not read to the end.
    async fn exchange(&self, mut lease: Lease) -> Option<(Option<Finding>, Option<Lease>)> {
        let path = {
            let fleets = self.state.fleets.lock();
            fleets.get(&self.target.service)?.health_path.clone()
        };
        let sent = self.state.now();
        let request = probe::request(&path, lease.pool())?;
        let response = lease.send(request).await.ok()?;
        let (parts, body) = response.into_parts();
        let finding = self.observe(parts.status, &parts.headers, sent);
        let keep_alive = head::keep_alive(&parts.headers, pool::DEFAULT_KEEP_ALIVE);
        let is_read = Limited::new(body, MAX_BODY_BYTES).collect().await.is_ok();
        let is_usable = is_read && keep_alive.is_some() && lease.is_ready().await;
        lease.reused = true;
        Some((finding, is_usable.then_some(lease)))
    }

    /// Records what the server says; returns what it shows, or `None` if it has no load.
    fn observe(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        sent: azurenotch_wire::time::Instant,
    ) -> Option<Finding> {
        let target = self.target;
        let process = target.process();
        if !probe::observe(self.state, process, headers, sent) || status != StatusCode::OK {
            return None;
        }
        attempt::observe_report(self.state, target, headers).then(|| {
            let fleets = self.state.fleets.lock();
            let fleet = fleets.get(&target.service)?;
            let now = self.state.now();
            Some(fleet.placement.finding(now, target.choice.index))
        })?
    }
}
