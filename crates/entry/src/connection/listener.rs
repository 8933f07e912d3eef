//! Accepts callers' connections and serves HTTP/1 on each of them.

use crate::{
    connection::{
        phase::{self, Tracker},
        pipeline::Pipeline,
        register::{Register, Ticket},
    },
    process::state::State,
    request::reply::GaugeGuard,
};
use http::{HeaderValue, header};
use hyper::{Request, body::Incoming, server::conn::http1::Builder, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{debug, info, warn};
use socket2::SockRef;
use std::{
    convert::Infallible,
    future::poll_fn,
    pin::{Pin, pin},
    sync::Arc,
    task::Poll,
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    select,
    time::{Sleep, sleep, sleep_until},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// Smallest size limit of the read buffer; a larger header limit replaces it.
const READ_BUFFER_BYTES: usize = 32 * 1024;
/// Timeout for a request header while the host has no configuration.
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of an idle connection while the host has no configuration.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// File descriptors reserved for other uses; callers' connections may take half of the rest.
///
/// The other half is for connections to backend servers.
const RESERVED_DESCRIPTORS: u32 = 200;
/// Largest share of the host's memory for callers' connections.
const MEMORY_SHARE: f64 = 0.25;
/// Memory of one connection with its buffers, in bytes.
const CONNECTION_BYTES: u64 = 24 * 1024;
/// Time for a caller to send the request that is rejected because there is no room.
const REJECTION_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before the next attempt after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time after which unacknowledged bytes close a connection (`TCP_USER_TIMEOUT`).
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves callers until `stop` is cancelled, then waits for the running requests to end.
///
/// Connections are accepted at once even if too many are open: one that waits for room would keep
/// its request unread.
pub async fn serve(listener: TcpListener, state: Arc<State>, stop: CancellationToken) {
    let register = Register::new(
        Arc::<State>::clone(&state),
        "callers",
        max_connections(&state),
    );
    let tasks = TaskTracker::new();
    loop {
        let accepted = select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                // Without a ticket the stream is closed unread, which shows that nothing has run.
                if let Some(ticket) = register.open(&stop).await {
                    tasks.spawn(serve_connection(stream, Arc::clone(&state), ticket));
                }
            }
            Err(error) => {
                warn!(state.log(), "callers: accept failed"; "error" => %error);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    tasks.close();
    tasks.wait().await;
}

/// Returns the largest number of callers' connections that descriptors and memory allow.
fn max_connections(state: &State) -> usize {
    let machine = state.setting().machine;
    let descriptors = machine.descriptors.saturating_sub(RESERVED_DESCRIPTORS) / 2;
    let memory = machine.memory(MEMORY_SHARE) / CONNECTION_BYTES;
    (descriptors as usize).min(memory as usize).max(1)
}

async fn serve_connection(stream: TcpStream, state: Arc<State>, ticket: Ticket) {
    let _connection_count = GaugeGuard::new(&state.metrics.connections);
    let socket = SockRef::from(&stream);
    let configured = socket
        .set_tcp_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT)));
    if let Err(error) = configured {
        debug!(state.log(), "callers: cannot set socket options"; "error" => %error);
        return;
    }
    let limits = state.catalog.load().as_ref().map(|catalog| catalog.limits);
    let idle_timeout = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_time);
    let max_header_bytes = limits.map_or(READ_BUFFER_BYTES, |limits| limits.header_bytes as usize);
    let header_timeout = limits.map_or(DEFAULT_HEADER_TIMEOUT, |limits| limits.header_time);
    let admitted = ticket.admitted;
    let closer = ticket.closer.clone();
    let tracker = Tracker::new(ticket);
    let mut builder = Builder::new();
    builder
        .timer(TokioTimer::new())
        // The pipeline finds out whether the caller has left.
        .half_close(true)
        .header_read_timeout(if admitted {
            idle_timeout
        } else {
            REJECTION_TIMEOUT
        })
        .max_buf_size(READ_BUFFER_BYTES.max(max_header_bytes));
    let log = state.log().clone();
    let (pipeline, stream) = Pipeline::new(stream, &state, READ_BUFFER_BYTES.max(max_header_bytes));
    let stream = phase::Stream::new(stream, &tracker);
    let (request_tracker, requests) = (tracker.clone(), pipeline.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let (state, requests) = (Arc::clone(&state), requests.clone());
        let phase = request_tracker.begin_request();
        let tracker = request_tracker.clone();
        async move {
            let (mut answer, pending) = if admitted {
                // Boxed, so that a connection without a request has no memory for its processing.
                let (answer, pending) = Box::pin(requests.answer(request)).await;
                (answer, Some(pending))
            } else {
                (requests.reject(&request), None)
            };
            let is_unwanted = state.is_leaving() || tracker.ticket().is_over_limit();
            if !admitted || is_unwanted && !requests.has_pending() {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(answer.map(|body| phase::Answer::new(body, (phase, pending))))
        }
    });
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let mut header_deadline: Option<Pin<Box<Sleep>>> = None;
    let mut stopping = false;
    let mut closing = false;
    loop {
        // The phase changes only while the connection is polled, so checking it here is enough.
        let polled = poll_fn(|cx| {
            if let Poll::Ready(ended) = connection.as_mut().poll(cx) {
                return Poll::Ready(Some(ended));
            }
            // Closing drops the requests behind the current one, so they are answered first.
            if stopping && !closing && !(admitted && pipeline.has_pending()) {
                closing = true;
                connection.as_mut().graceful_shutdown();
                if let Poll::Ready(ended) = connection.as_mut().poll(cx) {
                    return Poll::Ready(Some(ended));
                }
            }
            if pipeline.poll_ahead(cx).is_ready() {
                return Poll::Ready(Some(Ok(())));
            }
            let Some(since) = tracker.header_since() else {
                header_deadline = None;
                return Poll::Pending;
            };
            let header_deadline = header_deadline
                .get_or_insert_with(|| Box::pin(sleep_until(since + header_timeout)));
            header_deadline.as_mut().poll(cx).map(|()| None)
        });
        select! {
            polled = polled => {
                let Some(ended) = polled else {
                    info!(log, "callers: request header timed out";
                        "limit-ms" => header_timeout.as_millis() as u64);
                    return;
                };
                if let Err(error) = ended {
                    debug!(log, "callers: connection failed"; "error" => %error);
                }
                return;
            }
            () = closer.cancelled(), if !stopping => {
                stopping = true;
            }
        }
    }
}
