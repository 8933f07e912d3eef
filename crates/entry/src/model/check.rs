//! Finds entries of a configuration that have no effect, and values that contradict each other.
//!
//! Hosts adopt such a configuration all the same: what is found is a hint for whoever writes it.

use super::{Config, Contract, Route};
use azurenotch_core::request::path;
use azurenotch_wire::{
    Map,
    id::{Route as RouteName, Service, Workspace},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Entry of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// A route.
    Route(RouteName),
    /// A service.
    Service(Service),
    /// A workspace.
    Workspace(Workspace),
    /// The limits on callers' requests and connections.
    Limits,
}

/// Value of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Field {
    /// Host name of a route.
    Host,
    /// Path prefix of a route.
    Prefix,
    /// Longest time for an answer of a route.
    Timeout,
    /// Latency objective of a route.
    Objective,
    /// Services of a route with their weights.
    Parts,
    /// Regions of a route or a workspace.
    Homes,
    /// Keys of a workspace.
    Keys,
    /// Requests at once of a workspace.
    Burst,
    /// Longest time for a header.
    HeaderTime,
    /// The entry as a whole.
    Entry,
}

/// Reason why an entry has no effect, or not the one that it seems to have.
#[derive(Debug, Clone, PartialEq, derive_more::Display)]
pub enum Problem {
    /// Another route has the same host name and prefix.
    #[display("route {_0} has the same host name and prefix, so that one of them gets nothing")]
    Shadowed(RouteName),
    /// No path can begin like this.
    #[display("no path that is accepted begins like this")]
    NoPath,
    /// Host names are compared without a port.
    #[display("no host name is like this; ports are not compared")]
    NoHostName,
    /// The service is not defined.
    #[display("service {_0} is not defined")]
    UnknownService(Service),
    /// No service of the route has a weight.
    #[display("no service has a weight, so that all requests go to the first one")]
    NoWeight,
    /// All requests are rejected.
    #[display("all requests are rejected")]
    AllRejected,
    /// No answer can be in time and miss the objective.
    #[display("it is longer than the time for an answer, {_0:?}")]
    BeyondTimeout(Duration),
    /// No workspace may use the route in its regions.
    #[display("no workspace may use these regions")]
    NoCommonRegion,
    /// Another workspace has the same key.
    #[display("workspace {_0} has the same key, so that requests count for one of them")]
    SharedKey(Workspace),
    /// No request can have a key of the workspace.
    #[display("no request belongs to the workspace")]
    NoKey,
    /// No route leads to the service.
    #[display("no route leads to it")]
    Unused,
    /// Without a rate there is no limit.
    #[display("there is no limit without a rate")]
    NoRate,
}

/// What was found about an entry.
#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    /// The entry.
    pub subject: Subject,
    /// Its value.
    pub field: Field,
    /// Why it has no effect.
    pub problem: Problem,
}

impl Config {
    /// Returns what is found about the entries, in their order.
    pub fn check(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        let mut find = |subject: &Subject, field, problem| {
            findings.push(Finding {
                subject: subject.clone(),
                field,
                problem,
            });
        };
        let routes: BTreeMap<_, _> = self.routes.iter().collect();
        let mut prefixes: Map<(&str, &str), &RouteName> = Map::default();
        for (name, route) in &routes {
            let subject = Subject::Route((*name).clone());
            for (field, problem) in self.check_route(route) {
                find(&subject, field, problem);
            }
            let place = (route.host.as_str(), route.prefix.as_str());
            if let Some(other) = prefixes.insert(place, name) {
                find(&subject, Field::Prefix, Problem::Shadowed(other.clone()));
            }
        }
        let services: BTreeSet<_> = self.services.keys().collect();
        for name in services {
            let subject = Subject::Service(name.clone());
            if !routes.values().any(|route| route.leads_to(name)) {
                find(&subject, Field::Entry, Problem::Unused);
            }
        }
        let workspaces: BTreeMap<_, _> = self.workspaces.iter().flatten().collect();
        let mut keys: Map<&str, &Workspace> = Map::default();
        for (name, contract) in workspaces {
            let subject = Subject::Workspace(name.clone());
            for (field, problem) in check_contract(contract) {
                find(&subject, field, problem);
            }
            for key in &contract.keys {
                if let Some(other) = keys.insert(key, name) {
                    find(&subject, Field::Keys, Problem::SharedKey(other.clone()));
                }
            }
        }
        if self.limits.header_time.is_zero() {
            find(&Subject::Limits, Field::HeaderTime, Problem::AllRejected);
        }
        findings
    }

    fn check_route(&self, route: &Route) -> Vec<(Field, Problem)> {
        let mut found = Vec::new();
        if route.host.is_empty() || route.host.contains([':', '/']) {
            found.push((Field::Host, Problem::NoHostName));
        }
        if !route.prefix.starts_with('/') || path::is_ambiguous(&route.prefix) {
            found.push((Field::Prefix, Problem::NoPath));
        }
        if route.timeout.is_zero() {
            found.push((Field::Timeout, Problem::AllRejected));
        } else if route.objective > route.timeout {
            let problem = Problem::BeyondTimeout(route.timeout);
            found.push((Field::Objective, problem));
        }
        if route.parts.len() > 1 && route.parts.iter().all(|(_, weight)| *weight == 0) {
            found.push((Field::Parts, Problem::NoWeight));
        }
        for (service, _) in &route.parts {
            if !self.services.contains_key(service) {
                let problem = Problem::UnknownService(service.clone());
                found.push((Field::Parts, problem));
            }
        }
        if !route.open && !self.has_common_region(route) {
            found.push((Field::Homes, Problem::NoCommonRegion));
        }
        found
    }

    /// Returns whether the requests of some workspace may run in a region of a route.
    fn has_common_region(&self, route: &Route) -> bool {
        let Some(workspaces) = &self.workspaces else {
            return true;
        };
        let mut contracts = workspaces.values();
        workspaces.is_empty() || contracts.any(|it| route.allowed_regions(Some(it)).is_some())
    }
}

impl Route {
    /// Returns whether requests of the route go to a service.
    fn leads_to(&self, service: &Service) -> bool {
        let is_only = self.parts.len() == 1;
        let mut parts = self.parts.iter();
        parts.any(|(part, weight)| part == service && (*weight > 0 || is_only))
    }
}

fn check_contract(contract: &Contract) -> Vec<(Field, Problem)> {
    let mut found = Vec::new();
    if contract.keys.is_empty() {
        found.push((Field::Keys, Problem::NoKey));
    }
    if contract.rate > 0.0 && contract.burst < 1.0 {
        found.push((Field::Burst, Problem::AllRejected));
    }
    if contract.rate <= 0.0 && contract.burst > 0.0 {
        found.push((Field::Burst, Problem::NoRate));
    }
    found
}
