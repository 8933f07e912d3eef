//! Random faults.

use super::{Event, Fleet, LEAVE_MS, Life};
use crate::net::Place;
use rand::Rng;

impl Fleet {
    /// Begins a random fault, and plans the next one.
    pub(super) fn fault(&mut self) {
        let pause = self.rng.random_range(500..6_000);
        self.at(pause, Event::Fault);
        // Half of the faults strike the host that holds the duty.
        let holder = self
            .hosts
            .iter()
            .rposition(|host| host.reporter.is_holder());
        let holder = holder.filter(|_| self.rng.random_bool(0.5));
        let index = holder.unwrap_or_else(|| self.rng.random_range(0..self.hosts.len()));
        let until = self.now + self.rng.random_range(300..12_000);
        if self.now < self.hosts[index].down_until {
            return;
        }
        let host = Some(Place::Host(index));
        match self.rng.random_range(0..12) {
            0 => self.stop(self.life(index), until - self.now),
            1..=3 => {
                let is_suspended = self.rng.random_bool(0.7);
                self.hosts[index].freeze(self.now, until, is_suspended);
            }
            4 => self.net.cut(host, None, until),
            5 => self.net.cut(None, host, until),
            6 => self.net.cut(host, Some(Place::Store), until),
            7 => {
                let to = self.rng.random_bool(0.5);
                let cloud = Some(Place::Cloud);
                let (from, to) = if to { (host, cloud) } else { (cloud, host) };
                self.net.cut(from, to, until);
            }
            8 => {
                let ago = self.rng.random_range(0..15_000);
                let is_clock_reset = self.rng.random_bool(0.5);
                self.store
                    .restore(self.now.saturating_sub(ago), is_clock_reset);
            }
            9 => self.store.down_until = until,
            10 => self.cloud.down_until = until,
            _ => {
                if !self.hosts[index].is_leaving {
                    self.hosts[index].is_leaving = true;
                    self.at(LEAVE_MS, Event::Stop(self.life(index)));
                }
            }
        }
    }

    /// Suspends a host for longer than the lease.
    pub(super) fn suspend(&mut self, life: Life) {
        let until = self.now + self.rng.random_range(4_000..9_000);
        if let Some(index) = self.awake(life, || Event::Suspend(life)) {
            self.hosts[index].freeze(self.now, until, true);
        }
    }

    /// The store comes back from an older copy.
    pub(super) fn restore(&mut self) {
        let ago = self.rng.random_range(0..15_000);
        let is_clock_reset = self.rng.random_bool(0.5);
        let at = self.now.saturating_sub(ago);
        self.store.restore(at, is_clock_reset);
    }
}
