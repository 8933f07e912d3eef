//! Requests of a workspace at all other hosts.

use super::{
    Count, DEMAND_TIME_CONSTANT_S, MAX_EXTRAPOLATION, PART_TIME_CONSTANT_S,
    remote::{RemoteUsage, Requests},
};
use azurenotch_wire::{Map, Set, id::Host, time::Instant, work};
use std::{collections::BTreeSet, mem};

/// Requests of a workspace at all other hosts, with the sums over them.
///
/// A host with hundreds of others gets thousands of reports a second. A report changes the sums by
/// what it says, and time changes two totals that apply to all hosts alike, so that neither costs as
/// much as there are hosts.
#[derive(Debug, Clone)]
pub(super) struct Others {
    hosts: Map<Host, RemoteUsage>,
    /// Hosts that are heard and whose reports are extrapolated, by the time of the report.
    extrapolated: BTreeSet<(Instant, Host)>,
    /// Hosts whose part is set aside.
    silent: Set<Host>,
    /// Average rate of requests at the extrapolated hosts, per second.
    extrapolated_demand: f64,
    /// Average rate of requests at all hosts that are not silent, per second.
    heard_demand: f64,
    /// Long-term average rate of requests at all hosts, per second.
    usual_demand: f64,
    /// Parts of the silent hosts, which are from 0 to 1 together.
    silent_part: f64,
    /// Up to when the totals count.
    advanced: Instant,
    /// Tokens that a host with a demand of one per second is assumed to have taken since the start.
    taken_per_demand: f64,
    /// Tokens that a silent host with all of the rate is assumed to have taken since the start.
    taken_per_part: f64,
}

