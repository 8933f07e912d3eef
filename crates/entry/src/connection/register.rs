//! Register of the connections of one port, which decides which of them are kept.

use azurenotch_core::process::room::{Decision, Id, Room};
use azurenotch_wire::{Map, time::Instant};
use parking_lot::Mutex;
use std::{fmt::Debug, sync::Arc, time::Duration};
use tokio::task::yield_now;
use tokio_util::sync::CancellationToken;

/// Share of the limit below which the register reports that there is room again.
const ROOM_AGAIN_SHARE: f64 = 0.9;

/// What a register needs from its process: the time, logs and metrics.
pub trait Observer: Debug + Send + Sync {
    /// Returns the current time.
    fn now(&self) -> Instant;

    /// Records how many connections a port keeps before idle ones give way.
    fn set_limit(&self, port: &'static str, limit: usize);

    /// Records what became of a new connection.
    fn count(&self, port: &'static str, decision: &'static str);

    /// Records that a port has `kept` connections, as many as its limit or more.
    fn limit_reached(&self, port: &'static str, kept: usize, limit: usize);

    /// Records that a port has room again.
    fn has_room(&self, port: &'static str, crowd: &Crowd);
}

/// Open connections of one port.
#[derive(Debug)]
pub struct Register {
    /// Name of the port in logs and metrics.
    port: &'static str,
    observer: Arc<dyn Observer>,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    room: Room,
    /// Asks a connection to close as soon as it has no request.
    closers: Map<Id, CancellationToken>,
    /// Since when the limit has been reached, and what happened since.
    crowd: Option<(Instant, Crowd)>,
}

/// What happened to new connections while the limit was reached.
#[derive(Debug, Clone, Copy, Default)]
pub struct Crowd {
    /// How long the limit was reached.
    pub duration: Duration,
    /// New connections for which an idle one was closed.
    pub replaced: u64,
    /// New connections whose first request was rejected.
    pub rejected: u64,
    /// New connections that were closed unread.
    pub closed: u64,
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
    pub fn new(observer: Arc<dyn Observer>, port: &'static str, total: usize) -> Arc<Self> {
        let room = Room::new(total);
        observer.set_limit(port, room.limit());
        let inner = Inner {
            room,
            closers: Map::default(),
            crowd: None,
        };
        Arc::new(Self {
            port,
            observer,
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
        let now = self.observer.now();
        let inner = &mut *self.inner.lock();
        let decision = inner.room.open(now);
        if !matches!(decision, Decision::Admit(_)) && inner.crowd.is_none() {
            inner.crowd = Some((now, Crowd::default()));
            self.observer
                .limit_reached(self.port, inner.room.kept(), inner.room.limit());
        }
        let mut uncounted = Crowd::default();
        let crowd = inner.crowd.as_mut();
        let crowd = crowd.map_or(&mut uncounted, |(_, crowd)| crowd);
        let (label, entered) = match decision {
            Decision::Admit(id) => ("admitted", Some((id, true))),
            Decision::Replace { new, idle } => {
                crowd.replaced += 1;
                if let Some(closer) = inner.closers.get(&idle) {
                    closer.cancel();
                }
                ("replaced-idle", Some((new, true)))
            }
            Decision::Reject(id) => {
                crowd.rejected += 1;
                ("rejected", Some((id, false)))
            }
            Decision::Close => {
                crowd.closed += 1;
                ("closed-unread", None)
            }
        };
        self.observer.count(self.port, label);
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
        let now = self.register.observer.now();
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
        if let Some((since, mut crowd)) = inner.crowd.take() {
            let Register { port, observer, .. } = &*self.register;
            crowd.duration = observer.now().since(since);
            observer.has_room(port, &crowd);
        }
    }
}
