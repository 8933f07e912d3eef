//! Simulated callers: request times, objects, work and choice of a host.

use super::{Engine, MAX_CALLER_RETRIES, OBJECTS_PER_HOT_OBJECT, POPULARITY_EXPONENT, Request};
use crate::{event::Event, host::WORKSPACES};
use azurenotch_core::request::gate::Applicant;
use azurenotch_wire::time::Instant;
use rand::Rng;
use std::time::Duration;

impl Engine<'_> {
    /// Starts a new request and schedules the next one.
    pub(super) fn next_request(&mut self, end: Instant) {
        if self.now >= end {
            return;
        }
        let gap = -(1.0 - self.random.random::<f64>()).ln() / (self.site.rate * self.rate);
        let next = self.now + Duration::from_secs_f64(gap);
        self.queue.push(next, Event::NextRequest);
        let centre = self.pick_centre();
        let max_wait = if self.random.random_bool(self.give_up_share) {
            self.site.objective / 2
        } else {
            self.site.deadline
        };
        let retries_at_once = self.random.random_bool(self.abuse.0);
        let (object, work) = (self.pick_object(centre), self.sample_work());
        let workspace = self.pick_workspace();
        let request = self.requests.len();
        self.requests.push(Request {
            object,
            centre,
            work,
            started: self.now,
            gives_up_at: self.now + max_wait,
            attempt_deadline: self.now,
            retries_left: if retries_at_once {
                self.abuse.1
            } else {
                MAX_CALLER_RETRIES
            },
            retries_at_once,
            returned: false,
            tried: Vec::new(),
            workspace,
            applicant: Applicant::default(),
            declined: 0,
            runs: 0,
            current: None,
            ended: false,
        });
        self.schedule_attempt(request, Duration::ZERO);
    }

    /// Schedules an attempt at a random host of the caller's data centre after `delay`.
    pub(super) fn schedule_attempt(&mut self, request: usize, delay: Duration) {
        let centre = self.requests[request].centre;
        let hosts = self.hosts.iter().enumerate();
        let local_hosts: Vec<usize> = hosts
            .filter(|(_, host)| host.centre == centre)
            .map(|(index, _)| index)
            .collect();
        let host = local_hosts[self.random.random_range(0..local_hosts.len())];
        let at = self.now + delay + self.site.access;
        self.queue.push(at, Event::Arrive { request, host });
    }

    pub(super) fn pick_centre(&mut self) -> usize {
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

    fn pick_workspace(&mut self) -> u32 {
        let (workspace, large) = self.share_random.random::<(u32, f64)>();
        if large < self.large {
            0
        } else {
            workspace % WORKSPACES
        }
    }

    pub(super) fn pick_object(&mut self, centre: usize) -> Option<u64> {
        if self.site.objects == 0 {
            return None;
        }
        let mut number = (f64::from(self.site.objects)
            * self.random.random::<f64>().powf(POPULARITY_EXPONENT))
            as u32;
        if self.random.random_bool(self.hot) {
            number -= number % OBJECTS_PER_HOT_OBJECT;
        }
        // Distributes the number over all bits, like a hash of a name.
        let object = (centre as u64 + 1) << 32 | u64::from(number);
        Some(object.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }

    pub(super) fn sample_work(&mut self) -> f64 {
        // The sum of twelve uniform numbers is nearly normal, with mean 6 and deviation 1.
        let sum: f64 = (0..12).map(|_| self.random.random::<f64>()).sum();
        let factor = 1.0 + self.site.work_deviation * (sum - 6.0);
        self.site.work.as_secs_f64() * factor.max(0.1)
    }
}
