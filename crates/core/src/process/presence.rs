//! Reachability of the other hosts, from the status that each reports.
//!
//! Hosts exchange their status several times a second. An unreachable host is dropped from
//! look-ups within seconds, but its share of the contracts stays reserved for longer, because it
//! may be partitioned and still serve callers.

use super::election::Path;
use azurenotch_wire::{Map, Set, id::Host, time::Instant};
use std::time::Duration;

/// Longest time without a status until a host is unreachable and not named in look-ups.
const MAX_UNREACHABLE_AFTER: Duration = Duration::from_secs(2);
/// Share of the contact bound after which a host without a status is unreachable.
const UNREACHABLE_CONTACT_SHARE: f64 = 0.66;
/// Time without a status after which a host's share of the contracts is free, if most hosts are
/// reachable.
///
/// A host that is cut off from the store refuses keys sooner than that, so it no longer uses its
/// share by then.
const HOST_REMOVAL_TIMEOUT: Duration = Duration::from_secs(8);
/// Time without a status after which a host's share is free if most hosts are unreachable.
const MINORITY_HOST_REMOVAL_TIMEOUT: Duration = Duration::from_mins(1);

/// Time without a status, as a multiple of the time between two messages, after which at least one
/// message is missing.
///
/// Rounds are up to a tenth longer than usual, and a message takes up to 40 ms to another region.
const MISSING_AFTER_ROUNDS: f64 = 1.35;

/// Longest time between the starts of hosts that started together, as after a loss of all of them.
const COMMON_START_TIME: Duration = Duration::from_secs(2);

/// Returns the time without a status after which at least one message of a host is missing.
pub fn missing_after(round: Duration) -> Duration {
    round.mul_f64(MISSING_AFTER_ROUNDS)
}

/// Status that a host reports of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Incarnation of the host.
    pub incarnation: u64,
    /// Whether it accepts callers.
    pub serving: bool,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Its way to the store.
    pub path: Path,
}

/// Other hosts with the last status that each reported.
#[derive(Debug, Clone)]
pub struct Presence {
    hosts: Map<Host, Report>,
    /// When a host last joined or was restarted.
    joined: Option<Instant>,
    unreachable_after: Duration,
}

