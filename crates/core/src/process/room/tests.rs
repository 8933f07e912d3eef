use super::{Decision, Id, Room};
use azurenotch_wire::time::Instant;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::Duration;
use test_case::test_case;

/// All connections that the room is created for; two of them are kept in reserve.
const TOTAL: usize = 32;

fn at(ms: u64) -> Instant {
    Instant::ZERO + Duration::from_millis(ms)
}

/// Returns a room with as many connections as it keeps; `busy` of them have a request.
fn full(busy: usize) -> (Room, Vec<Id>) {
    let mut room = Room::new(TOTAL);
    let mut ids = Vec::new();
    for number in 0..room.limit() {
        let Decision::Admit(id) = room.open(at(number as u64)) else {
            panic!("connection {number} is below the limit");
        };
        ids.push(id);
    }
    for id in ids.iter().take(busy) {
        room.begin(*id);
    }
    (room, ids)
}

#[test]
fn the_longest_idle_connection_gives_way() {
    let (mut room, ids) = full(3);
    // The first connection has become idle again after all others.
    room.end(ids[0], at(1000));
    for expected in [ids[3], ids[4]] {
        let decision = room.open(at(2000));
        assert!(matches!(decision, Decision::Replace { idle, .. } if idle == expected));
        room.close(expected);
    }
}

#[test]
fn a_connection_with_a_request_never_gives_way() {
    let (mut room, ids) = full(TOTAL);
    assert!(matches!(room.open(at(2000)), Decision::Reject(_)));
    room.end(ids[7], at(2001));
    let decision = room.open(at(2002));
    assert!(matches!(decision, Decision::Replace { idle, .. } if idle == ids[7]));
}

#[test]
fn a_connection_that_wakes_as_it_closes_is_kept() {
    let (mut room, ids) = full(0);
    assert!(matches!(room.open(at(2000)), Decision::Replace { .. }));
    room.begin(ids[0]);
    assert!(room.is_over());
    room.close(ids[1]);
    assert!(!room.is_over());
}

/// Connections above the limit, all of them with a request.
struct Case {
    new: usize,
    rejected: usize,
    closed: usize,
}

#[test_case(Case { new: 1, rejected: 1, closed: 0 }; "one")]
#[test_case(Case { new: 2, rejected: 2, closed: 0 }; "as many as the reserve")]
#[test_case(Case { new: 10 * TOTAL, rejected: 2, closed: 10 * TOTAL - 2 }; "ten times the limit")]
fn connections_beyond_the_reserve_are_closed_unread(case: Case) {
    let (mut room, _) = full(TOTAL);
    let decisions: Vec<_> = (0..case.new).map(|_| room.open(at(2000))).collect();
    let rejected = decisions
        .iter()
        .filter(|it| matches!(it, Decision::Reject(_)));
    assert_eq!(rejected.count(), case.rejected);
    let closed = decisions.iter().filter(|it| **it == Decision::Close);
    assert_eq!(closed.count(), case.closed);
}

/// Plays storms of new connections with idle ones that wake and close at any moment.
#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn the_room_never_holds_more_than_it_was_created_for(seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut room = Room::new(TOTAL);
    let mut open: Vec<Id> = Vec::new();
    let mut closing: Vec<Id> = Vec::new();
    for step in 0..100_000 {
        let now = at(step);
        match random.random_range(0..6) {
            0 | 1 => match room.open(now) {
                Decision::Admit(id) | Decision::Reject(id) => open.push(id),
                Decision::Replace { new, idle } => {
                    open.push(new);
                    closing.push(idle);
                }
                Decision::Close => {}
            },
            // A connection that was asked to close does so, unless a request has arrived on it.
            2 => {
                if let Some(id) = closing.pop() {
                    if random.random_bool(0.5) {
                        room.begin(id);
                    } else {
                        room.close(id);
                        open.retain(|it| *it != id);
                    }
                }
            }
            action => {
                if open.is_empty() {
                    continue;
                }
                let index = random.random_range(0..open.len());
                let id = open[index];
                match action {
                    3 => room.begin(id),
                    4 if !closing.contains(&id) => room.end(id, now),
                    5 => {
                        room.close(id);
                        open.swap_remove(index);
                        closing.retain(|it| *it != id);
                    }
                    _ => {}
                }
            }
        }
        assert!(
            open.len() <= TOTAL,
            "{} connections at step {step}",
            open.len()
        );
        assert!(room.kept() <= open.len());
    }
}
