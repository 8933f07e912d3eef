//! Measured probability that a server has the object of a request in its cache.
//!
//! Load pattern: caches are smaller, or popular objects more numerous, than a constant probability
//! assumes. A host that expects a warm cache at the home in another region then sends requests there
//! that are late. Each answer therefore counts as a hit or a miss at the place of its server.

use azurenotch_wire::{Map, time::Instant};
use std::time::Duration;

/// Largest number of homes of an object in a region.
pub(super) const MAX_HOMES: usize = 4;
/// Prior hit probability at a home server in this host's region.
pub(super) const HOME_PRIOR: f64 = 0.95;
/// Prior hit probability at a home server in another region.
const REMOTE_HOME_PRIOR: f64 = 0.85;
/// Prior hit probability at the server that ranks just below the homes of a region.
const SPARE_PRIOR: f64 = 0.5;
/// Prior hit probability at any other server.
const OTHER_PRIOR: f64 = 0.05;
/// Prior hit probability at a server to which this host has recently sent a request for the object.
///
/// The server has the object in its cache once it answers, so a server that was chosen once under
/// load remains the better choice.
const SENT_PRIOR: f64 = 0.95;
/// Number of answers that a prior counts for.
const PRIOR_WEIGHT: f64 = 20.0;
/// Number of answers at a place after which an answer counts half.
const HALF_LIFE: f64 = 60.0;
/// Number of answers that the assumption of cold caches at the start counts for.
const COLD_WEIGHT: f64 = 5.0;
/// Number of answers of near homes after which an answer counts half for [`Hits::near_homes`].
///
/// A host with few requests has to see within seconds that its caches have become warm.
const NEAR_HALF_LIFE: f64 = 20.0;
/// Half of the time for which requests for an object are counted.
const GENERATION: Duration = Duration::from_secs(4);
/// Maximum number of objects that are counted in one generation.
const MAX_COUNTED: usize = 2048;
/// Number of places, each with its classes.
const PLACES: usize = 4 * (MAX_HOMES + 2);

/// Rank of a server for an object among the servers of its region, the same at all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rank {
    /// One of the homes, 0 for the first.
    Home(u8),
    /// The server that gets the requests for which the homes have no room.
    Spare,
    /// Any other server.
    Other,
}

impl Rank {
    fn index(self) -> usize {
        match self {
            Self::Home(rank) => usize::from(rank).min(MAX_HOMES - 1),
            Self::Spare => MAX_HOMES,
            Self::Other => MAX_HOMES + 1,
        }
    }

    /// Returns the name of the rank in logs and metrics.
    pub fn name(self) -> &'static str {
        const NAMES: [&str; MAX_HOMES + 2] =
            ["first", "second", "third", "fourth", "spare", "other"];
        NAMES[self.index()]
    }
}

/// How often this host has recently sent a request for an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// Not at all.
    New,
    /// Once.
    Once,
    /// Two or three times.
    Few,
    /// Four times or more.
    Many,
}

impl Class {
    const ALL: usize = 4;

    pub(super) fn new(count: u32) -> Self {
        match count {
            0 => Self::New,
            1 => Self::Once,
            2 | 3 => Self::Few,
            _ => Self::Many,
        }
    }

    /// Returns the name of the class in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::New => "none",
            Self::Once => "once",
            Self::Few => "few",
            Self::Many => "many",
        }
    }
}

/// What a host knows of a server and an object before it sends a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Rank of the server for the object.
    pub rank: Rank,
    /// Whether the server is in this host's region.
    pub near: bool,
    /// Whether this host has recently sent a request for the object to the server.
    pub sent: bool,
    /// How often this host has recently sent a request for the object to any server.
    pub class: Class,
}

impl Place {
    fn index(self) -> usize {
        4 * self.rank.index() + 2 * usize::from(self.near) + usize::from(self.sent)
    }

    fn prior(self) -> f64 {
        let rank = match self.rank {
            Rank::Home(_) if self.near => HOME_PRIOR,
            Rank::Home(_) => REMOTE_HOME_PRIOR,
            Rank::Spare => SPARE_PRIOR,
            Rank::Other => OTHER_PRIOR,
        };
        if self.sent {
            rank.max(SENT_PRIOR)
        } else {
            rank
        }
    }
}

/// Hits among recent answers, of which older ones count less.
#[derive(Debug, Clone, Copy, Default)]
struct Share {
    hits: f64,
    answers: f64,
}

impl Share {
    fn new(prior: f64) -> Self {
        Self {
            hits: PRIOR_WEIGHT * prior,
            answers: PRIOR_WEIGHT,
        }
    }

    fn add(&mut self, hit: bool, half_life: f64) {
        let kept = (-1.0 / half_life).exp2();
        self.hits = kept * self.hits + f64::from(u8::from(hit));
        self.answers = kept * self.answers + 1.0;
    }

