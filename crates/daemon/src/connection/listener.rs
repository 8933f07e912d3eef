//! The caller port.

use crate::{
    connection::stream::{Exchange, Stream},
    request::gateway::Gateway,
};
use azurenotch_entry::request::reply::GaugeGuard;
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
pub const HEADER_LIMIT: usize = 16 * 1024;
/// Longest time for the header of a request, idle time before it included.
pub const HEADER_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest number of caller connections.
pub const MAX_CONNECTIONS: usize = 8192;
/// Time for which idle and new callers may still send a request after the listener was stopped.
pub const LINGER: Duration = Duration::from_secs(1);
/// Time between two searches for idle backend connections that are too old.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after the system could not accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Longest time for the last bytes of a connection in both directions.
const FAREWELL: Duration = Duration::from_secs(1);
/// Bytes that are read and dropped before a connection is closed.
const FAREWELL_BYTES: usize = 1024 * 1024;
/// Largest number of connections above the limit that are told so before they are closed.
const MAX_FAREWELLS: usize = 256;
/// Bytes of an answer that are buffered for a slow caller.
const BUFFER: usize = 64 * 1024;

/// Result of a listener operation.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why the caller port cannot be served.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The address cannot be used.
    #[snafu(display("cannot listen on {address}"))]
    Bind {
        /// Wanted address.
        address: SocketAddr,
        /// Error of the socket.
        source: io::Error,
    },
}

/// The caller port.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    address: SocketAddr,
    gateway: Arc<Gateway>,
    places: Arc<Semaphore>,
    farewells: Arc<Semaphore>,
    header: Header,
    log: Logger,
}

/// Limits of a request's header.
#[derive(Debug, Clone, Copy)]
struct Header {
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
            places: Arc::new(Semaphore::new(MAX_CONNECTIONS)),
            farewells: Arc::new(Semaphore::new(MAX_FAREWELLS)),
            header: Header {
                bytes: HEADER_LIMIT,
                timeout: HEADER_TIMEOUT,
            },
            log,
        })
    }

    /// Sets the largest number of caller connections.
    #[must_use]
    pub fn with_connections(mut self, limit: usize) -> Self {
        self.places = Arc::new(Semaphore::new(limit));
        self
    }

    /// Sets the longest header in bytes and the longest time for it, idle time before it included.
    #[must_use]
    pub fn with_header(mut self, bytes: usize, timeout: Duration) -> Self {
        self.header = Header { bytes, timeout };
        self
    }

    /// Returns the address of the port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves callers until `stop` is cancelled and all running requests have ended.
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
                    Ok((stream, peer)) => self.take(stream, peer, &stop, &tasks),
                    Err(error) => {
                        warn!(self.log, "listener: accept failed"; "error" => %error);
                        sleep(ACCEPT_PAUSE).await;
                    }
                },
            }
        }
        self.gateway.set_stopping();
        self.linger(&stop, &tasks).await;
        drop(self.socket);
        tasks.close();
        tasks.wait().await;
    }

    /// Takes the last connections for [`LINGER`], each for requests that ask to close it.
    ///
    /// Connections that the system has accepted but that are not taken are reset with the socket.
    async fn linger(&self, stop: &CancellationToken, tasks: &TaskTracker) {
        let mut end = pin!(sleep(LINGER));
        loop {
            select! {
                biased;
                () = &mut end => break,
                accepted = self.socket.accept() => match accepted {
                    Ok((stream, peer)) => self.take(stream, peer, stop, tasks),
                    Err(_) => break,
                },
            }
        }
    }

    fn take(
        &self,
        stream: TcpStream,
        peer: SocketAddr,
        stop: &CancellationToken,
        tasks: &TaskTracker,
    ) {
        let gateway = Arc::clone(&self.gateway);
        let stop = stop.clone();
        if let Ok(place) = Arc::clone(&self.places).try_acquire_owned() {
            let builder = self.builder();
            let log = self.log.clone();
            tasks.spawn(async move {
                serve(&builder, gateway, stream, peer, stop, log).await;
                drop(place);
            });
        } else if let Ok(place) = Arc::clone(&self.farewells).try_acquire_owned() {
            let refusal = Refusal::not_run(Reason::Overload);
            let refusal = gateway.refuse_raw(&refusal, peer.ip());
            tasks.spawn(async move {
                part(stream, &refusal).await;
                drop(place);
            });
        }
    }

    fn builder(&self) -> Builder {
        let mut builder = Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(self.header.timeout)
            .max_header_size(self.header.bytes)
            // A header has to fit into the buffer in which it arrives.
            .max_buf_size(BUFFER.max(self.header.bytes));
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
        debug!(log, "listener: connection lost"; "peer" => %peer, "error" => %error);
        return;
    }
    let exchange = Exchange::default();
    let stream = Stream::new(stream, exchange.clone(), replace(&gateway, peer.ip()));
    let service = service_fn(|request: Request<Incoming>| {
        exchange.begin(request.version());
        let gateway = Arc::clone(&gateway);
        async move { Ok::<_, Infallible>(gateway.handle(request, peer).await) }
    });
    let mut connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut linger = pin!(async {
        stop.cancelled().await;
        sleep(LINGER).await;
    });
    let mut lingered = false;
    let result = loop {
        select! {
            result = &mut connection => break result,
            () = &mut linger, if !lingered => {
                lingered = true;
                std::pin::Pin::new(&mut connection).graceful_shutdown();
            }
        }
    };
    let stream = connection.into_parts().io.into_inner().into_inner();
    if let Err(error) = &result {
        debug!(log, "listener: connection ended"; "peer" => %peer, "error" => %error);
    }
    finish(&gateway, stream, peer, &exchange, result).await;
}

