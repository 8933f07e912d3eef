//! Patterns of load, replayed with the decisions of the daemon and with variants of them.

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

fn play(site: &Site, pattern: &Pattern, variant: &Variant) -> Report {
    let mut sum = Report::new(pattern.from_s);
    for seed in 0..SEEDS {
        sum.add(&Engine::new(site, pattern, variant, seed).run());
    }
    sum
}

#[test]
fn equal_seeds_give_equal_runs() {
    let (site, pattern) = (site("narrow"), pattern("crash"));
    let play = |seed| {
        let report = Engine::new(site, pattern, variant("present"), seed).run();
        (report.asked(), report.in_time, report.sends)
    };
    assert_eq!(play(5), play(5));
    assert_ne!(play(5), play(6));
}

/// Every request that counts has one end.
#[test_case("wide", "calm")]
#[test_case("plain", "burst")]
#[test_case("narrow", "all-return")]
fn no_request_is_lost(name: &str, load: &str) {
    let (site, pattern) = (site(name), pattern(load));
    let report = play(site, pattern, variant("present"));
    let begun: u64 = report.seconds.iter().map(|second| second.asked).sum();
    let seconds = pattern.length.as_secs_f64() * SEEDS as f64;
    assert!(begun as f64 > 0.9 * site.rate * seconds, "{begun} requests");
    assert!(report.asked() <= begun);
}

/// A decision that a pattern needs, and the variant that lacks it.
struct Order {
    site: &'static str,
    pattern: &'static str,
    lacking: &'static str,
}

#[test_case(Order { site: "wide", pattern: "cold-start", lacking: "no-affinity" }; "homes keep objects warm")]
#[test_case(Order { site: "narrow", pattern: "calm", lacking: "no-affinity" }; "homes keep objects warm, few slots")]
#[test_case(Order { site: "wide", pattern: "burst", lacking: "no-refusal" }; "queues stay short in a burst")]
#[test_case(Order { site: "single", pattern: "burst", lacking: "no-refusal" }; "queues stay short, one region")]
#[test_case(Order { site: "plain", pattern: "burst", lacking: "no-refusal" }; "queues stay short, no objects")]
#[test_case(Order { site: "wide", pattern: "cold-start", lacking: "no-gossip" }; "loads are told")]
fn each_decision_serves_more_than_its_lack(order: Order) {
    let (site, pattern) = (site(order.site), pattern(order.pattern));
    let present = play(site, pattern, variant("present"));
    let lacking = play(site, pattern, variant(order.lacking));
    assert!(present.served() > lacking.served(), "{present}\n{lacking}");
}

/// After a loss, callers get nine tenths of what full knowledge of all queues and caches serves,
/// see docs/load.md.
///
/// With cold work that cost little until all slots were in use, objects moved to whichever server
/// was free, and caches stayed cold for as long as the loss lasted.
#[test_case("wide", "centre")]
#[test_case("narrow", "centre")]
#[test_case("single", "centre")]
#[test_case("wide", "crash")]
#[test_case("narrow", "crash")]
#[test_case("single", "crash")]
fn a_loss_leaves_caches_warm(name: &str, loss: &str) {
    const OF_YARDSTICK: f64 = 0.9;
    let (site, pattern) = (site(name), pattern(loss));
    let present = play(site, pattern, variant("present"));
    let knowing = play(site, pattern, variant("knowing"));
    assert!(
        present.served() >= OF_YARDSTICK * knowing.served(),
        "{present}\n{knowing}"
    );
}
