//! Stores records of requests with an idempotency key in the platform's table.

use crate::request::{
    clock::Clock,
    idempotency::{Begun, End, Records, Request, Run},
};
use async_trait::async_trait;
use azurenotch_config::snapshot::Snapshot;
use azurenotch_core::{
    process::bucket::Bucket,
    request::once::{self, Once, Record, State, Step},
};
use azurenotch_platform::{
    Table,
    table::{Error as TableError, Expect, Row},
};
use azurenotch_wire::{
    budget::Capacity,
    id::{Host, Operation},
    refusal::{Reason, Refusal},
    time::Instant,
};
use parking_lot::Mutex;
use rand::random;
use slog::{Discard, Logger, o, warn};
use std::{sync::Arc, time::Duration};
use tokio::{
    runtime::Handle,
    time::{sleep, timeout},
};
use tokio_util::task::TaskTracker;

/// Maximum writes of records per second by all hosts together.
pub const ONCE_WRITES_PER_SECOND: f64 = 300.0;
/// Writes per request: one to create the record and one to finish it.
const WRITES_PER_REQUEST: u32 = 2;
/// Attempts to create a record while it is unknown whether it exists.
const MAX_CREATE_ATTEMPTS: u32 = 3;
/// Background attempts to finish or delete a record, spread over about 25 s.
const MAX_END_ATTEMPTS: u32 = 8;
/// Delay before the second attempt; doubles before each further one.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Retry delay for a caller whose request with the same key is still running.
const IN_PROGRESS_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Result of an operation on a record.
type Result<T, E = Refusal> = std::result::Result<T, E>;

/// Records of requests, each stored in one row of the platform's table.
#[derive(Debug)]
pub struct TableRecords {
    shared: Arc<Shared>,
    writes_per_second: f64,
}

#[derive(Debug)]
struct Shared {
    host: Host,
    table: Arc<dyn Table>,
    clock: Arc<dyn Clock>,
    /// Holds one token for the [`WRITES_PER_REQUEST`] of a request.
    bucket: Mutex<Bucket>,
    tasks: TaskTracker,
    log: Logger,
}

/// Claim of one request on its row.
///
/// Dropping a claim before [`Run::end`] deletes its row in the background.
#[derive(Debug)]
struct Claim {
    shared: Arc<Shared>,
    runtime: Handle,
    key: String,
    once: Once,
    created_ms: u64,
    row_state: RowState,
    writes: u32,
}

/// Whether the table's row contains the claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RowState {
    /// It does not, and no write is in progress.
    Absent,
    /// A write may have taken effect or may do so later.
    Ambiguous,
    /// It does, at this version. `may_arrive_late` is whether an earlier write, whose answer was
    /// lost, may still arrive.
    Present { version: u64, may_arrive_late: bool },
}

impl TableRecords {
    /// Creates the records of `host`; nothing is recorded before a configuration is adopted.
    pub fn new(host: Host, table: Arc<dyn Table>, clock: Arc<dyn Clock>) -> Self {
        let bucket = Mutex::new(Bucket::new(clock.now()));
        Self {
            shared: Arc::new(Shared {
                host,
                table,
                clock,
                bucket,
                tasks: TaskTracker::new(),
                log: Logger::root(Discard, o!()),
            }),
            writes_per_second: ONCE_WRITES_PER_SECOND,
        }
    }

    /// Sets the maximum writes per second of all hosts together.
    #[must_use]
    pub fn with_writes_per_second(mut self, writes: f64) -> Self {
        self.writes_per_second = writes;
        self
    }

    /// Sets the log.
    #[must_use]
    pub fn with_log(mut self, log: Logger) -> Self {
        if let Some(shared) = Arc::get_mut(&mut self.shared) {
            shared.log = log;
        }
        self
    }
}

#[async_trait]
impl Records for TableRecords {
    fn adopt(&self, now: Instant, snapshot: &Snapshot) {
        let slots = f64::from(snapshot.document.fleet.slots.max(1));
        let rate = self.writes_per_second / f64::from(WRITES_PER_REQUEST) / slots;
        let capacity = Capacity {
            rate,
            // A bucket that holds less than one token admits nothing.
            burst: rate.max(1.0),
            concurrency: 0.0,
        };
        self.shared.bucket.lock().resize(now, &capacity);
    }

