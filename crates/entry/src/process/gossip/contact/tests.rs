use super::{ACKNOWLEDGEMENT_TIME, Contact};
use crate::{
    model::{Fact, Item},
    process::replica::Update,
};
use azurenotch_core::process::echo::Echo;
use azurenotch_wire::time::Instant;
use std::time::Duration;

const ECHO: Echo = Echo {
    incarnation: 1,
    sent_ms: 0,
};

/// Returns the part with the change of a server at a version.
fn part(version: u64) -> [Update; 2] {
    let servers = Update {
        after: version - 1,
        up_to: version,
        facts: vec![Fact::new(version, Item::Backend("i".into(), None))],
    };
    [Update::none(0), servers]
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// Guards against changes that are sent again in each round until the host has answered.
#[test]
fn a_change_is_sent_once_if_it_arrives() {
    let mut contact = Contact::new(ECHO, [0, 10]);
    assert!(contact.lacks(at(0), &part(11)));
    contact.tell(at(0), [0, 11]);
    assert!(!contact.lacks(at(60), &part(11)));
    // This message had left before the change arrived.
    contact.update(at(70), ECHO, [0, 10]);
    assert!(!contact.lacks(at(80), &part(11)));
    contact.update(at(700), ECHO, [0, 11]);
    assert!(!contact.lacks(at(5_000), &part(11)));
    assert!(contact.lacks(at(5_000), &part(12)));
}

/// Guards against a lost change that is never sent again because others follow it.
#[test]
fn a_change_that_is_not_acknowledged_is_sent_again() {
    let mut contact = Contact::new(ECHO, [0, 10]);
    let mut now = at(0);
    for version in 11.. {
        contact.tell(now, [0, version]);
        now = now + Duration::from_millis(60);
        contact.update(now, ECHO, [0, 10]);
        if contact.lacks(now, &part(11)) {
            break;
        }
    }
    assert!(now.since(at(0)) >= ACKNOWLEDGEMENT_TIME);
    assert!(now.since(at(0)) < 2 * ACKNOWLEDGEMENT_TIME);
}

/// Guards against parts that are sent twice while acknowledgements of a series are on the way.
#[test]
fn a_series_is_not_sent_again_while_it_is_acknowledged() {
    let mut contact = Contact::new(ECHO, [0, 10]);
    for step in 1..200 {
        let now = at(60 * step);
        contact.tell(now, [0, 10 + step]);
        let acknowledged = 10 + step.saturating_sub(8);
        contact.update(now, ECHO, [0, acknowledged]);
        assert!(!contact.lacks(now, &part(10 + step)));
    }
}
