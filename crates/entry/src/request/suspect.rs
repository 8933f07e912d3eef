//! Permission to send a request that may crash servers, and what is learnt from each send.

use crate::{
    process::{state::State, suspects::Run},
    request::{
        attempt::{Ending, Job, Target},
        reply::{Body, End, Observer},
    },
};
use azurenotch_core::{
    process::suspect::{CLAIMED_RETRY_DELAY, Decision},
    request::identity::Identity,
};
use azurenotch_wire::{id::Server, time::Instant};
use slog::{info, warn};
use std::{
    io::ErrorKind,
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::Duration,
};
use tokio::{
    net::TcpStream,
    sync::OnceCell,
    time::{sleep, timeout},
};

/// Timeout of the connection that tells whether a server still runs.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest wait for the outcome of a run at another host.
const MAX_WAIT: Duration = Duration::from_millis(600);
/// Time between two looks at it.
const WAIT_INTERVAL: Duration = Duration::from_millis(25);

/// Check whether a process of a server has ended, shared by all requests that it lost.
///
/// It has the time at which that was found out, or `None` if the process runs.
pub(crate) type Check = Arc<OnceCell<Option<Instant>>>;

/// Request that may crash servers.
#[derive(Debug)]
pub(crate) struct Suspect<'a> {
    state: &'a Arc<State>,
    job: &'a Job,
    /// Workspace of the caller; empty for a public route.
    workspace: &'a str,
    /// Computed when it is needed first; for most requests never.
    identity: OnceLock<Identity>,
}

/// Rejection of a request because of the servers that crashed under it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Rejection {
    /// Time until the request may run.
    pub(crate) wait: Duration,
}

/// Permission to send a request once; dropping it ends the claim that it needed.
#[derive(Debug)]
pub(crate) struct Permit<'a> {
    suspect: &'a Suspect<'a>,
    /// Generations of crashes that were known.
    generation: u8,
    claim: Claim,
    /// When the request was sent.
    began: OnceLock<Instant>,
}

/// Claim of a request that runs alone in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Claim {
    /// The request needs none.
    None,
    /// The other hosts may not know of it yet.
    Settling,
    /// The request may run.
    Held,
}

/// Request in flight to a server; its run is abandoned if it is dropped before its ending is known.
///
/// That is so if the caller leaves, and if the time of the request is over.
#[derive(Debug)]
pub(crate) struct Flight<'a> {
    permit: Permit<'a>,
    target: &'a Target,
    is_ended: bool,
}

/// Run whose answer is passed on while the server sends it.
///
/// It takes over the claim of its permit, since the request runs until the answer has ended. Dropped
/// before, it abandons the run.
#[derive(Debug)]
pub(crate) struct Watch {
    state: Arc<State>,
    run: Arc<Run>,
    target: Target,
    /// End of the time that the server was given.
    until: Instant,
    is_claimed: bool,
    is_ended: bool,
}

impl<'a> Suspect<'a> {
    pub(crate) fn new(state: &'a Arc<State>, job: &'a Job, workspace: &'a str) -> Self {
        Self {
            state,
            job,
            workspace,
            identity: OnceLock::new(),
        }
    }

    /// Returns the identity of the request.
    pub(crate) fn identity(&self) -> Identity {
        let key = &self.state.identity_key;
        *self
            .identity
            .get_or_init(|| self.job.identity(key, self.workspace))
    }

    /// Returns whether the request may not run beside other runs of the same one.
    pub(crate) fn runs_alone(&self) -> bool {
        !self.may_send(self.state.now(), false)
    }

    fn may_send(&self, now: Instant, is_claimed: bool) -> bool {
        let suspects = self.state.suspects.lock();
        suspects.is_empty() || suspects.may_send(now, self.identity(), is_claimed)
    }

