//! Look-ups of client addresses with 1.9 million blocks.

use azurenotch_core::version::steering::{Fleet, HostStatus, Steering};
use azurenotch_wire::{event::Reachability, id::Region, peer::State};
use divan::{Bencher, black_box};
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, Ipv6Addr},
    time::Duration,
};

const BLOCKS: usize = 1_900_000;
const CLIENTS: usize = 1 << 16;
const REGIONS: usize = 10;
const HOSTS: usize = 3_100;
const CENTRES: usize = 24;

fn main() {
    divan::main();
}

fn regions(random: &mut SmallRng) -> Vec<Region> {
    let first = random.random_range(0..REGIONS);
    (0..3)
        .map(|n| Region::from(format!("r{}", (first + n) % REGIONS)))
        .collect()
}

/// Returns random blocks, a third of them IPv6 and some nested.
fn blocks() -> BTreeMap<IpNet, Vec<Region>> {
    let mut random = SmallRng::seed_from_u64(0x626c_6f63);
    let mut blocks = BTreeMap::new();
    while blocks.len() < BLOCKS {
        let net = if random.random_ratio(1, 3) {
            let address = 0x2000 << 112 | random.random::<u128>() >> 3;
            let length = random.random_range(32..=56);
            Ipv6Net::new_assert(Ipv6Addr::from(address), length)
                .trunc()
                .into()
        } else {
            let length = random.random_range(18..=24);
            Ipv4Net::new_assert(Ipv4Addr::from(random.random::<u32>()), length)
                .trunc()
                .into()
        };
        blocks.insert(net, regions(&mut random));
    }
    blocks
}

fn clients(blocks: &BTreeMap<IpNet, Vec<Region>>) -> Vec<IpAddr> {
    let mut random = SmallRng::seed_from_u64(0x636c_6965);
    let nets = blocks.keys().collect::<Vec<_>>();
    (0..CLIENTS)
        .map(|_| nets[random.random_range(0..nets.len())].addr())
        .collect()
}

#[divan::bench(sample_count = 50, sample_size = 20_000)]
fn look_up(bencher: Bencher) {
    let blocks = blocks();
    let clients = clients(&blocks);
    let steering = Steering::new(&blocks, Vec::new());
    println!("{} MB for {} blocks", steering.bytes() >> 20, blocks.len());
    let mut next = 0;
    bencher.bench_local(|| {
        next = (next + 1) % CLIENTS;
        steering.regions(black_box(clients[next])).len()
    });
}

/// Full answer with 3,100 known hosts.
#[divan::bench(sample_count = 50, sample_size = 20_000)]
fn answer(bencher: Bencher) {
    let blocks = blocks();
    let clients = clients(&blocks);
    let steering = Steering::new(&blocks, Vec::new());
    let hosts = (0..HOSTS)
        .map(|n| HostStatus {
            host: format!("n{n}").into(),
            address: "127.0.0.1:8080".parse().expect("the address is valid"),
            region: format!("r{}", n % CENTRES % REGIONS).into(),
            data_centre: format!("d{}", n % CENTRES).into(),
            reachability: Reachability::Live,
            state: State::Live,
            load: (n % 100) as f32 / 100.0,
        })
        .collect::<Vec<_>>();
    let fleet = Fleet::new(&hosts);
    let mut next = 0;
    bencher.bench_local(|| {
        next = (next + 1) % CLIENTS;
        steering.choose(black_box(clients[next]), &fleet, Duration::from_secs(10))
    });
}

/// Baseline: the nearest start at or before the address in the ordered map of blocks.
#[divan::bench(sample_count = 50, sample_size = 20_000)]
fn ordered_map(bencher: Bencher) {
    let blocks = blocks();
    let clients = clients(&blocks);
    let mut next = 0;
    bencher.bench_local(|| {
        next = (next + 1) % CLIENTS;
        let client = IpNet::from(black_box(clients[next]));
        blocks
            .range(..=client)
            .next_back()
            .map(|(_, regions)| regions.len())
    });
}
