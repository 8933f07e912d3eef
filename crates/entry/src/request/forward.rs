//! Forwards a request: sends it to backend servers until one answers or no further send is allowed.

use crate::{
    process::{
        state::{Pending, State},
        suspects::software,
    },
    request::{
        attempt::{self, Ending, Job, Target},
        reply::{self, Body, Reason},
        suspect::{Permit, Rejection, Suspect},
    },
    version::{
        catalog::Grant,
        fleet::{Fleet, Selection},
    },
};
use azurenotch_core::{
    request::{
        admission::{self, Decision, Estimate},
        gate::{self, Applicant},
    },
    version::{
        placement::{Choice, Placement, Query},
        spill,
    },
};
use azurenotch_wire::{
    hash,
    id::{DataCentre, Region, Release, Server, Service},
    time::Instant,
};
use http::{HeaderMap, Response, StatusCode};
use rand::random;
use slog::warn;
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Retry delay for callers when no backend server is available.
const NO_SERVER_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Number of sends that did not run a request above which the request is refused.
///
/// These sends do not count as attempts of the route.
const MAX_DECLINED_SENDS: usize = 2;

/// Request to be forwarded, with all that its sends have in common.
#[derive(Debug)]
pub(crate) struct Forwarder<'a> {
    pub(crate) state: &'a Arc<State>,
    pub(crate) grant: &'a Grant,
    pub(crate) service: Service,
    /// Hash of the object that the request is for, used for affinity; `None` without one.
    pub(crate) object: Option<u64>,
    /// When its header was read.
    pub(crate) arrived: Instant,
    /// Time left that the caller named; `None` without one.
    pub(crate) named: Option<Duration>,
    /// Moment at which the time of the request is over, whether or not the host stops before.
    pub(crate) time_limit: Instant,
    pub(crate) job: Job,
}

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
    /// Who sent the request, as far as it matters for admission.
    pub(crate) applicant: Applicant,
    /// Part of the workspace's requests that lies within its share of a full service.
    pub(crate) share: f64,
    /// Probability that the server has the object in its cache.
    pub(crate) hit_probability: f64,
    /// Age of the load that the server reported last; `None` if it has reported none.
    pub(crate) load_age: Option<Duration>,
    /// Requests per second that the server takes from all hosts; `None` without a limit.
    pub(crate) limit: Option<f64>,
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
struct Attempts {
    /// Indices of the backend servers that the request was sent to.
    tried: Vec<usize>,
    /// Who sent the request, as far as it matters for admission.
    applicant: Applicant,
    /// Number of sends that may have run the request.
    runs: u32,
    /// Number of sends that did not run it.
    declined: usize,
    /// Whether only the running version may answer, after another send has failed.
    running_version_only: bool,
    /// Failure of a backend server, which is passed on unless a later send succeeds.
    failure: Option<Response<Body>>,
    /// Regions in which the request may run as of the last choice; empty if it may run in all.
    allowed_regions: Vec<Region>,
    candidate: Option<Candidate>,
}

