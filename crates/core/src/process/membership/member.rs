//! State of one other host.

use super::answering;
use azurenotch_wire::{
    event::{Kind, Reachability},
    id::{DataCentre, Host, Incarnation},
    peer::{Heartbeat, State},
    time::Instant,
    version::Version,
};
use std::{net::SocketAddr, time::Duration};

/// Limits of the silence after which a host is suspect.
const SUSPECT_MIN: Duration = Duration::from_secs(3);
const SUSPECT_MAX: Duration = Duration::from_secs(8);
/// Limits of the silence after which a host is dead.
const DEAD_MIN: Duration = Duration::from_secs(10);
pub(super) const DEAD_MAX: Duration = Duration::from_secs(20);
/// Fewest unanswered probes before a host is suspect or dead.
const SUSPECT_MIN_PROBES: u32 = 2;
const DEAD_MIN_PROBES: u32 = 3;
/// Answers after which a suspect or dead host of the same incarnation is live again.
const SUSPECT_RECOVERY_ANSWERS: u32 = 2;
const DEAD_RECOVERY_ANSWERS: u32 = 3;
/// Shortest time between two answers that count towards the recovery.
const RECOVERY_ANSWER_INTERVAL: Duration = Duration::from_millis(500);

/// Entry of the platform's list of hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RosterEntry {
    /// Name of the host.
    pub host: Host,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Address where it accepts callers.
    pub address: SocketAddr,
    /// Whether the platform is removing it.
    pub leaving: bool,
}

/// State of another host at this host.
#[derive(Debug, Clone)]
pub struct Member {
    /// Name of the host.
    pub host: Host,
    /// Latest incarnation that was reported; zero before the first heartbeat.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Address where it accepts callers.
    pub address: SocketAddr,
    /// Whether it answers; suspect until its first heartbeat.
    pub state: Reachability,
    /// State that it last reported of itself.
    pub own_state: State,
    /// Configuration version that it last reported.
    pub version: Version,
    /// Requests in flight that it last reported.
    pub in_flight: u32,
    /// Share of its capacity in use that it last reported.
    pub load: f32,
    /// Whether the platform lists it.
    pub is_listed: bool,
    /// When its last heartbeat was received.
    pub last_heartbeat: Option<Instant>,
    pub(super) probed: Instant,
    is_removing: bool,
    /// When the first unanswered probe was sent.
    silent_since: Option<Instant>,
    /// Probes since then.
    unanswered: u32,
    /// End of a network partition since then, and the probes until it.
    partition_end: Option<(Instant, u32)>,
    /// Answers that count towards the recovery from silence.
    recovery_answers: u32,
    /// When the last of them was received.
    last_recovery_answer: Instant,
    /// Mean and mean deviation of the silences that ended with an answer.
    mean: Duration,
    deviation: Duration,
}

impl Member {
    pub(super) fn from_entry(entry: &RosterEntry) -> Self {
        Self::new(&entry.host, &entry.data_centre, entry.address)
    }

    pub(super) fn from_heartbeat(heartbeat: &Heartbeat) -> Self {
        Self::new(&heartbeat.host, &heartbeat.data_centre, heartbeat.address)
    }

    fn new(host: &Host, data_centre: &DataCentre, address: SocketAddr) -> Self {
        Self {
            host: host.clone(),
            incarnation: Incarnation(0),
            data_centre: data_centre.clone(),
            address,
            state: Reachability::Suspect,
            own_state: State::Starting,
            version: Version::default(),
            in_flight: 0,
            load: 0.0,
            is_listed: false,
            last_heartbeat: None,
            probed: Instant::ZERO,
            is_removing: false,
            silent_since: None,
            unanswered: 0,
            partition_end: None,
            recovery_answers: 0,
            last_recovery_answer: Instant::ZERO,
            mean: Duration::ZERO,
            deviation: Duration::ZERO,
        }
    }

    /// Returns whether the host needs no attention before its next probe.
    ///
    /// No probe is unanswered and the host is neither suspect nor recovering.
    pub(super) fn is_settled(&self) -> bool {
        let awaited = match self.state {
            Reachability::Live | Reachability::Leaving => false,
            Reachability::Suspect => true,
            Reachability::Dead => self.recovery_answers > 0,
        };
        self.silent_since.is_none() && !awaited
    }

    /// Returns whether the host is dead and not recovering.
    pub(super) fn is_gone(&self) -> bool {
        self.state == Reachability::Dead && self.recovery_answers == 0
    }

    pub(super) fn silence(&self, now: Instant) -> Duration {
        self.silent_since
            .map_or(Duration::ZERO, |since| now.since(since))
    }

