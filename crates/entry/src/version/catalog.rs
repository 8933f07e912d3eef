//! Indexed form of a configuration, in which requests find their route and workspace.

use crate::model::{Config, Contract, Limits, Route};
use azurenotch_core::request::path;
use azurenotch_wire::{
    Map,
    hash::hash32,
    id::{Region, Route as RouteName, Service, Workspace as WorkspaceName},
};
use http::{HeaderMap, header};
use parking_lot::Mutex;
use std::sync::Arc;

/// Result of a check that may deny a request.
pub type Result<T, E = Denial> = std::result::Result<T, E>;

/// Reason why a configuration does not allow a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Denial {
    /// No route matches the host name and the path.
    #[display("no-route")]
    NoRoute,
    /// The route needs a key, and the request has none that belongs to a workspace.
    #[display("unknown-key")]
    UnknownKey,
    /// Another parser could read the path differently.
    #[display("ambiguous-path")]
    AmbiguousPath,
}

/// Configuration with its routes indexed by host name and its workspaces by key.
#[derive(Debug)]
pub struct Catalog {
    /// Version of the configuration.
    pub version: u64,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    /// Routes by host name, those with the longest prefix first.
    routes_by_host: Map<String, Vec<Arc<Entry>>>,
    workspaces: Map<WorkspaceName, Arc<Workspace>>,
    /// Workspaces by key; `None` if requests carry no keys.
    workspaces_by_key: Option<Map<String, Arc<Workspace>>>,
}

/// Entry of the catalog: a route with the state that divides its requests among services.
#[derive(Debug)]
pub struct Entry {
    /// Name of the route.
    pub name: RouteName,
    /// Hash of the name, by which the placement identifies the route.
    pub hash: u32,
    /// Properties of the route.
    pub route: Route,
    split: Mutex<Split>,
}

/// Workspace whose key a request carries.
#[derive(Debug)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Its contract.
    pub contract: Contract,
}

/// Route and workspace of a request that the configuration allows.
#[derive(Debug, Clone)]
pub struct Grant {
    /// Version of the configuration.
    pub version: u64,
    /// Route that matches the request.
    pub entry: Arc<Entry>,
    /// Workspace of the key; `None` on an open route without a valid key, or if there are no keys.
    pub workspace: Option<Arc<Workspace>>,
}

