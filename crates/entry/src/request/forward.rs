//! Sends a request to backend servers until one answers or nothing more can be done.

use crate::{
    process::state::State,
    request::{
        attempt::{self, Ending, Job, Target},
        reply::{self, Body, Reason},
    },
    version::{
        catalog::Grant,
        fleet::{Fleet, Selection},
    },
};
use azurenotch_core::{
    request::admission::{self, Decision, Estimate},
    version::{
        placement::{Choice, Query},
        spill,
    },
};
use azurenotch_wire::{
    hash,
    id::{Region, Release, Server, Service},
    time::Instant,
};
use http::{HeaderMap, Response, StatusCode};
use rand::random;
use slog::warn;
use std::time::Duration;

/// Time after which a caller comes back when no backend server may take its request.
const NO_SERVER_RETRY: Duration = Duration::from_millis(400);
/// Sends that backend servers may decline besides the attempts of the route.
const DECLINED: usize = 2;

/// A request on its way.
#[derive(Debug)]
pub(crate) struct Flight<'a> {
    pub(crate) state: &'a State,
    pub(crate) grant: &'a Grant,
    pub(crate) homes: Vec<Region>,
    pub(crate) service: Service,
    pub(crate) object: Option<u64>,
    pub(crate) job: Job,
}

/// What the host believed of the place that it chose last.
#[derive(Debug)]
pub(crate) struct Belief {
    pub(crate) server: Server,
    pub(crate) release: Release,
    pub(crate) estimate: Estimate,
    pub(crate) warm: f64,
    /// Age of the load that the server told last.
    pub(crate) told: Option<Duration>,
}

/// What became of a request.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) response: Response<Body>,
    /// Why the host answered itself; `None` if a backend server answered.
    pub(crate) reason: Option<Reason>,
    /// Whether the request may have run.
    pub(crate) ran: bool,
    pub(crate) sends: usize,
    /// Inputs of the last placement; `None` if the request came to none.
    pub(crate) belief: Option<Belief>,
}

/// State of a request between two sends.
#[derive(Debug, Default)]
struct Course {
    tried: Vec<usize>,
    /// Sends that may have run the request.
    runs: u32,
    /// Sends that did not run it.
    declined: usize,
    /// Whether the running version has to answer.
    settled: bool,
    /// Failure of a backend server that is passed on if nothing better comes.
    failure: Option<Response<Body>>,
    belief: Option<Belief>,
}

impl Course {
    /// Passes an answer on, unless its status would say that the request has not run.
    fn pass(&mut self, response: Response<Body>) -> Outcome {
        let status = response.status();
        let promises = matches!(
            status,
            StatusCode::REQUEST_TIMEOUT
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::SERVICE_UNAVAILABLE
        );
        let (response, reason) = if promises {
            let response = reply::own(StatusCode::BAD_GATEWAY, None);
            (response, Some(Reason::ServerFailed))
        } else {
            (response, None)
        };
        Outcome {
            response,
            reason,
            ran: true,
            sends: self.tried.len(),
            belief: self.belief.take(),
        }
    }

    /// Ends a request that goes nowhere else; it is told when to come back if it has not run.
    fn refuse(&mut self, reason: Reason, wait: Duration) -> Outcome {
        if self.runs > 0 {
            return self.give_up(Reason::ServerFailed);
        }
        Outcome {
            response: reply::own(StatusCode::SERVICE_UNAVAILABLE, Some(wait)),
            reason: Some(reason),
            ran: false,
            sends: self.tried.len(),
            belief: self.belief.take(),
        }
    }

    /// Ends a request that may have run.
    fn give_up(&mut self, reason: Reason) -> Outcome {
        if let Some(response) = self.failure.take() {
            return self.pass(response);
        }
        let status = match reason {
            Reason::Timeout => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        };
        Outcome {
            response: reply::own(status, None),
            reason: Some(reason),
            ran: true,
            sends: self.tried.len(),
            belief: self.belief.take(),
        }
    }
}

/// Place for the next send.
enum Next {
    Send(Target),
    Refuse(Reason, Duration),
}

