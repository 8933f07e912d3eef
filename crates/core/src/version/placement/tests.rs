//! Replays of load patterns.

use super::{Backend, Choice, Load, Placement, Query, Tier, Verdict};
use crate::{process::senders::Place, version::limit::Statement};
use azurenotch_wire::{hash::hash32, time::Instant};
use std::time::Duration;
use test_case::test_case;

pub(super) const OBJECTIVE: Duration = Duration::from_millis(500);

fn backend(number: usize, tier: Tier) -> Backend {
    let region = if tier == Tier::Remote { "far" } else { "near" };
    Backend {
        server: format!("s{number}").into(),
        incarnation: 1,
        release: "v1".into(),
        data_centre: format!("{region}-a").into(),
        region: Some(region.into()),
        tier,
        slots: 9,
        draining: false,
        cold: Duration::ZERO,
    }
}

pub(super) fn placement(near: usize, far: usize) -> Placement {
    let mut placement = Placement::new(10.0, OBJECTIVE);
    for number in 0..near {
        placement.insert(Instant::ZERO, &backend(number, Tier::Local));
    }
    for number in near..near + far {
        placement.insert(Instant::ZERO, &backend(number, Tier::Remote));
    }
    placement
}

fn query(object: u64) -> Query<'static> {
    Query {
        object: Some(object),
        route: 1,
        release: None,
        allowed_regions: &[],
        excluded_regions: &[],
        excluded_servers: &[],
        objective: OBJECTIVE,
        bytes: 5_000.0,
        repeatable: true,
    }
}

pub(super) fn choose(placement: &mut Placement, now: Instant, object: u64) -> Choice {
    placement
        .choose(now, &query(object))
        .expect("a server is free")
}

/// Adds measurements of cache hits to the estimates.
fn warm_up(placement: &mut Placement) {
    for object in 0..200 {
        let choice = choose(placement, Instant::ZERO, object);
        placement.begin(Instant::ZERO, &choice, None);
        placement.end(Instant::ZERO, &choice, Verdict::Answered, OBJECTIVE / 3);
    }
}

/// Two hosts choose the same server for an object without coordination.
#[test]
fn hosts_agree_on_the_home_of_an_object() {
    let (mut one, mut other) = (placement(8, 0), placement(8, 0));
    for object in 0..100 {
        let first = choose(&mut one, Instant::ZERO, object);
        let second = choose(&mut other, Instant::ZERO, object);
        assert_eq!(first.index, second.index, "object {object}");
    }
}

#[test]
fn a_lost_server_moves_only_its_own_objects() {
    let mut placement = placement(8, 0);
    let before: Vec<usize> = (0..200)
        .map(|object| choose(&mut placement, Instant::ZERO, object).index)
        .collect();
    placement.remove(&"s3".into());
    for (object, index) in before.iter().enumerate() {
        let after = choose(&mut placement, Instant::ZERO, object as u64).index;
        assert!(*index == 3 || after == *index, "object {object}");
    }
}

/// From some length on, a queue at the home server costs more than a cache miss at another one.
#[test]
fn a_long_queue_sends_requests_elsewhere() {
    let mut placement = placement(8, 0);
    let home = choose(&mut placement, Instant::ZERO, 7).index;
    let load = Load {
        running: 9,
        waiting: 27,
        slots: 9,
    };
    placement.observe_load(Instant::ZERO, home, load);
    assert_ne!(choose(&mut placement, Instant::ZERO, 7).index, home);
}

#[test]
fn a_short_queue_does_not_send_requests_elsewhere() {
    let mut placement = placement(8, 0);
    warm_up(&mut placement);
    let home = choose(&mut placement, Instant::ZERO, 7).index;
    let load = Load {
        running: 9,
        waiting: 2,
        slots: 9,
    };
    placement.observe_load(Instant::ZERO, home, load);
    assert_eq!(choose(&mut placement, Instant::ZERO, 7).index, home);
}

#[test]
fn a_failing_server_is_avoided_for_a_while() {
    let mut placement = placement(8, 0);
    let home = choose(&mut placement, Instant::ZERO, 7);
    for _ in 0..5 {
        placement.begin(Instant::ZERO, &home, Some(7));
        placement.end(Instant::ZERO, &home, Verdict::Failed, OBJECTIVE);
    }
    assert_ne!(choose(&mut placement, Instant::ZERO, 7).index, home.index);
    let later = Instant::from_millis(30_000);
    assert_eq!(choose(&mut placement, later, 7).index, home.index);
}

