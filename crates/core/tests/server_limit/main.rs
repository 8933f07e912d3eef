//! Random schedules of a server that names limits, and of faults of the hosts that send to it.
//!
//! The bound is checked on what the server receives and on the answers that hosts pass on, not on
//! what hosts count.

mod fleet;
mod node;
mod record;

use fleet::Fleet;
use node::Flaw;
use record::Verdict;
use test_case::test_case;

/// Schedules to play.
struct Case {
    hosts: usize,
    seeds: u64,
    /// Requests per second for the server at all hosts together.
    demand: f64,
    /// Whether hosts fail, pause, restart and are cut off.
    faults: bool,
    /// Least share of the limit that is used over all schedules.
    used: f64,
}

impl Case {
    fn play(&self, seed: u64, flaw: Flaw) -> Verdict {
        Fleet::new(seed, self.hosts, self.demand, self.faults, flaw).run()
    }
}

#[test_case(Case { hosts: 12, seeds: 1_000, demand: 40.0, faults: true, used: 0.5 }; "a thousand schedules of twelve hosts")]
#[test_case(Case { hosts: 12, seeds: 50, demand: 40.0, faults: false, used: 0.7 }; "twelve hosts without faults")]
#[test_case(Case { hosts: 98, seeds: 4, demand: 80.0, faults: true, used: 0.4 }; "ninety-eight hosts of a region")]
fn hosts_together_keep_to_a_limit(case: Case) {
    let mut total = Verdict::default();
    for seed in 0..case.seeds {
        let verdict = case.play(seed, Flaw::None);
        if let Some(broken) = verdict.broken.first() {
            println!("seed {seed}: {broken}");
        }
        total.add(verdict);
    }
    println!("{total:?}");
    assert!(total.broken.is_empty(), "{:?}", total.broken);
    let used = total.used_share();
    assert!(used >= case.used, "{used} of the limits were used");
}

/// Shows that the search finds faults that are put in on purpose.
#[test_case(Flaw::Unordered; "an answer to an older request ends a newer limit")]
#[test_case(Flaw::FullStart; "hosts that start to send have saved up a full part")]
#[test_case(Flaw::RoundedUp; "fractions of a request are rounded up at each host")]
fn the_search_finds(flaw: Flaw) {
    let case = Case {
        hosts: 12,
        seeds: 1_000,
        demand: 60.0,
        faults: true,
        used: 0.0,
    };
    let found = (0..case.seeds).find(|seed| !case.play(*seed, flaw).broken.is_empty());
    println!("found by seed {found:?}");
    assert!(found.is_some());
}