    fn value(&self, prior: f64) -> f64 {
        (self.hits + PRIOR_WEIGHT * prior) / (self.answers + PRIOR_WEIGHT)
    }
}

/// Hit probabilities of one service, and the recent requests for its objects.
#[derive(Debug)]
pub(super) struct Hits {
    /// All answers by place; the priors count as answers.
    places: [Share; PLACES],
    /// Answers by place and class.
    classes: [[Share; Class::ALL]; PLACES],
    /// Requests by object in the current and in the former generation.
    counts: [Map<u64, u32>; 2],
    /// Requests for all objects in the same generations.
    all: [u32; 2],
    generation: Instant,
    /// Answers of homes in this host's region.
    near_homes: Share,
    /// Whether the measured probabilities apply rather than the priors.
    ///
    /// Where caches are full, a copy at another server evicts another object, so that the homes have
    /// to stay preferred whatever they missed. On the model's sites without room, measured values
    /// lost 0.01 to 0.06 of the credit, because misses at the homes spread the objects further.
    pub(super) applies: bool,
}

impl Hits {
    pub(super) fn new() -> Self {
        let mut places = [Share::default(); PLACES];
        let ranks = (0..MAX_HOMES as u8).map(Rank::Home);
        for rank in ranks.chain([Rank::Spare, Rank::Other]) {
            for (near, sent) in [(false, false), (false, true), (true, false), (true, true)] {
                let class = Class::New;
                let place = Place {
                    rank,
                    near,
                    sent,
                    class,
                };
                places[place.index()] = Share::new(place.prior());
            }
        }
        Self {
            places,
            classes: [[Share::default(); Class::ALL]; PLACES],
            counts: [Map::default(), Map::default()],
            all: [0; 2],
            generation: Instant::ZERO,
            near_homes: Share {
                hits: 0.0,
                answers: COLD_WEIGHT,
            },
            applies: false,
        }
    }

    /// Returns the share of hits among the answers of homes in this host's region.
    ///
    /// All caches are cold at the start, so that it begins at 0.
    pub(super) fn near_homes(&self) -> f64 {
        self.near_homes.hits / self.near_homes.answers
    }

    /// Estimates the number of objects for which requests reach this host.
    ///
    /// Those that it has not seen lately are estimated from those that it saw once and twice (the
    /// bias-corrected estimator of Chao).
    pub(super) fn objects(&self) -> f64 {
        let [current, former] = &self.counts;
        let count = |object: &u64, own: u32| own + former.get(object).copied().unwrap_or_default();
        let seen = current.iter().map(|(object, own)| count(object, *own));
        let earlier = former
            .iter()
            .filter(|(object, _)| !current.contains_key(object));
        let (mut all, mut once, mut twice) = (0.0, 0.0, 0.0);
        for count in seen.chain(earlier.map(|(_, count)| *count)) {
            all += 1.0;
            once += f64::from(u8::from(count == 1));
            twice += f64::from(u8::from(count == 2));
        }
        all + once * f64::max(once - 1.0, 0.0) / (2.0 * (twice + 1.0))
    }

    /// Returns the probability that a request finds the object in the cache of the server.
    ///
    /// What is known of the place with all classes is the prior of one class: a host sees few
    /// requests of each.
    pub(super) fn probability(&self, place: Place) -> f64 {
        if !self.applies {
            return place.prior();
        }
        let index = place.index();
        let all = &self.places[index];
        self.classes[index][place.class as usize].value(all.hits / all.answers)
    }

    /// Counts an answer.
    pub(super) fn observe(&mut self, place: Place, hit: bool) {
        let index = place.index();
        self.places[index].add(hit, HALF_LIFE);
        self.classes[index][place.class as usize].add(hit, HALF_LIFE);
        if place.near && matches!(place.rank, Rank::Home(_)) {
            self.near_homes.add(hit, NEAR_HALF_LIFE);
        }
    }

    /// Counts a request for an object.
    pub(super) fn count(&mut self, now: Instant, object: u64) {
        let age = now.since(self.generation);
        if age >= GENERATION {
            self.counts.swap(0, 1);
            self.counts[0].clear();
            self.all = [0, self.all[0]];
            if age >= 2 * GENERATION {
                self.counts[1].clear();
                self.all[1] = 0;
            }
            self.generation = now;
        }
        self.all[0] += 1;
        let counts = &mut self.counts[0];
        if counts.len() < MAX_COUNTED || counts.contains_key(&object) {
            *counts.entry(object).or_default() += 1;
        }
    }

    /// Returns the requests in the last 4 to 8 s, for an object and for all objects.
    pub(super) fn requests(&self, now: Instant, object: u64) -> (u32, u32) {
        let age = now.since(self.generation);
        let known = usize::from(age < 2 * GENERATION) + usize::from(age < GENERATION);
        let counts = self.counts[..known].iter();
        let own = counts.filter_map(|counts| counts.get(&object)).sum();
        (own, self.all[..known].iter().sum())
    }
}

#[cfg(test)]
mod tests;