#[test]
fn a_slow_server_is_avoided() {
    let mut placement = placement(8, 0);
    let home = choose(&mut placement, Instant::ZERO, 7);
    for object in 0..100 {
        let choice = choose(&mut placement, Instant::ZERO, object);
        let slow = choice.index == home.index;
        let latency = if slow { 5 * OBJECTIVE } else { OBJECTIVE / 3 };
        placement.begin(Instant::ZERO, &choice, Some(object));
        placement.end(Instant::ZERO, &choice, Verdict::Answered, latency);
    }
    assert_ne!(choose(&mut placement, Instant::ZERO, 7).index, home.index);
}

/// Guards against an overload that spreads every object over all servers and so keeps all caches
/// cold. Each of the eight servers has room for the objects of which it is the home server.
#[test]
fn a_full_service_does_not_spread_its_objects() {
    let mut placement = placement(8, 0);
    for index in 0..8 {
        let load = Load {
            running: 9,
            waiting: 6,
            slots: 9,
        };
        placement.observe_load(Instant::ZERO, index, load);
    }
    let home = choose(&mut placement, Instant::ZERO, 7).index;
    // A queue that is somewhat longer than at other servers costs less than a cache miss.
    let load = Load {
        running: 9,
        waiting: 16,
        slots: 9,
    };
    placement.observe_load(Instant::ZERO, home, load);
    assert_eq!(choose(&mut placement, Instant::ZERO, 7).index, home);
}

#[test]
fn hosts_agree_on_the_second_choice() {
    let (mut one, mut other) = (placement(8, 0), placement(8, 0));
    for object in 0..100 {
        let seconds = [&mut one, &mut other].map(|placement| {
            let home = choose(placement, Instant::ZERO, object).index;
            let excluded = [home];
            let query = Query {
                excluded_servers: &excluded,
                ..query(object)
            };
            placement.choose(Instant::ZERO, &query).map(|it| it.index)
        });
        assert_eq!(seconds[0], seconds[1], "object {object}");
    }
}

#[test]
fn requests_leave_a_full_region() {
    let mut placement = placement(2, 4);
    for index in 0..2 {
        let load = Load {
            running: 9,
            waiting: 18,
            slots: 9,
        };
        placement.observe_load(Instant::ZERO, index, load);
    }
    let choice = choose(&mut placement, Instant::ZERO, 7);
    assert_eq!(placement.backend(choice.index).tier, Tier::Remote);
}

#[test]
fn a_cold_server_gets_requests_at_a_limited_rate() {
    let mut placement = Placement::new(10.0, OBJECTIVE);
    let cold = Backend {
        cold: Duration::from_secs(3),
        ..backend(0, Tier::Local)
    };
    placement.insert(Instant::ZERO, &cold);
    placement.set_warmup_senders(0, Some(3));
    let mut sent = 0;
    for millis in 0..3_000 {
        let now = Instant::from_millis(millis);
        if let Some(choice) = placement.choose(now, &query(millis)) {
            placement.begin(now, &choice, Some(millis));
            sent += 1;
        }
    }
    assert!((5..=8).contains(&sent), "{sent} in 3 s");
}

#[test]
fn draining_and_unconfirmed_servers_get_no_requests() {
    let mut placement = placement(2, 0);
    placement.require_health_check(0);
    let draining = Backend {
        draining: true,
        ..backend(1, Tier::Local)
    };
    placement.insert(Instant::ZERO, &draining);
    assert_eq!(placement.choose(Instant::ZERO, &query(1)), None);
    placement.confirm_health(0);
    assert_eq!(choose(&mut placement, Instant::ZERO, 1).index, 0);
}

/// Replays the start of a region whose requests all leave for two equally near regions.
#[test]
fn requests_that_leave_divide_between_equally_near_regions() {
    let mut placement = placement(0, 8);
    for number in 8..16 {
        let elsewhere = Backend {
            region: Some("elsewhere".into()),
            ..backend(number, Tier::Remote)
        };
        placement.insert(Instant::ZERO, &elsewhere);
    }
    let objects = 200;
    let far = (0..objects).filter(|object| {
        let choice = choose(&mut placement, Instant::ZERO, *object);
        placement.backend(choice.index).region == Some("far".into())
    });
    let share = far.count() as f64 / objects as f64;
    assert!((0.35..=0.65).contains(&share), "{share} go to one region");
}

