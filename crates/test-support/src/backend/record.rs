//! Record of the requests that a backend server received.

use azurenotch_wire::{Map, refusal};
use http::{HeaderMap, HeaderName, Method, request::Parts};
use parking_lot::Mutex;
use std::sync::Arc;
use tokio::sync::watch;

const MAX_RECEIPTS: usize = 100_000;

/// One received request.
#[derive(Debug, Clone)]
pub struct Receipt {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// All headers.
    pub headers: HeaderMap,
    /// Workspace that the entry host named.
    pub workspace: Option<String>,
    /// Request id that the entry host chose.
    pub request: Option<String>,
    /// Length of the request body in bytes.
    pub body_bytes: usize,
    /// Number of the connection, counted from 0.
    pub connection: u64,
    /// Outcome of the request.
    pub outcome: Outcome,
}

impl Receipt {
    pub(super) fn new(head: &Parts, body_bytes: usize, connection: u64) -> Self {
        let text = |name: HeaderName| Some(head.headers.get(name)?.to_str().ok()?.to_owned());
        Self {
            method: head.method.clone(),
            path: head.uri.to_string(),
            headers: head.headers.clone(),
            workspace: text(refusal::WORKSPACE),
            request: text(refusal::REQUEST),
            body_bytes,
            connection,
            outcome: Outcome::Running,
        }
    }
}

/// Outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It has no complete answer yet.
    Running,
    /// Its whole answer was handed to the connection.
    Answered,
    /// It was refused because all slots were occupied.
    Shed,
    /// It was answered with an error or ended by a fault.
    Failed,
    /// Its deadline passed before its answer.
    Expired,
    /// Its connection was closed before the end of its answer.
    Cancelled,
}

/// Numbers of requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counter {
    /// Requests received.
    pub received: u64,
    /// Requests whose whole answer was handed to the connection.
    pub answered: u64,
    /// Requests refused because all slots were occupied.
    pub shed: u64,
    /// Requests answered with an error or ended by a fault.
    pub failed: u64,
    /// Requests whose deadline passed.
    pub expired: u64,
    /// Requests whose connection was closed before the end of the answer.
    pub cancelled: u64,
    /// Requests on silenced connections, which are neither recorded nor counted as received.
    pub silenced: u64,
}

/// Record of all received requests.
#[derive(Debug, Default)]
pub(super) struct Record {
    receipts: Mutex<Vec<Receipt>>,
    requests: Mutex<Map<String, u64>>,
    counter: watch::Sender<Counter>,
}

impl Record {
    /// Records a request and returns its index, unless the record is full.
    pub(super) fn add(&self, receipt: Receipt) -> Option<usize> {
        if let Some(request) = &receipt.request {
            let mut requests = self.requests.lock();
            if requests.len() < MAX_RECEIPTS || requests.contains_key(request) {
                *requests.entry(request.clone()).or_default() += 1;
            }
        }
        let index = {
            let mut receipts = self.receipts.lock();
            (receipts.len() < MAX_RECEIPTS).then(|| {
                receipts.push(receipt);
                receipts.len() - 1
            })
        };
        self.counter.send_modify(|counter| counter.received += 1);
        index
    }

    pub(super) fn silenced(&self) {
        self.counter.send_modify(|counter| counter.silenced += 1);
    }

    pub(super) fn receipts(&self) -> Vec<Receipt> {
        self.receipts.lock().clone()
    }

    pub(super) fn count(&self, request: &str) -> u64 {
        self.requests.lock().get(request).copied().unwrap_or(0)
    }

    pub(super) fn counter(&self) -> Counter {
        *self.counter.borrow()
    }

    pub(super) async fn wait_for(&self, condition: impl FnMut(&Counter) -> bool) {
        let mut counter = self.counter.subscribe();
        // The channel cannot close, because `self` owns the sender.
        let _ = counter.wait_for(condition).await;
    }

    fn finish(&self, index: Option<usize>, outcome: Outcome) {
        if let Some(index) = index {
            self.receipts.lock()[index].outcome = outcome;
        }
        self.counter.send_modify(|counter| match outcome {
            Outcome::Running => {}
            Outcome::Answered => counter.answered += 1,
            Outcome::Shed => counter.shed += 1,
            Outcome::Failed => counter.failed += 1,
            Outcome::Expired => counter.expired += 1,
            Outcome::Cancelled => counter.cancelled += 1,
        });
    }
}

/// Outcome of a running request; dropping it before it is recorded records a cancellation.
#[derive(Debug)]
pub(super) struct PendingOutcome {
    shared: Arc<super::Shared>,
    index: Option<usize>,
    finished: bool,
}

impl PendingOutcome {
    pub(super) fn new(shared: &Arc<super::Shared>, receipt: Receipt) -> Self {
        Self {
            index: shared.record.add(receipt),
            shared: Arc::clone(shared),
            finished: false,
        }
    }

    /// Records the outcome, unless one is recorded already.
    pub(super) fn finish(&mut self, outcome: Outcome) {
        if !self.finished {
            self.finished = true;
            self.shared.record.finish(self.index, outcome);
        }
    }
}

impl Drop for PendingOutcome {
    fn drop(&mut self) {
        self.finish(Outcome::Cancelled);
    }
}
