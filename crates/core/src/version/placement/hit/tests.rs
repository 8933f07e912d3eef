use super::*;
use test_case::test_case;

const HOME: Place = Place {
    rank: Rank::Home(0),
    near: true,
    sent: false,
    class: Class::Few,
};

fn applied() -> Hits {
    Hits {
        applies: true,
        ..Hits::new()
    }
}

fn after(place: Place, hits: u32, misses: u32) -> Hits {
    let mut measured = applied();
    for number in 0..hits + misses {
        let turn = (number + 1) * hits / (hits + misses) > number * hits / (hits + misses);
        measured.observe(place, turn);
    }
    measured
}

/// Guards against other choices than with constants where nothing was measured.
#[test_case(HOME, 0.95; "home")]
#[test_case(Place { near: false, ..HOME }, 0.85; "home in another region")]
#[test_case(Place { near: false, sent: true, ..HOME }, 0.95; "sent to another region")]
#[test_case(Place { rank: Rank::Spare, ..HOME }, 0.5; "spare")]
#[test_case(Place { rank: Rank::Other, ..HOME }, 0.05; "other")]
#[test_case(Place { rank: Rank::Other, sent: true, ..HOME }, 0.95; "sent")]
fn the_prior_holds_without_answers(place: Place, expected: f64) {
    assert!((applied().probability(place) - expected).abs() < 1e-9);
}

/// Guards against a constant that outweighs what servers do, and against few answers that do.
#[test_case(1, 1, 0.8, 0.95; "two answers")]
#[test_case(100, 100, 0.48, 0.6; "half of many")]
#[test_case(0, 200, 0.0, 0.12; "no hit")]
#[test_case(200, 0, 0.97, 1.0; "hits only")]
fn answers_replace_the_prior(hits: u32, misses: u32, least: f64, most: f64) {
    let measured = after(HOME, hits, misses).probability(HOME);
    assert!(least <= measured && measured <= most, "{measured}");
}

/// Guards against one class that stands for another with many answers of its own.
#[test]
fn classes_differ_once_each_has_answers() {
    let new = Place {
        class: Class::New,
        ..HOME
    };
    let mut hits = applied();
    for _ in 0..100 {
        hits.observe(new, false);
        hits.observe(HOME, true);
    }
    assert!(hits.probability(new) < 0.2);
    assert!(hits.probability(HOME) > 0.8);
    let other = Place {
        rank: Rank::Home(1),
        ..HOME
    };
    assert!((hits.probability(other) - HOME_PRIOR).abs() < 1e-9);
}

/// Guards against counts that stay after the time that they cover.
#[test]
fn counts_of_objects_end() {
    let class_of = |hits: &Hits, now, object| Class::new(hits.requests(now, object).0);
    let mut hits = Hits::new();
    let at = |ms| Instant::ZERO + Duration::from_millis(ms);
    let seen = [(0, Class::New), (100, Class::Once), (200, Class::Few)];
    for (ms, class) in seen {
        assert_eq!(class_of(&hits, at(ms), 7), class);
        hits.count(at(ms), 7);
    }
    hits.count(at(300), 7);
    assert_eq!(class_of(&hits, at(4_200), 7), Class::Many);
    hits.count(at(4_300), 8);
    assert_eq!(class_of(&hits, at(4_400), 7), Class::Many);
    hits.count(at(8_400), 8);
    assert_eq!(class_of(&hits, at(8_500), 7), Class::New);
    assert_eq!(class_of(&hits, at(8_500), 8), Class::Few);
    assert_eq!(class_of(&hits, at(30_000), 8), Class::New);
}

/// Guards against other choices than with constants where the caches have no room.
#[test]
fn the_prior_holds_without_room() {
    let hits = Hits {
        applies: false,
        ..after(HOME, 0, 100)
    };
    assert!((hits.probability(HOME) - HOME_PRIOR).abs() < 1e-9);
}

/// Guards against a number of objects that is no more than a host with few requests happens to see.
#[test_case(&[3, 4, 3, 5], 4.0, 4.0; "all seen several times")]
#[test_case(&[1, 1, 1, 1, 1, 1, 2, 2, 3], 12.0, 16.0; "many seen once")]
fn unseen_objects_are_estimated(counts: &[u32], least: f64, most: f64) {
    let mut hits = Hits::new();
    for (object, count) in counts.iter().enumerate() {
        for _ in 0..*count {
            hits.count(Instant::ZERO, object as u64);
        }
    }
    let objects = hits.objects();
    assert!(least <= objects && objects <= most, "{objects}");
}