    async fn begin(&self, request: Request<'_>) -> Result<Begun> {
        let now = self.shared.clock.now();
        self.shared.bucket.lock().take(now).map_err(|delay| {
            let refusal = Refusal::not_run(Reason::Overload);
            delay.map_or(refusal.clone(), |delay| refusal.retry_after(delay))
        })?;
        let mut claim = Claim {
            shared: Arc::clone(&self.shared),
            runtime: Handle::current(),
            key: once::table_key(request.workspace, request.key),
            once: Once::new(
                Operation(random()),
                self.shared.host.clone(),
                request.method,
                request.target,
            ),
            created_ms: self.shared.clock.wall_ms(),
            row_state: RowState::Absent,
            writes: 0,
        };
        let created = timeout(request.left, claim.create()).await;
        match created.unwrap_or(Err(Refusal::not_run(Reason::StoreDown))) {
            Ok(Some(answer)) => Ok(Begun::Replay(answer)),
            Ok(None) => Ok(Begun::Run(Box::new(claim))),
            Err(refusal) => Err(refusal),
        }
    }

    async fn drain(&self, max_wait: Duration) {
        let tasks = &self.shared.tasks;
        tasks.close();
        if timeout(max_wait, tasks.wait()).await.is_err() {
            warn!(self.shared.log, "records: shutdown before all records were written";
                "left" => tasks.len());
        }
    }
}

impl Claim {
    /// Creates the row; returns the stored answer if the request has run.
    async fn create(&mut self) -> Result<Option<once::Answer>> {
        let store_down = Refusal::not_run(Reason::StoreDown);
        let mut expect = Expect::Absent;
        for attempt in 0..MAX_CREATE_ATTEMPTS {
            back_off(attempt).await;
            let Some(row) = self.put_running(expect).await? else {
                continue;
            };
            let record = row.as_ref().map(decode).transpose()?;
            let version = row.map_or(0, |row| row.version);
            let step = self
                .once
                .next_step(record.as_ref(), self.shared.clock.wall_ms());
            match step {
                Step::Create => expect = Expect::Absent,
                Step::Replace => expect = Expect::Version(version),
                Step::Run => {
                    let may_arrive_late = self.writes > 1;
                    self.row_state = RowState::Present {
                        version,
                        may_arrive_late,
                    };
                    return Ok(None);
                }
                step => {
                    // A write that arrives later fails, because the row belongs to another run.
                    self.row_state = RowState::Absent;
                    return answer_from_record(step);
                }
            }
        }
        Err(store_down)
    }

    /// Writes the row and returns its current content; the outer `None` means that it is unknown.
    async fn put_running(&mut self, expect: Expect) -> Result<Option<Option<Row>>> {
        let value = encode(&self.once.running_record(self.created_ms))?;
        let table = Arc::clone(&self.shared.table);
        let before = self.row_state;
        // Set before the write, because the request can be cancelled during the write.
        self.row_state = RowState::Ambiguous;
        self.count_write();
        match table.put(&self.key, &value, expect, None).await {
            Ok(version) => Ok(Some(Some(Row { version, value }))),
            Err(TableError::Conflict { row, .. }) => {
                self.row_state = before;
                Ok(Some(row))
            }
            Err(TableError::Ambiguous { .. }) => Ok(table.get(&self.key).await.ok()),
            Err(_) if before == RowState::Ambiguous => Ok(table.get(&self.key).await.ok()),
            Err(_) => {
                self.row_state = before;
                Err(Refusal::not_run(Reason::StoreDown))
            }
        }
    }

    /// Counts a write and charges the bucket for writes beyond those paid on admission.
    fn count_write(&mut self) {
        self.writes += 1;
        if self.writes > WRITES_PER_REQUEST {
            let now = self.shared.clock.now();
            let cost = f64::from(WRITES_PER_REQUEST).recip();
            self.shared.bucket.lock().withdraw(now, cost);
        }
    }

