//! Usage reports: counts of all hosts, and the task that writes and sends the reports.
//!
//! The decisions are those of [`azurenotch_core::process::usage`]. Hosts without the section `[usage]`
//! in their settings have no [`Book`] and do nothing of this.

mod convert;
mod duty;

pub use duty::run;

use crate::{
    process::{message, state::State},
    setting,
};
use azurenotch_core::process::{
    usage::{
        Claim, Claims, Ledger, Part, Setting, Tally, Window,
        order::{self, Candidate},
    },
    wall::{Clock, Offset, Time},
};
use azurenotch_wire::{
    Map,
    id::{Host, Incarnation},
    time::Instant,
};
use std::time::Duration;

/// Time without a datagram about usage after which a host is no collector.
///
/// A host sends one several times in this time, unless it was restarted with an earlier build.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(3);

/// What this host counts, and what it knows of the counts of the others.
#[derive(Debug)]
pub struct Book {
    own: (Host, Incarnation),
    setting: Setting,
    tally: Tally,
    ledger: Ledger,
    clock: Clock,
    /// Offset of the true time as of the last round, by which sends are counted.
    offset: Option<Offset>,
    claims: Claims,
    /// Other hosts with the time of their last datagram that was about usage.
    ///
    /// Hosts of builds before usage reports, and those without the section, send none.
    members: Map<Host, Instant>,
    /// Hosts that get the counts of this one.
    receivers: Vec<Host>,
    /// Claim of this host.
    claim: Claim,
}

impl Book {
    /// Creates the book of a host that has just started; `now` and `wall_ms` are the present time.
    pub fn new(
        own: (Host, Incarnation),
        terms: &setting::Usage,
        now: Instant,
        wall_ms: u64,
    ) -> Self {
        let setting = Setting {
            window: terms.window,
            late: terms.late,
            lease: terms.lease,
        };
        let mut clock = Clock::default();
        clock.set_own(now, wall_ms);
        Self {
            own,
            setting,
            tally: Tally::new(setting),
            ledger: Ledger::new(setting),
            offset: clock.offset(),
            clock,
            claims: Claims::default(),
            members: Map::default(),
            receivers: Vec::new(),
            claim: Claim::default(),
        }
    }

    /// Counts a send that a server began to run at `began`, for the hash of its workspace.
    pub fn record(&mut self, began: Instant, workspace: u32) {
        if let Some(offset) = self.offset {
            self.tally.record(offset.time(began), workspace);
        }
    }

    /// Returns what this host knows of the duty to report.
    pub(crate) fn claim(&self) -> Claim {
        self.claim
    }

    /// Returns the true time.
    pub fn time(&self, now: Instant) -> Option<Time> {
        self.clock.time(now)
    }

    /// Returns the counts of this host to send in a round, in parts of at most `max_bytes`.
    ///
    /// Takes them in as well, in case this host is a collector.
    pub(crate) fn parts(&mut self, now: Instant, max_bytes: usize) -> Vec<Part> {
        let Some(time) = self.clock.time(now) else {
            return Vec::new();
        };
        let parts = self.tally.parts(time, max_bytes);
        let (host, incarnation) = &self.own;
        for part in &parts {
            self.ledger.receive(time, host, *incarnation, part);
        }
        parts
    }

    /// Returns the hosts that get the counts of this one, given the present collectors.
    ///
    /// A host that hears nobody has none, and goes on sending to the last ones: its own datagrams may
    /// still arrive.
    pub(crate) fn receivers(&mut self, collectors: Vec<Host>) -> Vec<Host> {
        if !collectors.is_empty() {
            self.receivers = collectors;
        }
        self.receivers.clone()
    }

    /// Takes in the parts of another host's datagram that are about usage.
    ///
    /// `steady` is the present time on the clock that stands still while the machine is suspended.
    pub(crate) fn receive(
        &mut self,
        now: Instant,
        steady: Instant,
        from: (&Host, Incarnation),
        half_rtt: Duration,
        usage: &message::Usage,
        part: Option<&Part>,
    ) {
        let (host, incarnation) = from;
        self.clock.observe(host, now, usage.wall_ms, half_rtt);
        self.claims.receive(steady, host, incarnation, usage.claim);
        self.members.insert(host.clone(), now);
        if let Some((time, part)) = self.clock.time(now).zip(part) {
            self.ledger.receive(time, host, incarnation, part);
        }
    }

    /// Drops what is known of hosts that are unreachable; `removed` hosts no longer run.
    ///
    /// The first argument has the present time on both clocks.
    pub(crate) fn sweep(
        &mut self,
        (now, steady): (Instant, Instant),
        wall_ms: u64,
        removed: &[Host],
        is_reachable: impl Fn(&Host) -> bool,
    ) {
        self.clock.set_own(now, wall_ms);
        for host in removed {
            self.claims.forget(steady, host);
            self.members.remove(host);
        }
        for host in self.members.keys().filter(|host| !is_reachable(host)) {
            self.clock.forget(host);
        }
        self.offset = self.clock.offset();
    }

    /// Returns the time since the end of the last window whose report was accepted, if any was.
    fn accepted_age(&self, now: Instant) -> Option<Duration> {
        let accepted = self.claim.merge(self.claims.merged()).accepted;
        let time = self.clock.time(now).filter(|_| accepted != 0)?;
        Some(time.since(Window(accepted).end(&self.setting)))
    }
}

impl State {
    /// Returns the collectors of the counts, in the order in which they act.
    ///
    /// Empty if the settings do not ask for usage reports.
    pub(crate) fn collectors(&self, now: Instant) -> Vec<Host> {
        let Some(book) = &self.usage else {
            return Vec::new();
        };
        let path = self.store_path(now);
        let is_ready = self.is_ready();
        let membership = self.membership.lock();
        let presence = &membership.presence;
        let others = presence.count() - 1;
        let reachable = presence.reachable(now).count();
        let own = Candidate {
            host: &self.own.host,
            region: &self.own.region,
            is_serving: is_ready && 2 * reachable >= others,
            path,
        };
        let book = book.lock();
        let members = book.members.iter();
        let members = members.filter(|(_, last)| now.since(**last) < MEMBER_TIMEOUT);
        let candidates = members.filter_map(|(host, _)| {
            Some(Candidate {
                host,
                region: &membership.peers.get(host)?.region,
                is_serving: presence.is_serving(now, host),
                path: presence.path(host),
            })
        });
        let claim = book.claim.merge(book.claims.merged());
        let holder = (claim.token != 0).then_some(claim.holder);
        let collectors = order::collectors(own, candidates, holder);
        collectors.into_iter().cloned().collect()
    }
}

#[cfg(test)]
mod tests;
