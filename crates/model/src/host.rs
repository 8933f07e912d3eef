//! A host with what it knows, which decides with the code of the daemon.

use crate::{
    site::Site,
    variant::{Refusal, Variant},
};
use azurenotch_core::{
    process::{
        retry::{Budget, Limit},
        warmup,
    },
    request::admission::{self, Decision, Estimate},
    version::{
        placement::{Backend, Choice, Load, Placement, Query, Tier},
        spill::{self, Spill},
    },
};
use azurenotch_wire::{
    id::{Host as Name, Region, Server},
    time::Instant,
};
use std::time::Duration;

/// Hash of the one route.
const ROUTE: u32 = 1;
/// Rank of all requests.
const RANK: u32 = 1;
/// Repeated sends per request, of all hosts.
const REPEAT_RATIO: f64 = 0.2;
/// Repeated sends of all hosts that are permitted besides.
const REPEAT_SLACK: f64 = 64.0;
/// Window in which repeated sends are counted.
const REPEAT_WINDOW: Duration = Duration::from_secs(10);
/// Time for which the load of a server is worth telling.
const LOAD_AGE: Duration = Duration::from_millis(700);

/// A request as its host sees it.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// Object that it concerns.
    pub object: Option<u64>,
    /// Backend servers that have had it.
    pub tried: &'a [usize],
    /// Time left until the deadline.
    pub left: Duration,
    /// Random numbers in 0..1, for the spill and for the time to come back.
    pub random: [f64; 2],
}

/// A host.
#[derive(Debug)]
pub struct Host {
    /// Index of its data centre.
    pub centre: usize,
    /// Its name.
    pub name: Name,
    /// Its region.
    pub region: Region,
    /// What it knows of the servers.
    pub placement: Placement,
    /// Demand of its region.
    pub spill: Spill,
    /// Retry budget.
    pub budget: Budget,
    hosts: usize,
    near: Vec<Name>,
}

impl Host {
    /// Creates a host that knows no servers.
    pub fn new(site: &Site, number: usize, centre: usize, names: &[(Name, Region)]) -> Self {
        let (name, region) = names[number].clone();
        let near = names.iter().filter(|(_, other)| *other == region);
        Self {
            centre,
            placement: Placement::new(site.cold_per_s, site.objective),
            spill: Spill::default(),
            budget: Budget::new(Limit {
                ratio: REPEAT_RATIO,
                slack: REPEAT_SLACK,
                window: REPEAT_WINDOW,
            }),
            hosts: names.len(),
            near: near.map(|(name, _)| name.clone()).collect(),
            name,
            region,
        }
    }

    /// Adds a server, or the next start of one.
    pub fn list(&mut self, now: Instant, site: &Site, listing: &Listing) {
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
                region: region.clone(),
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
        let able = region == self.region;
        let hash = listing.server as u64;
        let sponsors = warmup::sender_count(hash, &self.name, &self.near);
        self.placement
            .set_warmup_senders(index, sponsors.filter(|_| able));
    }

    /// Removes a server.
    pub fn unlist(&mut self, server: usize) {
        self.placement.remove(&name(server));
    }

    /// Returns the number of the server at a place.
    pub fn server(&self, choice: &Choice) -> usize {
        number(&self.placement.backend(choice.index).server)
    }

    /// Returns the place for a request; `None` if no server may take it.
    pub fn choose(
        &mut self,
        now: Instant,
        site: &Site,
        variant: &Variant,
        ask: &Ask<'_>,
    ) -> Option<Choice> {
        let object = ask.object.filter(|_| variant.affinity);
        let excluded_regions = if variant.spill && self.leaves(now, object, ask.random[0]) {
            vec![self.region.clone()]
        } else {
            Vec::new()
        };
        let query = Query {
            object,
            route: ROUTE,
            release: None,
            allowed_regions: &[],
            excluded_regions: &excluded_regions,
            excluded_servers: ask.tried,
            objective: site.objective,
            bytes: 0.0,
            repeatable: true,
        };
        self.placement.choose(now, &query)
    }

    fn leaves(&self, now: Instant, object: Option<u64>, random: f64) -> bool {
        let work = self.placement.average_work(ROUTE);
        let slots = self.placement.region_slots(None);
        let share = self.spill.share(now, work, slots, self.near.len());
        object.map_or(random < share, |object| spill::leaves(object, share))
    }

    /// Returns whether a request is sent to its place.
    pub fn admit(
        &self,
        site: &Site,
        variant: &Variant,
        choice: &Choice,
        ask: &Ask<'_>,
    ) -> Decision {
        let late = choice.expected.saturating_sub(site.objective);
        if variant.refusal == Refusal::Nothing {
            return Decision::Send;
        }
        let waits = !choice.wait.is_zero();
        if variant.refusal == Refusal::Late && waits && !late.is_zero() {
            return Decision::Refuse(admission::retry_after(late, ask.random[1]));
        }
        let estimate = Estimate {
            expected: choice.expected,
            wait: choice.wait,
            left: ask.left,
            objective: site.objective,
            rank: RANK,
        };
        admission::decide(&estimate, ask.random[1])
    }

    /// Takes one repeated send out of the budget; returns whether there was one.
    pub fn repeats(&mut self, now: Instant) -> bool {
        self.budget.take_retry(now, self.hosts)
    }

    /// Returns the loads that it tells the others.
    pub fn told(&self, now: Instant) -> Vec<(Server, Load)> {
        let told = self.placement.reported_loads(now, LOAD_AGE);
        told.map(|(server, load)| (server.clone(), load)).collect()
    }
}

/// What the platform says of a server.
#[derive(Debug, Clone, Copy)]
pub struct Listing {
    /// Number of the server.
    pub server: usize,
    /// Index of its data centre.
    pub centre: usize,
    /// Number of its starts.
    pub epoch: u32,
    /// How long it stays cold.
    pub cold: Duration,
    /// Way to the server and back.
    pub rtt: Duration,
}

fn name(server: usize) -> Server {
    server.to_string().as_str().into()
}

fn number(server: &Server) -> usize {
    server.as_str().parse().unwrap_or_default()
}
