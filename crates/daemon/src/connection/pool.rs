//! Pool of connections to one backend server.

use crate::request::upload::Upload;
use azurenotch_core::connection::latency::Latency;
use azurenotch_platform::http::interim;
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

/// Age of the last answer up to which an idle connection is assumed to be still open.
pub const MAX_RECENT_ANSWER_AGE: Duration = Duration::from_secs(1);
/// Longest time that an idle connection is kept.
pub const MAX_IDLE_TIME: Duration = Duration::from_secs(30);
/// Longest time to open a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes of an answer that are read before the caller has taken them.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Result of a pool operation.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why no connection is available.
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
    #[snafu(display("connection to {address} timed out"))]
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

/// Which idle connections a request may reuse.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// Any idle connection.
    Any,
    /// Only one that carried an answer within [`MAX_RECENT_ANSWER_AGE`].
    Recent,
    /// None: a new connection is opened.
    Never,
}

/// Connections to one backend server, up to this host's share of them.
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
    /// When the connection carried its last answer or was opened.
    last_answer: Instant,
    /// Interim answers to the current request.
    interim: interim::Count,
    _open: OpenCount,
}

/// Counts one connection as open until it is dropped.
#[derive(Debug)]
struct OpenCount(Arc<AtomicUsize>);

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

impl Drop for OpenCount {
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

    /// Sets the largest number of connections; connections above it are closed after use.
    pub fn set_limit(&self, limit: usize) {
        self.limit.store(limit, Ordering::Relaxed);
    }

    /// Closes idle connections that were not used for [`MAX_IDLE_TIME`].
    pub fn sweep(&self, now: Instant) {
        let mut idle = self.idle.lock();
        idle.retain(|link| !link.sender.is_closed() && now.since(link.last_answer) < MAX_IDLE_TIME);
    }

    /// Records the time to the header of an answer.
    pub fn record(&self, now: Instant, latency: Duration) {
        self.latency.lock().record(now, latency);
    }

    /// Returns how long to wait for an answer on a reused connection before sending again.
    pub fn hedge_after(&self) -> Duration {
        self.latency.lock().hedge_delay()
    }

    /// Closes the idle connections whose last answer is not later than `last_answer`.
    ///
    /// If a connection stopped answering while idle, those idle for longer probably did too.
    pub fn close_idle(&self, last_answer: Instant) {
        self.idle
            .lock()
            .retain(|link| link.last_answer > last_answer);
    }

    /// Returns an idle connection or opens one within `left`.
    ///
    /// # Errors
    ///
    /// Fails if all connections of this host's share are in use or a new one cannot be opened.
    pub async fn lease(
        self: &Arc<Self>,
        now: Instant,
        reuse: Reuse,
        left: Duration,
    ) -> Result<Lease> {
        if let Some(link) = self.take_idle(now, reuse) {
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

    fn take_idle(&self, now: Instant, reuse: Reuse) -> Option<Link> {
        let age = match reuse {
            Reuse::Any => MAX_IDLE_TIME,
            Reuse::Recent => MAX_RECENT_ANSWER_AGE,
            Reuse::Never => return None,
        };
        let mut idle = self.idle.lock();
        let mut position = idle.len();
        while position > 0 {
            position -= 1;
            let link = &idle[position];
            if now.since(link.last_answer) >= age {
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

    /// Counts a new connection; at the limit, closes the least recently used idle one for it.
    ///
    /// Returns `None` if the limit is reached and no connection is idle.
    fn reserve(&self) -> Option<OpenCount> {
        let mut idle = self.idle.lock();
        let limit = self.limit.load(Ordering::Relaxed);
        while self.open.load(Ordering::Relaxed) >= limit {
            idle.pop_front()?;
        }
        self.open.fetch_add(1, Ordering::Relaxed);
        Some(OpenCount(Arc::clone(&self.open)))
    }

    async fn connect(&self, now: Instant, open: OpenCount, left: Duration) -> Result<Link> {
        let address = self.address;
        let stream = timeout(left, TcpStream::connect(address))
            .await
            .ok()
            .ok_or(Error::Slow { address })?
            .context(ConnectSnafu { address })?;
        stream.set_nodelay(true).context(ConnectSnafu { address })?;
        let interim = interim::Count::default();
        let stream = interim::Stream::new(stream, interim.clone());
        let (sender, connection) = Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .context(SetUpSnafu { address })?;
        let task = tokio::spawn(async move {
            // An error of the connection is returned to its running request.
            drop(connection.await);
        });
        Ok(Link {
            sender,
            task: task.abort_handle(),
            last_answer: now,
            interim,
            _open: open,
        })
    }
}

/// Failure to send a request or to receive the header of its answer.
#[derive(Debug)]
pub enum SendError {
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
    /// Fails if the connection breaks; the error says whether a byte may have been written.
    pub async fn send(
        &mut self,
        mut request: Request<Upload>,
    ) -> std::result::Result<Response<Incoming>, SendError> {
        self.link.interim.follow(&mut request);
        let sent = self.link.sender.try_send_request(request).await;
        sent.map_err(|mut error| match error.take_message() {
            Some(_) => SendError::NotSent,
            None => SendError::Sent(error.into_error()),
        })
    }

    /// Returns whether the connection carried an earlier request.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Returns when the connection carried its last answer or was opened.
    pub fn last_answer(&self) -> Instant {
        self.link.last_answer
    }

    /// Records that the connection carried a valid answer at `now`.
    pub fn record_answer(&mut self, now: Instant) {
        self.link.last_answer = now;
    }

    /// Returns the connection to its pool, or closes it if the pool is above its limit.
    pub fn release(self) {
        let Self { pool, link, .. } = self;
        let above = pool.open() > pool.limit.load(Ordering::Relaxed);
        if !above && !link.sender.is_closed() {
            pool.idle.lock().push_back(link);
        }
    }
}