impl Flight<'_> {
    /// Sends the request until it is answered.
    pub(crate) async fn run(&self) -> Outcome {
        let mut course = Course::default();
        loop {
            let target = match self.next(&mut course) {
                Next::Send(target) => target,
                Next::Refuse(reason, wait) => return course.refuse(reason, wait),
            };
            course.tried.push(target.choice.index);
            let ending = attempt::send_until(self.state, &self.job, &target).await;
            if let Some(outcome) = self.take(&mut course, &target, ending) {
                return outcome;
            }
        }
    }

    /// Takes in how a send ended; returns the outcome unless another send follows.
    fn take(
        &self,
        course: &mut Course,
        target: &Target,
        ending: Option<Ending>,
    ) -> Option<Outcome> {
        let name = name(ending.as_ref());
        self.state.metrics.attempt(self.service.as_str(), name);
        let sends = course.tried.len();
        if !matches!(ending, Some(Ending::Answered(_))) {
            warn!(self.state.log(), "attempt: failed"; "id" => &self.job.id,
                "server" => %target.server, "ending" => name, "send" => sends,
                "expected-ms" => target.choice.expected.as_millis() as u64,
                "cause" => cause(ending.as_ref()));
        }
        match ending {
            None => {
                course.runs += 1;
                Some(course.give_up(Reason::Timeout))
            }
            Some(Ending::Answered(response)) => {
                self.observe_size(&response);
                self.answered(course, response)
            }
            Some(Ending::NotRun(_) | Ending::Unsent(_)) => {
                course.declined += 1;
                None
            }
            Some(Ending::Lost(_)) => {
                course.runs += 1;
                course.settled = true;
                let again = self.job.repeatable && self.may_repeat(course);
                (!again).then(|| course.give_up(Reason::ServerFailed))
            }
        }
    }

    /// Takes an answer; one that failed is kept while the request may be repeated.
    fn answered(&self, course: &mut Course, response: Response<Body>) -> Option<Outcome> {
        course.runs += 1;
        let failed = response.status().is_server_error();
        if failed && self.job.repeatable && self.may_repeat(course) {
            course.settled = true;
            course.failure = Some(response);
            return None;
        }
        Some(course.pass(response))
    }

    /// Returns whether attempts, budget and time permit to repeat a request that may have run.
    fn may_repeat(&self, course: &Course) -> bool {
        if course.runs >= self.grant.entry.route.attempts {
            return false;
        }
        let now = self.state.now();
        if now >= self.job.deadline {
            return false;
        }
        self.takes_repeat(now)
    }

    fn takes_repeat(&self, now: Instant) -> bool {
        let hosts = self.state.host_count();
        let mut fleets = self.state.fleets.lock();
        let fleet = fleets.get_mut(&self.service);
        fleet.is_some_and(|fleet| fleet.budget.take_retry(now, hosts))
    }

    /// Chooses the place for the next send, or refuses.
    fn next(&self, course: &mut Course) -> Next {
        let now = self.state.now();
        if course.declined > 0 && course.runs == 0 {
            // A send that was declined reached a server, so the next one is a repeat.
            if course.declined > DECLINED || !self.takes_repeat(now) {
                return Next::Refuse(Reason::Overload, retry_after(Duration::ZERO));
            }
        }
        let hosts = self.state.host_count();
        let mut fleets = self.state.fleets.lock();
        let Some(fleet) = fleets.get_mut(&self.service) else {
            return Next::Refuse(Reason::NoServer, retry_after(NO_SERVER_RETRY));
        };
        if course.tried.is_empty() {
            fleet.budget.record_request(now);
            fleet.spill.count(now);
        }
        let selection = if course.settled {
            fleet.running()
        } else {
            fleet.select(now)
        };
        let Some((choice, wanted)) = self.choose(now, fleet, course, selection) else {
            return Next::Refuse(Reason::NoServer, retry_after(NO_SERVER_RETRY));
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
        course.belief = Some(Belief {
            server: backend.server.clone(),
            release: backend.release.clone(),
            estimate,
            warm: choice.hit_probability,
            told: choice.load_age,
        });
        if let Decision::Refuse(wait) = admission::decide(&estimate, random()) {
            return Next::Refuse(Reason::Overload, wait);
        }
        let Some(pool) = fleet.pool(choice.index) else {
            return Next::Refuse(Reason::NoServer, retry_after(NO_SERVER_RETRY));
        };
        fleet.placement.begin(now, &choice, self.object);
        let backend = fleet.placement.backend(choice.index);
        // Only requests that run count: refused ones do not move.
        let asked = &fleet.placement.backend(wanted).region;
        self.state.slew.lock().count(now, asked, &backend.region);
        let (server, release) = (backend.server.clone(), backend.release.clone());
        let connections = (fleet.connections as usize / hosts.max(1)).max(1);
        let target = Target {
            route: self.grant.entry.name.clone(),
            release,
            service: self.service.clone(),
            server,
            choice,
            pool,
            connections,
        };
        Next::Send(target)
    }

    /// Chooses the server; the running version answers if the selected one has none.
    ///
    /// Returns also the server that it would be if requests could move between regions freely.
    fn choose(
        &self,
        now: Instant,
        fleet: &mut Fleet,
        course: &Course,
        selection: Selection,
    ) -> Option<(Choice, usize)> {
        let running = fleet.running();
        let spilled = self.spilled(now, fleet, &selection);
        let query = Query {
            object: self.object,
            route: self.grant.entry.hash,
            release: selection.release.as_ref(),
            allowed_regions: &self.homes,
            excluded_regions: &spilled,
            excluded_servers: &course.tried,
            objective: self.grant.entry.route.objective,
            bytes: fleet.bytes(),
            repeatable: self.job.repeatable,
        };
        let placement = &mut fleet.placement;
        let chosen = placement.choose(now, &query);
        let (wanted, query) = if let Some(choice) = chosen {
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
        let region = &placement.backend(wanted.index).region;
        let mut choice = wanted;
        if excluded_regions.contains(region) {
            let query = Query {
                excluded_regions: &excluded_regions,
                ..query
            };
            choice = placement.choose(now, &query).unwrap_or(wanted);
        }
        Some((choice, wanted.index))
    }

    /// Returns the own region if the request belongs to the share that leaves it.
    fn spilled(&self, now: Instant, fleet: &Fleet, selection: &Selection) -> Vec<Region> {
        let route = self.grant.entry.hash;
        let work = fleet.placement.average_work(route);
        let slots = fleet.placement.region_slots(selection.release.as_ref());
        let hosts = self.state.hosts_in_region(now);
        let share = fleet.spill.share(now, work, slots, hosts);
        let leaves = match self.object {
            Some(object) => spill::leaves(object, share),
            None => random::<f64>() < share,
        };
        let region = &self.state.own.region;
        let elsewhere = self.homes.is_empty() || self.homes.iter().any(|home| home != region);
        if leaves && elsewhere {
            vec![region.clone()]
        } else {
            Vec::new()
        }
    }

    /// Adds the size of an answer to what is known of the service.
    fn observe_size(&self, response: &Response<Body>) {
        let length = http_body::Body::size_hint(response.body()).lower();
        if let Some(fleet) = self.state.fleets.lock().get_mut(&self.service) {
            fleet.observe_bytes(length as usize);
        }
    }
}

fn retry_after(room: Duration) -> Duration {
    admission::retry_after(room, random())
}

fn name(ending: Option<&Ending>) -> &'static str {
    match ending {
        None => "timeout",
        Some(Ending::Answered(response)) if response.status().is_server_error() => "failed",
        Some(Ending::Answered(_)) => "answered",
        Some(Ending::NotRun(StatusCode::MISDIRECTED_REQUEST)) => "misdirected",
        Some(Ending::NotRun(_)) => "declined",
        Some(Ending::Unsent(_)) => "unreachable",
        Some(Ending::Lost(reason)) => reason,
    }
}

/// Returns why nothing was sent.
fn cause(ending: Option<&Ending>) -> String {
    match ending {
        Some(Ending::Unsent(error)) => error.to_string(),
        _ => String::new(),
    }
}

/// Returns the object of a request as a hash.
pub(crate) fn object(headers: &HeaderMap, name: &http::HeaderName) -> Option<u64> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(hash::name(value))
}