impl Attempts {
    /// Returns the answer of a backend server, or 502 if its status would imply a safe retry.
    ///
    /// Callers take 408, 429 and 503 to mean that the request has not run.
    fn pass_on(&mut self, response: Response<Body>) -> Outcome {
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
    fn refuse(&mut self, reason: Reason, wait: Duration) -> Outcome {
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
    fn give_up(&mut self, reason: Reason) -> Outcome {
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

/// Next step of a request.
enum Next {
    Send(Target),
    Refuse(Reason, Duration),
}

impl Forwarder<'_> {
    /// Sends the request until it is answered.
    pub(crate) async fn run(&self) -> Outcome {
        let mut attempts = Attempts::default();
        let workspace = self.grant.workspace.as_ref();
        let workspace = workspace.map_or("", |workspace| workspace.name.as_str());
        let suspect = Suspect::new(self.state, &self.job, workspace);
        loop {
            let mut permit = match self.permit(&suspect, &attempts).await {
                Ok(permit) => permit,
                Err(Rejection { wait }) => {
                    let wait = admission::retry_after_pause(wait, random());
                    return attempts.refuse(Reason::Suspect, wait);
                }
            };
            // A repeat has less time left than the first send, and so has a request whose body or
            // permit took long.
            if !self.ends_before_stop() {
                return attempts.refuse(Reason::Leaving, retry_after(Duration::ZERO));
            }
            let target = match self.choose_next(&mut attempts) {
                Next::Send(target) => target,
                Next::Refuse(reason, wait) => return attempts.refuse(reason, wait),
            };
            attempts.tried.push(target.choice.index);
            let sent = attempt::send_in_time(self.state, &self.job, &target, &permit);
            let mut ending = sent.await;
            suspect.observe(&permit, &target, ending.as_ref()).await;
            if let Some(Ending::Answered(response)) = &mut ending
                && let Body::Stream(stream) = response.body_mut()
            {
                stream.observe(suspect.watch(&mut permit, &target));
            }
            drop(permit);
            if let Some(outcome) = self.on_ending(&suspect, &mut attempts, &target, ending) {
                return outcome;
            }
        }
    }

    /// Returns whether a send is likely to be answered before the host stops.
    fn ends_before_stop(&self) -> bool {
        let now = self.state.now();
        let pending = Pending {
            id: &self.job.id,
            route: self.grant.entry.hash,
            arrived: self.arrived,
            left: self.job.end.since(now),
            repeatable: self.job.repeatable,
        };
        self.state.ends_before_stop(now, &pending)
    }

    /// Returns why a request is given up that a server runs.
    fn reason(&self) -> Reason {
        // The time that servers are given on a stopping host ends before the host does.
        if self.state.now() < self.time_limit {
            Reason::Leaving
        } else {
            Reason::Timeout
        }
    }

    /// Returns the permission to send the request, which one that crashes servers does not get.
    async fn permit<'s>(
        &self,
        suspect: &'s Suspect<'_>,
        attempts: &Attempts,
    ) -> Result<Permit<'s>, Rejection> {
        let left = self.job.deadline.since(self.state.now());
        let is_repeat = attempts.runs > 0;
        let permit = suspect.permit(|| self.running_software(), left, is_repeat);
        permit.await
    }

    /// Returns the hash of the service and the version that runs it; `None` if none does.
    fn running_software(&self) -> Option<u32> {
        let fleets = self.state.fleets.lock();
        let release = fleets.get(&self.service)?.running().release?;
        Some(software(&self.service, &release))
    }

    /// Processes the end of a send; returns the outcome unless another send follows.
    fn on_ending(
        &self,
        suspect: &Suspect<'_>,
        attempts: &mut Attempts,
        target: &Target,
        ending: Option<Ending>,
    ) -> Option<Outcome> {
        let label = label(ending.as_ref());
        self.state
            .metrics
            .count_attempt(self.service.as_str(), label);
        let sends = attempts.tried.len();
        if !matches!(ending, Some(Ending::Answered(_))) {
            warn!(self.state.log(), "attempt: failed"; "id" => &self.job.id,
                "request" => %suspect.identity(), "server" => %target.server,
                "version" => %target.release, "ending" => label, "send" => sends,
                "expected-ms" => target.choice.expected.as_millis() as u64,
                "address" => %target.pool.address(),
                "region" => target.region.as_ref().map(Region::as_str),
                "allowed-regions" => regions(&attempts.allowed_regions),
                "cause" => cause(ending.as_ref()));
        }
        match ending {
            None | Some(Ending::Stopped) => {
                attempts.runs += 1;
                Some(attempts.give_up(self.reason()))
            }
            Some(Ending::Answered(response)) => {
                self.observe_answer(&attempts.applicant, &response);
                self.on_answer(attempts, response)
            }
            // The server was not loaded, so that the next send is no retry.
            Some(Ending::Withdrawn) => None,
            Some(Ending::NotRun(_) | Ending::Unsent(_)) => {
                attempts.declined += 1;
                None
            }
            Some(Ending::Lost(_)) => {
                attempts.runs += 1;
                attempts.running_version_only = true;
                let repeats =
                    self.job.repeatable && !suspect.runs_alone() && self.try_repeat(attempts);
                (!repeats).then(|| attempts.give_up(Reason::ServerFailed))
            }
        }
    }

    /// Processes an answer; returns the outcome unless a failed request is repeated.
    fn on_answer(&self, attempts: &mut Attempts, response: Response<Body>) -> Option<Outcome> {
        attempts.runs += 1;
        let failed = response.status().is_server_error();
        if failed && self.job.repeatable && self.try_repeat(attempts) {
            attempts.running_version_only = true;
            attempts.failure = Some(response);
            return None;
        }
        Some(attempts.pass_on(response))
    }

    /// Returns whether a request that may have run is repeated; takes the retry from the budget.
    ///
    /// Requires an attempt left on the route, time before the deadline and room in the budget.
    fn try_repeat(&self, attempts: &Attempts) -> bool {
        if attempts.runs >= self.grant.entry.route.attempts {
            return false;
        }
        let now = self.state.now();
        if now >= self.job.deadline {
            return false;
        }
        self.take_retry(now)
    }

    /// Takes a retry from the budget; returns whether there was one.
    fn take_retry(&self, now: Instant) -> bool {
        let hosts = self.state.host_count();
        let mut fleets = self.state.fleets.lock();
        let fleet = fleets.get_mut(&self.service);
        fleet.is_some_and(|fleet| fleet.budget.take_retry(now, hosts))
    }

    /// Chooses the backend server of the next send, or refuses the request.
    fn choose_next(&self, attempts: &mut Attempts) -> Next {
        let now = self.state.now();
        if attempts.declined > 0 && attempts.runs == 0 {
            // A declined send has already loaded a server, so the next one counts as a retry.
            if attempts.declined > MAX_DECLINED_SENDS || !self.take_retry(now) {
                return Next::Refuse(Reason::Overload, retry_after(Duration::ZERO));
            }
        }
        // They may have changed since the request came or was sent last.
        let Some(allowed_regions) = self.state.allowed_regions(self.grant) else {
            return Next::Refuse(Reason::NoServer, retry_after(NO_SERVER_RETRY_DELAY));
        };
        attempts.allowed_regions = allowed_regions;
        let hosts = self.state.host_count();
        let mut fleets = self.state.fleets.lock();
        let Some(fleet) = fleets.get_mut(&self.service) else {
            return Next::Refuse(Reason::NoServer, retry_after(NO_SERVER_RETRY_DELAY));
        };
        if attempts.tried.is_empty() {
            fleet.budget.record_request(now);
            fleet.spill.count(now);
            attempts.applicant = fleet.gate.classify(now, &self.arrival(), random());
        }
        let selection = if attempts.running_version_only {
            fleet.running()
        } else {
            fleet.select(now)
        };
        let Some((choice, preferred)) = self.choose(now, fleet, attempts, selection) else {
            let query = self.query(fleet, attempts, None);
            return refuse_without_server(now, &fleet.placement, &query);
        };
        let route = &self.grant.entry.route;
        let estimate = Estimate {
            expected: choice.expected,
            wait: choice.wait,
            left: self.job.deadline.since(now),
            objective: route.objective,
            rank: self.grant.rank(),
            allowance: fleet.gate.allowance(now, &attempts.applicant),
        };
        let backend = fleet.placement.backend(choice.index);
        attempts.candidate = Some(Candidate {
            server: backend.server.clone(),
            release: backend.release.clone(),
            region: backend.region.clone(),
            data_centre: backend.data_centre.clone(),
            address: fleet.pool(choice.index).map(|pool| pool.address()),
            allowed_regions: attempts.allowed_regions.clone(),
            preferred_region: fleet.placement.backend(preferred).region.clone(),
            estimate,
            applicant: attempts.applicant,
            share: fleet.gate.shares.part(now, attempts.applicant.workspace),
            hit_probability: choice.hit_probability,
            load_age: choice.load_age,
            limit: fleet.placement.limit(now, choice.index),
        });
        let applicant = attempts.applicant;
        let decision = fleet.gate.decide(now, &applicant, &estimate, random());
        if let Decision::Refuse(wait) = decision {
            self.state.metrics.count_overload(
                self.service.as_str(),
                applicant.standing.name(),
                applicant.caller.name(),
            );
            return Next::Refuse(Reason::Overload, wait);
        }
        let Some(pool) = fleet.pool(choice.index) else {
            return Next::Refuse(Reason::NoServer, retry_after(NO_SERVER_RETRY_DELAY));
        };
        fleet.placement.begin(now, &choice, self.object);
        if fleet.placement.limit(now, choice.index).is_some() {
            self.state.metrics.count_limited_send(self.service.as_str());
        }
        let backend = fleet.placement.backend(choice.index);
        // Refused requests move no load between regions, so only requests that are sent count.
        let preferred_region = fleet.placement.backend(preferred).region.as_ref();
        if let Some((preferred, sent)) = preferred_region.zip(backend.region.as_ref()) {
            self.state.slew.lock().count(now, preferred, sent);
        }
        let (server, release) = (backend.server.clone(), backend.release.clone());
        let incarnation = backend.incarnation;
        let connections = (fleet.connections as usize / hosts.max(1)).max(1);
        let target = Target {
            grant: self.grant.clone(),
            region: backend.region.clone(),
            release,
            service: self.service.clone(),
            server,
            incarnation,
            choice,
            pool,
            connections,
        };
        Next::Send(target)
    }

    /// Returns the request as admission control sees it.
    fn arrival(&self) -> gate::Arrival {
        let workspace = self.grant.workspace.as_ref();
        gate::Arrival {
            route: self.grant.entry.hash,
            workspace: workspace.map(|it| hash::hash32(it.name.as_str())),
            named: self.named,
        }
    }

    /// Chooses the server; falls back to the running version if the selected one has no server.
    ///
    /// Also returns the index of the server preferred without the limit on how fast requests move
    /// between regions.
    fn choose(
        &self,
        now: Instant,
        fleet: &mut Fleet,
        attempts: &Attempts,
        selection: Selection,
    ) -> Option<(Choice, usize)> {
        let running = fleet.running();
        let spilled_regions = self.spilled_regions(now, fleet, attempts, &selection);
        let query = Query {
            excluded_regions: &spilled_regions,
            ..self.query(fleet, attempts, selection.release.as_ref())
        };
        let placement = &mut fleet.placement;
        let chosen = placement.choose(now, &query);
        let (preferred, query) = if let Some(choice) = chosen {
            (choice, query)
        } else {
            let query = Query {
                release: running.release.as_ref(),
                excluded_regions: &[],
                ..query
            };
            (placement.choose(now, &query)?, query)
        };
        let excluded_regions = self.state.slew.lock().excluded_regions(now);
        let region = placement.backend(preferred.index).region.as_ref();
        let mut choice = preferred;
        if region.is_some_and(|region| excluded_regions.contains(region)) {
            let query = Query {
                excluded_regions: &excluded_regions,
                ..query
            };
            choice = placement.choose(now, &query).unwrap_or(preferred);
        }
        Some((choice, preferred.index))
    }

    /// Returns what the request requires of a server of version `release`, or of any.
    fn query<'q>(
        &'q self,
        fleet: &Fleet,
        attempts: &'q Attempts,
        release: Option<&'q Release>,
    ) -> Query<'q> {
        Query {
            object: self.object,
            route: self.grant.entry.hash,
            release,
            allowed_regions: &attempts.allowed_regions,
            excluded_regions: &[],
            excluded_servers: &attempts.tried,
            objective: self.grant.entry.route.objective,
            bytes: fleet.average_bytes(),
            repeatable: self.job.repeatable,
        }
    }

    /// Returns this host's region if the request belongs to the share that spills over, else none.
    fn spilled_regions(
        &self,
        now: Instant,
        fleet: &Fleet,
        attempts: &Attempts,
        selection: &Selection,
    ) -> Vec<Region> {
        let route = self.grant.entry.hash;
        let work = fleet.placement.average_work(route);
        let slots = fleet.placement.region_slots(selection.release.as_ref());
        let hosts = self.state.hosts_in_region(now);
        let share = fleet.spill.share(now, work, slots, hosts);
        let spills = match self.object {
            Some(object) => spill::leaves(object, share),
            None => random::<f64>() < share,
        };
        let region = &self.state.own.region;
        let allowed = &attempts.allowed_regions;
        let elsewhere = allowed.is_empty() || allowed.iter().any(|allowed| allowed != region);
        if spills && elsewhere {
            vec![region.clone()]
        } else {
            Vec::new()
        }
    }

    /// Adds the size of an answer to the average of the service, and the capacity that it frees.
    fn observe_answer(&self, applicant: &Applicant, response: &Response<Body>) {
        let length = http_body::Body::size_hint(response.body()).lower();
        if let Some(fleet) = self.state.fleets.lock().get_mut(&self.service) {
            fleet.observe_bytes(length as usize);
            fleet.gate.on_answer(self.state.now(), applicant);
        }
    }
}

