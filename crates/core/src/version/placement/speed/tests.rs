//! Replays of figures that servers tell.

use super::{Figure, Persistence, Report, Speed};
use crate::version::placement::{
    Choice, Load, Placement, Tier, Verdict,
    tests::{OBJECTIVE, choose, placement},
};
use azurenotch_wire::time::Instant;
use std::time::Duration;
use test_case::test_case;

const LOAD: Load = Load {
    running: 1,
    waiting: 0,
    slots: 9,
};

fn report(speed: Option<f64>) -> Report {
    Report { load: LOAD, speed }
}

/// Returns whether a server is in a slow period, which is drawn anew every 600 ms.
fn is_slow(server: u64, ms: u64) -> bool {
    let draw = azurenotch_wire::hash::mix(server.wrapping_mul(0x9e37_79b9), ms / 600);
    draw % 100 < 15
}

/// Learns from servers that tell a figure every `gap_ms`.
fn learned(gap_ms: u64) -> Persistence {
    let mut all = Persistence::default();
    for server in 0..20 {
        let mut speed = Speed::default();
        for ms in (server * 7..60_000).step_by(gap_ms as usize) {
            let factor = if is_slow(server, ms) { 2.5 } else { 1.0 };
            speed.observe(Instant::from_millis(ms), Some(factor), &mut all);
        }
    }
    all
}

/// Guards against figures that are trusted after the slow period is over, or not at all.
#[test_case(20, true; "fresh")]
#[test_case(150, true; "young")]
#[test_case(700, false; "after the period")]
#[test_case(1_500, false; "long after the period")]
fn the_value_of_a_figure_is_learned(age_ms: u64, informs: bool) {
    let all = learned(age_ms);
    let age = Duration::from_millis(age_ms);
    let slow = Some(Figure { factor: 2.5, age });
    let expected = all.expected(slow);
    assert_eq!(expected > 1.9, informs, "{expected}");
    assert_eq!(expected < 1.5, !informs, "{expected}");
    let mut speed = Speed::default();
    speed.receive(Instant::from_millis(age_ms), Figure { factor: 2.5, age });
    assert_eq!(
        speed.is_unknown(Instant::from_millis(age_ms), &all),
        !informs
    );
}

#[test]
fn mean_and_slow_periods_are_learned() {
    let all = learned(150);
    assert!((all.mean() - 1.225).abs() < 0.12, "{}", all.mean());
    assert!(all.varies());
    let (share, extra) = all.slow_period();
    assert!((share - 0.15).abs() < 0.08, "{share}");
    assert!((extra - 1.5).abs() < 0.1, "{extra}");
}

/// Answers one request at a server, whose work takes `factor` times as long as usual.
fn answer(placement: &mut Placement, now: Instant, choice: &Choice, factor: f64) {
    placement.begin(now, choice, None);
    placement.observe_report(now, choice.index, &report(Some(factor)));
    let took = (OBJECTIVE / 3).mul_f64(factor);
    placement.end(now, choice, Verdict::Answered, took);
}

/// Guards against a slow period that is taken for a slow server: the home of an object must get the
/// requests again as soon as the period is over.
#[test]
fn a_slow_period_moves_requests_only_while_it_lasts() {
    let mut placement = placement(8, 0);
    let home = choose(&mut placement, Instant::ZERO, 7).index;
    let mut ms = 0;
    for round in 0..600 {
        ms += 50;
        let now = Instant::from_millis(ms);
        let choice = choose(&mut placement, now, round % 40);
        let slow = is_slow(choice.index as u64, ms);
        answer(&mut placement, now, &choice, if slow { 2.5 } else { 1.0 });
    }
    let now = Instant::from_millis(ms + 1_000);
    for index in 0..8 {
        let factor = if index == home { 4.0 } else { 1.0 };
        placement.observe_report(now, index, &report(Some(factor)));
    }
    assert_ne!(choose(&mut placement, now, 7).index, home);
    let later = now + Duration::from_secs(3);
    assert_eq!(choose(&mut placement, later, 7).index, home);
    placement.observe_report(later, home, &report(Some(1.0)));
    assert_eq!(choose(&mut placement, later, 7).index, home);
}

/// Guards against work that is learned from slow periods as if servers were slow.
#[test]
fn learned_work_is_that_at_the_usual_speed() {
    let mut placement = placement(4, 0);
    for round in 0..400_u64 {
        let now = Instant::from_millis(2_000 * round);
        let factor = if round % 4 == 0 { 3.0 } else { 1.0 };
        // The figure is known at the choice, so that the work is known to be slow.
        for index in 0..4 {
            placement.observe_report(now, index, &report(Some(factor)));
        }
        let choice = choose(&mut placement, now, round % 40);
        answer(&mut placement, now, &choice, factor);
    }
    let work = placement.estimates(1).average();
    let usual = (OBJECTIVE / 3).as_secs_f64();
    assert!((work / usual - 1.0).abs() < 0.1, "{work} {usual}");
}

/// Guards against other choices where servers send three figures: every choice and estimate must be
/// the same as with servers that are always at the usual speed.
#[test]
fn without_figures_choices_are_those_at_the_usual_speed() {
    let mut plain = placement(6, 3);
    let mut usual = placement(6, 3);
    for round in 0..3_000_u64 {
        let now = Instant::from_millis(17 * round);
        let object = azurenotch_wire::hash::mix(1, round) % 60;
        let choices = [&mut plain, &mut usual].map(|it| choose(it, now, object));
        assert_eq!(
            choices[0],
            Choice {
                figure: None,
                ..choices[1]
            }
        );
        assert_eq!(choices[0].slowness.to_bits(), 1.0_f64.to_bits());
        let [choice, with] = choices;
        let load = Load {
            running: (round % 11) as u32,
            waiting: (round % 5) as u32,
            slots: 9,
        };
        let took = Duration::from_millis(100 + 40 * (round % 13));
        plain.begin(now, &choice, Some(object));
        plain.observe_report(now, choice.index, &Report { load, speed: None });
        plain.end(now, &choice, Verdict::Answered, took);
        usual.begin(now, &with, Some(object));
        let speed = Some(1.0);
        usual.observe_report(now, with.index, &Report { load, speed });
        usual.end(now, &with, Verdict::Answered, took);
    }
    assert!(!plain.persistence.varies() && !usual.persistence.varies());
    assert_eq!(plain.backend(0).tier, Tier::Local);
}

/// Guards against figures that are passed on by hosts that did not hear them, or of equal servers.
#[test]
fn only_figures_told_to_this_host_are_passed_on() {
    let mut one = placement(4, 0);
    let mut other = placement(4, 0);
    let now = Instant::from_millis(9_000);
    for round in 0..100_u64 {
        let at = Instant::from_millis(90 * round);
        one.observe_report(at, 0, &report(Some(1.0)));
        assert_eq!(one.figures(at).count(), 0, "all servers are equally fast");
    }
    for round in 0..100_u64 {
        let at = Instant::from_millis(9_000 + 90 * round);
        let factor = if round / 8 % 4 == 0 { 2.5 } else { 1.0 };
        one.observe_report(at, 0, &report(Some(factor)));
    }
    let now = now + Duration::from_secs(9);
    let told: Vec<_> = one.figures(now).collect();
    assert_eq!(told.len(), 1);
    let (server, figure, _) = told[0];
    other.receive_figure(now, server, figure);
    assert_eq!(other.entries[0].speed.figure(now), Some(figure));
    assert_eq!(other.figures(now).count(), 0);
}
