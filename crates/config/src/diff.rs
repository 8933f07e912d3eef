//! Differences between two documents.

use crate::document::{Contract, Document, Fleet, Route, Server};
use azurenotch_wire::id::Region;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    time::Duration,
};

/// One field that differs between two documents.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("[{section}{}{name}] {field}: {} -> {}", if name.is_empty() { "" } else { " " }, shown(old.as_deref()), shown(new.as_deref()))]
pub struct Difference {
    /// Kind of the section, for example `workspace`.
    pub section: String,
    /// Name of the section; empty for `[fleet]`.
    pub name: String,
    /// Field of the section.
    pub field: String,
    /// Value in the old document; `None` if the section was not there.
    pub old: Option<String>,
    /// Value in the new document; `None` if the section is no longer there.
    pub new: Option<String>,
}

/// Fields of a section in the notation of the INI text.
type Fields = Vec<(&'static str, String)>;

/// Returns the fields that differ, ordered by section kind, name and field.
pub fn diff(old: &Document, new: &Document) -> Vec<Difference> {
    let mut found = Vec::new();
    let [before, after] = [old, new].map(|document| BTreeMap::from([("", document.fleet.clone())]));
    compare(&mut found, "fleet", &before, &after, fleet);
    compare(
        &mut found,
        "data-centre",
        &old.data_centres,
        &new.data_centres,
        |region| vec![("region", region.to_string())],
    );
    compare(
        &mut found,
        "service",
        &old.services,
        &new.services,
        |release| vec![("version", release.to_string())],
    );
    compare(&mut found, "server", &old.servers, &new.servers, server);
    compare(&mut found, "route", &old.routes, &new.routes, route);
    compare(
        &mut found,
        "workspace",
        &old.workspaces,
        &new.workspaces,
        contract,
    );
    compare(&mut found, "block", &old.blocks, &new.blocks, |regions| {
        vec![("regions", join(regions))]
    });
    found
}

fn compare<K: Ord + fmt::Display, V: PartialEq>(
    found: &mut Vec<Difference>,
    section: &str,
    old: &BTreeMap<K, V>,
    new: &BTreeMap<K, V>,
    fields: impl Fn(&V) -> Fields,
) {
    for name in old.keys().chain(new.keys()).collect::<BTreeSet<_>>() {
        let (before, after) = (old.get(name), new.get(name));
        if before == after {
            continue;
        }
        let old = before.map(&fields).unwrap_or_default();
        let new = after.map(&fields).unwrap_or_default();
        let listed = if old.is_empty() { &new } else { &old };
        for (index, (field, _)) in listed.iter().enumerate() {
            let value = |fields: &Fields| fields.get(index).map(|(_, value)| value.clone());
            let (old, new) = (value(&old), value(&new));
            if old != new {
                found.push(Difference {
                    section: section.to_owned(),
                    name: name.to_string(),
                    field: (*field).to_owned(),
                    old,
                    new,
                });
            }
        }
    }
}

fn fleet(fleet: &Fleet) -> Fields {
    vec![
        ("slots", fleet.slots.to_string()),
        ("look-up-lifetime", duration(fleet.look_up_lifetime)),
    ]
}

fn server(server: &Server) -> Fields {
    vec![
        ("service", server.service.to_string()),
        ("version", server.release.to_string()),
        ("data-centre", server.data_centre.to_string()),
        ("address", server.address.to_string()),
        ("slots", server.slots.to_string()),
        ("connections", server.connections.to_string()),
    ]
}

fn route(route: &Route) -> Fields {
    vec![
        ("service", route.service.to_string()),
        ("prefix", route.prefix.clone()),
        ("methods", route.methods.join(", ")),
        ("access", route.access.to_string()),
        (
            "idempotent",
            if route.idempotent { "yes" } else { "no" }.to_owned(),
        ),
        ("timeout", duration(route.timeout)),
        ("body-limit", route.body_limit.to_string()),
    ]
}

fn contract(contract: &Contract) -> Fields {
    let shares = contract
        .regional_share
        .iter()
        .map(|(region, share)| format!("{region}:{share}"))
        .collect::<Vec<_>>();
    vec![
        ("rate", format!("{}/s", contract.rate)),
        ("burst", contract.burst.to_string()),
        ("concurrency", contract.concurrency.to_string()),
        ("regional-share", shares.join(", ")),
        (
            "version-share-step",
            contract.version_share_step.to_string(),
        ),
        (
            "version-step-interval",
            duration(contract.version_step_interval),
        ),
        ("latency", duration(contract.latency)),
        ("refusals", contract.refusals.to_string()),
        ("isolation-limit", duration(contract.isolation_limit)),
    ]
}

fn join(regions: &[Region]) -> String {
    regions
        .iter()
        .map(Region::as_str)
        .collect::<Vec<_>>()
        .join(", ")
}

/// Returns the shortest exact notation of a duration.
pub fn duration(duration: Duration) -> String {
    let millis = duration.as_millis();
    let units = [("h", 3_600_000), ("m", 60_000), ("s", 1000)];
    match units
        .iter()
        .find(|(_, unit)| millis > 0 && millis.is_multiple_of(*unit))
    {
        Some((name, unit)) => format!("{}{name}", millis / unit),
        None => format!("{millis}ms"),
    }
}

fn shown(value: Option<&str>) -> &str {
    value.unwrap_or("(none)")
}
