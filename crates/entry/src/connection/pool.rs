//! Connection pool of one backend server.

use azurenotch_platform::http::interim;
use azurenotch_wire::time::Instant;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{Builder, SendRequest},
};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use snafu::{ResultExt, Snafu};
use socket2::SockRef;
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

/// Time after which unacknowledged bytes close a connection (`TCP_USER_TIMEOUT`).
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Size limit of the read buffer: answer bytes read before the caller takes them.
const READ_BUFFER_BYTES: usize = 32 * 1024;
/// Keep-alive time of an idle connection if the server sends none.
pub const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(5);

/// Result of a pool operation.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Error of opening a connection.
#[derive(Debug, Snafu)]
pub enum Error {
    /// All connections that this host may open to the server are in use.
    #[snafu(display("all {limit} connections that this host may open to the server are in use"))]
    LimitReached {
        /// Largest number of connections of this host to the server.
        limit: usize,
    },
    /// The server did not accept the connection in time.
    #[snafu(display("no connection within {} ms", max_wait.as_millis()))]
    TimedOut {
        /// Timeout that expired.
        max_wait: Duration,
    },
    /// The connection closed before the first byte of the request was written.
    #[snafu(display("the connection closed before the request was written"))]
    Closed,
    /// The socket could not be connected or configured.
    #[snafu(display("cannot connect: {source}"))]
    Connect {
        /// Error of the socket.
        source: io::Error,
    },
    /// The HTTP connection could not be set up.
    #[snafu(display("HTTP handshake failed: {source}"))]
    Handshake {
        /// Error of the HTTP library.
        source: hyper::Error,
    },
}

/// Error of sending a request on a connection.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request was written.
    NotSent,
    /// A part of the request may have been written.
    Sent(hyper::Error),
}

/// Open connections to one backend server, idle ones and those in use.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    /// Number of open connections, idle ones and those in use.
    open_count: Arc<AtomicUsize>,
    /// Idle connections, ordered by last use; the most recent one is at the back.
    idle: Mutex<VecDeque<Connection>>,
    /// Moment until which connections are not reused.
    ///
    /// Set after a connection delivered the answer to another request.
    no_reuse_until: Mutex<Instant>,
}

#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    opened: Instant,
    last_used: Instant,
    /// When it has been idle for its keep-alive time.
    expires: Instant,
    /// Interim answers to the current request.
    interim: interim::Count,
    _open: OpenGuard,
}

/// What the connections to a server show of its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Contact {
    /// An idle connection has been open since then.
    Since(Instant),
    /// All open connections carry requests, which will show how the process is.
    InUse,
    /// No connection is open.
    None,
}

/// Counts one open connection until it is dropped.
#[derive(Debug)]
struct OpenGuard(Arc<AtomicUsize>);

