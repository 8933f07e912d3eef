use super::{Change, Error, Limit, MAX_AGE, Statement, max_senders, parse};
use crate::process::senders::Place;
use azurenotch_wire::time::Instant;
use std::time::Duration;
use test_case::test_case;

/// Values of a header and what they say.
struct Header {
    values: &'static [&'static str],
    limit: Result<Option<f64>, Error>,
}

#[test_case(Header { values: &[], limit: Ok(None) }; "no header")]
#[test_case(Header { values: &["4"], limit: Ok(Some(4.0)) }; "a whole number")]
#[test_case(Header { values: &["3.7"], limit: Ok(Some(3.7)) }; "a decimal")]
#[test_case(Header { values: &[" 3.7 "], limit: Ok(Some(3.7)) }; "blanks around it")]
#[test_case(Header { values: &["0"], limit: Ok(Some(0.0)) }; "zero")]
#[test_case(Header { values: &["0.001"], limit: Ok(Some(0.001)) }; "one in a while")]
#[test_case(Header { values: &["1000000000"], limit: Ok(Some(1e9)) }; "more than anyone sends")]
#[test_case(Header { values: &["5", "3"], limit: Ok(Some(3.0)) }; "two headers")]
#[test_case(Header { values: &["5, 3"], limit: Ok(Some(3.0)) }; "a list")]
#[test_case(Header { values: &["5, x"], limit: Err(Error) }; "a list with another word")]
#[test_case(Header { values: &["5", ""], limit: Err(Error) }; "two headers of which one is empty")]
#[test_case(Header { values: &[""], limit: Err(Error) }; "an empty value")]
#[test_case(Header { values: &["-1"], limit: Err(Error) }; "negative")]
#[test_case(Header { values: &["+1"], limit: Err(Error) }; "a sign")]
#[test_case(Header { values: &["4/s"], limit: Err(Error) }; "a unit")]
#[test_case(Header { values: &["1e9"], limit: Err(Error) }; "an exponent")]
#[test_case(Header { values: &["1e-9"], limit: Err(Error) }; "a negative exponent")]
#[test_case(Header { values: &["NaN"], limit: Err(Error) }; "not a number")]
#[test_case(Header { values: &["inf"], limit: Err(Error) }; "infinite")]
#[test_case(Header { values: &["4 5"], limit: Err(Error) }; "two numbers")]
#[test_case(Header { values: &["1."], limit: Err(Error) }; "no digit behind the point")]
#[test_case(Header { values: &[".5"], limit: Err(Error) }; "no digit before the point")]
fn only_decimal_numbers_are_accepted(header: Header) {
    let values = header.values.iter().map(|value| value.as_bytes());
    assert_eq!(parse(values), header.limit);
}

fn statement(limit: impl Into<Option<f64>>, sent_ms: u64, received_ms: u64) -> Statement {
    Statement {
        limit: limit.into(),
        sent: Instant::from_millis(sent_ms),
        received: Instant::from_millis(received_ms),
    }
}

/// Two statements in the order in which they arrive, and the limit that holds.
struct Pair {
    statements: [Statement; 2],
    limit: Option<f64>,
}

