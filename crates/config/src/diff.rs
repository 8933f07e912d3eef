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
#[display("[{section}{}{name}] {field}: {} -> {}", if name.is_empty() { "" } else { " " }, value_or_none(old.as_deref()), value_or_none(new.as_deref()))]
pub struct Difference {
    /// Kind of the section, such as `workspace`.
    pub section: String,
    /// Name of the section; empty for `[fleet]`.
    pub name: String,
    /// Name of the field.
    pub field: String,
    /// Value in the old document; `None` if it does not contain the section.
    pub old: Option<String>,
    /// Value in the new document; `None` if it does not contain the section.
    pub new: Option<String>,
}

/// Names and values of a section's fields, in INI notation.
type Fields = Vec<(&'static str, String)>;

/// Returns the fields that differ, grouped by kind and name of their section.
pub fn diff(old: &Document, new: &Document) -> Vec<Difference> {
    let mut found = Vec::new();
    let [before, after] = [old, new].map(|document| BTreeMap::from([("", document.fleet.clone())]));
    compare(&mut found, "fleet", &before, &after, fleet_fields);
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
    compare(
        &mut found,
        "server",
        &old.servers,
        &new.servers,
        server_fields,
    );
    compare(&mut found, "route", &old.routes, &new.routes, route_fields);
    compare(
        &mut found,
        "workspace",
        &old.workspaces,
        &new.workspaces,
        contract_fields,
    );
    compare(&mut found, "block", &old.blocks, &new.blocks, |regions| {
        vec![("regions", join_names(regions))]
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

fn fleet_fields(fleet: &Fleet) -> Fields {
    vec![
        ("slots", fleet.slots.to_string()),
        ("look-up-lifetime", format_duration(fleet.look_up_lifetime)),
    ]
}

fn server_fields(server: &Server) -> Fields {
    vec![
        ("service", server.service.to_string()),
        ("version", server.release.to_string()),
        ("data-centre", server.data_centre.to_string()),
        ("address", server.address.to_string()),
        ("slots", server.slots.to_string()),
        ("connections", server.connections.to_string()),
    ]
}

fn route_fields(route: &Route) -> Fields {
    vec![
        ("service", route.service.to_string()),
        ("prefix", route.prefix.clone()),
        ("methods", route.methods.join(", ")),
        ("access", route.access.to_string()),
        (
            "idempotent",
            if route.idempotent { "yes" } else { "no" }.to_owned(),
        ),
        ("timeout", format_duration(route.timeout)),
        ("body-limit", route.body_limit.to_string()),
    ]
}

fn contract_fields(contract: &Contract) -> Fields {
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
            format_duration(contract.version_step_interval),
        ),
        ("latency", format_duration(contract.latency)),
        ("refusals", contract.refusals.to_string()),
        ("isolation-limit", format_duration(contract.isolation_limit)),
    ]
}

fn join_names(regions: &[Region]) -> String {
    regions
        .iter()
        .map(Region::as_str)
        .collect::<Vec<_>>()
        .join(", ")
}

/// Formats a duration in INI notation, in the largest unit that gives a whole number.
pub fn format_duration(duration: Duration) -> String {
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

fn value_or_none(value: Option<&str>) -> &str {
    value.unwrap_or("(none)")
}
