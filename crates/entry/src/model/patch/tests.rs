use super::Patch;
use crate::model::{Config, Contract, Kind, Limits, Route, ServiceConfig};
use azurenotch_wire::Map;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::Duration;
use test_case::test_case;

fn random_config(random: &mut SmallRng, version: u64) -> Config {
    let homes = |random: &mut SmallRng| {
        let region = ["norte", "centro", "sul"].get(random.random_range(0..5));
        region.map(|it| (*it).into()).into_iter().collect()
    };
    let mut config = Config {
        version,
        routes: Map::default(),
        services: Map::default(),
        limits: Limits {
            header_bytes: random.random_range(1..3),
            body_bytes: 1000,
            header_time: Duration::from_secs(1),
            idle_time: Duration::from_secs(1),
        },
        workspaces: random.random_bool(0.8).then(Default::default),
    };
    for _ in 0..random.random_range(0..5) {
        let name = format!("r-{}", random.random_range(0..4)).as_str().into();
        let route = Route {
            host: "a.example".into(),
            prefix: "/".into(),
            kind: Kind::Once,
            timeout: Duration::from_secs(1),
            objective: Duration::from_secs(1),
            priority: 0,
            parts: vec![("s".into(), random.random_range(1..3))],
            attempts: 1,
            open: false,
            sticky: false,
            homes: homes(random),
        };
        config.routes.insert(name, route);
        let service = ServiceConfig {
            health_path: "/".into(),
            connections: random.random_range(1..3),
            cold_per_s: 1.0,
            cold: Duration::ZERO,
        };
        let name = format!("s-{}", random.random_range(0..4)).as_str().into();
        config.services.insert(name, service);
        let contract = Contract {
            keys: vec![format!("k-{}", random.random_range(0..3))],
            priority: None,
            rate: 1.0,
            burst: 1.0,
            homes: homes(random),
        };
        if let Some(workspaces) = &mut config.workspaces {
            let name = format!("w-{}", random.random_range(0..4)).as_str().into();
            workspaces.insert(name, contract);
        }
    }
    config
}

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
fn a_patch_turns_one_configuration_into_the_other(seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    for _ in 0..500 {
        let former = random_config(&mut random, 1);
        let next = random_config(&mut random, 2);
        let patch = Patch::between(7, &former, &next);
        assert_eq!(patch.apply(&former), next);
        assert_eq!(patch, Patch::between(7, &former.clone(), &next));
    }
}

/// Start of a patch, and what a host has.
struct Case {
    row: u64,
    version: u64,
    follows: bool,
}

#[test_case(Case { row: 7, version: 1, follows: true }; "the earlier configuration")]
#[test_case(Case { row: 7, version: 2, follows: false }; "a later configuration")]
#[test_case(Case { row: 8, version: 1, follows: false }; "a configuration of the same version that was written again")]
fn a_patch_starts_from_one_configuration_only(case: Case) {
    let mut random = SmallRng::seed_from_u64(1);
    let former = random_config(&mut random, 1);
    let next = random_config(&mut random, 2);
    let patch = Patch::between(7, &former, &next);
    assert_eq!(patch.follows(case.row, case.version), case.follows);
}