/// Closes a connection in the way that tells its caller the truth about the last answer.
async fn finish(
    gateway: &Gateway,
    stream: TcpStream,
    peer: SocketAddr,
    exchange: &Exchange,
    result: hyper::Result<()>,
) {
    match result {
        Err(error) if error.is_timeout() && exchange.is_begun() => {
            let refusal = Refusal::not_run(Reason::SlowCaller);
            part(stream, &gateway.refuse_raw(&refusal, peer.ip())).await;
        }
        // A caller must not take a broken answer for a complete one, so nothing follows it.
        Err(error) if !error.is_parse() => {
            if exchange.ends_with_connection() {
                drop(stream.set_zero_linger());
            }
        }
        Ok(()) | Err(_) => part(stream, &[]).await,
    }
}

/// Returns the refusals that replace the HTTP library's answers to malformed requests.
fn replace(gateway: &Arc<Gateway>, client: IpAddr) -> Box<dyn Fn(u16) -> Vec<u8> + Send> {
    let gateway = Arc::clone(gateway);
    Box::new(move |status| {
        let reason = match status {
            // The library distinguishes a target that is too long, which is part of the header.
            414 | 431 => Reason::HeaderTooLarge,
            _ => Reason::Malformed,
        };
        gateway.refuse_raw(&Refusal::not_run(reason), client)
    })
}

/// Writes a last refusal to a connection and closes it.
///
/// What the caller still sends is read and dropped for a while, because the system resets a
/// connection that is closed with unread data, and the caller would lose its answer.
async fn part(mut stream: TcpStream, refusal: &[u8]) {
    let farewell = timeout(FAREWELL, async {
        stream.write_all(refusal).await?;
        stream.shutdown().await?;
        let mut rest = vec![0; 8 * 1024];
        let mut read = 0;
        while read < FAREWELL_BYTES {
            match stream.read(&mut rest).await? {
                0 => break,
                count => read += count,
            }
        }
        io::Result::Ok(())
    });
    // The caller may be gone, and then nobody is left to tell.
    drop(farewell.await);
}