const DRAIN: Duration = Duration::from_secs(2);

fn index(placement: &Placement, number: usize) -> usize {
    let server = format!("s{number}").into();
    placement.find(&server).expect("the server is listed")
}

#[test]
fn a_leaving_server_gets_work_only_while_no_other_can() {
    let mut placement = placement(2, 0);
    placement.set_drain(DRAIN);
    let leaving = index(&placement, 0);
    assert!(placement.record_leaving(Instant::ZERO, hash32("s0"), 1));
    assert!(!placement.record_leaving(Instant::ZERO, hash32("s0"), 1));
    for object in 0..100 {
        let choice = choose(&mut placement, Instant::ZERO, object);
        assert_ne!(choice.index, leaving);
    }
    placement.remove(&"s1".into());
    let early = Instant::ZERO + DRAIN / 2;
    assert_eq!(choose(&mut placement, early, 1).index, leaving);
    assert!(placement.choose(Instant::ZERO + DRAIN, &query(1)).is_none());
}

/// What a host hears of a server while it opens a connection for a request.
struct News {
    hear: fn(&mut Placement),
    may_send: bool,
}

/// Guards against a request to a server of which its host knew that it had left.
#[test_case(News { hear: |_| {}, may_send: true }; "nothing")]
#[test_case(News { hear: |it| it.remove(&"s0".into()), may_send: false }; "it is not listed any more")]
#[test_case(News { hear: |it| it.insert(Instant::ZERO, &Backend { draining: true, ..backend(0, Tier::Local) }), may_send: false }; "it is draining")]
#[test_case(News { hear: |it| assert!(it.record_leaving(Instant::ZERO, hash32("s0"), 1)), may_send: false }; "it said that it leaves")]
#[test_case(News { hear: |it| it.pause(0, Instant::from_millis(900)), may_send: false }; "it wants a pause")]
#[test_case(News { hear: |it| it.require_health_check(0), may_send: false }; "its health is in doubt")]
fn a_choice_is_checked_again_before_the_request_is_sent(case: News) {
    let mut placement = placement(1, 0);
    placement.set_drain(Duration::from_millis(100));
    let choice = choose(&mut placement, Instant::ZERO, 1);
    placement.begin(Instant::ZERO, &choice, Some(1));
    (case.hear)(&mut placement);
    let sent = Instant::from_millis(200);
    assert_eq!(placement.may_send(sent, &choice), case.may_send);
}

/// What happens to a server, which has a first listing, when one of its processes says that it leaves.
struct Return {
    /// Process that says it.
    said_by: u64,
    /// Whether the listing lapses before.
    lapses_before: bool,
    /// Whether the listing lapses after.
    relisted: bool,
    /// Process of the next listing.
    incarnation: u64,
    /// Whether it may get requests again.
    usable: bool,
}

#[test_case(Return { said_by: 1, lapses_before: false, relisted: false, incarnation: 1, usable: false }; "its listing is updated")]
#[test_case(Return { said_by: 1, lapses_before: false, relisted: true, incarnation: 1, usable: false }; "its listing lapsed and returned")]
#[test_case(Return { said_by: 1, lapses_before: false, relisted: true, incarnation: 2, usable: true }; "it starts again under its name")]
#[test_case(Return { said_by: 1, lapses_before: false, relisted: false, incarnation: 2, usable: true }; "it starts again while it is listed")]
#[test_case(Return { said_by: 1, lapses_before: true, relisted: true, incarnation: 1, usable: false }; "it says so while its listing has lapsed")]
#[test_case(Return { said_by: 2, lapses_before: false, relisted: false, incarnation: 2, usable: false }; "its next process says so before it is listed")]
#[test_case(Return { said_by: 1, lapses_before: true, relisted: true, incarnation: 2, usable: true }; "it starts again after its listing has lapsed")]
fn leaving_belongs_to_the_process_that_said_it(case: Return) {
    let mut placement = placement(1, 0);
    if case.lapses_before {
        placement.remove(&"s0".into());
    }
    placement.record_leaving(Instant::ZERO, hash32("s0"), case.said_by);
    if case.relisted {
        placement.remove(&"s0".into());
        // Its place is taken by another server meanwhile.
        placement.insert(Instant::ZERO, &backend(7, Tier::Local));
        placement.remove(&"s7".into());
    }
    let listing = Backend {
        incarnation: case.incarnation,
        ..backend(0, Tier::Local)
    };
    placement.insert(Instant::ZERO, &listing);
    let chosen = placement.choose(Instant::ZERO, &query(1));
    assert_eq!(chosen.is_some(), case.usable);
}

