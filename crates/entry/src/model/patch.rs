//! Difference between two configurations.

use super::{Config, Contract, Limits, Route, ServiceConfig};
use azurenotch_wire::{
    Map,
    id::{Route as RouteName, Service, Workspace},
};
use serde::{Deserialize, Serialize};
use std::hash::Hash;

/// Entries of a map that were set or removed, by key.
type Changes<K, V> = Vec<(K, Option<V>)>;

/// How a configuration differs from an earlier one.
///
/// Load pattern: the operator changes one route of many, and hundreds of hosts need the new
/// configuration at the same time. The difference fits into a message where the configuration does not.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Patch {
    /// Version of the store at which the earlier configuration was written.
    ///
    /// It tells the configuration from another one of the same version, which a restored store may get.
    former_row: u64,
    /// Version of the earlier configuration.
    former: u64,
    /// Version of the later configuration.
    pub version: u64,
    routes: Changes<RouteName, Route>,
    services: Changes<Service, ServiceConfig>,
    limits: Limits,
    workspaces: Option<Changes<Workspace, Contract>>,
}

impl Patch {
    /// Returns how `next` differs from `former`, which the store got at the version `former_row`.
    pub fn between(former_row: u64, former: &Config, next: &Config) -> Self {
        let none = Map::default();
        let workspaces = next.workspaces.as_ref();
        Self {
            former_row,
            former: former.version,
            version: next.version,
            routes: changes(&former.routes, &next.routes),
            services: changes(&former.services, &next.services),
            limits: next.limits,
            workspaces: workspaces
                .map(|next| changes(former.workspaces.as_ref().unwrap_or(&none), next)),
        }
    }

    /// Returns whether the patch starts from the configuration that the store got at `row`.
    pub const fn follows(&self, row: u64, version: u64) -> bool {
        self.former_row == row && self.former == version
    }

    /// Returns the later configuration, given the earlier one.
    pub fn apply(&self, former: &Config) -> Config {
        Config {
            version: self.version,
            routes: changed(&former.routes, &self.routes),
            services: changed(&former.services, &self.services),
            limits: self.limits,
            workspaces: self.workspaces.as_ref().map(|changes| {
                let none = Map::default();
                changed(former.workspaces.as_ref().unwrap_or(&none), changes)
            }),
        }
    }
}

/// Returns the entries of `next` that `former` lacks or has with another value, and the removed keys.
fn changes<K, V>(former: &Map<K, V>, next: &Map<K, V>) -> Changes<K, V>
where
    K: Clone + Ord + Hash,
    V: Clone + PartialEq,
{
    let set = next
        .iter()
        .filter(|(key, value)| former.get(*key) != Some(*value));
    let set = set.map(|(key, value)| (key.clone(), Some(value.clone())));
    let removed = former.keys().filter(|key| !next.contains_key(*key));
    let removed = removed.map(|key| (key.clone(), None));
    let mut changes: Changes<K, V> = set.chain(removed).collect();
    // All hosts build the same patch, whatever the order of their maps.
    changes.sort_unstable_by(|(one, _), (other, _)| one.cmp(other));
    changes
}

fn changed<K, V>(former: &Map<K, V>, changes: &Changes<K, V>) -> Map<K, V>
where
    K: Clone + Eq + Hash,
    V: Clone,
{
    let mut next = former.clone();
    for (key, value) in changes {
        match value {
            Some(value) => next.insert(key.clone(), value.clone()),
            None => next.remove(key),
        };
    }
    next
}

#[cfg(test)]
mod tests;
