//! Compares rules by which a stopping host accepts requests, in virtual time.
//!
//! Prints, for each kind of work and rule, the average of the requests of a stop that are answered,
//! broken off (late: of these, those that came when callers could know of the stop), rejected, and
//! rejected although they would have been answered.
//! `cargo run --release -p azurenotch-core --example stop [SEEDS]`

#[path = "../tests/support/stop.rs"]
mod support;

use std::env;
use support::{LOADS, Outcome, Rule, play};

const DEFAULT_SEEDS: u64 = 200;

fn main() {
    let seeds = env::args().nth(1).and_then(|text| text.parse().ok());
    let seeds: u64 = seeds.unwrap_or(DEFAULT_SEEDS).max(1);
    println!("seeds 0 to {}", seeds - 1);
    println!(
        "{:<33} {:<9} {:>9} {:>11} {:>5} {:>9} {:>9}",
        "work", "rule", "answered", "broken off", "late", "rejected", "needless"
    );
    for load in &LOADS {
        for rule in [Rule::Forecast, Rule::Share, Rule::Timeout] {
            let outcomes: Vec<Outcome> = (0..seeds).map(|seed| play(load, rule, seed)).collect();
            let mean = |count: fn(&Outcome) -> u32| {
                outcomes.iter().map(|it| f64::from(count(it))).sum::<f64>() / seeds as f64
            };
            println!(
                "{:<33} {:<9} {:>9.1} {:>11.2} {:>5.2} {:>9.1} {:>9.1}",
                load.name,
                format!("{rule:?}"),
                mean(|it| it.answered),
                mean(|it| it.broken_off),
                mean(|it| it.late),
                mean(|it| it.rejected),
                mean(|it| it.needless),
            );
        }
    }
}
