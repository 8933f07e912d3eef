//! State of one backend server as observed by a host.

use super::{Load, Query, Verdict, check::Check, speed::Speed};
use crate::{
    process::{senders::Limiter, warmup},
    version::{balance::Tier, limit::Limit},
};
use azurenotch_wire::{
    Map,
    hash::{self, mix},
    id::{DataCentre, Region, Release, Server},
    time::Instant,
};
use std::time::Duration;

/// Half-life of a reported load, in seconds.
const LOAD_HALF_LIFE_S: f64 = 1.5;
/// Age from which a known load is replaced by one received from another host.
const MIN_REPLACED_LOAD_AGE: Duration = Duration::from_millis(300);
/// Half-life of the share of failures, in seconds.
const FAILURE_HALF_LIFE_S: f64 = 3.0;
/// Weight of one attempt in the share of failures.
const FAILURE_WEIGHT: f64 = 0.2;
/// Weight of one answer in the relative time of a server.
const RELATIVE_TIME_WEIGHT: f64 = 0.15;
/// Bounds of one measurement of the time that a server needs relative to the others.
const RELATIVE_TIME_RANGE: (f64, f64) = (0.4, 20.0);
/// Time for which a server is assumed to cache an object after a request from this host.
const CACHE_TIME: Duration = Duration::from_secs(6);
/// Objects tracked for one server.
const MAX_OBJECTS: usize = 256;
/// Back-off after a server was unreachable; doubled with each consecutive failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(250);
/// Longest back-off after a server was unreachable.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Time over which requests return to a server after its pause or limit.
const RETURN_TIME: Duration = Duration::from_secs(1);
/// Share of the objects whose requests return at once.
const FIRST_RETURN_SHARE: f64 = 0.2;
/// Round-trip times assumed before the first measurement, by tier.
const INITIAL_RTT: [Duration; 3] = [
    Duration::from_micros(500),
    Duration::from_millis(3),
    Duration::from_millis(60),
];

/// A backend server as listed by the platform.
#[derive(Debug, Clone, PartialEq)]
pub struct Backend {
    /// Name of the backend server.
    pub server: Server,
    /// Identifies the start of its process; observations of an earlier start do not apply.
    pub incarnation: u64,
    /// Version that the server runs.
    pub release: Release,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its region; `None` if it is not known.
    pub region: Option<Region>,
    /// Distance from this host.
    pub tier: Tier,
    /// Requests that it runs concurrently, for all hosts together.
    pub slots: u32,
    /// Whether it gets no new requests because it is about to stop.
    pub draining: bool,
    /// Time for which it stays cold; zero if it is warm.
    pub cold: Duration,
}

/// Listing and observed state of one backend server.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) backend: Backend,
    /// Number of hosts that may send while the server is cold; `None` if this one may not.
    pub(super) warmup_senders: Option<usize>,
    /// Whether a health check has to succeed before the server gets requests.
    pub(super) awaits_health_check: bool,
    hash: u64,
    region_hash: u64,
    listed: bool,
    in_flight: u32,
    reported: Option<ReportedLoad>,
    /// Requests that this host has sent since the reported load.
    sent_since: u32,
    relative_time: f64,
    /// Speed that the server told last.
    pub(super) speed: Speed,
    /// Health checks before requests are sent to it.
    pub(super) check: Check,
    failure: (Instant, f64),
    backoff: Option<(Instant, Duration)>,
    /// When this process of the server was first heard to be leaving.
    pub(super) leaving: Option<Instant>,
    /// End of the pause that the server has asked for.
    paused_until: Instant,
    /// Limit that this process of the server has named at some time; most name none.
    pub(super) limit: Option<Box<Limit>>,
    rtt: Duration,
    cold_until: Instant,
    warmup_limiter: Limiter,
    /// Whether the limiter permits a request while the server is cold.
    may_warm_up: bool,
    objects: Map<u64, Instant>,
}

/// A load that a backend server reported.
#[derive(Debug, Clone, Copy)]
struct ReportedLoad {
    at: Instant,
    load: Load,
    /// Whether the server reported it to this host rather than to another one.
    direct: bool,
}

fn region_hash(backend: &Backend) -> u64 {
    hash::hash64(backend.region.as_ref().map_or("", Region::as_str))
}

impl Entry {
    pub(super) fn new(now: Instant, backend: &Backend) -> Self {
        Self {
            hash: hash::hash64(backend.server.as_str()),
            region_hash: region_hash(backend),
            warmup_senders: None,
            awaits_health_check: false,
            listed: true,
            in_flight: 0,
            reported: None,
            sent_since: 0,
            relative_time: 1.0,
            speed: Speed::default(),
            check: Check::default(),
            failure: (now, 0.0),
            backoff: None,
            leaving: None,
            paused_until: Instant::ZERO,
            limit: None,
            rtt: INITIAL_RTT[backend.tier as usize],
            cold_until: now + backend.cold,
            warmup_limiter: Limiter::new(now, warmup::BURST),
            may_warm_up: false,
            objects: Map::default(),
            backend: backend.clone(),
        }
    }

