//! Simulated backend servers with slots, a queue and a cache of objects.

use crate::{arrival::Arrivals, event::Send, site::Site};
use azurenotch_core::version::placement::Load;
use azurenotch_wire::time::Instant;
use std::{collections::VecDeque, time::Duration};

/// Whether a backend server is up, and how connections fail if not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// The server is up.
    Up,
    /// Connections are refused.
    Refusing,
    /// Connections time out.
    Silent,
}

/// Reaction of a server to an offered job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acceptance {
    /// The job has started and takes this time.
    Started(Duration),
    /// The job is in the queue.
    Queued,
    /// The queue is full.
    Declined,
}

/// Request to process at a server.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    /// The send.
    pub send: Send,
    /// Requested object; `None` if the request has none.
    pub object: Option<u64>,
    /// Processing time in seconds if the object is not cached.
    pub work: f64,
    /// Time after which the job is dropped from the queue, because its host no longer waits.
    pub deadline: Instant,
}

/// A backend server.
#[derive(Debug)]
pub struct Server {
    /// Index of its data centre.
    pub centre: usize,
    /// Whether the server is up.
    pub availability: Availability,
    /// Number of times that the server has stopped.
    pub epoch: u32,
    /// Factor of all processing times.
    pub slowness: f64,
    /// Factor of all processing times in the current period.
    pub period_factor: f64,
    /// Sends that have arrived since the counted start of the run, with the limits.
    pub arrivals: Arrivals,
    site: Site,
    cold_until: Instant,
    running: Vec<(Instant, Send)>,
    queue: VecDeque<Job>,
    /// Cached objects, the most recently used one at the back.
    cached: VecDeque<u64>,
}

impl Server {
    /// Creates a running server with an empty cache.
    pub fn new(site: &Site, centre: usize) -> Self {
        Self {
            centre,
            availability: Availability::Up,
            epoch: 0,
            slowness: 1.0,
            period_factor: 1.0,
            arrivals: Arrivals::default(),
            site: *site,
            cold_until: Instant::ZERO,
            running: Vec::new(),
            queue: VecDeque::new(),
            cached: VecDeque::new(),
        }
    }

    /// Returns the load that the server reports.
    pub fn load(&self) -> Load {
        Load {
            running: self.running.len() as u32,
            waiting: self.queue.len() as u32,
            slots: self.site.slots,
        }
    }

    /// Returns whether the server is up.
    pub fn is_up(&self) -> bool {
        self.availability == Availability::Up
    }

    /// Returns the present factor of all processing times, which the server tells as its speed.
    pub fn factor(&self) -> f64 {
        self.slowness * self.period_factor
    }

    /// Returns whether the object is cached.
    pub fn is_cached(&self, object: Option<u64>) -> bool {
        object.is_some_and(|object| self.cached.contains(&object))
    }

    /// Returns the time until which the server is cold after a restart.
    pub fn cold_until(&self) -> Instant {
        self.cold_until
    }

    /// Returns the processing time in seconds; `work` is the time at a normal server if the object
    /// is not cached.
    fn work_seconds(&self, now: Instant, object: Option<u64>, work: f64) -> f64 {
        let saved = if self.is_cached(object) {
            1.0 - self.site.warm_saving
        } else {
            1.0
        };
        let cold = if now < self.cold_until {
            self.site.cold_factor
        } else {
            1.0
        };
        work * saved * cold * self.factor()
    }

    /// Starts a job in a free slot and returns how long it takes.
    fn run(&mut self, now: Instant, job: &Job) -> Duration {
        let took = Duration::from_secs_f64(self.work_seconds(now, job.object, job.work));
        self.running.push((now + took, job.send));
        took
    }

    /// Starts a job, queues it or declines it.
    pub fn offer(&mut self, now: Instant, job: Job) -> Acceptance {
        if (self.running.len() as u32) < self.site.slots {
            return Acceptance::Started(self.run(now, &job));
        }
        if self.queue.len() >= self.site.queue {
            return Acceptance::Declined;
        }
        self.queue.push_back(job);
        Acceptance::Queued
    }

    /// Completes a job and starts the next queued one; returns that one and its duration.
    pub fn finish(
        &mut self,
        now: Instant,
        send: &Send,
        object: Option<u64>,
    ) -> Option<(Job, Duration)> {
        self.running.retain(|(_, running)| running != send);
        if let Some(object) = object {
            self.cached.retain(|cached| *cached != object);
            self.cached.push_back(object);
            if self.cached.len() > self.site.warm_objects {
                self.cached.pop_front();
            }
        }
        // Jobs past their deadline are skipped: the connection is closed by then.
        while let Some(job) = self.queue.pop_front() {
            if job.deadline <= now {
                continue;
            }
            let took = self.run(now, &job);
            return Some((job, took));
        }
        None
    }

    /// Stops the server and clears its cache; returns the running and queued sends.
    pub fn stop(&mut self, availability: Availability) -> Vec<Send> {
        self.availability = availability;
        self.epoch += 1;
        self.cached.clear();
        let queued = self.queue.drain(..).map(|job| job.send);
        let running = self.running.drain(..).map(|(_, send)| send);
        running.chain(queued).collect()
    }

    /// Restarts the server with cold caches.
    pub fn start(&mut self, now: Instant) {
        self.availability = Availability::Up;
        self.cold_until = now + self.site.cold;
    }

    /// Returns the exact waiting time and processing time of a new job, both in seconds.
    pub fn wait_and_work(&self, now: Instant, object: Option<u64>, work: f64) -> (f64, f64) {
        let mut ends: Vec<f64> = self
            .running
            .iter()
            .map(|(end, _)| end.since(now).as_secs_f64())
            .collect();
        ends.resize((self.site.slots as usize).max(ends.len()), 0.0);
        for job in &self.queue {
            let index = earliest_index(&ends);
            ends[index] += self.work_seconds(now, job.object, job.work);
        }
        (
            ends[earliest_index(&ends)],
            self.work_seconds(now, object, work),
        )
    }
}

fn earliest_index(ends: &[f64]) -> usize {
    let indices = 0..ends.len();
    let found = indices.min_by(|one, other| ends[*one].total_cmp(&ends[*other]));
    found.unwrap_or(0)
}
