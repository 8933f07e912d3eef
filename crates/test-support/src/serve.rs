//! Accept loop that the stand-in servers share.

use bytes::Bytes;
use http::{Request, Response};
use http_body::Body;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use std::{io, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    time,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Error that closes a connection without an answer.
#[derive(Debug, Snafu)]
#[snafu(display("connection is closed without an answer"))]
pub(crate) struct Hangup;

/// Address that stays reserved for a server while its listening socket is closed.
///
/// Otherwise the operating system may assign the port of a closed server to another test.
#[derive(Debug)]
pub(crate) struct Reservation {
    pub(crate) address: SocketAddr,
    _socket: TcpSocket,
}

impl Reservation {
    /// Binds a socket that never listens; listening sockets can share its address.
    pub(crate) fn new(address: SocketAddr) -> io::Result<Self> {
        let socket = if address.is_ipv4() {
            TcpSocket::new_v4()?
        } else {
            TcpSocket::new_v6()?
        };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        Ok(Self {
            address: socket.local_addr()?,
            _socket: socket,
        })
    }
}

/// Listening socket and its connections, which are closed when it is dropped.
#[derive(Debug)]
pub(crate) struct Listener {
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl Listener {
    /// Binds a reserved address and calls `connect` for each connection.
    pub(crate) async fn bind<F>(reservation: &Reservation, connect: F) -> io::Result<Self>
    where
        F: Fn(TcpStream, &Self) + Send + Sync + 'static,
    {
        let socket = TcpListener::bind(reservation.address).await?;
        let listener = Self {
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
        };
        let inner = Self {
            stop: listener.stop.clone(),
            tasks: listener.tasks.clone(),
        };
        listener.spawn(async move {
            loop {
                match socket.accept().await {
                    Ok((stream, _)) => connect(stream, &inner),
                    // Accepting fails at once while the process has no free descriptor.
                    Err(_) => time::sleep(ACCEPT_RETRY_DELAY).await,
                }
            }
        });
        Ok(listener)
    }

    /// Serves one connection until it ends or the listener is closed.
    pub(crate) fn serve<S, F, B>(&self, stream: TcpStream, answer: S)
    where
        S: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
        F: Future<Output = Result<Response<B>, Hangup>> + Send + 'static,
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let answer = Arc::new(answer);
        self.spawn(async move {
            // Nagle's algorithm would delay small answers on kept-alive connections.
            let _ = stream.set_nodelay(true);
            let service = service_fn(move |request| answer(request));
            // Errors of a connection are ignored: the peer sees them as a failed call.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }

    /// Closes the listening socket and all connections, and waits until they are closed.
    pub(crate) async fn close(self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stop = self.stop.clone();
        self.tasks.spawn(async move {
            stop.run_until_cancelled_owned(task).await;
        });
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}
