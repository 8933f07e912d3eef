//! Replays patterns of load with the decisions of the daemon and with variants of them.

use azurenotch_model::{
    engine::Engine,
    pattern::{PATTERNS, Pattern},
    report::Report,
    site::{SITES, Site},
    variant::{VARIANTS, Variant},
};
use test_case::test_case;

/// Seeds of each comparison.
const SEEDS: u64 = 3;

fn site(name: &str) -> &'static Site {
    let found = SITES.iter().find(|site| site.name == name);
    found.expect("the site exists")
}

fn pattern(name: &str) -> &'static Pattern {
    let found = PATTERNS.iter().find(|pattern| pattern.name == name);
    found.expect("the pattern exists")
}

fn variant(name: &str) -> &'static Variant {
    let found = VARIANTS.iter().find(|variant| variant.name == name);
    found.expect("the variant exists")
}

fn run_seeds(site: &Site, pattern: &Pattern, variant: &Variant) -> Report {
    let mut sum = Report::new(pattern.counted_from_s);
    for seed in 0..SEEDS {
        sum.add(&Engine::new(site, pattern, variant, seed).run());
    }
    sum
}

#[test]
fn equal_seeds_give_equal_runs() {
    let (site, pattern) = (site("narrow"), pattern("crash"));
    let run = |seed| {
        let report = Engine::new(site, pattern, variant("present"), seed).run();
        (report.asked(), report.in_time, report.sends)
    };
    assert_eq!(run(5), run(5));
    assert_ne!(run(5), run(6));
}

/// Guards against requests without an outcome: at least 90 % of the expected requests must have one,
/// and the totals must not contain more.
#[test_case("wide", "calm")]
#[test_case("plain", "burst")]
#[test_case("narrow", "all-return")]
fn no_request_is_lost(name: &str, load: &str) {
    let (site, pattern) = (site(name), pattern(load));
    let report = run_seeds(site, pattern, variant("present"));
    let begun: u64 = report.seconds.iter().map(|second| second.asked).sum();
    let seconds = pattern.length.as_secs_f64() * SEEDS as f64;
    assert!(begun as f64 > 0.9 * site.rate * seconds, "{begun} requests");
    assert!(report.asked() <= begun);
}

/// Pattern that needs a decision, and the variant without that decision.
struct Comparison {
    site: &'static str,
    pattern: &'static str,
    without: &'static str,
}

#[test_case(Comparison { site: "wide", pattern: "cold-start", without: "no-affinity" }; "home servers keep objects warm")]
#[test_case(Comparison { site: "narrow", pattern: "calm", without: "no-affinity" }; "home servers keep objects warm, few slots")]
#[test_case(Comparison { site: "wide", pattern: "burst", without: "no-refusal" }; "queues stay short in a burst")]
#[test_case(Comparison { site: "single", pattern: "burst", without: "no-refusal" }; "queues stay short, one region")]
#[test_case(Comparison { site: "plain", pattern: "burst", without: "no-refusal" }; "queues stay short, no objects")]
#[test_case(Comparison { site: "wide", pattern: "cold-start", without: "no-gossip" }; "loads are reported")]
fn each_decision_serves_more_than_its_absence(case: Comparison) {
    let (site, pattern) = (site(case.site), pattern(case.pattern));
    let present = run_seeds(site, pattern, variant("present"));
    let without = run_seeds(site, pattern, variant(case.without));
    assert!(present.served() > without.served(), "{present}\n{without}");
}

/// Guards against cold caches after a loss of servers: callers must get 90 % of what full knowledge
/// of all queues and caches serves, see docs/load.md.
///
/// The failure occurred while work on uncached objects cost little until all slots were in use:
/// objects moved to any free server, and caches stayed cold as long as the loss lasted.
#[test_case("wide", "centre")]
#[test_case("narrow", "centre")]
#[test_case("single", "centre")]
#[test_case("wide", "crash")]
#[test_case("narrow", "crash")]
#[test_case("single", "crash")]
fn a_loss_leaves_caches_warm(name: &str, loss: &str) {
    const MIN_SHARE_OF_FULL_KNOWLEDGE: f64 = 0.9;
    let (site, pattern) = (site(name), pattern(loss));
    let present = run_seeds(site, pattern, variant("present"));
    let knowing = run_seeds(site, pattern, variant("knowing"));
    assert!(
        present.served() >= MIN_SHARE_OF_FULL_KNOWLEDGE * knowing.served(),
        "{present}\n{knowing}"
    );
}

/// Guards against refused callers that return and are refused again.
#[test_case("wide", "burst")]
#[test_case("narrow", "burst")]
#[test_case("narrow", "peaks")]
fn returning_callers_are_refused_less_often(name: &str, load: &str) {
    const MAX_SHARE_OF_FORMER: f64 = 0.95;
    let (site, pattern) = (site(name), pattern(load));
    let present = run_seeds(site, pattern, variant("present"));
    let without = run_seeds(site, pattern, variant("no-returning"));
    assert!(
        present.again() <= MAX_SHARE_OF_FORMER * without.again(),
        "{present}\n{without}"
    );
}

/// Guards against small workspaces that are refused because a large one fills the service.
///
/// `least` is what the workspace that comes off worst gets of its max-min fair share. It is low on
/// the site without objects, where many requests are admitted that time out.
#[test_case("wide", 0.9)]
#[test_case("narrow", 0.8)]
#[test_case("plain", 0.5)]
fn a_full_service_is_shared_fairly(name: &str, least: f64) {
    let (site, pattern) = (site(name), pattern("large"));
    let without = run_seeds(site, pattern, variant("no-shares"));
    assert!(without.fairness() < least, "{without}");
    let present = run_seeds(site, pattern, variant("present"));
    assert!(present.fairness() >= least, "{present}");
}

/// Guards against servers that get more than the limit that they name, and limits left unused.
#[test_case("wide", "limited")]
#[test_case("wide", "limited-most")]
#[test_case("narrow", "limited-burst")]
#[test_case("single", "limited-crash")]
#[test_case("plain", "limited-most")]
fn named_limits_are_kept_and_used(name: &str, load: &str) {
    let (site, pattern) = (site(name), pattern(load));
    let before = run_seeds(site, pattern, variant("no-limits")).limits;
    assert!(before.worst > 1.0, "nothing to guard against: {before:?}");
    let present = run_seeds(site, pattern, variant("present")).limits;
    assert!(present.worst <= 1.0, "{present:?}");
    assert!(present.sent >= 0.4 * present.taken, "{present:?}");
}
