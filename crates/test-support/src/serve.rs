//! Accept loop that the stand-in servers share.

use bytes::Bytes;
use http::{Request, Response};
use http_body::Body;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use std::{io, net::SocketAddr, sync::Arc};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Ends a connection without an answer.
#[derive(Debug, Snafu)]
#[snafu(display("connection is closed without an answer"))]
pub(crate) struct Hangup;

/// Listening socket whose connections end when it is dropped.
#[derive(Debug)]
pub(crate) struct Listener {
    pub(crate) address: SocketAddr,
    pub(crate) stop: CancellationToken,
}

impl Listener {
    /// Binds the address and calls `connect` for each connection.
    pub(crate) async fn bind<F>(address: SocketAddr, connect: F) -> io::Result<Self>
    where
        F: Fn(TcpStream, CancellationToken) + Send + Sync + 'static,
    {
        let socket = TcpListener::bind(address).await?;
        let address = socket.local_addr()?;
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        tokio::spawn(stop.clone().run_until_cancelled_owned(async move {
            loop {
                // A failed accept concerns one connection only.
                if let Ok((stream, _)) = socket.accept().await {
                    connect(stream, stopped.clone());
                }
            }
        }));
        Ok(Self { address, stop })
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Serves one connection until it ends or `stop` is cancelled.
pub(crate) fn connection<S, F, B>(stream: TcpStream, stop: CancellationToken, answer: S)
where
    S: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Result<Response<B>, Hangup>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let answer = Arc::new(answer);
    tokio::spawn(stop.run_until_cancelled_owned(async move {
        // Small answers on kept connections must not wait for acknowledgements.
        let _ = stream.set_nodelay(true);
        let service = service_fn(move |request| answer(request));
        // A connection that fails is the peer's concern.
        let _ = http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }));
}
