//! Faults and counters of the platform stand-ins.

use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};
use std::{ops::Add, time::Duration};

/// Kind of endpoint whose faults are set together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Endpoint {
    /// The table.
    Table,
    /// The object store.
    Object,
    /// The host list.
    Roster,
}

/// Faults to inject at one kind of endpoint; none by default.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Every call loses its connection before it takes effect.
    pub down: bool,
    /// Calls are accepted and never answered, and take no effect.
    pub freeze: bool,
    /// Time between the arrival of a call and its effect.
    ///
    /// The call takes effect even if the caller no longer waits for it.
    #[serde(rename = "delay_ms", with = "millis")]
    pub delay: Duration,
    /// Number of next writes that take effect and whose answer is lost.
    pub lose_answers: u32,
    /// Number of next writes that lose their connection before they take effect.
    pub drop_writes: u32,
    /// Share of calls, from 0 to 1, that fail without effect.
    pub fail_share: f64,
    /// Whether a failure of `fail_share` does not state that nothing was written.
    pub vague: bool,
}

/// Numbers of calls to one kind of endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counter {
    /// Calls received, including failed ones.
    pub received: u64,
    /// Reads that were executed.
    pub reads: u64,
    /// Writes that took effect.
    pub writes: u64,
    /// Writes whose condition did not hold.
    pub conflicts: u64,
    /// Writes whose fence did not hold.
    pub fenced: u64,
    /// Calls that ended in a fault.
    pub faults: u64,
}

impl Add for Counter {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            received: self.received + other.received,
            reads: self.reads + other.reads,
            writes: self.writes + other.writes,
            conflicts: self.conflicts + other.conflicts,
            fenced: self.fenced + other.fenced,
            faults: self.faults + other.faults,
        }
    }
}

/// One value for each kind of endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PerEndpoint<T> {
    /// Value of the table.
    pub table: T,
    /// Value of the object store.
    pub object: T,
    /// Value of the host list.
    pub roster: T,
}

impl<T> PerEndpoint<T> {
    /// Returns the value of one kind of endpoint.
    pub const fn get(&self, endpoint: Endpoint) -> &T {
        match endpoint {
            Endpoint::Table => &self.table,
            Endpoint::Object => &self.object,
            Endpoint::Roster => &self.roster,
        }
    }

    /// Returns the value of one kind of endpoint as a mutable reference.
    pub const fn get_mut(&mut self, endpoint: Endpoint) -> &mut T {
        match endpoint {
            Endpoint::Table => &mut self.table,
            Endpoint::Object => &mut self.object,
            Endpoint::Roster => &mut self.roster,
        }
    }
}

/// Fault to inject into one call, or none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Decision {
    /// The call is executed and answered.
    Execute,
    /// The call is executed and its answer is lost.
    LoseAnswer,
    /// The connection is lost before the call takes effect.
    Disconnect,
    /// The call fails without effect.
    Fail { vague: bool },
    /// The call is never answered and takes no effect.
    Freeze,
}

/// Current faults and the random generator for [`Fault::fail_share`].
#[derive(Debug)]
pub(crate) struct FaultInjector {
    pub(crate) faults: PerEndpoint<Fault>,
    random: SmallRng,
}

impl FaultInjector {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            faults: PerEndpoint::default(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Chooses the fault of a received call and decrements the count of a limited fault.
    pub(crate) fn decide(&mut self, endpoint: Endpoint, write: bool) -> Decision {
        let fault = self.faults.get_mut(endpoint);
        if fault.down {
            return Decision::Disconnect;
        }
        if fault.freeze {
            return Decision::Freeze;
        }
        if fault.fail_share > 0.0 && self.random.random_bool(fault.fail_share.min(1.0)) {
            return Decision::Fail { vague: fault.vague };
        }
        if write && fault.drop_writes > 0 {
            fault.drop_writes -= 1;
            return Decision::Disconnect;
        }
        if write && fault.lose_answers > 0 {
            fault.lose_answers -= 1;
            return Decision::LoseAnswer;
        }
        Decision::Execute
    }
}

/// Serializes a duration as whole milliseconds.
pub(crate) mod millis {
    use serde::{Deserialize, Deserializer, Serializer};
    use std::time::Duration;

    pub(crate) fn serialize<S: Serializer>(time: &Duration, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_u64(time.as_millis() as u64)
    }

    pub(crate) fn deserialize<'a, D: Deserializer<'a>>(from: D) -> Result<Duration, D::Error> {
        u64::deserialize(from).map(Duration::from_millis)
    }
}
