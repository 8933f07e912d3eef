//! Forwards a request: sends it to backend servers until one answers or no further send is allowed.

mod progress;

pub(crate) use progress::{Candidate, Outcome};

use crate::{
    connection::pool::{self, Lease},
    platform::Subject,
    process::{
        state::{Pending, State},
        suspects::software,
    },
    request::{
        attempt::{self, Ending, Job, Target},
        check,
        reply::{Body, Reason},
        suspect::{Flight, Permit, Rejection, Suspect},
    },
    version::{
        catalog::Grant,
        fleet::{Fleet, Selection},
    },
};
use azurenotch_core::{
    request::admission::{self, Decision, Estimate},
    version::{
        placement::{Choice, Placement, Query},
        spill,
    },
};
use azurenotch_wire::{
    hash,
    id::{Region, Release, Service},
    time::Instant,
};
use http::{HeaderMap, Response, StatusCode};
use progress::Attempts;
use rand::random;
use slog::warn;
use std::{sync::Arc, time::Duration};

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
    /// Moment at which the time of the request is over, whether or not the host stops before.
    pub(crate) time_limit: Instant,
    pub(crate) job: Job,
}

/// Next step of a request.
enum Next {
    Send(Target),
    /// The server is asked for its speed first.
    Check(Target),
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
            let permit = match self.permit(&suspect, &attempts).await {
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
            let mut next = self.choose_next(&mut attempts);
            let mut lease = None;
            if let Next::Check(target) = next {
                let checked = check::run(self.state, &self.job, &target).await;
                (next, lease) = self.on_check(&mut attempts, target, checked);
            }
            let target = match next {
                Next::Send(target) | Next::Check(target) => target,
                Next::Refuse(reason, wait) => return attempts.refuse(reason, wait),
            };
            attempts.tried.push(target.choice.index);
            let mut flight = Flight::new(permit, &target);
            let sent =
                attempt::send_in_time(self.state, &self.job, &target, flight.permit(), lease);
            let mut ending = sent.await;
            flight.observe(ending.as_ref()).await;
            if let Some(Ending::Answered(response)) = &mut ending
                && let Body::Stream(stream) = response.body_mut()
            {
                stream.observe(flight.watch());
            }
            drop(flight);
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
                self.observe_size(&response);
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

    /// Chooses again if a health check showed that it may pay; returns the connection otherwise.
    fn on_check(
        &self,
        attempts: &mut Attempts,
        target: Target,
        checked: check::Next,
    ) -> (Next, Option<pool::Result<Lease>>) {
        if let check::Next::Send(lease) = checked {
            let mut fleets = self.state.fleets.lock();
            let fleet = fleets.get_mut(&self.service);
            // The server may have been removed meanwhile, and its index have passed to another one.
            let index = Some(target.choice.index);
            if let Some(fleet) = fleet.filter(|it| it.placement.find(&target.server) == index) {
                attempts.selection = None;
                self.begin(self.state.now(), fleet, attempts, &target);
                return (Next::Send(target), lease);
            }
        }
        (self.choose_next(attempts), None)
    }

    /// Chooses the backend server of the next send, or refuses the request.
    fn choose_next(&self, attempts: &mut Attempts) -> Next {
        let now = self.state.now();
        // After a health check, the choice is made again for the same send.
        let selection = attempts.selection.take();
        let is_again = selection.is_some();
        if !is_again && attempts.declined > 0 && attempts.runs == 0 {
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
        let rows = self.state.replica.lock().freshness(Subject::Servers);
        let mut fleets = self.state.fleets.lock();
        let Some(fleet) = fleets.get_mut(&self.service) else {
            return Next::Refuse(Reason::NoServer, retry_after(NO_SERVER_RETRY_DELAY));
        };
        if !is_again && attempts.tried.is_empty() {
            fleet.budget.record_request(now);
            fleet.spill.count(now);
        }
        let selection = match selection {
            Some(selection) => selection,
            None if attempts.running_version_only => fleet.running(),
            None => fleet.select(now),
        };
        let chosen = self.choose(now, fleet, attempts, selection.clone());
        let Some((choice, preferred)) = chosen else {
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
            hit_probability: choice.hit_probability,
            place: choice.place,
            load_age: choice.load_age,
            figure: choice.figure,
            limit: fleet.placement.limit(now, choice.index),
            rows_age: rows.confirmed.map(|at| now.since(at)),
        });
        if let Decision::Refuse(wait) = admission::decide(&estimate, random()) {
            return Next::Refuse(Reason::Overload, wait);
        }
        let Some(pool) = fleet.pool(choice.index) else {
            return Next::Refuse(Reason::NoServer, retry_after(NO_SERVER_RETRY_DELAY));
        };
        let backend = fleet.placement.backend(choice.index);
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
        if !attempts.is_checked && fleet.placement.begin_check(now, &choice) {
            attempts.is_checked = true;
            attempts.selection = Some(selection);
            return Next::Check(target);
        }
        self.begin(now, fleet, attempts, &target);
        Next::Send(target)
    }

    /// Counts a request that is sent to the server chosen last.
    fn begin(&self, now: Instant, fleet: &mut Fleet, attempts: &Attempts, target: &Target) {
        let choice = &target.choice;
        fleet.placement.begin(now, choice, self.object);
        if fleet.placement.limit(now, choice.index).is_some() {
            self.state.metrics.count_limited_send(self.service.as_str());
        }
        // Refused requests move no load between regions, so only requests that are sent count.
        let candidate = attempts.candidate.as_ref();
        let preferred_region = candidate.and_then(|it| it.preferred_region.as_ref());
        if let Some((preferred, sent)) = preferred_region.zip(target.region.as_ref()) {
            self.state.slew.lock().count(now, preferred, sent);
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
    ///
    /// The region's demand, on which the share depends, also decides on the homes of objects.
    fn spilled_regions(
        &self,
        now: Instant,
        fleet: &mut Fleet,
        attempts: &Attempts,
        selection: &Selection,
    ) -> Vec<Region> {
        let route = self.grant.entry.hash;
        let work = fleet.placement.average_work(route);
        let slots = fleet.placement.region_slots(selection.release.as_ref());
        let hosts = self.state.hosts_in_region(now);
        let demand = fleet.spill.demand(now, hosts);
        fleet.placement.set_region_rate(demand);
        let share = spill::share(demand, work, slots);
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

    /// Adds the size of an answer to the average of the service.
    fn observe_size(&self, response: &Response<Body>) {
        let length = http_body::Body::size_hint(response.body()).lower();
        if let Some(fleet) = self.state.fleets.lock().get_mut(&self.service) {
            fleet.observe_bytes(length as usize);
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
