//! Fleets, contracts and snapshots of a given size.

use azurenotch_config::{
    document::{Access, Contract, Document, Fleet, Route, Server},
    snapshot::{Key, KeyHash, Snapshot},
};
use azurenotch_core::process::membership::RosterEntry;
use azurenotch_wire::{
    id::{DataCentre, Host, Incarnation, Region, Workspace},
    peer::{Heartbeat, Role, State},
    time::Stamp,
    version::Version,
};
use ipnet::{IpNet, Ipv4Net};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

/// Data centres of the target fleet.
pub const DATA_CENTRES: usize = 24;
/// Regions of the target fleet.
pub const REGIONS: usize = 10;
/// Services of the synthetic documents.
const SERVICES: usize = 30;

/// Returns the name of a host.
pub fn host(index: usize) -> Host {
    format!("host-{index:04}").into()
}

/// Returns the data centre of a host.
pub fn data_centre(index: usize) -> DataCentre {
    format!("centre-{:02}", index % DATA_CENTRES).into()
}

/// Returns the region of a data centre or server.
pub fn region(index: usize) -> Region {
    format!("region-{:02}", index % REGIONS).into()
}

/// Returns the name of a workspace.
pub fn workspace(index: usize) -> Workspace {
    format!("workspace-{index:05}").into()
}

/// Returns an address in the loopback range.
pub fn address(index: usize, port: u16) -> SocketAddr {
    let [_, a, b, c] = (index as u32).to_be_bytes();
    (Ipv4Addr::new(127, a.wrapping_add(1), b, c), port).into()
}

/// Returns the platform's list of the first hosts.
pub fn list(hosts: usize) -> Vec<RosterEntry> {
    (0..hosts)
        .map(|index| RosterEntry {
            host: host(index),
            data_centre: data_centre(index),
            address: address(index, 8080),
            leaving: false,
        })
        .collect()
}

/// Returns a heartbeat of a host that holds a number of roles.
pub fn heartbeat(index: usize, roles: usize) -> Heartbeat {
    let role = |role| Role {
        name: format!("relay/centre-{role:02}"),
        token: 900 + role as u64,
    };
    Heartbeat {
        host: host(index),
        incarnation: Incarnation(0x5f37_59df_1234_5678),
        data_centre: data_centre(index),
        address: address(index, 8080),
        peer: address(index, 8081),
        operator: address(index, 8082),
        state: State::Live,
        stamp: Stamp {
            wall_ms: 1_796_000_000_000,
            logical: 3,
        },
        version: Version {
            epoch: 1,
            number: 120_000,
        },
        store_contact_ms: Some(740),
        roles: (0..roles).map(role).collect(),
        in_flight: 140,
        load: 0.61,
    }
}

/// Returns the contract of a workspace.
pub fn contract(rate: f64) -> Contract {
    Contract {
        rate,
        burst: rate * 2.0,
        concurrency: 400,
        regional_share: BTreeMap::new(),
        version_share_step: 0.1,
        version_step_interval: Duration::from_secs(30),
        latency: Duration::from_millis(250),
        refusals: 0.01,
        isolation_limit: Duration::from_mins(1),
    }
}

/// Numbers of entries of a snapshot.
#[derive(Debug, Clone, Copy, Default)]
pub struct Size {
    /// Workspaces.
    pub workspaces: usize,
    /// Keys.
    pub keys: usize,
    /// Backend servers.
    pub servers: usize,
    /// Client blocks.
    pub blocks: usize,
}

/// Returns a valid snapshot with its text.
///
/// The first service runs versions 1 and 2 on two extra servers, so that it can move.
pub fn snapshot(size: Size) -> Snapshot {
    let (document, source) = document(size);
    let key = |index: usize| {
        let key = Key {
            workspace: workspace(index % size.workspaces.max(1)),
            name: format!("key-{index:05}"),
            withdrawn: false,
        };
        (KeyHash::of(key.name.as_bytes()), key)
    };
    let releases = document.services.clone();
    Snapshot {
        version: Version {
            epoch: 1,
            number: 120_000,
        },
        document,
        source,
        keys: (0..size.keys).map(key).collect(),
        drains: BTreeSet::new(),
        moves: BTreeMap::new(),
        releases,
    }
}

fn document(size: Size) -> (Document, String) {
    let mut document = Document {
        fleet: Fleet {
            slots: 3_200,
            ..Fleet::default()
        },
        ..Document::default()
    };
    let mut text = "[fleet]\nslots = 3200\n".to_owned();
    for index in 0..REGIONS {
        push(&mut text, &format!("[region {}]\n", region(index)));
    }
    for index in 0..DATA_CENTRES {
        let (name, region) = (data_centre(index), region(index));
        push(
            &mut text,
            &format!("[data-centre {name}]\nregion = {region}\n"),
        );
        document.data_centres.insert(name, region);
    }
    for index in 0..SERVICES {
        push(
            &mut text,
            &format!("[service service-{index:02}]\nversion = 1\n"),
        );
        let name = format!("service-{index:02}");
        document.services.insert(name.as_str().into(), "1".into());
    }
    for index in 0..SERVICES {
        routes(&mut document, &mut text, index);
    }
    for index in 0..size.servers + 2 {
        server(&mut document, &mut text, index, size.servers);
    }
    for index in 0..size.workspaces {
        let name = workspace(index);
        push(
            &mut text,
            &format!(
                "[workspace {name}]\nrate = 200/s\nburst = 400\nconcurrency = 400\n\
                 latency = 250ms\n"
            ),
        );
        document.workspaces.insert(name, contract(200.0));
    }
    for index in 0..size.blocks {
        let (net, regions) = (block(index), vec![region(index), region(index + 3)]);
        push(
            &mut text,
            &format!("[block {net}]\nregions = {}, {}\n", regions[0], regions[1]),
        );
        document.blocks.insert(net, regions);
    }
    (document, text)
}

fn routes(document: &mut Document, text: &mut String, index: usize) {
    let prefix = format!("/service-{index:02}");
    push(
        text,
        &format!(
            "[route route-{index:02}]\nservice = service-{index:02}\nprefix = {prefix}\n\
             methods = GET, POST\n"
        ),
    );
    let route = Route {
        service: format!("service-{index:02}").into(),
        prefix,
        methods: vec!["GET".to_owned(), "POST".to_owned()],
        access: Access::Keyed,
        idempotent: false,
        timeout: Duration::from_secs(10),
        body_limit: 1024 * 1024,
    };
    document
        .routes
        .insert(format!("route-{index:02}").into(), route);
}

fn server(document: &mut Document, text: &mut String, index: usize, count: usize) {
    let extra = index >= count;
    let server = Server {
        service: format!("service-{:02}", if extra { 0 } else { index % SERVICES }).into(),
        release: if index > count { "2" } else { "1" }.into(),
        data_centre: data_centre(index),
        address: address(index, 9090),
        slots: 9,
        connections: 390,
    };
    push(
        text,
        &format!(
            "[server server-{index:04}]\nservice = {}\nversion = {}\ndata-centre = {}\n\
             address = {}\nslots = 9\nconnections = 390\n",
            server.service, server.release, server.data_centre, server.address
        ),
    );
    document
        .servers
        .insert(format!("server-{index:04}").into(), server);
}

/// Returns the /24 block with a number.
pub fn block(index: usize) -> IpNet {
    let address = Ipv4Addr::from(0x0100_0000 + ((index as u32) << 8));
    Ipv4Net::new(address, 24)
        .expect("24 is a prefix length")
        .into()
}

fn push(text: &mut String, section: &str) {
    // Writing to a string does not fail.
    let _ = text.write_str(section);
}
