//! Hosts of the search, and what happens to them.

use super::SERVERS;
use crate::{
    model::{Backend, Fact, Item},
    process::{
        gossip::contact::Contact,
        replica::{Replica, Update},
    },
};
use azurenotch_core::process::{
    echo::Echo,
    election::Path,
    follow::{Calls, Reason},
    presence::{Presence, Status},
};
use azurenotch_wire::{
    Map,
    id::{DataCentre, Host as Name, Region},
    time::Instant,
};
use std::time::Duration;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    Frozen,
    Dead,
    /// The store's answers do not arrive.
    Silent,
    /// The store refuses calls.
    Refused,
}

/// What happens at an instant.
#[derive(Debug)]
pub(super) enum Event {
    /// A host looks at what it has to do.
    Step(usize),
    /// A host sends changes to its receivers.
    Send(usize),
    /// An answer of the store, or the end of the wait for it, to the call with this number.
    Answer(usize, u64),
    /// Messages that arrive together.
    Message(usize, Box<Message>),
    /// The answer of another host to a request for newer rows.
    Rows(usize, usize),
}

#[derive(Debug)]
pub(super) struct Message {
    pub(super) from: usize,
    pub(super) sent: Instant,
    pub(super) echo: Option<Echo>,
    pub(super) path: Path,
    pub(super) version: u64,
    pub(super) confirmed: Option<Instant>,
    pub(super) updates: Option<[Update; 2]>,
}

#[derive(Debug)]
pub(super) struct Call {
    pub(super) number: u64,
    pub(super) after: u64,
    pub(super) started: Instant,
    pub(super) wait: Duration,
    pub(super) reason: Reason,
}

#[derive(Debug)]
pub(super) struct Host {
    pub(super) name: Name,
    pub(super) data_centre: DataCentre,
    pub(super) region: Region,
    pub(super) replica: Replica,
    pub(super) presence: Presence,
    pub(super) contacts: Map<usize, Contact>,
    pub(super) calls: Calls,
    pub(super) call: Option<Call>,
    /// Until when it does not call after a failure.
    pub(super) pause: Instant,
    pub(super) next_round: Instant,
    /// Whether it is about to send to its receivers.
    pub(super) wakes: bool,
    pub(super) requests: bool,
    pub(super) fault: Option<(Fault, Instant)>,
    /// Last instant at which it had a fault.
    pub(super) disturbed: Option<Instant>,
}

pub(super) fn row(version: u64, server: usize, listed: bool) -> Fact {
    let backend = Backend {
        service: "s".into(),
        address: "127.0.0.1:80".parse().expect("valid address"),
        data_centre: "a".into(),
        release: "v1".into(),
        slots: 9,
        draining: false,
        cold: Duration::ZERO,
        born_ms: None,
    };
    let item = Item::Backend(format!("i-{server}").into(), listed.then_some(backend));
    Fact::new(version, item)
}

impl Host {
    pub(super) fn new(index: usize, data_centres: usize, now: Instant) -> Self {
        let data_centre = index % data_centres;
        Self {
            name: format!("h{index}").into(),
            data_centre: format!("z{data_centre}").into(),
            region: format!("r{}", data_centre % 3).into(),
            replica: Replica::default(),
            presence: Presence::default(),
            contacts: Map::default(),
            calls: Calls::default(),
            call: None,
            pause: now,
            next_round: now,
            wakes: false,
            requests: false,
            fault: None,
            disturbed: Some(now),
        }
    }

    pub(super) fn runs(&self) -> bool {
        !matches!(self.fault, Some((Fault::Frozen | Fault::Dead, _)))
    }

    pub(super) fn version(&self) -> u64 {
        self.replica.freshness(SERVERS).version
    }
}

pub(super) fn status(path: Path) -> Status {
    Status {
        incarnation: 1,
        serving: true,
        leaving: false,
        path,
    }
}