    pub(super) fn restart_silence(&mut self, now: Instant) {
        self.silent_since = self.silent_since.map(|_| now);
        self.unanswered = 0;
        self.partition_end = None;
    }

    /// Records that a partition has ended, so that the silence until now does not show that the host is
    /// dead.
    ///
    /// It still counts towards its being suspect. A host that was silent before the partition would
    /// otherwise stay live for the time of two silences.
    pub(super) fn end_partition(&mut self, now: Instant) {
        self.partition_end = self.silent_since.map(|_| (now, self.unanswered));
    }

    pub(super) fn set_removing(&mut self, removing: bool) -> Option<Kind> {
        self.is_removing = removing;
        match self.state {
            Reachability::Live | Reachability::Leaving => {
                self.change(answering(self.own_state, removing))
            }
            Reachability::Suspect | Reachability::Dead => None,
        }
    }

    pub(super) fn on_probe(&mut self, now: Instant) {
        self.probed = now;
        self.silent_since = self.silent_since.or(Some(now));
        self.unanswered = self.unanswered.saturating_add(1);
    }

    pub(super) fn on_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) -> Option<Kind> {
        let is_new = heartbeat.incarnation > self.incarnation || self.last_heartbeat.is_none();
        if is_new {
            self.mean = Duration::ZERO;
            self.deviation = Duration::ZERO;
        } else if let Some(since) = self.silent_since {
            self.record_silence(now.since(since));
        }
        // A host that announced its stop does not become live again in the same incarnation.
        let leaves = !is_new && self.own_state == State::Leaving;
        self.own_state = if leaves {
            State::Leaving
        } else {
            heartbeat.state
        };
        self.incarnation = heartbeat.incarnation;
        self.data_centre = heartbeat.data_centre.clone();
        self.address = heartbeat.address;
        self.version = heartbeat.version;
        self.in_flight = heartbeat.in_flight;
        self.load = heartbeat.load;
        self.last_heartbeat = Some(now);
        self.silent_since = None;
        self.unanswered = 0;
        self.partition_end = None;
        if self.recovery_answers == 0
            || now.since(self.last_recovery_answer) >= RECOVERY_ANSWER_INTERVAL
        {
            self.recovery_answers += 1;
            self.last_recovery_answer = now;
        }
        let needed = match self.state {
            _ if is_new => 0,
            Reachability::Suspect => SUSPECT_RECOVERY_ANSWERS,
            Reachability::Dead => DEAD_RECOVERY_ANSWERS,
            Reachability::Live | Reachability::Leaving => 0,
        };
        if self.recovery_answers < needed {
            return None;
        }
        self.change(answering(self.own_state, self.is_removing))
    }

    /// Updates the state from the silence at `now` and returns the change.
    ///
    /// A host that may be partitioned is not declared dead.
    pub(super) fn check_silence(&mut self, now: Instant, may_be_partitioned: bool) -> Option<Kind> {
        let silence = self.silence(now);
        let usual = self.mean + self.deviation * 4;
        let suspect_after = usual.clamp(SUSPECT_MIN, SUSPECT_MAX);
        let dead_after = (usual * 3).clamp(DEAD_MIN, DEAD_MAX);
        if silence >= suspect_after && self.unanswered >= SUSPECT_MIN_PROBES {
            self.recovery_answers = 0;
            match self.state {
                Reachability::Live => return self.change(Reachability::Suspect),
                Reachability::Leaving => return self.change(Reachability::Dead),
                Reachability::Suspect | Reachability::Dead => {}
            }
        }
        let (silence, unanswered) = match self.partition_end {
            Some((end, before)) => (now.since(end), self.unanswered - before),
            None => (silence, self.unanswered),
        };
        let is_dead = silence >= dead_after && unanswered >= DEAD_MIN_PROBES && !may_be_partitioned;
        (is_dead && self.state == Reachability::Suspect)
            .then(|| self.change(Reachability::Dead))
            .flatten()
    }

    /// Updates the smoothed mean and deviation, as a retransmission timer does with round trips.
    fn record_silence(&mut self, silence: Duration) {
        let silence = silence.min(SUSPECT_MAX);
        self.deviation = (self.deviation * 3 + silence.abs_diff(self.mean)) / 4;
        self.mean = (self.mean * 7 + silence) / 8;
    }

    fn change(&mut self, state: Reachability) -> Option<Kind> {
        if self.state == state {
            return None;
        }
        self.state = state;
        Some(Kind::Peer {
            peer: self.host.clone(),
            state,
        })
    }
}
