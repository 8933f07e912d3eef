//! Rounds until every host of a data centre has a new version.

use super::{
    measure::Sample,
    report::{Report, number},
    synthetic::{DATA_CENTRES, heartbeat, host, list},
};
use azurenotch_core::process::membership::Membership;
use azurenotch_wire::time::Instant;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::Duration;

/// Hosts of a data centre: 3,100 in 24, rounded up.
const HOSTS: usize = 130;
/// Trials with different orders of probes.
const TRIALS: u64 = 40;
/// Seconds that the fleet runs before the change.
const WARM_UP_ROUNDS: usize = 5;

/// Runs the probes of one data centre and counts the rounds from the relay to the last host.
pub fn run(report: &mut Report) {
    report.heading("Spread of a version within a data centre");
    for (loss, name) in [(0.0, "gossip.rounds"), (0.1, "gossip.rounds.loss")] {
        let rounds = (0..TRIALS)
            .map(|trial| spread(report.seed.wrapping_mul(1_000) + trial, loss))
            .collect::<Vec<_>>();
        let worst = rounds.iter().copied().max().unwrap_or_default();
        let sample = Sample::of(rounds.iter().map(|rounds| f64::from(*rounds)).collect());
        report.keep(name, f64::from(worst));
        report.line(&format!(
            "- {HOSTS} hosts that probe with `Membership::probes`, {TRIALS} trials, {} % of the \
             exchanges lost: median {} rounds, worst {worst}.",
            loss * 100.0,
            number(sample.median)
        ));
    }
}

/// Returns the number of rounds until a version of one host has reached all hosts.
fn spread(seed: u64, loss: f64) -> u32 {
    // One host of each other data centre represents all of its hosts, which are probed in turn.
    let listed = list(HOSTS * DATA_CENTRES)
        .into_iter()
        .enumerate()
        .filter(|(index, _)| index % DATA_CENTRES == 0 || *index < DATA_CENTRES)
        .collect::<Vec<_>>();
    let indices = listed.iter().map(|(index, _)| *index).collect::<Vec<_>>();
    let listed = listed
        .into_iter()
        .map(|(_, entry)| entry)
        .collect::<Vec<_>>();
    let mut hosts = indices
        .iter()
        .filter(|index| *index % DATA_CENTRES == 0)
        .map(|index| {
            let entry = &listed[indices.iter().position(|it| it == index).unwrap_or(0)];
            let mut membership = Membership::new(host(*index), entry.data_centre.clone());
            membership.on_roster(Instant::ZERO, &listed);
            (*index, membership, false)
        })
        .collect::<Vec<_>>();
    let mut random = SmallRng::seed_from_u64(seed);
    let mut now = Instant::ZERO;
    let mut rounds = 0;
    let first = random.random_range(0..hosts.len());
    for round in 0.. {
        now = now + Duration::from_secs(1);
        if round == WARM_UP_ROUNDS {
            hosts[first].2 = true;
        }
        let mut exchanges = Vec::new();
        for (index, (own, membership, _)) in hosts.iter_mut().enumerate() {
            membership.tick(now);
            for name in membership.probes(now, seed ^ (*own as u64) << 20) {
                let Some(other) = indices.iter().find(|index| host(**index) == name) else {
                    continue;
                };
                membership.on_heartbeat(now, &heartbeat(*other, 0));
                if other % DATA_CENTRES == 0 && !random.random_bool(loss) {
                    exchanges.push((index, other / DATA_CENTRES));
                }
            }
        }
        if round < WARM_UP_ROUNDS {
            continue;
        }
        rounds += 1;
        // A host passes on only what it held before the round: the fetch follows the heartbeat.
        let held = hosts.iter().map(|host| host.2).collect::<Vec<_>>();
        for (a, b) in exchanges {
            hosts[a].2 |= held[b];
            hosts[b].2 |= held[a];
        }
        if hosts.iter().all(|host| host.2) {
            break;
        }
    }
    rounds
}
