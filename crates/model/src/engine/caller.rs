//! Callers: when they send what, and to which host.

use super::{Engine, HOT_ONE_OF, RETURNS, Request, SKEW};
use crate::event::Event;
use azurenotch_wire::time::Instant;
use rand::Rng;
use std::time::Duration;

impl Engine<'_> {
    /// Begins a request of a caller.
    pub(super) fn next(&mut self, end: Instant) {
        if self.now >= end {
            return;
        }
        let gap = -(1.0 - self.random.random::<f64>()).ln() / (self.site.rate * self.rate);
        let next = self.now + Duration::from_secs_f64(gap);
        self.queue.push(next, Event::Next);
        let centre = self.centre();
        let leaves = if self.random.random_bool(self.leave) {
            self.site.objective / 2
        } else {
            self.site.deadline
        };
        let abusive = self.random.random_bool(self.abuse.0);
        let (object, work) = (self.object(centre), self.work());
        let request = self.requests.len();
        self.requests.push(Request {
            object,
            centre,
            work,
            begun: self.now,
            leaves: self.now + leaves,
            until: self.now,
            returns: if abusive { self.abuse.1 } else { RETURNS },
            abusive,
            tried: Vec::new(),
            declined: 0,
            runs: 0,
            current: None,
            over: false,
        });
        self.approach(request, Duration::ZERO);
    }

    /// Lets a caller send a request to one of its hosts after a pause.
    pub(super) fn approach(&mut self, request: usize, pause: Duration) {
        let centre = self.requests[request].centre;
        let hosts = self.hosts.iter().enumerate();
        let near: Vec<usize> = hosts
            .filter(|(_, host)| host.centre == centre)
            .map(|(index, _)| index)
            .collect();
        let host = near[self.random.random_range(0..near.len())];
        let at = self.now + pause + self.site.access;
        self.queue.push(at, Event::Arrive { request, host });
    }

    pub(super) fn centre(&mut self) -> usize {
        let mut left: f64 = self.random.random();
        let centres = self.site.centres;
        let found = centres.iter().position(|centre| {
            left -= centre.callers;
            left < 0.0
        });
        let centre = found.unwrap_or(0);
        if centre == 0 && self.random.random_bool(self.shift) {
            return centres.len() - 1;
        }
        centre
    }

    pub(super) fn object(&mut self, centre: usize) -> Option<u64> {
        if self.site.objects == 0 {
            return None;
        }
        let mut number =
            (f64::from(self.site.objects) * self.random.random::<f64>().powf(SKEW)) as u32;
        if self.random.random_bool(self.hot) {
            number -= number % HOT_ONE_OF;
        }
        // Spread over all bits, as the hash of a name is.
        let object = (centre as u64 + 1) << 32 | u64::from(number);
        Some(object.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }

    pub(super) fn work(&mut self) -> f64 {
        // The sum of twelve is nearly normal.
        let sum: f64 = (0..12).map(|_| self.random.random::<f64>()).sum();
        let factor = 1.0 + self.site.spread * (sum - 6.0);
        self.site.work.as_secs_f64() * factor.max(0.1)
    }
}
