use super::*;
use test_case::test_case;

fn timeline(host: &str, capacity: usize) -> Timeline {
    Timeline::new(host.into(), NonZeroUsize::new(capacity).unwrap())
}

#[test_case(0, &[3, 4, 5]; "dropped events show as a gap")]
#[test_case(3, &[4, 5]; "those that follow")]
#[test_case(5, &[]; "none new")]
#[test_case(9, &[3, 4, 5]; "sequence of an earlier incarnation")]
fn returns_the_events_after_a_sequence(after: u64, expected: &[u64]) {
    let mut timeline = timeline("n1", 3);
    for wall_ms in 0..5 {
        timeline.record(Kind::Stopping, wall_ms);
    }
    let events = timeline.after(after);
    let sequences = events.events.iter().map(|event| event.sequence);
    assert_eq!(sequences.collect::<Vec<_>>(), expected);
    assert_eq!(events.next, 5);
}

/// Guards against an effect that is listed before its cause because clocks differ.
#[test]
fn a_message_orders_events_of_hosts_whose_clocks_differ() {
    let (mut fast, mut slow) = (timeline("n2", 9), timeline("n1", 9));
    slow.record(Kind::Stopping, 900);
    fast.record(Kind::Stopping, 30_000);
    let message = fast.tick(30_001);
    slow.merge(message, 1_000);
    slow.record(Kind::Stopped, 1_001);
    let (fast, slow) = (fast.after(0).events, slow.after(0).events);
    let merged = merge(vec![slow.clone(), fast.clone(), slow.clone()]);
    assert_eq!(merged, [slow[0].clone(), fast[0].clone(), slow[1].clone()]);
}

#[test]
fn a_stamp_far_ahead_does_not_advance_the_clock() {
    let mut timeline = timeline("n1", 9);
    let ahead = Stamp {
        wall_ms: 70_000,
        logical: 0,
    };
    assert_eq!(timeline.merge(ahead, 1_000).wall_ms, 1_000);
    assert_eq!(timeline.merge(ahead, 10_000).wall_ms, 70_000);
    let before = timeline.tick(5_000);
    assert!(timeline.record(Kind::Stopping, 0).stamp > before);
}