    pub(super) fn update(&mut self, now: Instant, backend: &Backend) {
        if self.backend.incarnation != backend.incarnation || !self.listed {
            let same_process = self.backend.incarnation == backend.incarnation;
            let former = std::mem::replace(self, Self::new(now, backend));
            self.in_flight = former.in_flight;
            if same_process {
                self.paused_until = former.paused_until;
                self.limit = former.limit;
            }
            return;
        }
        if !backend.cold.is_zero() {
            self.set_cold(now, backend.cold);
        }
        self.region_hash = region_hash(backend);
        self.backend = backend.clone();
    }

    pub(super) fn remove(&mut self) {
        self.listed = false;
    }

    pub(super) fn is_listed(&self) -> bool {
        self.listed
    }

    pub(super) fn is_reusable(&self) -> bool {
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

    /// Updates whether the server may get a request while it is cold or has named a limit.
    pub(super) fn refresh(&mut self, now: Instant, cold_per_s: f64) {
        if now < self.cold_until
            && let Some(warmup_senders) = self.warmup_senders
        {
            let rate = warmup::rate(cold_per_s, warmup_senders);
            self.may_warm_up = self.warmup_limiter.has_token(now, rate, warmup::BURST);
        }
        if let Some(limit) = &mut self.limit {
            limit.refresh(now);
        }
    }

    /// Returns whether the server may get the request now.
    pub(super) fn is_usable(&self, now: Instant, query: &Query<'_>) -> bool {
        let has_room = self.limit.as_ref().is_none_or(|limit| limit.permits(now));
        has_room && self.is_eligible(now, query)
    }

    /// Returns whether the server may get the request as far as its limit permits.
    pub(super) fn is_eligible(&self, now: Instant, query: &Query<'_>) -> bool {
        let may_send = !self.is_cold(now) || (self.warmup_senders.is_some() && self.may_warm_up);
        self.listed
            && !self.awaits_health_check
            && !self.backend.draining
            && self.has_returned(now, query.object)
            && may_send
            && self.backoff.is_none_or(|(until, _)| now >= until)
            && query.release.is_none_or(|it| *it == self.backend.release)
            && (query.allowed_regions.is_empty() || self.is_in(query.allowed_regions))
            && !self.is_in(query.excluded_regions)
    }

    /// Returns whether the server is known to stand in one of the regions.
    fn is_in(&self, regions: &[Region]) -> bool {
        let region = self.backend.region.as_ref();
        region.is_some_and(|region| regions.contains(region))
    }

    /// Withholds requests until `until`, or longer if the server has asked for a longer pause.
    pub(super) fn pause(&mut self, until: Instant) {
        self.paused_until = self.paused_until.max(until);
    }

    /// Returns whether a request may go to the server after its last pause or limit.
    ///
    /// Requests return by steps: the share of the objects grows over [`RETURN_TIME`].
    fn has_returned(&self, now: Instant, object: Option<u64>) -> bool {
        if self.is_paused(now) {
            return false;
        }
        let limit_end = self.limit.as_ref().and_then(|limit| limit.end(now));
        let returns = self.paused_until.max(limit_end.unwrap_or(Instant::ZERO));
        let since = now.since(returns);
        if returns == Instant::ZERO || since >= RETURN_TIME {
            return true;
        }
        let share = since.as_secs_f64() / RETURN_TIME.as_secs_f64();
        let place = (mix(!self.hash, object.unwrap_or_default()) >> 32) as f64;
        place / f64::from(u32::MAX) < share.max(FIRST_RETURN_SHARE)
    }

    pub(super) fn is_paused(&self, now: Instant) -> bool {
        now < self.paused_until
    }

    /// Returns the end of the last pause; [`Instant::ZERO`] if the server never asked for one.
    pub(super) fn paused_until(&self) -> Instant {
        self.paused_until
    }

    /// Returns when requests may return to a server that would get some but for its pause.
    pub(super) fn pause_end(&self, now: Instant, query: &Query<'_>) -> Option<Instant> {
        let returned = self.paused_until + RETURN_TIME;
        let waits = now < returned && self.leaving.is_none() && self.is_eligible(returned, query);
        waits.then_some(self.paused_until)
    }

    /// Returns the rank of the server for an object; the highest-ranked one is its home server.
    pub(super) fn rank(&self, object: u64) -> u64 {
        mix(self.hash, object)
    }

    /// Returns the place of the server's region for an object among other regions, 0 to 1.
    pub(super) fn region_rank(&self, object: u64) -> f64 {
        (mix(self.region_hash, object) >> 32) as f64 / f64::from(u32::MAX)
    }

    /// Returns the hash of the server's region, the same for all servers without a known region.
    pub(super) fn region_hash(&self) -> u64 {
        self.region_hash
    }

    /// Returns whether this host has recently sent a request for the object to the server.
    pub(super) fn was_sent(&self, now: Instant, object: u64) -> bool {
        let sent = self.objects.get(&object);
        sent.is_some_and(|at| now.since(*at) < CACHE_TIME)
    }

    pub(super) fn begin(&mut self, now: Instant, object: Option<u64>) {
        self.in_flight += 1;
        self.sent_since += 1;
        if self.is_cold(now) {
            self.warmup_limiter.take();
        }
        if let Some(limit) = &mut self.limit {
            limit.take(now);
        }
        if let Some(object) = object {
            if self.objects.len() >= MAX_OBJECTS {
                self.objects.retain(|_, at| now.since(*at) < CACHE_TIME);
            }
            if self.objects.len() < MAX_OBJECTS {
                self.objects.insert(object, now);
            }
        }
    }

    pub(super) fn end(&mut self, now: Instant, verdict: Verdict) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let failed = match verdict {
            Verdict::Abandoned | Verdict::Paused => return,
            Verdict::Answered => 0.0,
            Verdict::Shed => 0.5,
            Verdict::Failed | Verdict::Unreachable => 1.0,
        };
        let share = self.failure(now);
        self.failure = (now, share + FAILURE_WEIGHT * (failed - share));
        match verdict {
            Verdict::Unreachable => {
                let backoff = self.backoff.map_or(FIRST_BACKOFF, |(_, last)| 2 * last);
                let backoff = backoff.min(MAX_BACKOFF);
                self.backoff = Some((now + backoff, backoff));
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
            Verdict::Answered => self.backoff = None,
            Verdict::Failed | Verdict::Abandoned | Verdict::Paused => {}
        }
    }

    pub(super) fn observe_load(&mut self, now: Instant, load: Load) {
        self.reported = Some(ReportedLoad {
            at: now,
            load,
            direct: true,
        });
        self.sent_since = 0;
    }

    /// Records a load that another host has just passed on, unless a recent one is known.
    pub(super) fn receive_load(&mut self, now: Instant, load: Load) {
        if self
            .reported
            .is_none_or(|reported| now.since(reported.at) >= MIN_REPLACED_LOAD_AGE)
        {
            self.reported = Some(ReportedLoad {
                at: now,
                load,
                direct: false,
            });
            self.sent_since = 0;
        }
    }

    /// Returns the age of the last reported load, whether reported to this host or another one.
    pub(super) fn load_age(&self, now: Instant) -> Option<Duration> {
        self.reported.map(|reported| now.since(reported.at))
    }

    /// Returns the load that the server reported to this host, if it is younger than `max_age`.
    pub(super) fn direct_load(&self, now: Instant, max_age: Duration) -> Option<Load> {
        let reported = self.reported.filter(|reported| reported.direct)?;
        (now.since(reported.at) < max_age).then_some(reported.load)
    }

    pub(super) fn observe_relative_time(&mut self, ratio: f64) {
        let ratio = ratio.clamp(RELATIVE_TIME_RANGE.0, RELATIVE_TIME_RANGE.1);
        self.relative_time += RELATIVE_TIME_WEIGHT * (ratio - self.relative_time);
    }

    pub(super) fn observe_rtt(&mut self, rtt: Duration) {
        // Delays in this process only lengthen a measurement, so a shorter one replaces the estimate.
        self.rtt = if rtt < self.rtt {
            rtt
        } else {
            self.rtt + rtt.saturating_sub(self.rtt) / 8
        };
    }

    pub(super) fn rtt(&self) -> Duration {
        self.rtt
    }

    /// Returns the time that the server needs relative to the average one, at least 1.
    pub(super) fn slowdown(&self) -> f64 {
        self.relative_time.max(1.0)
    }

    /// Returns the estimated number of running and waiting requests at the server.
    pub(super) fn load(&self, now: Instant) -> f64 {
        let reported = self.reported.map_or(0.0, |ReportedLoad { at, load, .. }| {
            let age = now.since(at).as_secs_f64();
            (f64::from(load.running) + f64::from(load.waiting)) * (-age / LOAD_HALF_LIFE_S).exp2()
        });
        f64::from(self.in_flight).max(reported + f64::from(self.sent_since.min(self.in_flight)))
    }

    /// Returns the seconds that a request would wait for a slot.
    pub(super) fn wait(&self, now: Instant, work_s: f64) -> f64 {
        let slots = f64::from(self.backend.slots.max(1));
        let queued = self.load(now) + 1.0 - slots;
        queued.max(0.0) * work_s / slots
    }

    /// Returns the share of slots in use, at most 1.
    pub(super) fn occupancy(&self, now: Instant) -> f64 {
        (self.load(now) / f64::from(self.backend.slots.max(1))).min(1.0)
    }

    /// Returns the estimated probability that an attempt fails.
    pub(super) fn failure(&self, now: Instant) -> f64 {
        let (at, share) = self.failure;
        share * (-now.since(at).as_secs_f64() / FAILURE_HALF_LIFE_S).exp2()
    }
}