/// Refuses a request that no server can take now, with the time until the first one can.
fn refuse_without_server(now: Instant, placement: &Placement, query: &Query<'_>) -> Next {
    let pause = placement.pause_end(now, query).map(|end| end.since(now));
    let limit = placement.limit_wait(now, query);
    match (pause, limit) {
        (Some(pause), limit) if limit.is_none_or(|limit| pause < limit) => Next::Refuse(
            Reason::Paused,
            admission::retry_after_pause(pause, random()),
        ),
        (_, Some(limit)) => Next::Refuse(Reason::Limited, retry_after(limit)),
        _ => Next::Refuse(Reason::NoServer, retry_after(NO_SERVER_RETRY_DELAY)),
    }
}

/// Returns the retry delay with random jitter.
fn retry_after(until_room: Duration) -> Duration {
    admission::retry_after(until_room, random())
}

/// Returns the name of an ending in logs and metrics; `None` is a timeout.
fn label(ending: Option<&Ending>) -> &'static str {
    match ending {
        None => "timeout",
        Some(Ending::Answered(response)) if response.status().is_server_error() => "failed",
        Some(Ending::Answered(_)) => "answered",
        Some(Ending::NotRun(StatusCode::MISDIRECTED_REQUEST)) => "misdirected",
        Some(Ending::NotRun(_)) => "declined",
        Some(Ending::Unsent(_)) => "unreachable",
        Some(Ending::Withdrawn) => "withdrawn",
        Some(Ending::Lost(reason)) => reason,
        Some(Ending::Stopped) => "stopped",
    }
}

/// Returns the error because of which nothing was sent; empty for other endings.
fn cause(ending: Option<&Ending>) -> String {
    match ending {
        Some(Ending::Unsent(error)) => error.to_string(),
        _ => String::new(),
    }
}

/// Returns the names of regions for logs; empty for all regions.
pub(crate) fn regions(regions: &[Region]) -> String {
    let names: Vec<&str> = regions.iter().map(Region::as_str).collect();
    names.join(",")
}

/// Returns the hash of the object named in a header; `None` without a valid header.
pub(crate) fn object_hash(headers: &HeaderMap, name: &http::HeaderName) -> Option<u64> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(hash::hash64(value))
}