impl Catalog {
    /// Indexes a configuration.
    pub fn new(config: &Config) -> Self {
        let mut routes_by_host: Map<String, Vec<Arc<Entry>>> = Map::default();
        for (name, route) in &config.routes {
            let entry = Entry {
                name: name.clone(),
                hash: hash32(name.as_str()),
                route: route.clone(),
                split: Mutex::new(Split::new(route.parts.len())),
            };
            routes_by_host
                .entry(route.host.clone())
                .or_default()
                .push(Arc::new(entry));
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|entry| std::cmp::Reverse(entry.route.prefix.len()));
        }
        let contracts = config.workspaces.iter().flatten();
        let workspaces = contracts.map(|(name, contract)| {
            let workspace = Workspace {
                name: name.clone(),
                contract: contract.clone(),
            };
            (name.clone(), Arc::new(workspace))
        });
        let workspaces: Map<_, _> = workspaces.collect();
        let workspaces_by_key = config.workspaces.as_ref().map(|_| {
            let keys = workspaces.values().flat_map(|workspace| {
                let keys = workspace.contract.keys.iter();
                keys.map(|key| (key.clone(), Arc::clone(workspace)))
            });
            keys.collect()
        });
        Self {
            version: config.version,
            limits: config.limits,
            routes_by_host,
            workspaces,
            workspaces_by_key,
        }
    }

    /// Returns the route and the workspace that a grant of an earlier configuration has in this one.
    ///
    /// What was removed since stays as it was.
    pub fn renew(&self, grant: &Grant) -> Grant {
        let routes = self.routes_by_host.get(&grant.entry.route.host);
        let mut routes = routes.into_iter().flatten();
        let entry = routes.find(|entry| entry.name == grant.entry.name);
        let workspace = grant.workspace.as_ref().map(|former| {
            let current = self.workspaces.get(&former.name);
            Arc::clone(current.unwrap_or(former))
        });
        Grant {
            version: self.version,
            entry: Arc::clone(entry.unwrap_or(&grant.entry)),
            workspace,
        }
    }

    /// Returns the route of a request and the workspace of its key.
    ///
    /// The port of `host` and the case of its letters do not matter. `scheme` is the scheme of the
    /// `Authorization` header that carries keys.
    ///
    /// # Errors
    ///
    /// Fails if the configuration does not allow the request.
    pub fn grant(
        &self,
        host: &str,
        path: &str,
        headers: &HeaderMap,
        scheme: &str,
    ) -> Result<Grant> {
        if path::is_ambiguous(path) {
            return Err(Denial::AmbiguousPath);
        }
        let host = host.split(':').next().unwrap_or(host);
        let routes = self
            .routes_by_host
            .get(host)
            .or_else(|| self.routes_by_host.get(&host.to_ascii_lowercase()));
        let entry = routes
            .into_iter()
            .flatten()
            .find(|entry| path.starts_with(&entry.route.prefix))
            .ok_or(Denial::NoRoute)?;
        let workspace = self
            .workspaces_by_key
            .as_ref()
            .and_then(|workspaces| workspaces.get(request_key(headers, scheme)?));
        if self.workspaces_by_key.is_some() && workspace.is_none() && !entry.route.open {
            return Err(Denial::UnknownKey);
        }
        Ok(Grant {
            version: self.version,
            entry: Arc::clone(entry),
            workspace: workspace.cloned(),
        })
    }
}

impl Entry {
    /// Returns the service of the next request, by weighted round robin over the route's services.
    pub fn next_service(&self) -> &Service {
        let parts = &self.route.parts;
        if parts.len() == 1 {
            return &parts[0].0;
        }
        let index = self.split.lock().next_index(parts);
        &parts[index].0
    }
}

impl Grant {
    /// Returns the rank of the request: the priority of its workspace, if any, else of its route.
    pub fn rank(&self) -> u32 {
        let workspace = self.workspace.as_ref();
        let workspace_rank = workspace.and_then(|workspace| workspace.contract.priority);
        workspace_rank.unwrap_or(self.entry.route.priority)
    }

    /// Returns the regions in which the request may run; empty if it may run in all.
    ///
    /// `None` if both the route and the workspace name regions and have none in common.
    pub fn allowed_regions(&self) -> Option<Vec<Region>> {
        let contract = self.workspace.as_ref().map(|it| &it.contract);
        self.entry.route.allowed_regions(contract)
    }
}

/// Smooth weighted round robin over the services of a route.
#[derive(Debug)]
struct Split {
    /// Credit of each service; the one with the highest gets the next request.
    credits: Vec<i64>,
}

impl Split {
    fn new(services: usize) -> Self {
        Self {
            credits: vec![0; services],
        }
    }

    fn next_index(&mut self, parts: &[(Service, u32)]) -> usize {
        let mut total_weight = 0;
        let mut best = 0;
        for (index, (_, weight)) in parts.iter().enumerate() {
            let weight = i64::from(*weight);
            total_weight += weight;
            self.credits[index] += weight;
            if self.credits[index] > self.credits[best] {
                best = index;
            }
        }
        self.credits[best] -= total_weight;
        best
    }
}

/// Returns the key in the `Authorization` header of a request, if its scheme is `scheme`.
fn request_key<'a>(headers: &'a HeaderMap, scheme: &str) -> Option<&'a str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (given_scheme, key) = value.trim().split_once(' ')?;
    given_scheme
        .eq_ignore_ascii_case(scheme)
        .then(|| key.trim())
}

#[cfg(test)]
mod tests;
