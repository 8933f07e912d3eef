//! HTTP server of the peer and operator APIs.

use async_trait::async_trait;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{Logger, debug};
use std::{convert::Infallible, fmt::Debug, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time,
};
use tokio_util::sync::CancellationToken;

/// Maximum size of a request body; the largest message is an applied document.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 512;
/// Timeout for receiving a request's header, which also closes idle connections.
const HEADER_TIMEOUT: Duration = Duration::from_mins(1);
/// Timeout for receiving a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Answers requests with fully received bodies.
#[async_trait]
pub trait Handler: Debug + Send + Sync + 'static {
    /// Answers one request whose body was received completely.
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes>;
}

/// Serves until `stop` is cancelled, which also aborts running requests.
pub async fn serve(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    stop: CancellationToken,
    log: Logger,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                debug!(log, "serve: accept failed"; "error" => %error);
                time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let connection = connection(stream, Arc::clone(&handler), stop.clone());
        tokio::spawn(async move {
            connection.await;
            drop(permit);
        });
    }
}

async fn connection(stream: TcpStream, handler: Arc<dyn Handler>, stop: CancellationToken) {
    // Nagle's algorithm would delay an answer until the previous packet is acknowledged.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { Ok::<_, Infallible>(answer(&*handler, request).await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        () = stop.cancelled() => {}
        // A failed connection needs no handling, because its peer notices the failure.
        _ = served => {}
    }
}

async fn answer(handler: &dyn Handler, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (parts, body) = request.into_parts();
    let collected = time::timeout(BODY_TIMEOUT, Limited::new(body, MAX_BODY_BYTES).collect()).await;
    let response = match collected {
        Ok(Ok(body)) => {
            handler
                .handle(Request::from_parts(parts, body.to_bytes()))
                .await
        }
        Ok(Err(_)) => status(StatusCode::PAYLOAD_TOO_LARGE),
        Err(_) => status(StatusCode::REQUEST_TIMEOUT),
    };
    response.map(Full::new)
}

/// Returns an answer without a body.
pub fn status(status: StatusCode) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}
