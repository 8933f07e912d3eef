//! Accepts and serves the connections of callers.

use crate::{
    connection::stream::{Exchange, Stream},
    request::gateway::Gateway,
};
use azurenotch_entry::{connection::phase::Answer, request::reply::GaugeGuard};
use azurenotch_wire::refusal::{Reason, Refusal};
use hyper::{Request, body::Incoming, server::conn::http1::Builder, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{Logger, debug, warn};
use snafu::{ResultExt, Snafu};
use std::{
    convert::Infallible,
    io,
    net::{IpAddr, SocketAddr},
    pin::pin,
    sync::Arc,
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    select,
    sync::Semaphore,
    time::{MissedTickBehavior, interval, sleep, timeout},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// Longest header of a request in bytes, unless the settings say otherwise.
pub const MAX_HEADER_BYTES: usize = 16 * 1024;
/// Longest time for the header of a request, idle time before it included.
pub const HEADER_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest number of caller connections.
pub const MAX_CONNECTIONS: usize = 8192;
/// Time after a stop during which idle and new connections may still send a request.
pub const SHUTDOWN_GRACE_PERIOD: Duration = Duration::from_secs(1);
/// Interval at which expired idle connections to backend servers are closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before the next attempt after `accept` failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest time to write a last refusal and to discard what the caller still sends.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest number of bytes that are read and discarded before a connection is closed.
const MAX_DISCARDED_BYTES: usize = 1024 * 1024;
/// Largest number of connections above the limit that get a refusal at the same time.
///
/// Further ones are closed without an answer.
const MAX_OVERLOAD_REFUSALS: usize = 256;
/// Size of the buffers of a connection in bytes, unless the header limit is larger.
const BUFFER_BYTES: usize = 64 * 1024;

/// Result of a listener operation.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Error of opening the caller port.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The address cannot be used.
    #[snafu(display("cannot listen on {address}"))]
    Bind {
        /// Address that was to be bound.
        address: SocketAddr,
        /// Error of the socket.
        source: io::Error,
    },
}

/// Listener on the caller port.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    address: SocketAddr,
    gateway: Arc<Gateway>,
    connection_slots: Arc<Semaphore>,
    refusal_slots: Arc<Semaphore>,
    header_limits: HeaderLimits,
    log: Logger,
}

/// Limits of a request's header.
#[derive(Debug, Clone, Copy)]
struct HeaderLimits {
    bytes: usize,
    timeout: Duration,
}

impl Listener {
    /// Opens the caller port.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be used.
    pub async fn bind(address: SocketAddr, gateway: Arc<Gateway>, log: Logger) -> Result<Self> {
        let socket = TcpListener::bind(address)
            .await
            .context(BindSnafu { address })?;
        let address = socket.local_addr().context(BindSnafu { address })?;
        Ok(Self {
            socket,
            address,
            gateway,
            connection_slots: Arc::new(Semaphore::new(MAX_CONNECTIONS)),
            refusal_slots: Arc::new(Semaphore::new(MAX_OVERLOAD_REFUSALS)),
            header_limits: HeaderLimits {
                bytes: MAX_HEADER_BYTES,
                timeout: HEADER_TIMEOUT,
            },
            log,
        })
    }

    /// Sets the largest number of caller connections.
    #[must_use]
    pub fn with_connections(mut self, limit: usize) -> Self {
        self.connection_slots = Arc::new(Semaphore::new(limit));
        self
    }

    /// Sets the longest header in bytes and the longest time for it, idle time before it included.
    #[must_use]
    pub fn with_header_limits(mut self, bytes: usize, timeout: Duration) -> Self {
        self.header_limits = HeaderLimits { bytes, timeout };
        self
    }

    /// Returns the address of the port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves callers until `stop` is cancelled and all running requests have ended.
    ///
    /// New connections are accepted for another [`SHUTDOWN_GRACE_PERIOD`] after `stop`.
    pub async fn run(self, stop: CancellationToken) {
        let tasks = TaskTracker::new();
        let mut sweep = interval(SWEEP_INTERVAL);
        sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            select! {
                biased;
                () = stop.cancelled() => break,
                _ = sweep.tick() => self.gateway.sweep(),
                accepted = self.socket.accept() => match accepted {
                    Ok((stream, peer)) => self.spawn(stream, peer, &stop, &tasks),
                    Err(error) => {
                        warn!(self.log, "listener: accept failed"; "error" => %error);
                        sleep(ACCEPT_RETRY_DELAY).await;
                    }
                },
            }
        }
        self.gateway.set_stopping();
        self.accept_until_closed(&stop, &tasks).await;
        drop(self.socket);
        tasks.close();
        tasks.wait().await;
    }

    /// Accepts connections for [`SHUTDOWN_GRACE_PERIOD`]; their answers ask to close them.
    ///
    /// Closing the socket resets connections that are established but still in the accept queue of
    /// the system.
    async fn accept_until_closed(&self, stop: &CancellationToken, tasks: &TaskTracker) {
        let mut end = pin!(sleep(SHUTDOWN_GRACE_PERIOD));
        loop {
            select! {
                biased;
                () = &mut end => break,
                accepted = self.socket.accept() => match accepted {
                    Ok((stream, peer)) => self.spawn(stream, peer, stop, tasks),
                    Err(_) => break,
                },
            }
        }
    }

    fn spawn(
        &self,
        stream: TcpStream,
        peer: SocketAddr,
        stop: &CancellationToken,
        tasks: &TaskTracker,
    ) {
        let gateway = Arc::clone(&self.gateway);
        let stop = stop.clone();
        if let Ok(slot) = Arc::clone(&self.connection_slots).try_acquire_owned() {
            let builder = self.builder();
            let log = self.log.clone();
            tasks.spawn(async move {
                serve(&builder, gateway, stream, peer, stop, log).await;
                drop(slot);
            });
        } else if let Ok(slot) = Arc::clone(&self.refusal_slots).try_acquire_owned() {
            let refusal = Refusal::not_run(Reason::Overload);
            let refusal = gateway.refuse_raw(&refusal, peer.ip());
            tasks.spawn(async move {
                refuse_and_close(stream, &refusal).await;
                drop(slot);
            });
        }
    }

    fn builder(&self) -> Builder {
        let mut builder = Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(self.header_limits.timeout)
            .max_header_size(self.header_limits.bytes)
            // The buffer must hold a whole header.
            .max_buf_size(BUFFER_BYTES.max(self.header_limits.bytes));
        builder
    }
}

