//! HTTP server of the peer and operator APIs.

use async_trait::async_trait;
use azurenotch_entry::connection::{
    phase::{self, Tracker},
    register::{Crowd, Observer, Register, Ticket},
};
use azurenotch_platform::{Clock, clock::Monotonic};
use azurenotch_wire::time::Instant;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{Logger, debug, info, warn};
use std::{convert::Infallible, fmt::Debug, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    time,
};
use tokio_util::sync::CancellationToken;

/// Maximum size of a request body; the largest message is an applied document.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Maximum number of open connections; beyond it, the one idle for longest closes for a new one.
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
    let watch = Watch {
        clock: Monotonic::new(),
        log: log.clone(),
    };
    let register = Register::new(Arc::new(watch), "hosts-and-operators", MAX_CONNECTIONS);
    loop {
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
        // Without a ticket the stream is closed unread.
        if let Some(ticket) = register.open(&stop).await {
            tokio::spawn(connection(stream, Arc::clone(&handler), ticket));
        }
    }
}

/// Clock and log of the connections.
#[derive(Debug)]
struct Watch {
    clock: Monotonic,
    log: Logger,
}

impl Observer for Watch {
    fn now(&self) -> Instant {
        self.clock.now()
    }

    fn set_limit(&self, _port: &'static str, _limit: usize) {}

    fn count(&self, _port: &'static str, _decision: &'static str) {}

    fn limit_reached(&self, port: &'static str, kept: usize, limit: usize) {
        warn!(self.log, "connections: limit reached"; "port" => port, "connections" => kept,
            "limit" => limit);
    }

    fn has_room(&self, port: &'static str, crowd: &Crowd) {
        info!(self.log, "connections: below limit again"; "port" => port,
            "ms" => crowd.duration.as_millis() as u64, "idle-closed" => crowd.replaced,
            "rejected" => crowd.rejected, "closed-unread" => crowd.closed);
    }
}

async fn connection(stream: TcpStream, handler: Arc<dyn Handler>, ticket: Ticket) {
    // Nagle's algorithm would delay an answer until the previous packet is acknowledged.
    let _ = stream.set_nodelay(true);
    let (closer, admitted) = (ticket.closer.clone(), ticket.admitted);
    let tracker = Tracker::new(ticket);
    let stream = phase::Stream::new(stream, &tracker);
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        let phase = tracker.begin_request();
        async move {
            let response = if admitted {
                answer(&*handler, request).await
            } else {
                status(StatusCode::SERVICE_UNAVAILABLE).map(Full::new)
            };
            Ok::<_, Infallible>(response.map(|body| phase::Answer::new(body, phase)))
        }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        // Answers take little time, so that a caller which has left costs nothing.
        .half_close(true)
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        () = closer.cancelled() => {}
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
