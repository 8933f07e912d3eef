//! In-process table, object store and host list with injectable faults.

use crate::fault::{Counter, Dice, Each, Endpoint, Fate, Fault};
use async_trait::async_trait;
use azurenotch_platform::{
    Roster, Store, Table, roster, store,
    table::{self, Expect, Fence, Row},
};
use azurenotch_wire::Map;
use parking_lot::Mutex;
use std::{future, sync::Arc, time::Duration};
use tokio::{sync::watch, time};

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(1);

/// Platform in memory; clones share their content.
#[derive(Debug, Clone)]
pub struct Platform {
    inner: Arc<Inner>,
    timeout: Duration,
}

#[derive(Debug)]
struct Inner {
    state: Mutex<State>,
    dice: Mutex<Dice>,
    counters: watch::Sender<Each<Counter>>,
}

impl Platform {
    /// Creates an empty platform; the seed drives its random faults.
    pub fn new(seed: u64) -> Self {
        Self {
            inner: Arc::new(Inner {
                state: Mutex::default(),
                dice: Mutex::new(Dice::new(seed)),
                counters: watch::Sender::default(),
            }),
            timeout: DEFAULT_TIMEOUT,
        }
    }

    /// Sets how long a call through the traits may take.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Replaces the faults of one kind of endpoint.
    pub fn set_fault(&self, endpoint: Endpoint, fault: Fault) {
        *self.inner.dice.lock().faults.of_mut(endpoint) = fault;
    }

    /// Returns the current faults of one kind of endpoint.
    pub fn fault(&self, endpoint: Endpoint) -> Fault {
        self.inner.dice.lock().faults.of(endpoint).clone()
    }

    /// Replaces the host list.
    pub fn set_roster(&self, entries: Vec<roster::Entry>) {
        self.inner.state.lock().roster = entries;
    }

    /// Returns the numbers of calls so far.
    pub fn counters(&self) -> Each<Counter> {
        *self.inner.counters.borrow()
    }

    /// Waits until the numbers of calls meet a condition.
    pub async fn wait_for(&self, condition: impl FnMut(&Each<Counter>) -> bool) {
        let mut counters = self.inner.counters.subscribe();
        // The sender lives as long as `self`, so that the channel cannot close.
        let _ = counters.wait_for(condition).await;
    }

    /// Carries out one call, subject to the faults of its endpoint.
    pub(crate) async fn run<T: Send + 'static>(
        &self,
        endpoint: Endpoint,
        write: bool,
        effect: impl FnOnce(&mut State) -> (T, Effect) + Send + 'static,
    ) -> Result<T, Broken> {
        let (fate, delay) = {
            let mut dice = self.inner.dice.lock();
            let fate = dice.fate(endpoint, write);
            (fate, dice.faults.of(endpoint).delay)
        };
        self.inner.count(endpoint, |counter| {
            counter.received += 1;
            counter.faults += u64::from(fate != Fate::Carry);
        });
        match fate {
            Fate::Carry | Fate::Lose => {}
            Fate::Drop => return Err(Broken::Lost),
            Fate::Fail { vague: false } => return Err(Broken::Unwritten),
            Fate::Fail { vague: true } => return Err(Broken::Vague),
            Fate::Freeze => future::pending().await,
        }
        let inner = Arc::clone(&self.inner);
        // A task of its own, because a write takes effect even when its caller has given up.
        let task = tokio::spawn(async move {
            if !delay.is_zero() {
                time::sleep(delay).await;
            }
            let (result, effect) = effect(&mut inner.state.lock());
            inner.count(endpoint, |counter| match effect {
                Effect::Read => counter.reads += 1,
                Effect::Write => counter.writes += 1,
                Effect::Conflict => counter.conflicts += 1,
                Effect::Fenced => counter.fenced += 1,
            });
            result
        });
        match task.await {
            Ok(result) if fate == Fate::Carry => Ok(result),
            _ => Err(Broken::Lost),
        }
    }

    async fn run_in_time<T: Send + 'static>(
        &self,
        endpoint: Endpoint,
        write: bool,
        effect: impl FnOnce(&mut State) -> (T, Effect) + Send + 'static,
    ) -> Result<T, Broken> {
        let run = self.run(endpoint, write, effect);
        time::timeout(self.timeout, run)
            .await
            .unwrap_or(Err(Broken::Lost))
    }

    pub(crate) async fn write_row(
        &self,
        key: &str,
        write: Write,
        fence: Option<&Fence>,
    ) -> Result<Result<u64, Refused>, Broken> {
        let (key, fence) = (key.to_owned(), fence.cloned());
        self.run(Endpoint::Table, true, move |state| {
            state.write(&key, write, fence.as_ref())
        })
        .await
    }

    async fn write_row_in_time(
        &self,
        key: &str,
        write: Write,
        fence: Option<&Fence>,
    ) -> table::Result<u64> {
        let run = self.write_row(key, write, fence);
        match time::timeout(self.timeout, run).await {
            Ok(Ok(Ok(version))) => Ok(version),
            Ok(Ok(Err(Refused::Conflict(row)))) => table::ConflictSnafu { key, row }.fail(),
            Ok(Ok(Err(Refused::Fenced { key, token }))) => table::FencedSnafu { key, token }.fail(),
            Ok(Err(Broken::Unwritten)) => table::UnavailableSnafu { key }.fail(),
            Ok(Err(Broken::Lost | Broken::Vague)) | Err(_) => table::AmbiguousSnafu { key }.fail(),
        }
    }
}