/// Serves one connection until it closes.
async fn serve(
    builder: &Builder,
    gateway: Arc<Gateway>,
    stream: TcpStream,
    peer: SocketAddr,
    stop: CancellationToken,
    log: Logger,
) {
    let _open = GaugeGuard::new(&gateway.metrics.connections);
    if let Err(error) = stream.set_nodelay(true) {
        debug!(log, "listener: cannot set TCP_NODELAY"; "peer" => %peer, "error" => %error);
        return;
    }
    let exchange = Exchange::default();
    let stream = Stream::new(
        stream,
        exchange.clone(),
        library_refusals(&gateway, peer.ip()),
    );
    let service = service_fn(|request: Request<Incoming>| {
        let guard = exchange.begin(request.version());
        let gateway = Arc::clone(&gateway);
        async move {
            let answer = gateway.handle(request, peer).await;
            Ok::<_, Infallible>(answer.map(|body| Answer::new(body, guard)))
        }
    });
    let mut connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut grace_end = pin!(async {
        stop.cancelled().await;
        sleep(SHUTDOWN_GRACE_PERIOD).await;
    });
    let mut grace_ended = false;
    let result = loop {
        select! {
            result = &mut connection => break result,
            () = &mut grace_end, if !grace_ended => {
                grace_ended = true;
                std::pin::Pin::new(&mut connection).graceful_shutdown();
            }
        }
    };
    let stream = connection.into_parts().io.into_inner().into_inner();
    if let Err(error) = &result {
        debug!(log, "listener: connection failed"; "peer" => %peer, "error" => %error);
    }
    close(&gateway, stream, peer, &exchange, result).await;
}

/// Closes a connection so that the caller cannot take a broken answer for a complete one.
async fn close(
    gateway: &Gateway,
    stream: TcpStream,
    peer: SocketAddr,
    exchange: &Exchange,
    result: hyper::Result<()>,
) {
    match result {
        Err(error) if error.is_timeout() && exchange.has_partial_request() => {
            let refusal = Refusal::not_run(Reason::SlowCaller);
            refuse_and_close(stream, &gateway.refuse_raw(&refusal, peer.ip())).await;
        }
        // Nothing is written after a broken answer. If the end of the connection marks the end of
        // the answer, only a reset shows the caller that the answer is incomplete.
        Err(error) if !error.is_parse() => {
            if exchange.ends_with_connection() {
                drop(stream.set_zero_linger());
            }
        }
        Ok(()) | Err(_) => refuse_and_close(stream, &[]).await,
    }
}

/// Returns a function that replaces the HTTP library's answer to a malformed request.
///
/// Its argument is the status of that answer, its result the bytes of the refusal to write.
fn library_refusals(gateway: &Arc<Gateway>, client: IpAddr) -> Box<dyn Fn(u16) -> Vec<u8> + Send> {
    let gateway = Arc::clone(gateway);
    Box::new(move |status| {
        let reason = match status {
            // The library has a separate status, 414, for a target that is too long; the target is
            // part of the header.
            414 | 431 => Reason::HeaderTooLarge,
            _ => Reason::Malformed,
        };
        gateway.refuse_raw(&Refusal::not_run(reason), client)
    })
}

/// Writes a last refusal to a connection and closes it.
///
/// Up to [`MAX_DISCARDED_BYTES`] that the caller still sends are read and discarded: the system
/// resets a connection that is closed with unread data, and the caller would lose the refusal.
async fn refuse_and_close(mut stream: TcpStream, refusal: &[u8]) {
    let closed = timeout(CLOSE_TIMEOUT, async {
        stream.write_all(refusal).await?;
        stream.shutdown().await?;
        let mut rest = vec![0; 8 * 1024];
        let mut read = 0;
        while read < MAX_DISCARDED_BYTES {
            match stream.read(&mut rest).await? {
                0 => break,
                count => read += count,
            }
        }
        io::Result::Ok(())
    });
    // The caller may have disconnected, so errors and the timeout are ignored.
    drop(closed.await);
}
