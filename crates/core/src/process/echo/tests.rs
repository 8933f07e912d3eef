use super::*;
use test_case::test_case;

const NOW: Instant = Instant::from_millis(5_000);

#[test_case(7, 4_600, 300 => Some(Instant::from_millis(4_300)); "an answer to this incarnation")]
#[test_case(6, 4_600, 300 => None; "an answer to an earlier incarnation")]
#[test_case(7, 15_000, 0 => None; "a clock that is ahead")]
#[test_case(7, 4_600, 9_000 => None; "older than this host")]
fn only_messages_of_this_incarnation_count(
    incarnation: u64,
    sent_ms: u64,
    age_ms: u64,
) -> Option<Instant> {
    let echo = Echo {
        incarnation,
        sent_ms,
    };
    echo.confirmed_at(NOW, 7, Duration::from_millis(age_ms))
}

/// Guards against two hosts, both cut off from the store, that refresh each other with their own
/// replies.
#[test]
fn hosts_do_not_refresh_each_other() {
    const ROUND_MS: u64 = 400;
    let mut confirmed = [Instant::from_millis(1_000), Instant::from_millis(900)];
    for round in 3..100 {
        let now = Instant::from_millis(round * ROUND_MS);
        let earlier = Instant::from_millis((round - 1) * ROUND_MS);
        for host in 0..2 {
            let age = now.since(confirmed[1 - host]);
            let reported = Echo::new(1, earlier).confirmed_at(now, 1, age);
            confirmed[host] = confirmed[host].max(reported.unwrap_or_default());
        }
    }
    assert_eq!(confirmed[0], Instant::from_millis(1_000));
    assert!(confirmed[1] <= Instant::from_millis(1_000));
}