    /// Returns the permission for a send that ends within `max_time`.
    ///
    /// Waits if the request runs alone at another host, and until the claim has settled before it runs
    /// alone at this one. `software` returns what would run it; `is_repeat` says whether this host has sent it
    /// before.
    ///
    /// # Errors
    ///
    /// Fails if the request is rejected, or runs at another host for long.
    pub(crate) async fn permit(
        &self,
        software: impl FnOnce() -> Option<u32>,
        max_time: Duration,
        is_repeat: bool,
    ) -> Result<Permit<'_>, Rejection> {
        let state = self.state;
        let mut permit = Permit {
            suspect: self,
            generation: 0,
            claim: Claim::None,
            began: OnceLock::new(),
        };
        if state.suspects.lock().is_empty() {
            return Ok(permit);
        }
        let identity = self.identity();
        let software = software();
        let end = state.now() + MAX_WAIT.min(max_time);
        loop {
            let may_wait = state.now() < end;
            let now = state.now();
            let mut settles = now;
            let decision = {
                let mut suspects = state.suspects.lock();
                let decision = suspects.decide(now, identity, software, is_repeat);
                if decision == Decision::Claim && may_wait {
                    settles = suspects.claim(now, identity, max_time);
                }
                decision
            };
            match decision {
                Decision::Run { generation } => {
                    permit.generation = generation;
                    return Ok(permit);
                }
                Decision::Reject(wait) => {
                    self.log_rejection("rejected", identity, wait);
                    return Err(Rejection { wait });
                }
                Decision::Wait | Decision::Claim if !may_wait => {
                    let wait = CLAIMED_RETRY_DELAY;
                    self.log_rejection("deferred", identity, wait);
                    return Err(Rejection { wait });
                }
                Decision::Wait => sleep(WAIT_INTERVAL).await,
                Decision::Claim => {
                    permit.claim = Claim::Settling;
                    state.gossip_wakeup.notify_one();
                    sleep(settles.since(now)).await;
                    if self.settle(&mut permit, identity) {
                        permit.claim = Claim::Held;
                        return Ok(permit);
                    }
                    permit.claim = Claim::None;
                }
            }
        }
    }

    /// Begins the run that this host has claimed; returns whether it still has the claim.
    fn settle(&self, permit: &mut Permit<'_>, identity: Identity) -> bool {
        let state = self.state;
        let settled = state.suspects.lock().settle(state.now(), identity);
        let Some(generation) = settled else {
            return false;
        };
        permit.generation = generation;
        state.metrics.count_suspect("tried");
        info!(state.log(), "suspects: request runs alone"; "id" => &self.job.id,
            "request" => %identity, "generation" => generation);
        true
    }

    fn log_rejection(&self, event: &'static str, identity: Identity, wait: Duration) {
        let state = self.state;
        let (crashes, generation) = state.suspects.lock().crashes(identity);
        state.metrics.count_suspect(event);
        info!(state.log(), "suspects: request rejected"; "id" => &self.job.id, "request" => %identity,
            "reason" => event, "crashes" => crashes, "generation" => generation,
            "wait-ms" => wait.as_millis() as u64);
    }

    fn run(&self, permit: &Permit<'_>) -> Run {
        Run {
            id: self.job.id.clone(),
            identity: self.identity(),
            generation: permit.generation,
            began: permit.began(),
            is_abandoned: false,
        }
    }
}

impl<'a> Flight<'a> {
    pub(crate) fn new(permit: Permit<'a>, target: &'a Target) -> Self {
        Self {
            permit,
            target,
            is_ended: false,
        }
    }

    /// Returns the permission for the send.
    pub(crate) fn permit(&self) -> &Permit<'a> {
        &self.permit
    }

    /// Learns from the end of the send.
    ///
    /// The check whether the server still runs goes on if the caller leaves.
    pub(crate) async fn observe(&mut self, ending: Option<&Ending>) {
        let suspect = self.permit.suspect;
        // A server that was given up still runs the request.
        self.is_ended = !matches!(ending, None | Some(Ending::Stopped));
        match ending {
            Some(Ending::Answered(response)) => {
                let is_whole = matches!(response.body(), Body::Whole(_));
                if is_whole && !suspect.state.suspects.lock().is_empty() {
                    let run = suspect.run(&self.permit);
                    suspect.state.record_answer(&run, self.target);
                }
            }
            Some(Ending::Lost(_)) => {
                let state = Arc::clone(suspect.state);
                let run = Arc::new(suspect.run(&self.permit));
                let check = check(state, run, self.target.clone());
                // A check that panics is as good as none.
                tokio::spawn(check).await.unwrap_or_default();
            }
            _ => {}
        }
    }

    /// Returns what learns from the end of an answer that is passed on while it is read.
    pub(crate) fn watch(&mut self) -> Watch {
        let suspect = self.permit.suspect;
        Watch {
            state: Arc::clone(suspect.state),
            run: Arc::new(suspect.run(&self.permit)),
            target: self.target.clone(),
            until: suspect.job.deadline,
            is_claimed: self.permit.take_claim(),
            is_ended: false,
        }
    }
}

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        if self.is_ended || self.permit.began.get().is_none() {
            return;
        }
        let suspect = self.permit.suspect;
        let run = suspect.run(&self.permit);
        let is_claimed = self.permit.take_claim();
        let until = suspect.job.deadline;
        suspect.state.abandon(&run, self.target, until, is_claimed);
    }
}

