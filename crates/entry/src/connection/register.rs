//! Register of the connections of one port, which decides which of them are kept.

use crate::process::state::State;
use azurenotch_core::process::room::{Decision, Id, Room};
use azurenotch_wire::{Map, time::Instant};
use parking_lot::Mutex;
use slog::{info, warn};
use std::sync::Arc;
use tokio::task::yield_now;
use tokio_util::sync::CancellationToken;

/// Share of the limit below which the register reports that there is room again.
const ROOM_AGAIN_SHARE: f64 = 0.9;

/// Open connections of one port.
#[derive(Debug)]
pub struct Register {
    /// Name of the port in logs and metrics.
    port: &'static str,
    state: Arc<State>,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    room: Room,
    /// Asks a connection to close as soon as it has no request.
    closers: Map<Id, CancellationToken>,
    full: Option<Full>,
}

/// What happened to connections since the limit was reached.
#[derive(Debug)]
struct Full {
    since: Instant,
    replaced: u64,
    rejected: u64,
    closed: u64,
}

/// Entry of one connection, removed when it is dropped.
#[derive(Debug)]
pub struct Ticket {
    register: Arc<Register>,
    id: Id,
    /// Cancelled when the connection is to close as soon as it has no request.
    pub closer: CancellationToken,
    /// Whether requests are served; otherwise the first one is rejected.
    pub admitted: bool,
}

impl Register {
    /// Creates an empty register for `total` connections.
    pub fn new(state: &Arc<State>, port: &'static str, total: usize) -> Arc<Self> {
        let room = Room::new(total);
        state.metrics.set_connection_limit(port, room.limit());
        let inner = Inner {
            room,
            closers: Map::default(),
            full: None,
        };
        Arc::new(Self {
            port,
            state: Arc::clone(state),
            inner: Mutex::new(inner),
        })
    }

    /// Enters a new connection; `None` if it has to be closed unread.
    ///
    /// It is also asked to close when `stop` is cancelled.
    pub async fn open(self: &Arc<Self>, stop: &CancellationToken) -> Option<Ticket> {
        let crowded = self.inner.lock().room.is_crowded();
        if crowded {
            // Connections that were asked to close do so before this task runs again.
            yield_now().await;
        }
        self.enter(stop)
    }

    fn enter(self: &Arc<Self>, stop: &CancellationToken) -> Option<Ticket> {
        let now = self.state.now();
        let inner = &mut *self.inner.lock();
        let decision = inner.room.open(now);
        if !matches!(decision, Decision::Admit(_)) && inner.full.is_none() {
            warn!(self.state.log(), "connections: limit reached"; "port" => self.port,
                "connections" => inner.room.kept(), "limit" => inner.room.limit(),
                "in-flight" => self.state.metrics.in_flight.get());
            inner.full = Some(Full {
                since: now,
                replaced: 0,
                rejected: 0,
                closed: 0,
            });
        }
        let count = |field: fn(&mut Full) -> &mut u64, full: &mut Option<Full>| {
            if let Some(full) = full {
                *field(full) += 1;
            }
        };
        let (label, entered) = match decision {
            Decision::Admit(id) => ("admitted", Some((id, true))),
            Decision::Replace { new, idle } => {
                count(|full| &mut full.replaced, &mut inner.full);
                if let Some(closer) = inner.closers.get(&idle) {
                    closer.cancel();
                }
                ("replaced-idle", Some((new, true)))
            }
            Decision::Reject(id) => {
                count(|full| &mut full.rejected, &mut inner.full);
                ("rejected", Some((id, false)))
            }
            Decision::Close => {
                count(|full| &mut full.closed, &mut inner.full);
                ("closed-unread", None)
            }
        };
        self.state.metrics.count_connection(self.port, label);
        let (id, admitted) = entered?;
        let closer = stop.child_token();
        inner.closers.insert(id, closer.clone());
        Some(Ticket {
            register: Arc::clone(self),
            id,
            closer,
            admitted,
        })
    }
}

impl Ticket {
    /// Records that a request begins to arrive.
    pub fn begin(&self) {
        self.register.inner.lock().room.begin(self.id);
    }

    /// Records that the last request has been answered.
    pub fn end(&self) {
        let now = self.register.state.now();
        self.register.inner.lock().room.end(self.id, now);
    }

    /// Returns whether callers are asked to close connections after an answer.
    pub fn is_over_limit(&self) -> bool {
        self.register.inner.lock().room.is_over()
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let inner = &mut *self.register.inner.lock();
        inner.room.close(self.id);
        inner.closers.remove(&self.id);
        let low = (inner.room.limit() as f64 * ROOM_AGAIN_SHARE) as usize;
        if inner.room.kept() > low {
            return;
        }
        if let Some(full) = inner.full.take() {
            let state = &self.register.state;
            info!(state.log(), "connections: below limit again";
                "port" => self.register.port,
                "ms" => state.now().since(full.since).as_millis() as u64,
                "idle-closed" => full.replaced, "rejected" => full.rejected,
                "closed-unread" => full.closed);
        }
    }
}
