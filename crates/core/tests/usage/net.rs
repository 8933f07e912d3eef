//! Paths between hosts, and from hosts to the store and the endpoint.

use rand::{Rng, rngs::SmallRng};

/// End of a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    Host(usize),
    Store,
    Cloud,
}

/// Cut of the path from one place to another, in one direction.
#[derive(Debug, Clone, Copy)]
struct Cut {
    from: Option<Place>,
    to: Option<Place>,
    until: u64,
}

#[derive(Debug)]
pub struct Net {
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Probabilities that a call or its answer is lost, and that it is slow.
    pub call_loss: f64,
    pub slow: f64,
    /// Probability that a datagram arrives again, up to 8 s later.
    pub repeat: f64,
    cuts: Vec<Cut>,
}

impl Net {
    pub fn new(loss: f64, call_loss: f64, slow: f64, repeat: f64) -> Self {
        Self {
            loss,
            call_loss,
            slow,
            repeat,
            cuts: Vec::new(),
        }
    }

    /// Cuts the path between two places in one direction; `None` stands for all places.
    pub fn cut(&mut self, from: Option<Place>, to: Option<Place>, until: u64) {
        self.cuts.push(Cut { from, to, until });
    }

    /// Returns whether the path is cut.
    pub fn is_cut(&self, now: u64, from: Place, to: Place) -> bool {
        let matches = |end: Option<Place>, place| end.is_none_or(|end| end == place);
        let mut cuts = self.cuts.iter();
        cuts.any(|cut| cut.until > now && matches(cut.from, from) && matches(cut.to, to))
    }

    /// Returns the delay of a datagram, or `None` if it is lost.
    pub fn datagram(&self, rng: &mut SmallRng, now: u64, from: usize, to: usize) -> Option<u64> {
        let is_lost = rng.random_bool(self.loss);
        let is_cut = self.is_cut(now, Place::Host(from), Place::Host(to));
        let base = if from % 3 == to % 3 { 1 } else { 35 };
        let delay = base + rng.random_range(0..6);
        (!is_lost && !is_cut).then_some(delay)
    }

    /// Returns the delay of one way of a call, or `None` if it is lost.
    ///
    /// A slow call takes less than the time between the end of the right to send and a takeover.
    pub fn call(&self, rng: &mut SmallRng, now: u64, from: Place, to: Place) -> Option<u64> {
        let is_lost = rng.random_bool(self.call_loss);
        let is_slow = rng.random_bool(self.slow);
        let delay = rng.random_range(if is_slow { 100..1_900 } else { 3..40 });
        (!is_lost && !self.is_cut(now, from, to)).then_some(delay)
    }
}
