//! The port for callers.

use crate::{
    connection::head::{self, Mark},
    process::state::State,
    request::{gate, reply::Unit},
};
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
    sync::Semaphore,
    time::{Sleep, sleep, sleep_until},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// Bytes of a header or of a part of a body that are read at once.
const BUFFER: usize = 32 * 1024;
/// Longest time for a header while there is no configuration that names one.
const HEADER: Duration = Duration::from_secs(3);
/// Longest idle time while there is no configuration that names one.
const IDLE: Duration = Duration::from_secs(15);
/// Descriptors that are not used for connections of callers: half go to backend servers.
const RESERVED: u32 = 200;
/// Pause after the system could not accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time after which unacknowledged bytes end a connection.
const UNACKNOWLEDGED: Duration = Duration::from_secs(10);

/// Serves callers until `stop` is cancelled and all running requests have ended.
pub async fn serve(listener: TcpListener, state: Arc<State>, stop: CancellationToken) {
    let descriptors = state.setting().machine.descriptors;
    let places = (descriptors.saturating_sub(RESERVED) / 2).max(1) as usize;
    let places = Arc::new(Semaphore::new(places));
    let tasks = TaskTracker::new();
    loop {
        let place = select! {
            () = stop.cancelled() => break,
            place = Arc::clone(&places).acquire_owned() => place,
        };
        let accepted = select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let state = Arc::clone(&state);
                let stop = stop.clone();
                tasks.spawn(async move {
                    connection(stream, state, stop).await;
                    drop(place);
                });
            }
            Err(error) => {
                warn!(state.log(), "callers: accept failed"; "error" => %error);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    tasks.close();
    tasks.wait().await;
}

async fn connection(stream: TcpStream, state: Arc<State>, stop: CancellationToken) {
    let _open = Unit::new(&state.metrics.connections);
    let socket = SockRef::from(&stream);
    let prepared = socket
        .set_tcp_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED)));
    if let Err(error) = prepared {
        debug!(state.log(), "callers: cannot set socket options"; "error" => %error);
        return;
    }
    let limits = state.catalog.load().as_ref().map(|catalog| catalog.limits);
    let idle = limits.map_or(IDLE, |limits| limits.idle_time);
    let header = limits.map_or(BUFFER, |limits| limits.header_bytes as usize);
    let header_time = limits.map_or(HEADER, |limits| limits.header_time);
    let mark = Mark::default();
    let mut builder = Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(BUFFER.max(header));
    let log = state.log().clone();
    let stream = head::Stream::new(stream, &mark);
    let begun = mark.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let state = Arc::clone(&state);
        let guard = begun.begin();
        async move {
            let answer = gate::handle(&state, request).await;
            Ok::<_, Infallible>(answer.map(|body| head::Answer::new(body, guard)))
        }
    });
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let mut late: Option<Pin<Box<Sleep>>> = None;
    let mut stopping = false;
    loop {
        // The phase changes only while the connection is polled.
        let served = poll_fn(|cx| {
            if let Poll::Ready(ended) = connection.as_mut().poll(cx) {
                return Poll::Ready(Some(ended));
            }
            let Some(since) = mark.header_since() else {
                late = None;
                return Poll::Pending;
            };
            let late = late.get_or_insert_with(|| Box::pin(sleep_until(since + header_time)));
            late.as_mut().poll(cx).map(|()| None)
        });
        select! {
            served = served => {
                let Some(ended) = served else {
                    info!(log, "callers: request header timed out";
                        "limit-ms" => header_time.as_millis() as u64);
                    return;
                };
                if let Err(error) = ended {
                    debug!(log, "callers: connection failed"; "error" => %error);
                }
                return;
            }
            () = stop.cancelled(), if !stopping => {
                stopping = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}
