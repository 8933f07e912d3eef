//! Simulated hosts, which decide with the code of the daemon.

use crate::{
    site::Site,
    variant::{Refusal, Variant},
};
use azurenotch_core::{
    process::{
        retry::{Budget, Limit},
        senders::Place,
        warmup,
    },
    request::admission::{self, Decision, Estimate},
    version::{
        limit::{Statement, max_senders},
        placement::{Backend, Choice, Load, Placement, Query, Tier},
        spill::{self, Spill},
    },
};
use azurenotch_wire::{
    hash::{hash32, hash64},
    id::{Host as Name, Region, Server},
    time::Instant,
};
use std::time::Duration;

/// Time for which a host tells the others what it heard about a limit.
const MAX_NEWS_AGE: Duration = Duration::from_secs(3);
/// Hash of the only route.
const ROUTE_HASH: u32 = 1;
/// Admission rank of all requests.
const REQUEST_RANK: u32 = 1;
/// Retries that all hosts together may make per request.
const RETRY_RATIO: f64 = 0.2;
/// Additional retries that all hosts together may make, whatever the number of requests.
const RETRY_SLACK: f64 = 64.0;
/// Window in which requests and retries are counted.
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Age up to which the load of a server is reported to other hosts.
const MAX_LOAD_AGE: Duration = Duration::from_millis(700);

/// One attempt of a request, as its host decides on it.
#[derive(Debug, Clone, Copy)]
pub struct Attempt<'a> {
    /// Requested object; `None` if the request has none.
    pub object: Option<u64>,
    /// Placement indices of the backend servers to which this attempt has been sent already.
    pub tried: &'a [usize],
    /// Time left until the deadline.
    pub left: Duration,
    /// Random numbers in 0..1, for the spill-over and for the retry delay.
    pub random: [f64; 2],
}

/// Simulated host.
#[derive(Debug)]
pub struct Host {
    /// Index of its data centre.
    pub centre: usize,
    /// Name of the host.
    pub name: Name,
    /// Region of its data centre.
    pub region: Region,
    /// Backend servers and their observed loads.
    pub placement: Placement,
    /// Demand of its region, for the spill-over to other regions.
    pub spill: Spill,
    /// Retry budget, shared by all hosts.
    pub budget: Budget,
    hosts: usize,
    /// Hash of the name.
    hash: u64,
    /// Hashes of the names of all hosts of its region.
    region_hosts: Vec<u64>,
}

impl Host {
    /// Creates a host without backend servers.
    pub fn new(site: &Site, number: usize, centre: usize, names: &[(Name, Region)]) -> Self {
        let (name, region) = names[number].clone();
        let region_hosts = names.iter().filter(|(_, other)| *other == region);
        let mut placement = Placement::new(site.cold_per_s, site.objective);
        let hash = hash64(name.as_str());
        placement.set_host(hash);
        Self {
            centre,
            placement,
            spill: Spill::default(),
            budget: Budget::new(Limit {
                ratio: RETRY_RATIO,
                slack: RETRY_SLACK,
                window: RETRY_WINDOW,
            }),
            hosts: names.len(),
            hash,
            region_hosts: region_hosts
                .map(|(name, _)| hash64(name.as_str()))
                .collect(),
            name,
            region,
        }
    }

    /// Adds a server, or updates it after a restart.
    pub fn add_server(&mut self, now: Instant, site: &Site, listing: &Listing) {
        let centre = &site.centres[listing.centre];
        let region = Region::from(centre.region);
        let tier = if listing.centre == self.centre {
            Tier::Local
        } else if region == self.region {
            Tier::Region
        } else {
            Tier::Remote
        };
        let server = name(listing.server);
        self.placement.insert(
            now,
            &Backend {
                server: server.clone(),
                incarnation: u64::from(listing.epoch),
                release: "v1".into(),
                data_centre: listing.centre.to_string().as_str().into(),
                region: Some(region.clone()),
                tier,
                slots: site.slots,
                draining: false,
                cold: listing.cold,
            },
        );
        let Some(index) = self.placement.find(&server) else {
            return;
        };
        self.placement.observe_rtt(index, listing.rtt);
        let in_region = region == self.region;
        let hash = listing.server as u64;
        let place = Place::new(hash, self.hash, &self.region_hosts, warmup::MAX_SENDERS);
        let senders = place.filter(|_| in_region).map(|it| it.senders);
        self.placement.set_warmup_senders(index, senders);
    }

    /// Removes a server from the placement.
    pub fn remove_server(&mut self, server: usize) {
        self.placement.remove(&name(server));
    }

    /// Returns the number of the chosen server.
    pub fn server(&self, choice: &Choice) -> usize {
        number(&self.placement.backend(choice.index).server)
    }

