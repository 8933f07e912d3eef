//! What a host knows of one backend server.

use super::{Load, Query, Verdict, WARM_ELSEWHERE};
use crate::{process::warmup::Limiter, version::balance::Tier};
use azurenotch_wire::{
    Map, hash,
    id::{DataCentre, Region, Release, Server},
    time::Instant,
};
use std::time::Duration;

/// Time after which half of a told load is forgotten.
const LOAD_HALF_S: f64 = 1.5;
/// Age of the own knowledge of a load from which that of another host replaces it.
const HEARD_AGE: Duration = Duration::from_millis(300);
/// Time after which half of the memory of failures is forgotten.
const FAILURE_HALF_S: f64 = 3.0;
/// Weight of one attempt in the share of failures.
const FAILURE_WEIGHT: f64 = 0.2;
/// Weight of one answer in the speed of a server.
const SPEED_WEIGHT: f64 = 0.15;
/// Bounds of the time that a server needs relative to the others.
const SPEED_RANGE: (f64, f64) = (0.4, 20.0);
/// Time for which an object stays warm without a request for it from this host.
const WARM_FOR: Duration = Duration::from_secs(6);
/// Probability that an object is warm at a server to which this host sent it recently.
///
/// It is warm there when the answer comes, and a place that was chosen once under load stays the
/// better one.
const WARM_SENT: f64 = 0.95;
/// Objects remembered for one server.
const OBJECTS: usize = 256;
/// Pause after a server could not be reached, doubled with each failure in a row.
const DOWN_FIRST: Duration = Duration::from_millis(250);
/// Longest pause after a server could not be reached.
const DOWN_LAST: Duration = Duration::from_secs(2);
/// First estimate of the way to a server and back, by distance.
const FIRST_RTT: [Duration; 3] = [
    Duration::from_micros(500),
    Duration::from_millis(3),
    Duration::from_millis(60),
];

/// A backend server as the platform lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct Backend {
    /// Name of the backend server.
    pub server: Server,
    /// Number of its start; another one has nothing of what the former knew.
    pub incarnation: u64,
    /// Version that it runs.
    pub release: Release,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its region.
    pub region: Region,
    /// Distance from this host.
    pub tier: Tier,
    /// Requests that it runs at the same time, for all hosts together.
    pub slots: u32,
    /// Whether it takes no new work.
    pub draining: bool,
    /// How long it stays cold.
    pub cold: Duration,
}

/// What a host knows of one backend server.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) backend: Backend,
    /// Hosts, this one included, that may send while the server is cold.
    pub(super) sponsors: Option<usize>,
    /// Whether a health check has to succeed before the server gets requests.
    pub(super) doubted: bool,
    hash: u64,
    listed: bool,
    in_flight: u32,
    told: Option<Told>,
    /// Requests that this host sent after the load was told.
    sent_since: u32,
    speed: f64,
    failure: (Instant, f64),
    down: Option<(Instant, Duration)>,
    rtt: Duration,
    cold_until: Instant,
    pace: Limiter,
    pace_open: bool,
    objects: Map<u64, Instant>,
}

/// A load that a backend server told.
#[derive(Debug, Clone, Copy)]
struct Told {
    at: Instant,
    load: Load,
    /// Whether this host was told it, not another one.
    here: bool,
}

impl Entry {
    pub(super) fn new(now: Instant, backend: &Backend) -> Self {
        Self {
            hash: hash::name(backend.server.as_str()),
            sponsors: None,
            doubted: false,
            listed: true,
            in_flight: 0,
            told: None,
            sent_since: 0,
            speed: 1.0,
            failure: (now, 0.0),
            down: None,
            rtt: FIRST_RTT[backend.tier as usize],
            cold_until: now + backend.cold,
            pace: Limiter::new(now),
            pace_open: false,
            objects: Map::default(),
            backend: backend.clone(),
        }
    }

    pub(super) fn relist(&mut self, now: Instant, backend: &Backend) {
        if self.backend.incarnation != backend.incarnation || !self.listed {
            let in_flight = self.in_flight;
            *self = Self::new(now, backend);
            self.in_flight = in_flight;
            return;
        }
        if !backend.cold.is_zero() {
            self.set_cold(now, backend.cold);
        }
        self.backend = backend.clone();
    }

    pub(super) fn unlist(&mut self) {
        self.listed = false;
    }

    pub(super) fn is_listed(&self) -> bool {
        self.listed
    }

    pub(super) fn is_free(&self) -> bool {
        !self.listed && self.in_flight == 0
    }

    pub(super) fn set_cold(&mut self, now: Instant, left: Duration) {
        if !self.is_cold(now) && !left.is_zero() {
            self.objects.clear();
        }
        self.cold_until = now + left;
    }

