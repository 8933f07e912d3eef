//! A configuration, prepared for requests.

use crate::model::{Config, Contract, Limits, Route};
use azurenotch_core::request::path;
use azurenotch_wire::{
    Map,
    hash::hash32,
    id::{Region, Route as RouteName, Service, Workspace},
};
use http::{HeaderMap, header};
use parking_lot::Mutex;
use std::sync::Arc;

/// Result of a step that may refuse a request.
pub type Result<T, E = Denial> = std::result::Result<T, E>;

/// Why a configuration does not allow a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Denial {
    /// No route matches.
    #[display("no-route")]
    NoRoute,
    /// No workspace holds the key.
    #[display("unknown-key")]
    UnknownKey,
    /// The path could be read in two ways.
    #[display("ambiguous-path")]
    Ambiguous,
}

/// A configuration, prepared for requests.
#[derive(Debug)]
pub struct Catalog {
    /// Number of the configuration.
    pub version: u64,
    /// Limits towards callers.
    pub limits: Limits,
    hosts: Map<String, Vec<Arc<Entry>>>,
    keys: Option<Map<String, Arc<Tenant>>>,
}

/// A route, prepared for requests.
#[derive(Debug)]
pub struct Entry {
    /// Name of the route.
    pub name: RouteName,
    /// Hash of the name.
    pub hash: u32,
    /// The route.
    pub route: Route,
    split: Mutex<Split>,
}

/// A workspace, prepared for requests.
#[derive(Debug)]
pub struct Tenant {
    /// Name of the workspace.
    pub name: Workspace,
    /// Its contract.
    pub contract: Contract,
}

/// What a configuration allows a request.
#[derive(Debug, Clone)]
pub struct Grant {
    /// The route.
    pub entry: Arc<Entry>,
    /// The workspace of the key, if there is one.
    pub tenant: Option<Arc<Tenant>>,
}

impl Catalog {
    /// Prepares a configuration.
    pub fn new(config: &Config) -> Self {
        let mut hosts: Map<String, Vec<Arc<Entry>>> = Map::default();
        for (name, route) in &config.routes {
            let entry = Entry {
                name: name.clone(),
                hash: hash32(name.as_str()),
                route: route.clone(),
                split: Mutex::new(Split::new(route.parts.len())),
            };
            hosts
                .entry(route.host.clone())
                .or_default()
                .push(Arc::new(entry));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|entry| std::cmp::Reverse(entry.route.prefix.len()));
        }
        let keys = config.workspaces.as_ref().map(|contracts| {
            let tenants = contracts.iter().flat_map(|(name, contract)| {
                let tenant = Arc::new(Tenant {
                    name: name.clone(),
                    contract: contract.clone(),
                });
                let keys = contract.keys.iter();
                keys.map(move |key| (key.clone(), Arc::clone(&tenant)))
            });
            tenants.collect()
        });
        Self {
            version: config.version,
            limits: config.limits,
            hosts,
            keys,
        }
    }

    /// Finds the route of a request and the workspace of its key.
    ///
    /// # Errors
    ///
    /// Returns why the configuration does not allow the request.
    pub fn grant(
        &self,
        host: &str,
        path: &str,
        headers: &HeaderMap,
        scheme: &str,
    ) -> Result<Grant> {
        if path::is_ambiguous(path) {
            return Err(Denial::Ambiguous);
        }
        let host = host.split(':').next().unwrap_or(host);
        let routes = self
            .hosts
            .get(host)
            .or_else(|| self.hosts.get(&host.to_ascii_lowercase()));
        let entry = routes
            .into_iter()
            .flatten()
            .find(|entry| path.starts_with(&entry.route.prefix))
            .ok_or(Denial::NoRoute)?;
        let tenant = self
            .keys
            .as_ref()
            .and_then(|keys| keys.get(key(headers, scheme)?));
        if self.keys.is_some() && tenant.is_none() && !entry.route.open {
            return Err(Denial::UnknownKey);
        }
        Ok(Grant {
            entry: Arc::clone(entry),
            tenant: tenant.cloned(),
        })
    }
}

impl Entry {
    /// Returns the service that takes the next request, by the weights of the route.
    pub fn next_service(&self) -> &Service {
        let parts = &self.route.parts;
        if parts.len() == 1 {
            return &parts[0].0;
        }
        let index = self.split.lock().next(parts);
        &parts[index].0
    }
}

impl Grant {
    /// Returns the rank of the request; that of the workspace comes first.
    pub fn rank(&self) -> u32 {
        let tenant = self.tenant.as_ref();
        let own = tenant.and_then(|tenant| tenant.contract.priority);
        own.unwrap_or(self.entry.route.priority)
    }

    /// Returns the regions in which the request may run; empty if everywhere.
    ///
    /// `None` means that route and workspace have no region in common.
    pub fn homes(&self) -> Option<Vec<Region>> {
        let route = &self.entry.route.homes;
        let tenant = self.tenant.as_ref().map(|it| it.contract.homes.as_slice());
        let tenant = tenant.unwrap_or_default();
        if route.is_empty() || tenant.is_empty() {
            return Some([route, tenant].concat());
        }
        let both: Vec<_> = route
            .iter()
            .filter(|it| tenant.contains(it))
            .cloned()
            .collect();
        (!both.is_empty()).then_some(both)
    }
}

/// Smooth weighted round robin over the parts of a route.
#[derive(Debug)]
struct Split {
    credit: Vec<i64>,
}

impl Split {
    fn new(parts: usize) -> Self {
        Self {
            credit: vec![0; parts],
        }
    }

    fn next(&mut self, parts: &[(Service, u32)]) -> usize {
        let mut total = 0;
        let mut best = 0;
        for (index, (_, weight)) in parts.iter().enumerate() {
            let weight = i64::from(*weight);
            total += weight;
            self.credit[index] += weight;
            if self.credit[index] > self.credit[best] {
                best = index;
            }
        }
        self.credit[best] -= total;
        best
    }
}

/// Returns the key of a request.
fn key<'a>(headers: &'a HeaderMap, scheme: &str) -> Option<&'a str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (given, key) = value.trim().split_once(' ')?;
    given.eq_ignore_ascii_case(scheme).then(|| key.trim())
}

#[cfg(test)]
mod tests;