impl Default for Presence {
    fn default() -> Self {
        Self {
            hosts: Map::default(),
            joined: None,
            unreachable_after: MAX_UNREACHABLE_AFTER,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Report {
    received: Instant,
    status: Status,
    /// Time at which this host sent the newest message that the other one has received.
    confirmed: Option<Instant>,
}

/// Contact between this host and the others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reach {
    /// Number of hosts, including this one and unreachable ones.
    pub hosts: usize,
    /// Hosts of which at least one message is missing.
    pub silent: Set<Host>,
    /// Time at which this host sent the newest message that most hosts have received.
    ///
    /// `None` if there is none. A host that is cut off from most others cannot advance it.
    pub confirmed: Option<Instant>,
}

impl Presence {
    /// Sets the time from the last contact within which a lost host must not be named any more.
    pub fn set_contact_bound(&mut self, bound: Duration) {
        let share = bound.mul_f64(UNREACHABLE_CONTACT_SHARE);
        self.unreachable_after = share.min(MAX_UNREACHABLE_AFTER);
    }

    /// Records the status that a host reported; returns whether the host is new or was restarted.
    ///
    /// A status of an earlier incarnation changes nothing.
    pub fn on_status(&mut self, now: Instant, host: &Host, status: Status) -> bool {
        let joined = self.update(now, host, status);
        if joined {
            self.joined = Some(now);
        }
        joined
    }

    /// Returns when a host last was new or restarted; `None` if that never happened.
    pub fn joined(&self) -> Option<Instant> {
        self.joined
    }

    fn update(&mut self, now: Instant, host: &Host, status: Status) -> bool {
        match self.hosts.get_mut(host) {
            Some(report) if report.status.incarnation > status.incarnation => false,
            Some(report) => {
                let restarted = report.status.incarnation < status.incarnation;
                *report = Report {
                    received: now,
                    status,
                    confirmed: report.confirmed.filter(|_| !restarted),
                };
                restarted
            }
            None => {
                self.hosts.insert(
                    host.clone(),
                    Report {
                        received: now,
                        status,
                        confirmed: None,
                    },
                );
                true
            }
        }
    }

    /// Records that a host has received the message that this host sent at `sent`.
    pub fn on_confirmation(&mut self, host: &Host, sent: Instant) {
        if let Some(report) = self.hosts.get_mut(host) {
            report.confirmed = report.confirmed.max(Some(sent));
        }
    }

    /// Returns the contact with the other hosts; one without a status for `silence` is silent.
    pub fn reach(&self, now: Instant, silence: Duration) -> Reach {
        let silent = self.hosts.iter();
        let silent = silent.filter(|(_, report)| now.since(report.received) >= silence);
        let mut confirmed: Vec<_> = self.hosts.values().map(|report| report.confirmed).collect();
        confirmed.sort_unstable_by(|one, other| other.cmp(one));
        // With this host, more than half of all hosts have received the message.
        let needed = self.count() / 2;
        Reach {
            hosts: self.count(),
            silent: silent.map(|(host, _)| host.clone()).collect(),
            confirmed: match needed {
                0 => Some(now),
                needed => confirmed[needed - 1],
            },
        }
    }

    /// Returns whether callers may be sent to a host.
    pub fn is_serving(&self, now: Instant, host: &Host) -> bool {
        self.hosts.get(host).is_some_and(|report| {
            let Status {
                serving, leaving, ..
            } = report.status;
            serving && !leaving && self.is_recent(now, report)
        })
    }

    /// Returns whether a host reported its status recently.
    pub fn is_reachable(&self, now: Instant, host: &Host) -> bool {
        let report = self.hosts.get(host);
        report.is_some_and(|report| self.is_recent(now, report))
    }

    /// Returns a host's way to the store, as it reported it; that of an unknown host is lost.
    pub fn path(&self, host: &Host) -> Path {
        let report = self.hosts.get(host);
        report.map_or(Path::Lost, |report| report.status.path)
    }

    /// Returns the reachable hosts that are not about to stop.
    pub fn reachable(&self, now: Instant) -> impl Iterator<Item = &Host> {
        let hosts = self.hosts.iter();
        hosts
            .filter(move |(_, it)| self.is_recent(now, it) && !it.status.leaving)
            .map(|(host, _)| host)
    }

    /// Returns the hosts that reported that they serve callers, unreachable ones included.
    pub fn serving(&self) -> impl Iterator<Item = &Host> {
        let hosts = self.hosts.iter();
        hosts
            .filter(|(_, it)| it.status.serving && !it.status.leaving)
            .map(|(host, _)| host)
    }

    /// Returns whether a reachable host does not accept callers yet.
    pub fn has_starting(&self, now: Instant) -> bool {
        let mut reports = self.hosts.values();
        reports.any(|report| self.shows_start(now, report))
    }

    /// Returns whether a host is reachable and does not accept callers yet.
    pub fn is_starting(&self, now: Instant, host: &Host) -> bool {
        let report = self.hosts.get(host);
        report.is_some_and(|report| self.shows_start(now, report))
    }

    fn shows_start(&self, now: Instant, report: &Report) -> bool {
        !report.status.serving && !report.status.leaving && self.is_recent(now, report)
    }

    fn is_recent(&self, now: Instant, report: &Report) -> bool {
        now.since(report.received) < self.unreachable_after
    }

    /// Returns whether this host, which started at `incarnation`, and all others have just started.
    ///
    /// False without another host. Clocks that differ by more than `COMMON_START_TIME` may hide
    /// that, or show it although others started before.
    pub fn has_common_start(&self, now: Instant, incarnation: u64) -> bool {
        if now.since(Instant::ZERO) >= COMMON_START_TIME {
            return false;
        }
        let earliest = incarnation.saturating_sub(COMMON_START_TIME.as_millis() as u64);
        let mut reports = self.hosts.values();
        !self.hosts.is_empty() && reports.all(|report| report.status.incarnation >= earliest)
    }

    /// Returns the number of hosts, including this one and unreachable ones.
    pub fn count(&self) -> usize {
        self.hosts.len() + 1
    }

    /// Returns the share of all hosts, from 0 to 1, that are reachable, this one included.
    pub fn reachable_share(&self, now: Instant) -> f64 {
        let reports = self.hosts.values();
        let reachable = reports
            .filter(|report| now.since(report.received) < self.unreachable_after)
            .count();
        (reachable + 1) as f64 / self.count() as f64
    }

    /// Removes the hosts whose share of the contracts is free, and returns them.
    ///
    /// A host that announced its stop is removed as soon as it is unreachable.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<Host> {
        let limit = if self.reachable_share(now) > 0.5 {
            HOST_REMOVAL_TIMEOUT
        } else {
            MINORITY_HOST_REMOVAL_TIMEOUT
        };
        let unreachable_after = self.unreachable_after;
        let expired: Vec<Host> = self
            .hosts
            .iter()
            .filter(|(_, report)| {
                let silence = now.since(report.received);
                silence >= limit || (report.status.leaving && silence >= unreachable_after)
            })
            .map(|(host, _)| host.clone())
            .collect();
        for host in &expired {
            self.hosts.remove(host);
        }
        expired
    }
}

#[cfg(test)]
mod tests;
