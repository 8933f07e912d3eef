//! Current speed of backend servers, as far as they tell it.
//!
//! A server may add a figure to its load: how long work takes on its machine at present, as a
//! multiple of the usual. The figure changes several times a second. How fast it loses its value is
//! learned for each service from successive figures of the same server.

use super::{Choice, Load, Placement};
use azurenotch_wire::{hash::hash32, time::Instant};
use std::time::Duration;

/// Upper bounds of the age classes in milliseconds; the last class has none.
const AGE_BOUNDS_MS: [u64; 10] = [25, 50, 100, 200, 300, 400, 600, 800, 1_200, 2_000];
/// Half-life of a figure's value before any pair of figures was seen.
const PRIOR_HALF_LIFE_S: f64 = 0.3;
/// Weight of the prior of an age class, in pairs of figures.
const PRIOR_PAIRS: f64 = 3.0;
/// Weight at which older figures are halved, so that the estimates follow a change.
const MAX_WEIGHT: f64 = 200.0;
/// Number of pairs at which the older ones of an age class are halved.
const MAX_PAIRS: f64 = 60.0;
/// Time since the former figure of a server from which a figure counts fully.
///
/// Servers that answer more often would otherwise count for more, and these are the fast ones.
const FULL_WEIGHT_AGE: Duration = Duration::from_millis(500);
/// Smallest remaining value of a figure that says something about its server.
const MIN_PERSISTENCE: f64 = 0.3;
/// Multiple of the mean above which a figure counts as that of a slow period.
pub(super) const SLOW_FACTOR: f64 = 1.15;
/// Relative spread above which health checks before a send are made.
const MIN_CHECKED_SPREAD: f64 = 0.15;
/// Maximum number of figures that a host passes on at a time, and takes in from another one.
pub const MAX_PASSED_ON: usize = 40;
/// Number of figures from which the spread is known.
const MIN_FIGURES: f64 = 10.0;

/// What a backend server reported about itself in an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Report {
    /// Its load.
    pub load: Load,
    /// Time that work takes at present as a multiple of the usual; `None` if it does not tell.
    pub speed: Option<f64>,
}

/// A figure of a server's speed, with its age.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Figure {
    /// Time that work takes as a multiple of the usual.
    pub factor: f64,
    /// Time since the server told it.
    pub age: Duration,
}

/// Last figure of one server.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Speed {
    known: Option<Known>,
    /// Whether the server's last report had no figure.
    silent: bool,
}

/// A figure, and when it was told.
#[derive(Debug, Clone, Copy)]
struct Known {
    factor: f64,
    at: Instant,
    /// Whether the server told it to this host rather than to another one.
    direct: bool,
}

impl Speed {
    /// Records the figure of a report to this host, or that it had none.
    pub(super) fn observe(&mut self, now: Instant, figure: Option<f64>, all: &mut Persistence) {
        self.silent = figure.is_none();
        let former = self.known.take();
        self.known = figure.map(|factor| Known {
            factor,
            at: now,
            direct: true,
        });
        if let Some(factor) = figure {
            let former = former.map(|it| it.figure(now));
            all.learn(former, factor);
        }
    }

    /// Records a figure that another host passed on, unless the known one is as young.
    ///
    /// Others pass on the figures that differ most, so that nothing is learned from the choice.
    pub(super) fn receive(&mut self, now: Instant, figure: Figure) {
        let at = now - figure.age;
        if !self.silent && self.known.is_none_or(|known| known.at < at) {
            self.known = Some(Known {
                factor: figure.factor,
                at,
                direct: false,
            });
        }
    }

    /// Returns the last figure with its age.
    pub(super) fn figure(&self, now: Instant) -> Option<Figure> {
        self.known.map(|known| known.figure(now))
    }

    /// Returns the last figure if the server told it to this host.
    pub(super) fn direct_figure(&self, now: Instant) -> Option<Figure> {
        let known = self.known.filter(|known| known.direct);
        known.map(|known| known.figure(now))
    }

    /// Returns how long work that begins at `at` is expected to take, as a multiple of the usual.
    ///
    /// The relative time of a server that does not tell a figure contains its slow periods.
    pub(super) fn expected(&self, at: Instant, all: &Persistence) -> f64 {
        if self.silent {
            return 1.0;
        }
        all.expected(self.figure(at))
    }