    /// Chooses the server for an attempt; `None` if no server is eligible.
    pub fn choose(
        &mut self,
        now: Instant,
        site: &Site,
        variant: &Variant,
        attempt: &Attempt<'_>,
    ) -> Option<Choice> {
        let object = attempt.object.filter(|_| variant.affinity);
        if variant.homes {
            let rate = self.spill.demand(now, self.region_hosts.len());
            self.placement.set_region_rate(rate);
        }
        let excluded_regions =
            if variant.spill && self.leaves_region(now, object, attempt.random[0]) {
                vec![self.region.clone()]
            } else {
                Vec::new()
            };
        let query = Query {
            object,
            route: ROUTE_HASH,
            release: None,
            allowed_regions: &[],
            excluded_regions: &excluded_regions,
            excluded_servers: attempt.tried,
            objective: site.objective,
            bytes: 0.0,
            repeatable: true,
        };
        self.placement.choose(now, &query)
    }

    fn leaves_region(&self, now: Instant, object: Option<u64>, random: f64) -> bool {
        let work = self.placement.average_work(ROUTE_HASH);
        let slots = self.placement.region_slots(None);
        let share = self.spill.share(now, work, slots, self.region_hosts.len());
        object.map_or(random < share, |object| spill::leaves(object, share))
    }

    /// Decides whether an attempt is sent to the chosen server or refused.
    pub fn admit(
        &self,
        site: &Site,
        variant: &Variant,
        choice: &Choice,
        attempt: &Attempt<'_>,
    ) -> Decision {
        let late = choice.expected.saturating_sub(site.objective);
        if variant.refusal == Refusal::Nothing {
            return Decision::Send;
        }
        let waits = !choice.wait.is_zero();
        if variant.refusal == Refusal::Late && waits && !late.is_zero() {
            return Decision::Refuse(admission::retry_after(late, attempt.random[1]));
        }
        let estimate = Estimate {
            expected: choice.expected,
            wait: choice.wait,
            left: attempt.left,
            objective: site.objective,
            rank: REQUEST_RANK,
        };
        admission::decide(&estimate, attempt.random[1])
    }

    /// Takes one retry from the budget; returns whether one was left.
    pub fn take_retry(&mut self, now: Instant) -> bool {
        self.budget.take_retry(now, self.hosts)
    }

    /// Takes in what a server said about its limit in an answer to this host.
    pub fn hear_limit(&mut self, now: Instant, index: usize, statement: Statement) {
        self.placement.hear_limit(now, index, statement);
        self.update_place(now, index);
    }

    /// Returns what this host heard about limits, for the other hosts.
    pub fn limit_news(&self, now: Instant) -> Vec<(Server, u64, Statement)> {
        let news = self.placement.limit_news(now, MAX_NEWS_AGE);
        news.map(|(backend, statement)| (backend.server.clone(), backend.incarnation, statement))
            .collect()
    }

    /// Takes in what another host heard about the limit of a server.
    pub fn receive_limit(&mut self, now: Instant, news: &(Server, u64, Statement)) {
        let (server, incarnation, statement) = news;
        let hash = hash32(server.as_str());
        self.placement
            .receive_limit(now, hash, *incarnation, *statement);
        if let Some(index) = self.placement.find(server) {
            self.update_place(now, index);
        }
    }

    fn update_place(&mut self, now: Instant, index: usize) {
        let Some(limit) = self.placement.limit(now, index) else {
            return;
        };
        let backend = self.placement.backend(index);
        let in_region = backend.region.as_ref() == Some(&self.region);
        let id = hash64(backend.server.as_str());
        let place = Place::new(id, self.hash, &self.region_hosts, max_senders(limit));
        self.placement
            .set_limit_place(now, index, place.filter(|_| in_region));
    }

    /// Returns the recent server loads that the host reports to other hosts.
    pub fn reported_loads(&self, now: Instant) -> Vec<(Server, Load)> {
        let reported_loads = self.placement.reported_loads(now, MAX_LOAD_AGE);
        reported_loads
            .map(|(server, load)| (server.clone(), load))
            .collect()
    }
}

/// Entry of a server in the list of the platform.
#[derive(Debug, Clone, Copy)]
pub struct Listing {
    /// Number of the server.
    pub server: usize,
    /// Index of its data centre.
    pub centre: usize,
    /// Number of times that the server has stopped, which identifies its current start.
    pub epoch: u32,
    /// Time for which the server remains cold.
    pub cold: Duration,
    /// Round-trip time between the host and the server.
    pub rtt: Duration,
}

fn name(server: usize) -> Server {
    server.to_string().as_str().into()
}

fn number(server: &Server) -> usize {
    server.as_str().parse().unwrap_or_default()
}