    /// Writes the final record, expecting the row version of the running record.
    async fn finish(mut self, version: u64, state: State) {
        let record = self.once.final_record(self.created_ms, state);
        self.row_state = RowState::Absent;
        let Ok(value) = encode(&record) else {
            return;
        };
        let table = Arc::clone(&self.shared.table);
        for attempt in 0..MAX_END_ATTEMPTS {
            back_off(attempt).await;
            self.count_write();
            let expect = Expect::Version(version);
            match table.put(&self.key, &value, expect, None).await {
                // After a lost answer, a conflict shows that the write took effect.
                Ok(_) | Err(TableError::Conflict { .. }) => return,
                Err(_) => {}
            }
        }
        warn!(self.shared.log, "records: final record not written"; "row" => &self.key);
    }

    /// Deletes the row if it still belongs to this claim, so that a repeat can run.
    ///
    /// After a lost write it keeps checking, because the write may arrive late.
    async fn release(mut self, may_arrive_late: bool) {
        self.row_state = RowState::Absent;
        let table = Arc::clone(&self.shared.table);
        for attempt in 0..MAX_END_ATTEMPTS {
            back_off(attempt).await;
            let done = match table.get(&self.key).await {
                Ok(Some(row)) if self.is_own(&row) => {
                    self.count_write();
                    let deleted = table.delete(&self.key, row.version, None).await;
                    deleted.is_ok()
                }
                Ok(_) => true,
                Err(_) => false,
            };
            if done && !may_arrive_late {
                return;
            }
        }
    }

    fn is_own(&self, row: &Row) -> bool {
        decode(row).is_ok_and(|record| {
            record.state == State::Running
                && self.once.next_step(Some(&record), self.created_ms) == Step::Run
        })
    }

    /// Moves the claim out for a background task, leaving an empty one.
    fn take(&mut self) -> Self {
        let claim = Self {
            shared: Arc::clone(&self.shared),
            runtime: self.runtime.clone(),
            key: self.key.clone(),
            once: self.once.clone(),
            created_ms: self.created_ms,
            row_state: self.row_state,
            writes: self.writes,
        };
        self.row_state = RowState::Absent;
        // The task returns the unused writes, so this claim must not.
        self.writes = WRITES_PER_REQUEST;
        claim
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.shared.tasks.spawn_on(task, &self.runtime);
    }
}

impl Run for Claim {
    fn end(mut self: Box<Self>, end: End) {
        let RowState::Present {
            version,
            may_arrive_late,
        } = self.row_state
        else {
            return;
        };
        let claim = self.take();
        match end {
            End::NotRun => self.spawn(claim.release(may_arrive_late)),
            End::Unknown => self.spawn(claim.finish(version, State::Unknown)),
            End::Answered(answer) => self.spawn(claim.finish(version, State::Done(answer))),
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if self.row_state != RowState::Absent {
            let claim = self.take();
            self.spawn(claim.release(true));
        } else if self.writes < WRITES_PER_REQUEST {
            // Returns the unused writes to the bucket.
            let unused =
                f64::from(WRITES_PER_REQUEST - self.writes) / f64::from(WRITES_PER_REQUEST);
            let now = self.shared.clock.now();
            self.shared.bucket.lock().add(now, unused);
        }
    }
}

/// Returns the stored answer or a refusal for a key that another run has used.
fn answer_from_record(step: Step) -> Result<Option<once::Answer>> {
    match step {
        Step::Replay(answer) => Ok(Some(answer)),
        Step::InProgress => {
            Err(Refusal::unknown(Reason::InProgress).retry_after(IN_PROGRESS_RETRY_DELAY))
        }
        Step::KeyReused => Err(Refusal::not_run(Reason::Malformed)),
        _ => Err(Refusal::unknown(Reason::OutcomeLost)),
    }
}

fn encode(record: &Record) -> Result<Vec<u8>> {
    rmp_serde::to_vec(record).map_err(|_source| Refusal::not_run(Reason::StoreDown))
}

/// Decodes a record; a malformed one may belong to a run and is never overwritten.
fn decode(row: &Row) -> Result<Record> {
    rmp_serde::from_slice(&row.value).map_err(|_source| Refusal::unknown(Reason::OutcomeLost))
}

async fn back_off(attempt: u32) {
    if attempt > 0 {
        sleep(FIRST_RETRY_DELAY * 2_u32.pow(attempt - 1)).await;
    }
}