    /// Returns a wait in seconds and the factor of the work after it, as expected at the speed.
    ///
    /// `arrival` returns when a request that is sent now arrives at the server.
    pub(super) fn scale(
        &self,
        now: Instant,
        arrival: impl Fn(Instant) -> Instant,
        wait: f64,
        all: &Persistence,
    ) -> (f64, f64) {
        if self.known.is_none() {
            let factor = self.expected(now, all);
            return (wait * factor, factor);
        }
        let arrival = arrival(now);
        let wait = wait * self.expected(arrival, all);
        let begin = arrival + Duration::from_secs_f64(wait);
        (wait, self.expected(begin, all))
    }

    /// Returns whether a figure is missing or says nothing more at `now`.
    pub(super) fn is_unknown(&self, now: Instant, all: &Persistence) -> bool {
        let informs = |figure: Figure| all.value(figure.age) >= MIN_PERSISTENCE;
        !self.silent && !self.figure(now).is_some_and(informs)
    }
}

impl Known {
    fn figure(self, now: Instant) -> Figure {
        Figure {
            factor: self.factor,
            age: now.since(self.at),
        }
    }
}

/// Figures of the servers of one service: mean, spread, and how long a figure keeps its value.
#[derive(Debug, Clone)]
pub(super) struct Persistence {
    /// Mean of all figures; 1 if there are none.
    mean: f64,
    /// Part of a figure's difference from the mean that is left, by age class.
    values: [f64; AGE_BOUNDS_MS.len() + 1],
    all: Sums,
    /// Figures of slow periods.
    slow: Sums,
    classes: [Class; AGE_BOUNDS_MS.len() + 1],
}

/// Weighted sums of figures.
#[derive(Debug, Clone, Copy, Default)]
struct Sums {
    weight: f64,
    sum: f64,
    squares: f64,
}

/// Regression of a figure on the former one of the same server, for one class of its age.
#[derive(Debug, Clone, Copy, Default)]
struct Class {
    pairs: f64,
    squares: f64,
    products: f64,
}

impl Persistence {
    /// Adds a figure, and with the former one of the same server a pair.
    fn learn(&mut self, former: Option<Figure>, factor: f64) {
        if let Some(former) = former {
            let mean = self.mean();
            let (before, after) = (former.factor - mean, factor - mean);
            self.classes[class(former.age)].add(before, after);
        }
        let age = former.map_or(FULL_WEIGHT_AGE, |former| former.age);
        let weight = (age.as_secs_f64() / FULL_WEIGHT_AGE.as_secs_f64()).min(1.0);
        if self.all.weight > MAX_WEIGHT {
            self.all.scale(0.5);
            self.slow.scale(0.5);
        }
        self.all.add(factor, weight);
        self.update();
        if factor > SLOW_FACTOR * self.mean() {
            self.slow.add(factor, weight);
        }
    }

    /// Recomputes what each choice reads.
    fn update(&mut self) {
        if self.all.weight > 0.0 {
            self.mean = self.all.sum / self.all.weight;
        }
        let variance = self.variance();
        for (index, value) in self.values.iter_mut().enumerate() {
            *value = self.classes[index].slope(prior(index), variance);
        }
    }

    /// Returns the mean of all figures, or 1 if there are none.
    pub(super) fn mean(&self) -> f64 {
        self.mean
    }

    fn variance(&self) -> f64 {
        if self.all.weight > 0.0 {
            (self.all.squares / self.all.weight - self.mean().powi(2)).max(0.0)
        } else {
            0.0
        }
    }

    /// Returns whether figures differ so much that it may pay to ask for one.
    pub(super) fn varies(&self) -> bool {
        self.all.weight >= MIN_FIGURES && self.variance().sqrt() > MIN_CHECKED_SPREAD * self.mean()
    }

    /// Returns the probability of a slow period and the time that work takes longer in it than
    /// otherwise, as a multiple of the usual.
    pub(super) fn slow_period(&self) -> (f64, f64) {
        let fast = Sums {
            weight: self.all.weight - self.slow.weight,
            sum: self.all.sum - self.slow.sum,
            squares: 0.0,
        };
        if self.slow.weight <= 0.0 || fast.weight <= 0.0 {
            return (0.0, 0.0);
        }
        let extra = self.slow.sum / self.slow.weight - fast.sum / fast.weight;
        (self.slow.weight / self.all.weight, extra.max(0.0))
    }

    /// Returns the part of a figure's difference from the mean that is left at an age.
    pub(super) fn value(&self, age: Duration) -> f64 {
        self.values[class(age)]
    }

    /// Returns the expected figure, given the last one of a server.
    pub(super) fn expected(&self, last: Option<Figure>) -> f64 {
        let mean = self.mean();
        last.map_or(mean, |last| {
            mean + self.value(last.age) * (last.factor - mean)
        })
    }
}