impl Observer for Watch {
    fn end(mut self: Box<Self>, end: End) {
        self.is_ended = true;
        match end {
            End::Whole if self.state.suspects.lock().is_empty() => {}
            End::Whole => self.state.record_answer(&self.run, &self.target),
            End::BrokenOff => {
                let (state, target) = (Arc::clone(&self.state), self.target.clone());
                let service = target.service.as_str();
                state.metrics.count_attempt(service, "broken-off");
                warn!(state.log(), "attempt: answer broken off"; "id" => &self.run.id,
                    "request" => %self.run.identity, "server" => %target.server,
                    "version" => %target.release);
                tokio::spawn(check(state, Arc::clone(&self.run), target));
            }
        }
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        if !self.is_ended {
            self.state
                .abandon(&self.run, &self.target, self.until, self.is_claimed);
        } else if self.is_claimed {
            self.state.release_claim(self.run.identity);
        }
    }
}

impl Permit<'_> {
    /// Returns whether the request may still be sent.
    ///
    /// Other hosts may have told of crashes, or the host was paused and its claim has expired.
    pub(crate) fn may_send(&self, now: Instant) -> bool {
        self.suspect.may_send(now, self.claim == Claim::Held)
    }

    /// Hands on the claim that the send needed; returns whether there is one.
    fn take_claim(&mut self) -> bool {
        std::mem::replace(&mut self.claim, Claim::None) == Claim::Held
    }

    /// Returns when the request was sent.
    fn began(&self) -> Instant {
        self.began.get().copied().unwrap_or_default()
    }

    /// Records that the request is sent to a server.
    pub(crate) fn begin(&self, now: Instant) {
        // A permit is for one send.
        let _ = self.began.set(now);
        let mut suspects = self.suspect.state.suspects.lock();
        if !suspects.is_empty() {
            suspects.begin(now, self.suspect.identity());
        }
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        let state = self.suspect.state;
        match self.claim {
            Claim::None => {}
            // The caller has left: the next one finds the claim settled.
            Claim::Settling => {
                let mut suspects = state.suspects.lock();
                suspects.vacate(state.now(), self.suspect.identity());
            }
            Claim::Held => state.release_claim(self.suspect.identity()),
        }
    }
}

/// Records a crash if the process that lost a request has ended.
///
/// What was sent to a process after it had ended, on a connection that was still open, has not run.
async fn check(state: Arc<State>, run: Arc<Run>, target: Target) {
    let found = find_crash(&state, &target).await;
    if found.is_some_and(|found| run.began <= found) {
        state.record_crash(&run, &target);
    }
}

/// Returns when it was found that the process of a server has ended, unannounced.
pub(crate) async fn find_crash(state: &State, target: &Target) -> Option<Instant> {
    if !is_expected_to_run(state, target) {
        return None;
    }
    let key = check_key(target);
    let check = Arc::clone(state.crash_checks.lock().entry(key.clone()).or_default());
    let find = async || {
        let has_ended = refuses_connections(target.pool.address()).await;
        has_ended.then(|| state.now())
    };
    let found = *check.get_or_init(find).await;
    if found.is_none() {
        // It may end later.
        let mut checks = state.crash_checks.lock();
        if checks.get(&key).is_some_and(|it| Arc::ptr_eq(it, &check)) {
            checks.remove(&key);
        }
    }
    found
}

/// Returns when a check has found that the process of a server has ended; `None` if none has.
pub(crate) fn known_crash(state: &State, target: &Target) -> Option<Instant> {
    let checks = state.crash_checks.lock();
    *checks.get(&check_key(target))?.get()?
}

fn check_key(target: &Target) -> (Server, u64) {
    (target.server.clone(), target.incarnation)
}

/// Returns whether the server is listed with this process, and nobody has stopped it.
pub(crate) fn is_expected_to_run(state: &State, target: &Target) -> bool {
    let fleets = state.fleets.lock();
    fleets.get(&target.service).is_some_and(|fleet| {
        let placement = &fleet.placement;
        let index = placement.find(&target.server);
        let is_running = index.is_some_and(|index| {
            placement.backend(index).incarnation == target.incarnation
                && !placement.is_departing(index)
        });
        is_running && !fleet.is_replaced(&target.release)
    })
}

/// Returns whether nothing listens at the address of a server.
async fn refuses_connections(address: SocketAddr) -> bool {
    match timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}
