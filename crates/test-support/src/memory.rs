//! In-process table, object store and host list with injectable faults.

use crate::fault::{Counter, Decision, Endpoint, Fault, FaultInjector, PerEndpoint};
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

/// In-memory platform; clones share their content and faults.
#[derive(Debug, Clone)]
pub struct Platform {
    inner: Arc<Inner>,
    timeout: Duration,
}

#[derive(Debug)]
struct Inner {
    state: Mutex<State>,
    injector: Mutex<FaultInjector>,
    counters: watch::Sender<PerEndpoint<Counter>>,
}

impl Platform {
    /// Creates an empty platform; the seed drives its random faults.
    pub fn new(seed: u64) -> Self {
        Self {
            inner: Arc::new(Inner {
                state: Mutex::default(),
                injector: Mutex::new(FaultInjector::new(seed)),
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
        *self.inner.injector.lock().faults.get_mut(endpoint) = fault;
    }

    /// Returns the current faults of one kind of endpoint.
    pub fn fault(&self, endpoint: Endpoint) -> Fault {
        self.inner.injector.lock().faults.get(endpoint).clone()
    }

    /// Replaces the host list.
    pub fn set_roster(&self, entries: Vec<roster::Entry>) {
        self.inner.state.lock().roster = entries;
    }

    /// Returns the numbers of calls so far.
    pub fn counters(&self) -> PerEndpoint<Counter> {
        *self.inner.counters.borrow()
    }

    /// Waits until the numbers of calls meet a condition.
    pub async fn wait_for(&self, condition: impl FnMut(&PerEndpoint<Counter>) -> bool) {
        let mut counters = self.inner.counters.subscribe();
        // The channel cannot close, because `self` owns the sender.
        let _ = counters.wait_for(condition).await;
    }

    /// Executes one call, subject to the faults of its endpoint.
    pub(crate) async fn execute<T: Send + 'static>(
        &self,
        endpoint: Endpoint,
        write: bool,
        effect: impl FnOnce(&mut State) -> (T, Effect) + Send + 'static,
    ) -> Result<T, Failure> {
        let (decision, delay) = {
            let mut injector = self.inner.injector.lock();
            let decision = injector.decide(endpoint, write);
            (decision, injector.faults.get(endpoint).delay)
        };
        self.inner.count(endpoint, |counter| {
            counter.received += 1;
            counter.faults += u64::from(decision != Decision::Execute);
        });
        match decision {
            Decision::Execute | Decision::LoseAnswer => {}
            Decision::Disconnect => return Err(Failure::Lost),
            Decision::Fail { vague: false } => return Err(Failure::NotWritten),
            Decision::Fail { vague: true } => return Err(Failure::Ambiguous),
            Decision::Freeze => future::pending().await,
        }
        let inner = Arc::clone(&self.inner);
        // Runs in a separate task, because a write takes effect even if its call is dropped.
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
            Ok(result) if decision == Decision::Execute => Ok(result),
            _ => Err(Failure::Lost),
        }
    }

    async fn execute_within_timeout<T: Send + 'static>(
        &self,
        endpoint: Endpoint,
        write: bool,
        effect: impl FnOnce(&mut State) -> (T, Effect) + Send + 'static,
    ) -> Result<T, Failure> {
        let run = self.execute(endpoint, write, effect);
        time::timeout(self.timeout, run)
            .await
            .unwrap_or(Err(Failure::Lost))
    }

    pub(crate) async fn write_row(
        &self,
        key: &str,
        write: Write,
        fence: Option<&Fence>,
    ) -> Result<Result<u64, Refused>, Failure> {
        let (key, fence) = (key.to_owned(), fence.cloned());
        self.execute(Endpoint::Table, true, move |state| {
            state.write(&key, write, fence.as_ref())
        })
        .await
    }

    async fn write_row_within_timeout(
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
            Ok(Err(Failure::NotWritten)) => table::UnavailableSnafu { key }.fail(),
            Ok(Err(Failure::Lost | Failure::Ambiguous)) | Err(_) => {
                table::AmbiguousSnafu { key }.fail()
            }
        }
    }
}

impl Inner {
    fn count(&self, endpoint: Endpoint, change: impl FnOnce(&mut Counter)) {
        self.counters
            .send_modify(|counters| change(counters.get_mut(endpoint)));
    }
}

#[async_trait]
impl Table for Platform {
    async fn get(&self, key: &str) -> table::Result<Option<Row>> {
        let name = key.to_owned();
        self.execute_within_timeout(Endpoint::Table, false, move |state| {
            (state.rows.get(&name).cloned(), Effect::Read)
        })
        .await
        .map_err(|_failure| table::UnavailableSnafu { key }.build())
    }

    async fn put(
        &self,
        key: &str,
        value: &[u8],
        expect: Expect,
        fence: Option<&Fence>,
    ) -> table::Result<u64> {
        let write = Write::Put(value.to_vec(), expect);
        self.write_row_within_timeout(key, write, fence).await
    }

    async fn delete(&self, key: &str, version: u64, fence: Option<&Fence>) -> table::Result<()> {
        self.write_row_within_timeout(key, Write::Delete(version), fence)
            .await
            .map(drop)
    }
}

#[async_trait]
impl Store for Platform {
    async fn get(&self, name: &str) -> store::Result<Option<Vec<u8>>> {
        let key = name.to_owned();
        self.execute_within_timeout(Endpoint::Object, false, move |state| {
            (state.objects.get(&key).cloned(), Effect::Read)
        })
        .await
        .map_err(|_failure| store::UnavailableSnafu { name }.build())
    }

    async fn put(&self, name: &str, bytes: &[u8]) -> store::Result<()> {
        let (key, bytes) = (name.to_owned(), bytes.to_vec());
        self.execute_within_timeout(Endpoint::Object, true, move |state| {
            state.objects.insert(key, bytes);
            ((), Effect::Write)
        })
        .await
        .map_err(|_failure| store::UnavailableSnafu { name }.build())
    }
}

#[async_trait]
impl Roster for Platform {
    async fn list(&self) -> roster::Result<Vec<roster::Entry>> {
        self.execute_within_timeout(Endpoint::Roster, false, |state| {
            (state.roster.clone(), Effect::Read)
        })
        .await
        .map_err(|_failure| roster::UnavailableSnafu.build())
    }
}

/// Content of the platform.
#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) rows: Map<String, Row>,
    pub(crate) objects: Map<String, Vec<u8>>,
    pub(crate) roster: Vec<roster::Entry>,
    /// Last row version; all rows share one sequence, so no version is used twice.
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

/// Reason why a write was refused.
#[derive(Debug)]
pub(crate) enum Refused {
    Conflict(Option<Row>),
    Fenced { key: String, token: u64 },
}

/// Effect of a call, which selects the counter to increment.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Effect {
    Read,
    Write,
    Conflict,
    Fenced,
}

/// Failure of a call caused by an injected fault.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Failure {
    /// The connection was lost.
    Lost,
    /// The call failed and reported that nothing was written.
    NotWritten,
    /// The call failed without stating whether something was written.
    Ambiguous,
}