    pub(super) fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }

    pub(super) fn refresh(&mut self, now: Instant, cold_per_s: f64) {
        if now < self.cold_until
            && let Some(sponsors) = self.sponsors
        {
            self.pace_open = self.pace.has_token(now, cold_per_s, sponsors);
        }
    }

    pub(super) fn is_usable(&self, now: Instant, query: &Query<'_>) -> bool {
        let cold_open = !self.is_cold(now) || (self.sponsors.is_some() && self.pace_open);
        self.listed
            && !self.doubted
            && !self.backend.draining
            && cold_open
            && self.down.is_none_or(|(until, _)| now >= until)
            && query.release.is_none_or(|it| *it == self.backend.release)
            && (query.homes.is_empty() || query.homes.contains(&self.backend.region))
            && !query.barred.contains(&self.backend.region)
    }

    /// Returns the rank of the server for an object; the highest is its home.
    pub(super) fn rank(&self, object: u64) -> u64 {
        // Finalizer of SplitMix64: FxHash alone leaves the high bits of similar names alike.
        let mut x = self.hash ^ object.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }

    pub(super) fn warmth(&self, now: Instant, object: Option<u64>, home: Option<f64>) -> f64 {
        let Some(object) = object else {
            return 1.0;
        };
        let sent = self.objects.get(&object);
        let sent = sent.is_some_and(|at| now.since(*at) < WARM_FOR);
        let own = if sent { WARM_SENT } else { WARM_ELSEWHERE };
        home.unwrap_or(WARM_ELSEWHERE).max(own)
    }

    pub(super) fn begin(&mut self, now: Instant, object: Option<u64>) {
        self.in_flight += 1;
        self.sent_since += 1;
        if self.is_cold(now) {
            self.pace.take();
        }
        if let Some(object) = object {
            if self.objects.len() >= OBJECTS {
                self.objects.retain(|_, at| now.since(*at) < WARM_FOR);
            }
            if self.objects.len() < OBJECTS {
                self.objects.insert(object, now);
            }
        }
    }

    pub(super) fn end(&mut self, now: Instant, verdict: Verdict) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let failed = match verdict {
            Verdict::Abandoned => return,
            Verdict::Answered => 0.0,
            Verdict::Shed => 0.5,
            Verdict::Failed | Verdict::Unreachable => 1.0,
        };
        let share = self.failure(now);
        self.failure = (now, share + FAILURE_WEIGHT * (failed - share));
        match verdict {
            Verdict::Unreachable => {
                let pause = self.down.map_or(DOWN_FIRST, |(_, last)| 2 * last);
                let pause = pause.min(DOWN_LAST);
                self.down = Some((now + pause, pause));
            }
            Verdict::Shed => {
                let slots = self.backend.slots;
                let load = Load {
                    running: slots,
                    waiting: slots,
                    slots,
                };
                self.observe_load(now, load);
            }
            Verdict::Answered => self.down = None,
            Verdict::Failed | Verdict::Abandoned => {}
        }
    }

    pub(super) fn observe_load(&mut self, now: Instant, load: Load) {
        self.told = Some(Told {
            at: now,
            load,
            here: true,
        });
        self.sent_since = 0;
    }

    /// Takes note of a load that another host was told a moment ago.
    pub(super) fn hear_load(&mut self, now: Instant, load: Load) {
        if self.told.is_none_or(|told| now.since(told.at) >= HEARD_AGE) {
            self.told = Some(Told {
                at: now,
                load,
                here: false,
            });
            self.sent_since = 0;
        }
    }

    /// Returns the age of the load that the server told last, to this host or another one.
    pub(super) fn told_age(&self, now: Instant) -> Option<Duration> {
        self.told.map(|told| now.since(told.at))
    }

    /// Returns the load if this host was told it within `age`.
    pub(super) fn told_within(&self, now: Instant, age: Duration) -> Option<Load> {
        let told = self.told.filter(|told| told.here)?;
        (now.since(told.at) < age).then_some(told.load)
    }

    pub(super) fn observe_speed(&mut self, ratio: f64) {
        let ratio = ratio.clamp(SPEED_RANGE.0, SPEED_RANGE.1);
        self.speed += SPEED_WEIGHT * (ratio - self.speed);
    }

    pub(super) fn observe_rtt(&mut self, rtt: Duration) {
        // Delays in this process make a measurement longer, never shorter.
        self.rtt = if rtt < self.rtt {
            rtt
        } else {
            self.rtt + rtt.saturating_sub(self.rtt) / 8
        };
    }

    pub(super) fn rtt(&self) -> Duration {
        self.rtt
    }

    /// Returns the time that the server needs relative to the average one.
    pub(super) fn speed(&self) -> f64 {
        self.speed.max(1.0)
    }

    /// Returns the running and waiting requests that are assumed at the server.
    pub(super) fn load(&self, now: Instant) -> f64 {
        let told = self.told.map_or(0.0, |Told { at, load, .. }| {
            let age = now.since(at).as_secs_f64();
            f64::from(load.running + load.waiting) * (-age / LOAD_HALF_S).exp2()
        });
        f64::from(self.in_flight).max(told + f64::from(self.sent_since.min(self.in_flight)))
    }

    /// Returns the seconds that a request would wait for a slot.
    pub(super) fn wait(&self, now: Instant, usual: f64) -> f64 {
        let slots = f64::from(self.backend.slots.max(1));
        let ahead = self.load(now) + 1.0 - slots;
        ahead.max(0.0) * usual / slots
    }

    /// Returns the share of slots in use, at most one.
    pub(super) fn occupancy(&self, now: Instant) -> f64 {
        (self.load(now) / f64::from(self.backend.slots.max(1))).min(1.0)
    }

    /// Returns the probability that an attempt fails.
    pub(super) fn failure(&self, now: Instant) -> f64 {
        let (at, share) = self.failure;
        share * (-now.since(at).as_secs_f64() / FAILURE_HALF_S).exp2()
    }
}
