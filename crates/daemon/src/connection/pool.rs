//! Connections to one backend server.

use crate::request::upload::Upload;
use azurenotch_core::connection::latency::Latency;
use azurenotch_wire::time::Instant;
use http::{Request, Response};
use hyper::{
    body::Incoming,
    client::conn::http1::{Builder, SendRequest},
};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use snafu::{ResultExt, Snafu};
use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{net::TcpStream, task::AbortHandle, time::timeout};

/// Time after an answer during which a connection counts as working.
pub const PROVEN_FOR: Duration = Duration::from_secs(1);
/// Longest time that an idle connection is kept.
pub const MAX_IDLE: Duration = Duration::from_secs(30);
/// Longest time for a new connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes of an answer that are read ahead of the caller.
const BUFFER: usize = 64 * 1024;

/// Result of a pool operation.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why no connection could be had.
#[derive(Debug, Snafu)]
pub enum Error {
    /// All connections of this host's share are in use.
    #[snafu(display("all connections of this host's share to {address} are in use"))]
    Busy {
        /// Address of the backend server.
        address: SocketAddr,
    },
    /// The backend server refused the connection.
    #[snafu(display("cannot connect to {address}"))]
    Connect {
        /// Address of the backend server.
        address: SocketAddr,
        /// Error of the socket.
        source: io::Error,
    },
    /// The backend server did not accept the connection in time.
    #[snafu(display("no connection to {address} in time"))]
    Slow {
        /// Address of the backend server.
        address: SocketAddr,
    },
    /// The connection could not be set up.
    #[snafu(display("cannot set up the connection to {address}"))]
    SetUp {
        /// Address of the backend server.
        address: SocketAddr,
        /// Error of the HTTP library.
        source: hyper::Error,
    },
}

/// Which connection a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// Any idle connection.
    Any,
    /// One that carried an answer within [`PROVEN_FOR`], or a fresh one.
    Proven,
    /// A fresh one.
    Fresh,
}

/// Connections to one backend server.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    limit: AtomicUsize,
    open: Arc<AtomicUsize>,
    /// Idle connections, the last used at the back.
    idle: Mutex<VecDeque<Link>>,
    latency: Mutex<Latency>,
}

/// An open connection.
#[derive(Debug)]
struct Link {
    sender: SendRequest<Upload>,
    task: AbortHandle,
    /// When the connection carried its last answer.
    proven: Instant,
    _open: Open,
}

/// Place of one connection in the count of open ones.
#[derive(Debug)]
struct Open(Arc<AtomicUsize>);