/// Guards against a pause that ends with a listing although its process runs on.
#[test_case(Return { said_by: 1, lapses_before: false, relisted: false, incarnation: 1, usable: false }; "its listing is updated")]
#[test_case(Return { said_by: 1, lapses_before: false, relisted: true, incarnation: 1, usable: false }; "its listing lapsed and returned")]
#[test_case(Return { said_by: 1, lapses_before: true, relisted: false, incarnation: 1, usable: false }; "it says so while its listing has lapsed")]
#[test_case(Return { said_by: 1, lapses_before: false, relisted: true, incarnation: 2, usable: true }; "it starts again under its name")]
#[test_case(Return { said_by: 1, lapses_before: false, relisted: false, incarnation: 2, usable: true }; "it starts again while it is listed")]
#[test_case(Return { said_by: 2, lapses_before: false, relisted: false, incarnation: 1, usable: true }; "another process said it")]
fn a_pause_belongs_to_the_process_that_asked_for_it(case: Return) {
    let mut placement = placement(1, 0);
    if case.lapses_before {
        placement.remove(&"s0".into());
    }
    let (now, end) = (Instant::ZERO, Instant::from_millis(1_000));
    let is_new = placement.hear_pause(now, &"s0".into(), case.said_by, end);
    assert_eq!(is_new, case.said_by == 1);
    assert!(!placement.hear_pause(now, &"s0".into(), case.said_by, end));
    if case.relisted {
        placement.remove(&"s0".into());
        // Its place is taken by another server meanwhile.
        placement.insert(now, &backend(7, Tier::Local));
        placement.remove(&"s7".into());
    }
    let listing = Backend {
        incarnation: case.incarnation,
        ..backend(0, Tier::Local)
    };
    placement.insert(now, &listing);
    assert_eq!(placement.choose(now, &query(1)).is_some(), case.usable);
    let later = end + Duration::from_secs(1);
    assert!(placement.choose(later, &query(1)).is_some());
}

#[test]
fn a_paused_server_gets_nothing_until_the_longest_pause_ends() {
    let mut placement = placement(2, 0);
    let paused = index(&placement, 0);
    let at = |ms| Instant::ZERO + Duration::from_millis(ms);
    placement.pause(paused, at(3_000));
    placement.pause(paused, at(1_000));
    for ms in (0..3_000).step_by(10) {
        assert_ne!(choose(&mut placement, at(ms), ms).index, paused);
    }
    let other = index(&placement, 1);
    placement.pause(other, at(5_000));
    assert!(placement.choose(at(2_900), &query(1)).is_none());
    assert_eq!(placement.pause_end(at(2_900), &query(1)), Some(at(3_000)));
    assert_eq!(choose(&mut placement, at(4_000), 1).index, paused);
}

#[test]
fn requests_return_by_steps_after_a_pause() {
    let mut placement = placement(2, 0);
    let paused = index(&placement, 0);
    let end = Instant::ZERO + Duration::from_secs(2);
    let share = |placement: &mut Placement, ms| {
        let now = end + Duration::from_millis(ms);
        let chosen = (0..200).map(|object| choose(placement, now, object).index);
        chosen.filter(|it| *it == paused).count()
    };
    placement.pause(paused, end);
    let counts = [0, 300, 600, 1_000].map(|ms| share(&mut placement, ms));
    assert!(counts[0] > 0, "{counts:?}");
    assert!(
        counts.windows(2).all(|pair| pair[0] < pair[1]),
        "{counts:?}"
    );
}

#[test]
fn a_pause_is_no_failure() {
    let mut placement = placement(1, 0);
    let choice = choose(&mut placement, Instant::ZERO, 1);
    for _ in 0..20 {
        placement.begin(Instant::ZERO, &choice, None);
        placement.end(Instant::ZERO, &choice, Verdict::Paused, OBJECTIVE);
    }
    let again = choose(&mut placement, Instant::ZERO, 1);
    assert_eq!(again.expected, choice.expected);
}

/// Place of the only host that may send to a server.
const ALONE: Option<Place> = Some(Place {
    rank: 0,
    senders: 1,
});

