//! Guards against hosts that disagree on the collectors, and collectors that fail together.

use crate::process::{
    election::Path,
    usage::order::{Candidate, collectors},
};
use azurenotch_wire::{
    hash,
    id::{Host, Region},
};
use test_case::test_case;

/// What differs from a fleet of twelve hosts in four regions that all may collect.
struct Case {
    holder: Option<usize>,
    leaving: &'static [usize],
    lost: &'static [usize],
    regions: usize,
    /// Number of regions that the collectors are in.
    expected: usize,
}

const HOSTS: usize = 12;

#[test_case(Case { holder: None, leaving: &[], lost: &[], regions: 4, expected: 3 }; "calm")]
#[test_case(Case { holder: Some(5), leaving: &[], lost: &[], regions: 4, expected: 3 }; "a holder")]
#[test_case(Case { holder: Some(5), leaving: &[5], lost: &[0, 1], regions: 4, expected: 3 }; "the holder leaves")]
#[test_case(Case { holder: Some(5), leaving: &[], lost: &[5], regions: 2, expected: 2 }; "two regions")]
#[test_case(Case { holder: Some(0), leaving: &[1, 2, 3, 4, 5, 6, 7, 8, 9, 10], lost: &[], regions: 4, expected: 2 }; "two hosts")]
fn all_hosts_choose_the_same_collectors(case: Case) {
    let hosts: Vec<Host> = (0..HOSTS)
        .map(|i| Host::from(format!("host-{i}")))
        .collect();
    let regions: Vec<Region> = (0..case.regions)
        .map(|i| Region::from(format!("r{i}")))
        .collect();
    let candidate = |i: usize| Candidate {
        host: &hosts[i],
        region: &regions[i % case.regions],
        is_serving: !case.leaving.contains(&i),
        path: if case.lost.contains(&i) {
            Path::Lost
        } else {
            Path::Proven
        },
    };
    let holder = case.holder.map(|i| hash::hash32(hosts[i].as_str()));
    let seen_by = |own: usize| {
        let others = (0..HOSTS).filter(|i| *i != own).map(candidate);
        collectors(candidate(own), others, holder)
    };
    let chosen = seen_by(0);
    for own in 1..HOSTS {
        assert_eq!(seen_by(own), chosen);
    }
    let indices = chosen
        .iter()
        .filter_map(|host| hosts.iter().position(|it| it == *host));
    let indices: Vec<usize> = indices.collect();
    assert!(
        indices
            .iter()
            .all(|i| !case.leaving.contains(i) && !case.lost.contains(i))
    );
    let mut apart: Vec<usize> = indices.iter().map(|i| i % case.regions).collect();
    apart.sort_unstable();
    apart.dedup();
    assert_eq!(apart.len(), case.expected);
    assert_eq!(
        chosen.len(),
        3.min(HOSTS - case.leaving.len() - case.lost.len())
    );
    if let Some(holder) = case
        .holder
        .filter(|i| candidate(*i).is_serving && !case.lost.contains(i))
    {
        assert_eq!(indices[0], holder);
    }
}