/// A connection in use; it is closed unless it is released.
#[derive(Debug)]
pub struct Lease {
    pool: Arc<Pool>,
    link: Link,
    reused: bool,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Pool {
    /// Creates a pool of at most `limit` connections.
    pub fn new(address: SocketAddr, limit: usize) -> Self {
        Self {
            address,
            limit: AtomicUsize::new(limit),
            open: Arc::default(),
            idle: Mutex::default(),
            latency: Mutex::new(Latency::new(Instant::ZERO)),
        }
    }

    /// Returns the address of the backend server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Sets the largest number of connections; those in use above it are closed after use.
    pub fn set_limit(&self, limit: usize) {
        self.limit.store(limit, Ordering::Relaxed);
    }

    /// Closes idle connections that were not used for [`MAX_IDLE`].
    pub fn sweep(&self, now: Instant) {
        let mut idle = self.idle.lock();
        idle.retain(|link| !link.sender.is_closed() && now.since(link.proven) < MAX_IDLE);
    }

    /// Records the time to the header of an answer.
    pub fn record(&self, now: Instant, latency: Duration) {
        self.latency.lock().record(now, latency);
    }

    /// Returns the time without an answer after which a reused connection may be silent.
    pub fn hedge_after(&self) -> Duration {
        self.latency.lock().hedge_delay()
    }

    /// Closes the connections that have been idle since `proven` or longer.
    ///
    /// A connection that went silent while idle shows that those idle for longer are silent too.
    pub fn close_idle(&self, proven: Instant) {
        self.idle.lock().retain(|link| link.proven > proven);
    }

    /// Returns an idle connection or opens one within `left`.
    ///
    /// # Errors
    ///
    /// Fails if the share of connections is used up or the backend server does not accept.
    pub async fn lease(
        self: &Arc<Self>,
        now: Instant,
        need: Need,
        left: Duration,
    ) -> Result<Lease> {
        if let Some(link) = self.reuse(now, need) {
            return Ok(self.lend(link, true));
        }
        let open = self.reserve().ok_or(Error::Busy {
            address: self.address,
        })?;
        let link = self.connect(now, open, left.min(CONNECT_TIMEOUT)).await?;
        Ok(self.lend(link, false))
    }

    fn lend(self: &Arc<Self>, link: Link, reused: bool) -> Lease {
        Lease {
            pool: Arc::clone(self),
            link,
            reused,
        }
    }

    fn reuse(&self, now: Instant, need: Need) -> Option<Link> {
        let age = match need {
            Need::Any => MAX_IDLE,
            Need::Proven => PROVEN_FOR,
            Need::Fresh => return None,
        };
        let mut idle = self.idle.lock();
        let mut position = idle.len();
        while position > 0 {
            position -= 1;
            let link = &idle[position];
            if now.since(link.proven) >= age {
                return None;
            }
            if link.sender.is_closed() {
                idle.remove(position);
            } else if link.sender.is_ready() {
                return idle.remove(position);
            }
        }
        None
    }

    /// Takes a place for a new connection, if need be that of the idle one used longest ago.
    fn reserve(&self) -> Option<Open> {
        let mut idle = self.idle.lock();
        let limit = self.limit.load(Ordering::Relaxed);
        while self.open.load(Ordering::Relaxed) >= limit {
            idle.pop_front()?;
        }
        self.open.fetch_add(1, Ordering::Relaxed);
        Some(Open(Arc::clone(&self.open)))
    }

    async fn connect(&self, now: Instant, open: Open, left: Duration) -> Result<Link> {
        let address = self.address;
        let stream = timeout(left, TcpStream::connect(address))
            .await
            .ok()
            .ok_or(Error::Slow { address })?
            .context(ConnectSnafu { address })?;
        stream.set_nodelay(true).context(ConnectSnafu { address })?;
        let (sender, connection) = Builder::new()
            .max_buf_size(BUFFER)
            .handshake(TokioIo::new(stream))
            .await
            .context(SetUpSnafu { address })?;
        let task = tokio::spawn(async move {
            // The request in flight on the connection reports its failure.
            drop(connection.await);
        });
        Ok(Link {
            sender,
            task: task.abort_handle(),
            proven: now,
            _open: open,
        })
    }
}

/// A request that failed on a connection.
#[derive(Debug)]
pub enum Failed {
    /// The connection was closed before any byte of the request was written.
    NotSent,
    /// A part of the request may have been written.
    Sent(hyper::Error),
}

impl Lease {
    /// Sends a request and returns the header of its answer.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks, and says whether a byte may have been written.
    pub async fn send(
        &mut self,
        request: Request<Upload>,
    ) -> std::result::Result<Response<Incoming>, Failed> {
        let sent = self.link.sender.try_send_request(request).await;
        sent.map_err(|mut error| match error.take_message() {
            Some(_) => Failed::NotSent,
            None => Failed::Sent(error.into_error()),
        })
    }

    /// Returns whether the connection carried an earlier request.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Returns when the connection carried its last answer or was opened.
    pub fn proven(&self) -> Instant {
        self.link.proven
    }

    /// Takes note that the connection carried a proper answer at `now`.
    pub fn prove(&mut self, now: Instant) {
        self.link.proven = now;
    }

    /// Returns the connection to its pool for the next request.
    pub fn release(self) {
        let Self { pool, link, .. } = self;
        let above = pool.open() > pool.limit.load(Ordering::Relaxed);
        if !above && !link.sender.is_closed() {
            pool.idle.lock().push_back(link);
        }
    }
}