/// Returns what a server said about its limit in an answer that took no time.
fn named(limit: impl Into<Option<f64>>, now: Instant) -> Statement {
    Statement {
        limit: limit.into(),
        sent: now,
        received: now,
    }
}

/// Sends a request each 10 ms and returns how many the server with an index got.
fn sent_to(placement: &mut Placement, index: usize, from: Instant, time: Duration) -> usize {
    let mut count = 0;
    for tick in 0..time.as_millis() as u64 / 10 {
        let now = from + Duration::from_millis(10 * tick);
        if let Some(choice) = placement.choose(now, &query(tick)) {
            placement.begin(now, &choice, Some(tick));
            placement.end(now, &choice, Verdict::Answered, OBJECTIVE / 3);
            count += usize::from(choice.index == index);
        }
    }
    count
}

/// Replays a server in need whose limit is a small part of what it usually gets.
#[test]
fn a_limited_server_gets_its_limit_and_no_failures() {
    let mut placement = placement(4, 0);
    let start = Instant::from_millis(1_000);
    let limited = index(&placement, 0);
    placement.hear_limit(start, limited, named(4.0, start));
    placement.set_limit_place(start, limited, ALONE);
    let sent = sent_to(&mut placement, limited, start, Duration::from_secs(5));
    assert!((14..=20).contains(&sent), "{sent} requests in 5 s");
    assert!(placement.entries[limited].failure(start) <= 0.0);
}

#[test]
fn hosts_agree_where_requests_beyond_a_limit_go() {
    let now = Instant::from_millis(1_000);
    let (mut one, mut other) = (placement(8, 0), placement(8, 0));
    for placement in [&mut one, &mut other] {
        let limited = index(placement, 3);
        placement.hear_limit(now, limited, named(0.0, now));
        placement.set_limit_place(now, limited, None);
    }
    for object in 0..200 {
        let first = choose(&mut one, now, object).index;
        assert_eq!(first, choose(&mut other, now, object).index);
        assert_ne!(first, index(&one, 3));
    }
}

#[test]
fn requests_return_by_steps_after_a_limit() {
    let start = Instant::from_millis(1_000);
    let mut placement = placement(2, 0);
    let limited = index(&placement, 0);
    placement.hear_limit(start, limited, named(0.5, start));
    let end = start + Duration::from_secs(3);
    placement.hear_limit(end, limited, named(None, end));
    let shares = [0, 600, 1_000].map(|ms| {
        let now = end + Duration::from_millis(ms);
        let choices =
            (0..200).filter(|object| choose(&mut placement, now, *object).index == limited);
        choices.count()
    });
    assert!(
        shares[0] > 0 && shares[0] < shares[1] && shares[1] < shares[2],
        "{shares:?}"
    );
}

/// Guards against a limit that outlives its process, and one that is lost with a listing.
#[test]
fn a_limit_belongs_to_a_process() {
    let now = Instant::from_millis(1_000);
    let mut placement = placement(1, 0);
    let hash = hash32("s0");
    assert!(
        placement
            .receive_limit(now, hash, 9, named(4.0, now))
            .is_none()
    );
    assert!(
        placement
            .receive_limit(now, hash, 1, named(4.0, now))
            .is_some()
    );
    placement.remove(&"s0".into());
    placement.insert(now, &backend(0, Tier::Local));
    assert_eq!(placement.limit(now, index(&placement, 0)), Some(4.0));
    placement.remove(&"s0".into());
    let restarted = Backend {
        incarnation: 2,
        ..backend(0, Tier::Local)
    };
    placement.insert(now, &restarted);
    assert_eq!(placement.limit(now, index(&placement, 0)), None);
}

/// Guards against requests that wait, or get no hint when to return, while all servers are limited.
#[test]
fn requests_that_only_limits_keep_back_have_a_time_to_return() {
    let now = Instant::from_millis(1_000);
    let mut placement = placement(2, 0);
    for number in 0..2 {
        let limited = index(&placement, number);
        placement.hear_limit(now, limited, named(2.0, now));
        placement.set_limit_place(now, limited, ALONE);
    }
    assert_eq!(placement.choose(now, &query(1)), None);
    let wait = placement
        .limit_wait(now, &query(1))
        .expect("a limit keeps it back");
    let later = now + wait + Duration::from_millis(1);
    assert!(
        placement.choose(later, &query(1)).is_some(),
        "after {wait:?}"
    );
}
