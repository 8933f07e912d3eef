//! What a host knows of the rows of another one.

use crate::process::replica::Update;
use azurenotch_core::process::echo::Echo;
use azurenotch_wire::time::Instant;
use std::time::Duration;

/// Time in which a host that was sent changes says that it has them, unless they were lost.
const ACKNOWLEDGEMENT_TIME: Duration = Duration::from_secs(1);

/// What a host said in its last message, and what it was sent since.
#[derive(Debug, Clone, Copy)]
pub(super) struct Contact {
    /// Returned to it in the next datagram.
    pub(super) echo: Echo,
    /// When it was received.
    heard: Instant,
    /// Versions of its rows, orders first.
    versions: [u64; 2],
    told: Option<Told>,
}

/// Changes that a host was sent and has not acknowledged.
#[derive(Debug, Clone, Copy)]
struct Told {
    /// When the first of them were sent, and up to which versions.
    first: (Instant, [u64; 2]),
    /// Versions that the host has if nothing was lost.
    expected: [u64; 2],
}

impl Contact {
    /// Creates the contact with a host that has said nothing before.
    pub(super) const fn new(echo: Echo, versions: [u64; 2]) -> Self {
        Self {
            echo,
            heard: Instant::ZERO,
            versions,
            told: None,
        }
    }

    /// Takes over what the host said at `now` of the versions of its rows.
    pub(super) fn update(&mut self, now: Instant, echo: Echo, versions: [u64; 2]) {
        self.echo = echo;
        self.heard = now;
        self.versions = versions;
        let told = self.told.take();
        self.told = told.and_then(|told| told.acknowledged(now, versions));
    }

    /// Returns the time for which this host has held the echo.
    pub(super) fn held(&self, now: Instant) -> Duration {
        now.since(self.heard)
    }

    /// Records that the host is sent changes up to these versions.
    pub(super) fn tell(&mut self, now: Instant, versions: [u64; 2]) {
        let first = self.told(now).map_or((now, versions), |told| told.first);
        self.told = Some(Told {
            first,
            expected: versions,
        });
    }

    /// Returns whether the host lacks rows of a part, as far as is known.
    pub(super) fn lacks(&self, now: Instant, part: &[Update; 2]) -> bool {
        let expected = self.told(now).map_or([0; 2], |told| told.expected);
        (0..2).any(|subject| {
            let version = self.versions[subject].max(expected[subject]);
            let last = part[subject].facts.last();
            last.is_some_and(|fact| version < fact.version)
        })
    }

    /// Returns what the host was sent, unless it should have acknowledged that by now.
    fn told(&self, now: Instant) -> Option<Told> {
        let told = self.told?;
        let (since, _) = told.first;
        (now.since(since) < ACKNOWLEDGEMENT_TIME).then_some(told)
    }
}

impl Told {
    /// Returns what is left when the host says that it has these versions.
    fn acknowledged(self, now: Instant, versions: [u64; 2]) -> Option<Self> {
        if has(versions, self.expected) {
            return None;
        }
        let (_, first) = self.first;
        // The host has got some of it; the rest may be on the way.
        let first = if has(versions, first) {
            (now, self.expected)
        } else {
            self.first
        };
        Some(Self { first, ..self })
    }
}

fn has(versions: [u64; 2], others: [u64; 2]) -> bool {
    versions
        .iter()
        .zip(others)
        .all(|(one, other)| *one >= other)
}

#[cfg(test)]
mod tests;
