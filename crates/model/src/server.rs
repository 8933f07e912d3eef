//! Backend servers: slots, a queue, and objects that are warm.

use crate::{event::Send, site::Site};
use azurenotch_core::version::placement::Load;
use azurenotch_wire::time::Instant;
use std::{collections::VecDeque, time::Duration};

/// Whether and how a backend server is away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// It is there.
    Up,
    /// Connections are refused.
    Refusing,
    /// Nothing comes back.
    Silent,
}

/// What a server does with an offered send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    /// It runs for this time.
    Runs(Duration),
    /// It waits.
    Waits,
    /// The server declines it.
    Declined,
}

/// A piece of work.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    /// The send.
    pub send: Send,
    /// Object that it concerns.
    pub object: Option<u64>,
    /// Seconds of work if nothing is warm.
    pub work: f64,
    /// When nobody waits for it any more.
    pub until: Instant,
}

/// A backend server.
#[derive(Debug)]
pub struct Server {
    /// Index of its data centre.
    pub centre: usize,
    /// Whether it is there.
    pub presence: Presence,
    /// Number of its starts.
    pub epoch: u32,
    /// Factor of all work.
    pub slowness: f64,
    site: Site,
    cold_until: Instant,
    running: Vec<(Instant, Send)>,
    queue: VecDeque<Job>,
    /// Warm objects, the last used at the back.
    warm: VecDeque<u64>,
}

impl Server {
    /// Creates a server with cold caches.
    pub fn new(site: &Site, centre: usize) -> Self {
        Self {
            centre,
            presence: Presence::Up,
            epoch: 0,
            slowness: 1.0,
            site: *site,
            cold_until: Instant::ZERO,
            running: Vec::new(),
            queue: VecDeque::new(),
            warm: VecDeque::new(),
        }
    }

    /// Returns the load that it tells.
    pub fn load(&self) -> Load {
        Load {
            running: self.running.len() as u32,
            waiting: self.queue.len() as u32,
            slots: self.site.slots,
        }
    }

    /// Returns whether it answers an object faster.
    pub fn is_warm(&self, object: Option<u64>) -> bool {
        object.is_some_and(|object| self.warm.contains(&object))
    }

    /// Returns until when it is cold after a start.
    pub fn cold_until(&self) -> Instant {
        self.cold_until
    }

    /// Returns the seconds that work takes, given those that it takes if nothing is warm.
    fn seconds(&self, now: Instant, object: Option<u64>, work: f64) -> f64 {
        let saved = if self.is_warm(object) {
            1.0 - self.site.gain
        } else {
            1.0
        };
        let cold = if now < self.cold_until {
            self.site.cold_factor
        } else {
            1.0
        };
        work * saved * cold * self.slowness
    }

    /// Starts a piece of work in a free slot; returns how long it takes.
    fn run(&mut self, now: Instant, job: &Job) -> Duration {
        let took = Duration::from_secs_f64(self.seconds(now, job.object, job.work));
        self.running.push((now + took, job.send));
        took
    }

    /// Offers a piece of work.
    pub fn offer(&mut self, now: Instant, job: Job) -> Taken {
        if (self.running.len() as u32) < self.site.slots {
            return Taken::Runs(self.run(now, &job));
        }
        if self.queue.len() >= self.site.queue {
            return Taken::Declined;
        }
        self.queue.push_back(job);
        Taken::Waits
    }

    /// Ends a piece of work; returns the one that starts in its place.
    pub fn finish(
        &mut self,
        now: Instant,
        send: &Send,
        object: Option<u64>,
    ) -> Option<(Job, Duration)> {
        self.running.retain(|(_, running)| running != send);
        if let Some(object) = object {
            self.warm.retain(|warm| *warm != object);
            self.warm.push_back(object);
            if self.warm.len() > self.site.keeps {
                self.warm.pop_front();
            }
        }
        // A caller that has left closes its connection, and its work is not begun.
        while let Some(job) = self.queue.pop_front() {
            if job.until <= now {
                continue;
            }
            let took = self.run(now, &job);
            return Some((job, took));
        }
        None
    }

    /// Ends the server; returns the sends that it was working on.
    pub fn stop(&mut self, presence: Presence) -> Vec<Send> {
        self.presence = presence;
        self.epoch += 1;
        self.warm.clear();
        let queued = self.queue.drain(..).map(|job| job.send);
        let running = self.running.drain(..).map(|(_, send)| send);
        running.chain(queued).collect()
    }

    /// Starts the server again, cold.
    pub fn start(&mut self, now: Instant) {
        self.presence = Presence::Up;
        self.cold_until = now + self.site.cold;
    }

    /// Returns, with full knowledge, the seconds until new work would begin and those it would take.
    pub fn completion(&self, now: Instant, object: Option<u64>, work: f64) -> (f64, f64) {
        let mut ends: Vec<f64> = self
            .running
            .iter()
            .map(|(end, _)| end.since(now).as_secs_f64())
            .collect();
        ends.resize((self.site.slots as usize).max(ends.len()), 0.0);
        for job in &self.queue {
            let index = earliest(&ends);
            ends[index] += self.seconds(now, job.object, job.work);
        }
        (ends[earliest(&ends)], self.seconds(now, object, work))
    }
}

fn earliest(ends: &[f64]) -> usize {
    let indices = 0..ends.len();
    let found = indices.min_by(|one, other| ends[*one].total_cmp(&ends[*other]));
    found.unwrap_or(0)
}