impl Others {
    /// Creates the sums over no hosts.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            hosts: Map::default(),
            extrapolated: BTreeSet::new(),
            silent: Set::default(),
            extrapolated_demand: 0.0,
            heard_demand: 0.0,
            usual_demand: 0.0,
            silent_part: 0.0,
            advanced: now,
            taken_per_demand: 0.0,
            taken_per_part: 0.0,
        }
    }

    /// Returns the average rate of requests at the hosts that are not silent, per second.
    pub(super) fn heard_demand(&self) -> f64 {
        self.heard_demand.max(0.0)
    }

    /// Returns the long-term average rate of requests at all hosts, per second.
    pub(super) fn usual_demand(&self) -> f64 {
        self.usual_demand.max(0.0)
    }

    /// Returns the parts of the silent hosts together.
    pub(super) fn silent_part(&self) -> f64 {
        self.silent_part.max(0.0)
    }

    /// Returns the long-term average rate of requests at a host; `None` if it never reported any.
    pub(super) fn usual_demand_at(&self, host: &Host) -> Option<f64> {
        self.hosts.get(host).map(|other| other.usual_demand)
    }

    pub(super) fn is_silent(&self, host: &Host) -> bool {
        self.silent.contains(host)
    }

    #[cfg(test)]
    pub(super) fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Returns the tokens that the hosts are assumed to have taken since the last call.
    ///
    /// Hosts that are heard have had the `admitted` share of their requests admitted, and silent
    /// hosts their part of the `rate`.
    pub(super) fn advance(&mut self, now: Instant, admitted: f64, rate: f64) -> f64 {
        let from = mem::replace(&mut self.advanced, now);
        let mut taken = 0.0;
        while let Some((reported, _)) = self.extrapolated.first()
            && *reported + MAX_EXTRAPOLATION <= now
            && let Some((reported, host)) = self.extrapolated.pop_first()
            && let Some(other) = self.hosts.get_mut(&host)
        {
            work::step();
            let end = reported + MAX_EXTRAPOLATION;
            let last = end.since(from).as_secs_f64() * other.demand * admitted;
            other.assumed += other.demand * (self.taken_per_demand - other.since) + last;
            self.extrapolated_demand -= other.demand;
            taken += last;
        }
        if self.extrapolated.is_empty() {
            self.extrapolated_demand = 0.0;
        }
        let elapsed = now.since(from).as_secs_f64();
        self.taken_per_demand += elapsed * admitted;
        self.taken_per_part += elapsed * rate;
        taken + elapsed * (admitted * self.extrapolated_demand.max(0.0) + rate * self.silent_part())
    }

    /// Records the counts that a host reported since its start; returns the tokens that this adds.
    ///
    /// It adds what the host was assumed to have taken and has not, and a negative number if it has
    /// admitted more. [`Self::advance`] must have been called for the same instant.
    pub(super) fn report(
        &mut self,
        now: Instant,
        host: &Host,
        incarnation: u64,
        count: Count,
    ) -> f64 {
        work::step();
        let mut other = match self.take(host) {
            Some(other) => other,
            None => RemoteUsage::new(None, count, now),
        };
        match other.incarnation {
            // Requests admitted before the first report are not taken from the bucket.
            None => other.count = count,
            Some(known) if known != incarnation => other.count = Count::default(),
            // Its requests are known: the start of the activity, or a report that was overtaken.
            Some(_) if count.asked < other.count.asked => {
                self.put(host, other);
                return 0.0;
            }
            Some(_) => {}
        }
        other.incarnation = Some(incarnation);
        let before = other.count;
        let requests = Requests {
            elapsed: now.since(other.reported),
            before,
            after: count,
        };
        other.demand = requests.average(other.demand, DEMAND_TIME_CONSTANT_S);
        other.usual_demand = requests.average(other.usual_demand, PART_TIME_CONSTANT_S);
        // The difference is negative if requests were refunded since the last report.
        let admitted = count.admitted as f64 - before.admitted as f64;
        let assumed = mem::take(&mut other.assumed);
        other.count = count;
        other.reported = now;
        self.put(host, other);
        assumed - admitted
    }

    /// Drops the reports of a host that is gone.
    pub(super) fn forget(&mut self, host: &Host) {
        self.take(host);
        // What rounding has left in the sums ends with the last host.
        if self.hosts.is_empty() {
            (self.heard_demand, self.usual_demand, self.silent_part) = (0.0, 0.0, 0.0);
        }
    }

    /// Counts the hosts as heard that are not among the `silent` ones any more.
    ///
    /// Returns the tokens that they were assumed to have taken, unless a report has returned them.
    pub(super) fn hear_again(&mut self, silent: &Set<Host>) -> f64 {
        let back = self.silent.iter().filter(|host| !silent.contains(*host));
        let back: Vec<Host> = back.cloned().collect();
        let mut tokens = 0.0;
        for host in back {
            work::step();
            if let Some(mut other) = self.take(&host) {
                other.silent_part = None;
                tokens += mem::take(&mut other.assumed);
                self.put(&host, other);
            }
        }
        tokens
    }

    /// Sets `part` of the `tokens` of the bucket and of the rate aside for a host that is heard.
    ///
    /// Returns the tokens that this takes from the bucket.
    pub(super) fn set_aside(&mut self, host: &Host, part: f64, tokens: f64) -> f64 {
        work::step();
        let Some(mut other) = self.take(host) else {
            return 0.0;
        };
        other.silent_part = Some(part);
        let moved = part * (tokens + other.assumed).max(0.0) - other.assumed;
        other.assumed += moved;
        self.put(host, other);
        moved
    }

    /// Gives each silent host its part of tokens that are added to the bucket; returns the parts.
    pub(super) fn share(&mut self, added: f64) -> f64 {
        let mut moved = 0.0;
        for host in &self.silent {
            work::step();
            if let Some(other) = self.hosts.get_mut(host) {
                let part = other.silent_part.unwrap_or_default() * added;
                other.assumed += part;
                moved += part;
            }
        }
        moved
    }

    /// Takes a host out of all sums, with what it is assumed to have taken up to now.
    fn take(&mut self, host: &Host) -> Option<RemoteUsage> {
        let mut other = self.hosts.remove(host)?;
        self.usual_demand -= other.usual_demand;
        if let Some(part) = other.silent_part {
            self.silent.remove(host);
            self.silent_part -= part;
            if self.silent.is_empty() {
                self.silent_part = 0.0;
            }
            other.assumed += part * (self.taken_per_part - other.since);
            return Some(other);
        }
        self.heard_demand -= other.demand;
        if self.is_extrapolated(&other) {
            self.extrapolated.remove(&(other.reported, host.clone()));
            self.extrapolated_demand -= other.demand;
            other.assumed += other.demand * (self.taken_per_demand - other.since);
        }
        Some(other)
    }

    /// Adds a host to the sums; the totals apply to it from now on.
    fn put(&mut self, host: &Host, mut other: RemoteUsage) {
        self.usual_demand += other.usual_demand;
        if let Some(part) = other.silent_part {
            self.silent.insert(host.clone());
            self.silent_part += part;
            other.since = self.taken_per_part;
        } else {
            self.heard_demand += other.demand;
            if self.is_extrapolated(&other) {
                self.extrapolated.insert((other.reported, host.clone()));
                self.extrapolated_demand += other.demand;
            }
            other.since = self.taken_per_demand;
        }
        self.hosts.insert(host.clone(), other);
    }

    /// Returns whether the last report of a host that is heard still counts.
    fn is_extrapolated(&self, other: &RemoteUsage) -> bool {
        self.advanced < other.reported + MAX_EXTRAPOLATION
    }
}