/// Connection in use; dropping it without [`Self::release`] closes the connection.
#[derive(Debug)]
pub struct Lease {
    pool: Arc<Pool>,
    connection: Connection,
    /// Whether the connection has carried an earlier request.
    pub reused: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            open_count: Arc::default(),
            idle: Mutex::default(),
            no_reuse_until: Mutex::default(),
        }
    }

    /// Returns the address of the backend server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes idle connections and disables reuse until the moment `until`.
    pub fn disable_reuse(&self, until: Instant) {
        *self.no_reuse_until.lock() = until;
        self.idle.lock().clear();
    }

    /// Closes idle connections whose keep-alive time has expired.
    pub fn sweep(&self, now: Instant) {
        let mut idle = self.idle.lock();
        idle.retain(|it| !it.sender.is_closed() && now < it.expires);
    }

    /// Returns what the open connections show of the server's process.
    ///
    /// All of them end with it.
    pub fn contact(&self) -> Contact {
        let mut idle = self.idle.lock();
        idle.retain(|it| !it.sender.is_closed());
        let since = idle.iter().map(|it| it.opened).min();
        let in_use = self.open_count.load(Ordering::Relaxed) > idle.len();
        match since {
            Some(since) => Contact::Since(since),
            None if in_use => Contact::InUse,
            None => Contact::None,
        }
    }

    /// Returns the most recently used idle connection; `None` if it has been idle for `max_idle`.
    ///
    /// Closes connections whose keep-alive time has expired.
    pub fn reuse(self: &Arc<Self>, now: Instant, max_idle: Duration) -> Option<Lease> {
        let mut idle = self.idle.lock();
        while let Some(connection) = idle.pop_back() {
            let idle_time = now.since(connection.last_used);
            if now >= connection.expires
                || connection.sender.is_closed()
                || !connection.sender.is_ready()
            {
                continue;
            }
            if idle_time >= max_idle {
                idle.push_back(connection);
                return None;
            }
            return Some(self.lend(connection, true));
        }
        None
    }

    /// Opens a connection within `max_wait`.
    ///
    /// This host may have `limit` open connections to the server. At the limit, the least recently
    /// used idle connection is closed first.
    ///
    /// # Errors
    ///
    /// Fails if all connections up to the limit are in use, if the server does not accept in time,
    /// or if the connection cannot be set up.
    pub async fn connect(
        self: &Arc<Self>,
        now: Instant,
        max_wait: Duration,
        limit: usize,
    ) -> Result<Lease> {
        let open = self.reserve(limit)?;
        let stream = timeout(max_wait, TcpStream::connect(self.address))
            .await
            .ok()
            .ok_or(Error::TimedOut { max_wait })?
            .context(ConnectSnafu)?;
        stream.set_nodelay(true).context(ConnectSnafu)?;
        SockRef::from(&stream)
            .set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
            .context(ConnectSnafu)?;
        let interim = interim::Count::default();
        let stream = interim::Stream::new(stream, interim.clone());
        let (sender, connection) = Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .context(HandshakeSnafu)?;
        let task = tokio::spawn(async move {
            // The error can be dropped: the request in flight on the connection returns it as well.
            drop(connection.await);
        });
        let connection = Connection {
            sender,
            task: task.abort_handle(),
            opened: now,
            last_used: now,
            expires: now + DEFAULT_KEEP_ALIVE,
            interim,
            _open: open,
        };
        Ok(self.lend(connection, false))
    }

    fn reserve(&self, limit: usize) -> Result<OpenGuard> {
        let mut idle = self.idle.lock();
        while self.open_count.load(Ordering::Relaxed) >= limit {
            idle.pop_front().ok_or(Error::LimitReached { limit })?;
        }
        self.open_count.fetch_add(1, Ordering::Relaxed);
        Ok(OpenGuard(Arc::clone(&self.open_count)))
    }

    fn lend(self: &Arc<Self>, connection: Connection, reused: bool) -> Lease {
        let pool = Arc::clone(self);
        Lease {
            pool,
            connection,
            reused,
        }
    }
}

impl Lease {
    /// Sends a request and returns the header of its answer.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or delivers too many interim answers; the error says whether a
    /// byte may have been written.
    pub async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> std::result::Result<Response<Incoming>, SendError> {
        self.connection.interim.follow(&mut request);
        let sent = self.connection.sender.try_send_request(request).await;
        sent.map_err(|mut error| match error.take_message() {
            Some(_) => SendError::NotSent,
            None => SendError::Sent(error.into_error()),
        })
    }

    /// Returns the pool of the connection.
    pub fn pool(&self) -> &Arc<Pool> {
        &self.pool
    }

    /// Returns whether the connection can carry another request, once it knows.
    pub async fn is_ready(&mut self) -> bool {
        self.connection.sender.ready().await.is_ok()
    }

    /// Returns the connection to its pool, which keeps it idle for at most `keep_alive`.
    ///
    /// Closes it instead if the server has closed it or reuse is disabled.
    pub fn release(mut self, now: Instant, keep_alive: Duration) {
        self.connection.last_used = now;
        self.connection.expires = now + keep_alive;
        let Self {
            pool, connection, ..
        } = self;
        if !connection.sender.is_closed() && *pool.no_reuse_until.lock() <= now {
            pool.idle.lock().push_back(connection);
        }
    }
}
