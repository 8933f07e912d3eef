//! In-process backend server with adjustable behaviour.
//!
//! A path that ends in `/bytes/N` answers N bytes, `/health` and `/load` report the server's
//! state, and any other path answers the release label. Every request but these two occupies a
//! slot and is recorded.

mod answer;
mod behaviour;
mod body;
mod record;

pub use behaviour::{Behaviour, Cold, Load, Mode, Reported};
pub use body::byte_at;
pub use record::{Counter, Outcome, Receipt};

use crate::serve::{Listener, Reservation};
use behaviour::History;
use http::HeaderName;
use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use record::Record;
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Weak,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::time::Instant;

/// Response header with the release label of the server.
pub const RELEASE: HeaderName = HeaderName::from_static("backend-release");

/// Backend server; it stops when it is dropped.
#[derive(Debug)]
pub struct Server {
    shared: Arc<Shared>,
    reservation: Reservation,
    listener: Mutex<Option<Listener>>,
}

impl Server {
    /// Starts a server on a port that the operating system chooses.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the port.
    pub async fn start(behaviour: Behaviour) -> io::Result<Self> {
        Self::bind(([127, 0, 0, 1], 0).into(), behaviour).await
    }

    /// Starts a server on the given address.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn bind(address: SocketAddr, behaviour: Behaviour) -> io::Result<Self> {
        let shared = Arc::new(Shared::new(behaviour));
        let reservation = Reservation::new(address)?;
        let listener = listen(&reservation, &shared).await?;
        Ok(Self {
            shared,
            reservation,
            listener: Mutex::new(Some(listener)),
        })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.reservation.address
    }

    /// Changes the behaviour for all following requests.
    pub fn change(&self, change: impl FnOnce(&mut Behaviour)) {
        let mut behaviour = self.shared.behaviour.lock();
        change(&mut behaviour);
        self.shared.healthy.push(behaviour.healthy);
    }

    /// Overrides [`Behaviour::mode`] for the given number of next requests.
    pub fn override_mode(&self, mode: Mode, requests: u64) {
        *self.shared.next_mode.lock() = (mode, requests);
    }

    /// Stops answering on all open connections without closing them; new ones are answered.
    pub fn silence_connections(&self) {
        for connection in self.shared.connections.lock().iter() {
            if let Some(connection) = connection.upgrade() {
                connection.silent.store(true, Ordering::Release);
            }
        }
    }

    /// Restarts the cold phase of [`Behaviour::cold`], as after a restart.
    pub fn make_cold(&self) {
        *self.shared.cold_since.lock() = (Instant::now(), 0);
    }

    /// Closes the listening socket and all connections, so that new ones are refused.
    ///
    /// The port stays reserved for this server.
    pub async fn close(&self) {
        let listener = self.listener.lock().take();
        if let Some(listener) = listener {
            listener.close().await;
        }
    }

    /// Listens again on the same address after [`Server::close`].
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn reopen(&self) -> io::Result<()> {
        self.close().await;
        let listener = listen(&self.reservation, &self.shared).await?;
        *self.listener.lock() = Some(listener);
        Ok(())
    }

    /// Returns the requests received so far, at most the first 100,000.
    pub fn receipts(&self) -> Vec<Receipt> {
        self.shared.record.receipts()
    }

    /// Returns how often a request id was received.
    pub fn count(&self, request: &str) -> u64 {
        self.shared.record.count(request)
    }

    /// Returns the numbers of requests so far.
    pub fn counter(&self) -> Counter {
        self.shared.record.counter()
    }

    /// Waits until the numbers of requests meet a condition.
    pub async fn wait_for(&self, condition: impl FnMut(&Counter) -> bool) {
        self.shared.record.wait_for(condition).await;
    }
}

async fn listen(reservation: &Reservation, shared: &Arc<Shared>) -> io::Result<Listener> {
    let shared = Arc::clone(shared);
    Listener::bind(reservation, move |stream, listener| {
        let shared = Arc::clone(&shared);
        let connection = shared.connect();
        listener.serve(stream, move |request| {
            answer::answer(Arc::clone(&shared), Arc::clone(&connection), request)
        });
    })
    .await
}

/// State that the connections of a server share.
#[derive(Debug)]
struct Shared {
    behaviour: Mutex<Behaviour>,
    next_mode: Mutex<(Mode, u64)>,
    random: Mutex<SmallRng>,
    connections: Mutex<Vec<Weak<Connection>>>,
    next_connection: AtomicU64,
    in_flight: AtomicUsize,
    loads: History<usize>,
    healthy: History<bool>,
    /// Start of the cold phase and the number of requests since then.
    cold_since: Mutex<(Instant, u64)>,
    record: Record,
}

impl Shared {
    fn new(behaviour: Behaviour) -> Self {
        Self {
            next_mode: Mutex::new((Mode::Normal, 0)),
            random: Mutex::new(SmallRng::seed_from_u64(behaviour.seed)),
            connections: Mutex::default(),
            next_connection: AtomicU64::new(0),
            in_flight: AtomicUsize::new(0),
            loads: History::new(0),
            healthy: History::new(behaviour.healthy),
            cold_since: Mutex::new((Instant::now(), 0)),
            record: Record::default(),
            behaviour: Mutex::new(behaviour),
        }
    }

    fn connect(&self) -> Arc<Connection> {
        let connection = Arc::new(Connection {
            number: self.next_connection.fetch_add(1, Ordering::Relaxed),
            silent: AtomicBool::new(false),
        });
        let mut connections = self.connections.lock();
        connections.retain(|connection| connection.strong_count() > 0);
        connections.push(Arc::downgrade(&connection));
        connection
    }

    /// Returns the mode of the next request.
    fn mode(&self, behaviour: &Behaviour) -> Mode {
        let (mode, left) = &mut *self.next_mode.lock();
        if *left == 0 {
            return behaviour.mode;
        }
        *left -= 1;
        *mode
    }

    /// Returns the latency of the next request, including jitter and the cold phase.
    fn latency(&self, behaviour: &Behaviour) -> Duration {
        let jitter = behaviour.jitter.mul_f64(self.random.lock().random());
        let (since, requests) = &mut *self.cold_since.lock();
        *requests += 1;
        let Cold {
            requests: first,
            time,
            extra,
        } = behaviour.cold;
        let cold = *requests <= first || since.elapsed() < time;
        behaviour.latency + jitter + if cold { extra } else { Duration::ZERO }
    }

    fn fails(&self, share: f64) -> bool {
        share > 0.0 && self.random.lock().random_bool(share.min(1.0))
    }
}

/// One accepted connection.
#[derive(Debug)]
struct Connection {
    number: u64,
    silent: AtomicBool,
}

impl Connection {
    fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Acquire)
    }
}

/// Slot that a request occupies until its answer is sent or cancelled.
#[derive(Debug)]
struct Slot(Arc<Shared>);

impl Slot {
    /// Takes a slot, or returns `None` if all are occupied.
    fn take(shared: &Arc<Shared>, slots: usize) -> Option<Self> {
        shared
            .in_flight
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |used| {
                (used < slots).then_some(used + 1)
            })
            .ok()
            .map(|used| {
                shared.loads.push(used + 1);
                Self(Arc::clone(shared))
            })
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let used = self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
        self.0.loads.push(used - 1);
    }
}