#[test_case(Pair { statements: [statement(4.0, 0, 10), statement(9.0, 20, 30)], limit: Some(9.0) }; "it rises")]
#[test_case(Pair { statements: [statement(4.0, 0, 10), statement(None, 20, 30)], limit: None }; "it ends")]
#[test_case(Pair { statements: [statement(4.0, 20, 30), statement(None, 0, 10)], limit: Some(4.0) }; "an older answer without a limit")]
#[test_case(Pair { statements: [statement(None, 20, 30), statement(4.0, 0, 10)], limit: None }; "an older answer with a limit")]
#[test_case(Pair { statements: [statement(4.0, 0, 20), statement(None, 10, 30)], limit: Some(4.0) }; "requests that overlap, the second without a limit")]
#[test_case(Pair { statements: [statement(None, 0, 20), statement(4.0, 10, 30)], limit: Some(4.0) }; "requests that overlap, the first without a limit")]
#[test_case(Pair { statements: [statement(4.0, 0, 20), statement(2.0, 10, 30)], limit: Some(2.0) }; "requests that overlap, the second with less")]
#[test_case(Pair { statements: [statement(4.0, 0, 20), statement(9.0, 10, 30)], limit: Some(4.0) }; "requests that overlap, the second with more")]
fn the_later_statement_holds_or_else_the_stricter(pair: Pair) {
    let [first, second] = pair.statements;
    let mut limit = Limit::new(first);
    limit.observe(second);
    assert_eq!(limit.in_force(Instant::from_millis(40)), pair.limit);
}

/// Guards against a limit that no later answer can end, because requests always overlap.
#[test]
fn a_limit_ends_while_requests_overlap() {
    let mut limit = Limit::new(statement(4.0, 0, 100));
    for sent in (10..300).step_by(10) {
        limit.observe(statement(None, sent, sent + 100));
    }
    assert_eq!(limit.in_force(Instant::from_millis(400)), None);
}

#[test]
fn a_statement_does_not_hold_forever() {
    let limit = Limit::new(statement(4.0, 0, 0));
    let end = Instant::ZERO + MAX_AGE;
    assert_eq!(limit.in_force(end - Duration::from_millis(1)), Some(4.0));
    assert_eq!(limit.in_force(end), None);
}

#[test]
fn reports_of_a_limit_that_comes_and_goes_are_bounded() {
    let mut limit = Limit::new(statement(4.0, 1, 2));
    let mut reports = Vec::new();
    for ms in 3..3_000 {
        let named = (ms % 2 == 0).then_some(4.0);
        limit.observe(statement(named, ms, ms));
        reports.extend(limit.report(Instant::from_millis(ms)));
    }
    assert!(reports.len() <= 4, "{} reports", reports.len());
    assert_eq!(reports[0], Change::Named(4.0));
}

/// A limit and the number of hosts with more work than it allows.
struct Fleet {
    limit: f64,
    hosts: usize,
}

/// Returns the numbers of requests in every window of 4 s in a minute.
fn windows(fleet: &Fleet, until: Option<Instant>) -> Vec<usize> {
    let senders = max_senders(fleet.limit).min(fleet.hosts);
    let mut limits: Vec<Limit> = (0..senders)
        .map(|rank| {
            let mut limit = Limit::new(statement(fleet.limit, 0, 0));
            limit.set_place(Instant::ZERO, Some(Place { rank, senders }));
            limit
        })
        .collect();
    let mut sent = Vec::new();
    for ms in (0..60_000).step_by(10) {
        let now = Instant::from_millis(ms);
        for limit in &mut limits {
            // Without work the hosts save up requests.
            let works = until.is_none_or(|from| now >= from);
            limit.observe(statement(fleet.limit, ms, ms));
            limit.refresh(now);
            while works && limit.permits(now) {
                limit.take(now);
                limit.refresh(now);
                sent.push(ms);
            }
        }
    }
    let starts = (0..56_000u64).step_by(100);
    let in_window = |start| {
        let window = start..start + 4_000;
        sent.iter().filter(|at| window.contains(*at)).count()
    };
    starts.map(in_window).collect()
}