impl Default for Persistence {
    fn default() -> Self {
        Self {
            mean: 1.0,
            values: std::array::from_fn(prior),
            all: Sums::default(),
            slow: Sums::default(),
            classes: std::array::from_fn(|_| Class::default()),
        }
    }
}

impl Sums {
    fn add(&mut self, value: f64, weight: f64) {
        self.weight += weight;
        self.sum += weight * value;
        self.squares += weight * value * value;
    }

    fn scale(&mut self, factor: f64) {
        self.weight *= factor;
        self.sum *= factor;
        self.squares *= factor;
    }
}

impl Class {
    fn add(&mut self, before: f64, after: f64) {
        if self.pairs > MAX_PAIRS {
            self.pairs *= 0.5;
            self.squares *= 0.5;
            self.products *= 0.5;
        }
        self.pairs += 1.0;
        self.squares += before * before;
        self.products += before * after;
    }

    /// Returns the slope of the regression, which `prior` is until there are pairs.
    fn slope(&self, prior: f64, variance: f64) -> f64 {
        let weight = PRIOR_PAIRS * variance;
        let squares = self.squares + weight;
        if squares > 0.0 {
            ((self.products + weight * prior) / squares).clamp(0.0, 1.0)
        } else {
            prior
        }
    }
}

impl Placement {
    /// Records what a server reported about itself to this host.
    pub fn observe_report(&mut self, now: Instant, index: usize, report: &Report) {
        self.observe_load(now, index, report.load);
        let speed = &mut self.entries[index].speed;
        speed.observe(now, report.speed, &mut self.persistence);
    }

    /// Returns the figures that servers told this host and that still say something, by the hash of
    /// the server's name, each with its difference from the mean.
    ///
    /// There are none while the servers are equally fast.
    pub fn figures(&self, now: Instant) -> impl Iterator<Item = (u32, Figure, f64)> {
        let all = &self.persistence;
        let entries = self.entries.iter().filter(|_| all.varies());
        entries.filter_map(move |entry| {
            let figure = entry.speed.direct_figure(now)?;
            let informs = entry.is_listed() && all.value(figure.age) >= MIN_PERSISTENCE;
            let server = hash32(entry.backend.server.as_str());
            informs.then(|| (server, figure, (figure.factor - all.mean()).abs()))
        })
    }

    /// Records a figure that another host passed on, of the server whose name has the hash `server`.
    pub fn receive_figure(&mut self, now: Instant, server: u32, figure: Figure) {
        if let Some(index) = self.index_by_hash.get(&server) {
            self.entries[*index].speed.receive(now, figure);
        }
    }
}

/// Returns the figures to pass on, those that differ most: at most [`MAX_PASSED_ON`].
///
/// Takes what [`Placement::figures`] returns, for one service or for several.
pub fn most_different(
    mut figures: Vec<(u32, Figure, f64)>,
) -> impl ExactSizeIterator<Item = (u32, Figure)> {
    figures.sort_by(|(.., one), (.., other)| other.total_cmp(one));
    figures.truncate(MAX_PASSED_ON);
    figures
        .into_iter()
        .map(|(server, figure, _)| (server, figure))
}

/// Returns how long work took that has just ended, as a multiple of the usual, because of the speed.
///
/// The figure that was known at the choice and the one in the answer say it; the one counts that
/// keeps more of its value at the time of the work. `served` is the duration of the work in seconds.
pub(super) fn during(
    now: Instant,
    served: f64,
    choice: &Choice,
    speed: &Speed,
    all: &Persistence,
) -> f64 {
    let before = choice
        .figure
        .map_or(0.0, |figure| all.value(figure.age + choice.wait));
    let middle = Duration::from_secs_f64(served / 2.0);
    let answer = speed.figure(now).map(|figure| Figure {
        age: figure.age + middle,
        ..figure
    });
    let after = answer.map_or(0.0, |figure| all.value(figure.age));
    if after > before {
        all.expected(answer)
    } else {
        choice.slowness
    }
}

/// Returns the value of a figure before any pair of figures was seen, by the lower bound of its age.
fn prior(class: usize) -> f64 {
    let lower = class
        .checked_sub(1)
        .map_or(0, |before| AGE_BOUNDS_MS[before]);
    (-Duration::from_millis(lower).as_secs_f64() / PRIOR_HALF_LIFE_S).exp2()
}

/// Returns the index of the class of an age.
fn class(age: Duration) -> usize {
    let age = age.as_millis();
    AGE_BOUNDS_MS.partition_point(|bound| u128::from(*bound) <= age)
}

#[cfg(test)]
mod tests;
