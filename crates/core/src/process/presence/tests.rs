use super::*;

const STATUS: Status = Status {
    incarnation: 1,
    serving: true,
    leaving: false,
    reaches_store: true,
};

fn presence(hosts: usize) -> Presence {
    let mut presence = Presence::default();
    for number in 1..hosts {
        presence.hear(Instant::ZERO, &format!("h{number}").into(), STATUS);
    }
    presence
}

#[test]
fn a_silent_host_leaves_the_look_ups_first_and_the_shares_later() {
    let mut presence = presence(12);
    let host = Host::from("h1");
    let later = Instant::from_millis(3_000);
    for number in 2..12 {
        presence.hear(later, &format!("h{number}").into(), STATUS);
    }
    assert!(presence.is_serving(Instant::from_millis(1_900), &host));
    assert!(!presence.is_serving(later, &host));
    assert!((presence.share(later) - 11.0 / 12.0).abs() < 1e-9);
    assert!(presence.forget(later).is_empty());
    let gone = presence.forget(Instant::from_millis(4_999));
    assert!(gone.is_empty());
    for number in 2..12 {
        let name = format!("h{number}").into();
        presence.hear(Instant::from_millis(8_000), &name, STATUS);
    }
    assert_eq!(presence.forget(Instant::from_millis(8_000)), vec![host]);
}

#[test]
fn a_host_alone_keeps_the_others_in_its_count() {
    let mut presence = presence(12);
    let later = Instant::from_millis(30_000);
    assert!(presence.forget(later).is_empty());
    assert!((presence.share(later) - 1.0 / 12.0).abs() < 1e-9);
}

#[test]
fn a_message_of_a_former_start_changes_nothing() {
    let mut presence = presence(2);
    let host = Host::from("h1");
    let restarted = Status {
        incarnation: 2,
        ..STATUS
    };
    assert!(presence.hear(Instant::ZERO, &host, restarted));
    let leaving = Status {
        leaving: true,
        ..STATUS
    };
    assert!(!presence.hear(Instant::ZERO, &host, leaving));
    assert!(presence.is_serving(Instant::ZERO, &host));
}