#[test_case(Fleet { limit: 0.0, hosts: 12 }; "no requests at all")]
#[test_case(Fleet { limit: 0.01, hosts: 295 }; "one in a while from many hosts")]
#[test_case(Fleet { limit: 1.0, hosts: 1 }; "one host")]
#[test_case(Fleet { limit: 3.7, hosts: 4 }; "one region of few hosts")]
#[test_case(Fleet { limit: 3.7, hosts: 12 }; "few hosts")]
#[test_case(Fleet { limit: 3.7, hosts: 84 }; "less than one for each host")]
#[test_case(Fleet { limit: 4.0, hosts: 295 }; "many hosts")]
#[test_case(Fleet { limit: 40.0, hosts: 295 }; "a higher limit and many hosts")]
#[test_case(Fleet { limit: 200.0, hosts: 4 }; "many for each host")]
#[test_case(Fleet { limit: 5_000.0, hosts: 3_000 }; "many of both")]
fn hosts_together_keep_to_a_limit_and_use_it(fleet: Fleet) {
    let per_window = 4.0 * fleet.limit;
    let allowed = 1.5f64.mul_add(per_window, 5.0);
    for idle_until in [None, Some(Instant::from_millis(20_000))] {
        let most = windows(&fleet, idle_until).into_iter().max();
        let most = most.unwrap_or(0) as f64;
        assert!(most <= allowed, "{most} requests in 4 s, allowed {allowed}");
    }
    let used = windows(&fleet, None).into_iter().skip(100).min();
    let used = used.unwrap_or(0) as f64;
    assert!(used >= 0.7 * per_window - 1.0, "{used} requests in 4 s");
}

/// Guards against a limit of zero that lasts forever because nobody asks the server again.
#[test]
fn somebody_asks_a_server_that_takes_nothing() {
    let fleet = Fleet {
        limit: 0.0,
        hosts: 84,
    };
    let sent: usize = windows(&fleet, None).into_iter().step_by(40).sum();
    assert!(sent >= 10, "{sent} requests in a minute");
}

/// Guards against hosts that have a full part whenever they begin to share a limit.
#[test]
fn a_host_that_begins_to_send_has_saved_nothing() {
    let place = Some(Place {
        rank: 3,
        senders: 4,
    });
    let mut limit = Limit::new(statement(4.0, 0, 0));
    for ms in (0..30_000).step_by(500) {
        let now = Instant::from_millis(ms);
        limit.observe(statement(4.0, ms, ms));
        for place in [None, place] {
            limit.set_place(now, place);
            limit.refresh(now);
            assert!(!limit.permits(now), "at {ms} ms with {place:?}");
        }
    }
}

#[test]
fn a_limit_and_its_end_are_told_for_a_time() {
    let age = Duration::from_secs(3);
    let told = |limit: &Limit, ms| limit.news(Instant::from_millis(ms), age).map(|it| it.limit);
    let mut limit = Limit::new(statement(4.0, 0, 10));
    assert_eq!(told(&limit, 20), None, "another host heard it");
    limit.hear(statement(4.0, 20, 30));
    assert_eq!(told(&limit, 3_029), Some(Some(4.0)));
    assert_eq!(told(&limit, 3_030), None);
    limit.hear(statement(None, 4_000, 4_010));
    limit.hear(statement(None, 6_000, 6_010));
    assert_eq!(told(&limit, 7_009), Some(None));
    assert_eq!(
        told(&limit, 7_010),
        None,
        "told since the first answer without a limit"
    );
}

/// Guards against a server that gets nothing, because it got many requests between two limits.
#[test]
fn requests_without_a_limit_do_not_count_for_the_next_one() {
    let mut limit = Limit::new(statement(4.0, 0, 0));
    let place = Place {
        rank: 0,
        senders: 1,
    };
    limit.set_place(Instant::ZERO, Some(place));
    limit.observe(statement(None, 100, 100));
    for ms in 100..10_000 {
        limit.take(Instant::from_millis(ms));
    }
    limit.observe(statement(4.0, 10_000, 10_000));
    let sent = (10_000..12_000).filter(|ms| {
        let now = Instant::from_millis(*ms);
        limit.refresh(now);
        let permitted = limit.permits(now);
        if permitted {
            limit.take(now);
        }
        permitted
    });
    let sent = sent.count();
    assert!((7..=9).contains(&sent), "{sent} requests in 2 s");
}