impl Inner {
    fn count(&self, endpoint: Endpoint, change: impl FnOnce(&mut Counter)) {
        self.counters
            .send_modify(|counters| change(counters.of_mut(endpoint)));
    }
}

#[async_trait]
impl Table for Platform {
    async fn get(&self, key: &str) -> table::Result<Option<Row>> {
        let name = key.to_owned();
        self.run_in_time(Endpoint::Table, false, move |state| {
            (state.rows.get(&name).cloned(), Effect::Read)
        })
        .await
        .map_err(|_broken| table::UnavailableSnafu { key }.build())
    }

    async fn put(
        &self,
        key: &str,
        value: &[u8],
        expect: Expect,
        fence: Option<&Fence>,
    ) -> table::Result<u64> {
        let write = Write::Put(value.to_vec(), expect);
        self.write_row_in_time(key, write, fence).await
    }

    async fn delete(&self, key: &str, version: u64, fence: Option<&Fence>) -> table::Result<()> {
        self.write_row_in_time(key, Write::Delete(version), fence)
            .await
            .map(drop)
    }
}

#[async_trait]
impl Store for Platform {
    async fn get(&self, name: &str) -> store::Result<Option<Vec<u8>>> {
        let key = name.to_owned();
        self.run_in_time(Endpoint::Object, false, move |state| {
            (state.objects.get(&key).cloned(), Effect::Read)
        })
        .await
        .map_err(|_broken| store::UnavailableSnafu { name }.build())
    }

    async fn put(&self, name: &str, bytes: &[u8]) -> store::Result<()> {
        let (key, bytes) = (name.to_owned(), bytes.to_vec());
        self.run_in_time(Endpoint::Object, true, move |state| {
            state.objects.insert(key, bytes);
            ((), Effect::Write)
        })
        .await
        .map_err(|_broken| store::UnavailableSnafu { name }.build())
    }
}

#[async_trait]
impl Roster for Platform {
    async fn list(&self) -> roster::Result<Vec<roster::Entry>> {
        self.run_in_time(Endpoint::Roster, false, |state| {
            (state.roster.clone(), Effect::Read)
        })
        .await
        .map_err(|_broken| roster::UnavailableSnafu.build())
    }
}

/// Content of the platform.
#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) rows: Map<String, Row>,
    pub(crate) objects: Map<String, Vec<u8>>,
    pub(crate) roster: Vec<roster::Entry>,
    /// Last row version; all rows share one sequence, so that no number is used twice.
    sequence: u64,
}

impl State {
    fn write(
        &mut self,
        key: &str,
        write: Write,
        fence: Option<&Fence>,
    ) -> (Result<u64, Refused>, Effect) {
        if let Some(Fence { key, token }) = fence {
            let held = self
                .rows
                .get(key)
                .and_then(|row| row.value.first_chunk())
                .map(|bytes| u64::from_be_bytes(*bytes));
            if held != Some(*token) {
                let (key, token) = (key.clone(), *token);
                return (Err(Refused::Fenced { key, token }), Effect::Fenced);
            }
        }
        let current = self.rows.get(key);
        let holds = match (&write, current) {
            (Write::Put(_, Expect::Absent), None) => true,
            (Write::Put(_, Expect::Version(version)) | Write::Delete(version), Some(row)) => {
                row.version == *version
            }
            _ => false,
        };
        if !holds {
            return (Err(Refused::Conflict(current.cloned())), Effect::Conflict);
        }
        self.sequence += 1;
        let version = self.sequence;
        match write {
            Write::Put(value, _) => {
                self.rows.insert(key.to_owned(), Row { version, value });
            }
            Write::Delete(_) => {
                self.rows.remove(key);
            }
        }
        (Ok(version), Effect::Write)
    }
}

/// Write to one row.
#[derive(Debug)]
pub(crate) enum Write {
    /// Writes a value under a condition.
    Put(Vec<u8>, Expect),
    /// Deletes the row if it has this version.
    Delete(u64),
}

/// Why a write did not take effect.
#[derive(Debug)]
pub(crate) enum Refused {
    Conflict(Option<Row>),
    Fenced { key: String, token: u64 },
}

/// How a call counts.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Effect {
    Read,
    Write,
    Conflict,
    Fenced,
}

/// How a fault ended a call.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Broken {
    /// The connection was lost.
    Lost,
    /// The call failed and said that nothing was written.
    Unwritten,
    /// The call failed and left open whether something was written.
    Vague,
}
