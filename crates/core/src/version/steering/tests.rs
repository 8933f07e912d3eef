use super::*;
use azurenotch_wire::{event::Reachability, peer::State};
use ipnet::{Ipv4Net, Ipv6Net};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::net::Ipv4Addr;
use test_case::test_case;

fn region_list(regions: &str) -> Vec<Region> {
    regions.split(' ').map(Region::from).collect()
}

fn steering(blocks: &[(&str, &str)]) -> Steering {
    let blocks = blocks
        .iter()
        .map(|(net, regions)| (net.parse().unwrap(), region_list(regions)));
    Steering::new(&blocks.collect(), region_list("home"))
}

#[test_case("9.255.255.255", "home"; "before the block")]
#[test_case("10.0.0.0", "a b"; "first address")]
#[test_case("10.1.0.0", "b a"; "nested block wins")]
#[test_case("10.1.2.3", "c"; "innermost block wins")]
#[test_case("10.1.3.0", "b a"; "after the innermost block")]
#[test_case("10.2.0.0", "a b"; "after the nested block")]
#[test_case("10.255.255.255", "a b"; "last address")]
#[test_case("11.0.0.0", "home"; "after the block")]
#[test_case("255.255.255.255", "c"; "last address of all")]
#[test_case("::ffff:10.1.2.3", "c"; "mapped address")]
#[test_case("2001:db8::1", "a b"; "short prefix")]
#[test_case("2001:db8:1::5", "c"; "single address of a long prefix")]
#[test_case("2001:db8:1::6", "a b"; "after the long prefix")]
#[test_case("2001:db9::", "home"; "after the short prefix")]
fn the_longest_prefix_wins(client: &str, expected: &str) {
    let steering = steering(&[
        ("10.0.0.0/8", "a b"),
        ("10.1.0.0/16", "b a"),
        ("10.1.2.0/24", "c"),
        ("255.255.255.0/24", "c"),
        ("2001:db8::/32", "a b"),
        ("2001:db8:1::5/128", "c"),
    ]);
    assert_eq!(
        steering.regions(client.parse().unwrap()),
        region_list(expected)
    );
    assert_eq!(steering.orders.len(), 3);
}

/// Guards against ranges that are wrong only for certain nested or adjacent blocks.
#[test]
fn agrees_with_a_search_of_all_blocks() {
    let mut random = SmallRng::seed_from_u64(0x6e65_7374);
    let orders = ["a", "b", "c"].map(region_list);
    let blocks = (0..2_000)
        .map(|_| {
            let address = Ipv4Addr::from(random.random::<u32>() >> 8);
            let net = Ipv4Net::new_assert(address, random.random_range(8..=32)).trunc();
            (IpNet::V4(net), orders[random.random_range(0..3)].clone())
        })
        .collect::<BTreeMap<_, _>>();
    let steering = Steering::new(&blocks, region_list("home"));
    for _ in 0..2_000 {
        let client = IpAddr::from(Ipv4Addr::from(random.random::<u32>() >> 8));
        let expected = blocks
            .iter()
            .filter(|(net, _)| net.contains(&client))
            .max_by_key(|(net, _)| net.prefix_len())
            .map_or_else(|| region_list("home"), |(_, regions)| regions.clone());
        assert_eq!(steering.regions(client), expected, "{client}");
    }
}

/// Guards against a table that needs too much memory; gaps between blocks add the most ranges.
#[test]
fn table_of_1_900_000_blocks_fits_64_mib() {
    let orders = ["a", "b"].map(region_list);
    let blocks = (0..1_900_000_u32).map(|n| {
        let net = if n % 3 == 0 {
            Ipv6Net::new_assert(((0x2000_0000 + u128::from(n)) << 96 >> 1).into(), 48).into()
        } else {
            Ipv4Net::new_assert((n << 10).into(), 24).into()
        };
        (net, orders[(n % 2) as usize].clone())
    });
    let steering = Steering::new(&blocks.collect(), region_list("home"));
    let bytes = steering.bytes();
    assert!(bytes < 64 << 20, "{bytes} bytes");
}

fn host_status(host: &str, region: &str, grade: Grade, load: f32) -> HostStatus {
    let (reachability, state) = match grade {
        Grade::Live => (Reachability::Live, State::Live),
        Grade::Suspect => (Reachability::Suspect, State::Live),
        Grade::Leaving => (Reachability::Live, State::Leaving),
        Grade::Unavailable => (Reachability::Dead, State::Live),
    };
    HostStatus {
        host: host.into(),
        address: "127.0.0.1:1".parse().unwrap(),
        region: region.into(),
        data_centre: region.into(),
        reachability,
        state,
        load,
    }
}

