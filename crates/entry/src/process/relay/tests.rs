use super::{Answer, REQUEST_TIMEOUT, Update};
use crate::{
    model::{Config, Contract, Fact, Item, Kind, Limits, Route},
    process::control::MAX_RELAYS,
};
use azurenotch_wire::Map;
use rand::{Rng, SeedableRng, distr::Alphanumeric, rngs::SmallRng};
use std::time::Duration;
use test_case::test_case;

/// Bits per second of the slowest links of the large fleets: 20 Mbit/s, played at a share of 0.6.
const SLOWEST_LINK: f64 = 12e6;
/// Share of a link that requests of callers leave for changes.
const LINK_SHARE: f64 = 0.5;

fn name(random: &mut SmallRng, length: usize) -> String {
    let letters = random.sample_iter(Alphanumeric).take(length);
    letters.map(char::from).collect()
}

/// Returns an answer with a configuration of `routes` routes and 190 workspaces with random names.
fn answer(routes: usize) -> Answer {
    let mut random = SmallRng::seed_from_u64(1);
    let random = &mut random;
    let host = name(random, 14);
    let routes = (0..routes).map(|_| {
        let route = Route {
            host: host.clone(),
            prefix: format!("/{}/{}/", name(random, 8), name(random, 6)),
            kind: Kind::Idempotent,
            timeout: Duration::from_secs(8),
            objective: Duration::from_millis(1_200),
            priority: 2,
            parts: vec![(name(random, 7).into(), 1)],
            attempts: 2,
            open: true,
            sticky: true,
            homes: vec!["norte".into()],
        };
        (format!("r-{}", name(random, 7)).into(), route)
    });
    let routes = routes.collect();
    let workspaces = (0..190).map(|_| {
        let contract = Contract {
            keys: vec![name(random, 20)],
            priority: None,
            rate: 10.0,
            burst: 5.0,
            homes: Vec::new(),
        };
        (name(random, 8).into(), contract)
    });
    let config = Config {
        version: 7,
        routes,
        services: Map::default(),
        limits: Limits {
            header_bytes: 16_384,
            body_bytes: 1_000_000,
            header_time: Duration::from_secs(5),
            idle_time: Duration::from_secs(15),
        },
        workspaces: Some(workspaces.collect()),
    };
    let fact = Fact::new(9, Item::Config(Box::new(config)));
    let orders = Update {
        after: 0,
        up_to: 9,
        facts: vec![fact],
    };
    Answer {
        updates: [orders, Update::none(9), Update::none(9)],
    }
}

#[test_case(true; "compressed")]
#[test_case(false; "for hosts of earlier builds")]
fn an_answer_is_read_as_it_was_written(compresses: bool) {
    let answer = answer(20);
    let bytes = answer.encode(compresses).expect("encoded");
    let read = Answer::decode(&bytes, compresses).expect("decoded");
    assert_eq!(read.updates, answer.updates);
}

/// Guards against requests for a large configuration that all end without an answer.
#[test]
fn answers_with_a_large_configuration_arrive_before_the_requests_time_out() {
    let bytes = answer(1_700).encode(true).expect("encoded").len();
    let seconds = (MAX_RELAYS * bytes * 8) as f64 / (SLOWEST_LINK * LINK_SHARE);
    assert!(
        seconds < REQUEST_TIMEOUT.as_secs_f64(),
        "{MAX_RELAYS} answers of {bytes} bytes take {seconds:.2} s"
    );
}

/// Guards against an answer of another host that ends the process.
#[test]
fn bytes_that_are_no_answer_are_an_error() {
    let broken_off = {
        let answer = Answer {
            updates: [Update::none(1), Update::none(1), Update::none(1)],
        };
        let mut bytes = answer.encode(true).expect("encoded");
        bytes.truncate(bytes.len() / 2);
        bytes
    };
    for bytes in [
        &broken_off[..],
        b"",
        b"\xff\xff\xff\xff",
        b"not compressed at all",
    ] {
        assert!(Answer::decode(bytes, true).is_err(), "{bytes:?}");
    }
}