use Grade::{Leaving, Live, Suspect, Unavailable};

#[test_case(&[("n1", "b", Live, 0.1), ("n2", "a", Live, 0.5), ("n3", "a", Live, 0.2)], &[("n3", 80), ("n2", 50), ("n1", 90)]; "region order, then headroom")]
#[test_case(&[("n1", "a", Suspect, 0.0), ("n2", "b", Live, 0.0)], &[("n2", 100), ("n1", 100)]; "suspect after live")]
#[test_case(&[("n1", "a", Leaving, 0.0), ("n2", "a", Unavailable, 0.0), ("n3", "b", Live, 1.0)], &[("n3", 1)]; "leaving and dead are left out")]
#[test_case(&[("n1", "a", Live, 0.0), ("n2", "c", Live, 0.0)], &[("n1", 100)]; "other regions only if needed")]
#[test_case(&[("n1", "a", Leaving, 0.0), ("n2", "c", Live, 0.0)], &[("n2", 100)]; "another region before leaving hosts")]
#[test_case(&[("n1", "a", Leaving, 0.0), ("n2", "a", Unavailable, 0.0)], &[("n1", 100)]; "leaving before dead")]
#[test_case(&[("n1", "c", Unavailable, f32::NAN)], &[("n1", 1)]; "an unavailable host rather than none")]
fn orders_hosts(hosts: &[(&str, &str, Grade, f32)], expected: &[(&str, u32)]) {
    let hosts = hosts
        .iter()
        .map(|(host, region, grade, load)| host_status(host, region, *grade, *load));
    let fleet = Fleet::new(&hosts.collect::<Vec<_>>());
    let steering = steering(&[("10.0.0.0/8", "a b")]);
    let client = "10.0.0.1".parse().unwrap();
    let lookup = steering.choose(client, &fleet, Duration::from_secs(10));
    let hosts = lookup.hosts.iter();
    let actual = hosts.map(|choice| (choice.host.as_str(), choice.weight));
    assert_eq!(actual.collect::<Vec<_>>(), expected);
    assert_eq!(lookup.lifetime_ms, 10_000);
}

/// Guards against a full region that still gets all callers, and against sending all of them to the
/// next one.
#[test_case(0.7, 0.1, 0.0; "enough headroom")]
#[test_case(0.9, 0.1, 0.25; "little headroom")]
#[test_case(1.0, 0.1, 0.5; "none")]
#[test_case(f32::NAN, 0.1, 0.5; "unknown load counts as full")]
#[test_case(0.9, 0.95, 0.0; "the next region has less")]
fn a_full_region_passes_some_callers_on(first: f32, second: f32, share: f64) {
    let fleet = Fleet::new(&[
        host_status("n1", "a", Live, first),
        host_status("n2", "b", Live, second),
    ]);
    let steering = steering(&[("10.0.0.0/8", "a b")]);
    let passed_on = (0..10_000)
        .filter(|n| {
            let client = Ipv4Addr::from(0x0a00_0000 + n).into();
            steering.choose(client, &fleet, Duration::ZERO).hosts[0]
                .host
                .as_str()
                == "n2"
        })
        .count();
    assert!(
        (passed_on as f64 / 10_000.0 - share).abs() < 0.03,
        "{passed_on}"
    );
}

/// Guards against answers that contain the same few hosts for all callers of a large region.
#[test]
fn callers_are_spread_over_a_large_region() {
    let hosts = (0..130).map(|n| host_status(&format!("n{n}"), "a", Live, 0.5));
    let fleet = Fleet::new(&hosts.collect::<Vec<_>>());
    let steering = steering(&[("10.0.0.0/8", "a b")]);
    let mut counts = Map::<_, u32>::default();
    for n in 0..13_000 {
        let client = Ipv4Addr::from(0x0a00_0000 + n).into();
        let hosts = steering.choose(client, &fleet, Duration::ZERO).hosts;
        assert_eq!(hosts.len(), MAX_REGION_HOSTS);
        for choice in hosts {
            *counts.entry(choice.host).or_default() += 1;
        }
    }
    let most = counts.values().max().copied().unwrap();
    assert!(
        counts.len() == 130 && most <= 800,
        "{most} of 400 on average"
    );
}
