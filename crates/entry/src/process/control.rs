//! HTTP endpoints for look-ups, readiness checks, metrics and requests of other hosts.

use crate::{
    connection::{
        phase::{self, Tracker},
        register::Register,
    },
    process::{relay, state::State},
};
use azurenotch_wire::{
    id::{DataCentre, Region},
    time::Instant,
};
use bytes::Bytes;
use derive_more::Display;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1::Builder, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{debug, info};
use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{net::TcpListener, select, sync::Semaphore, time::sleep};
use tokio_util::sync::CancellationToken;

/// Maximum lifetime of an answer to a look-up in callers' caches.
///
/// Some callers keep it three times as long; a stopping host serves for longer than that.
const LOOK_UP_LIFETIME: Duration = Duration::from_millis(1_500);
/// Maximum number of addresses in an answer to a look-up.
const MAX_ADDRESSES: usize = 64;
/// Number of hosts in the caller's data centre from which an answer names no other hosts.
const MIN_HOSTS_IN_DATA_CENTRE: usize = 2;
const METRICS_PATH: &str = "/metrics";
/// Timeout for receiving a request header, idle time included.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of other hosts that receive rows from this one at the same time.
///
/// Load pattern: after a loss of power hundreds of hosts ask the only one that has the rows. Its
/// link of 20 Mbit/s would serve none of them in time; some are, and then serve others.
pub(crate) const MAX_RELAYS: usize = 8;
/// Longest time for which a connection of another host is kept.
const MAX_RELAY_TIME: Duration = Duration::from_millis(1_500);
/// Pause after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Largest share of the descriptors for the connections of one of these ports.
const DESCRIPTOR_SHARE: f64 = 0.05;

/// Requests that a port serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Look-ups, readiness checks and metrics.
    Control,
    /// Requests of other hosts.
    Peers,
}

impl Purpose {
    /// Returns the name of the port in logs and metrics.
    const fn name(self) -> &'static str {
        match self {
            Self::Control => "control",
            Self::Peers => "peers",
        }
    }
}

/// Serves a port until `stop` is cancelled.
pub async fn serve(
    listener: TcpListener,
    state: Arc<State>,
    purpose: Purpose,
    stop: CancellationToken,
) {
    let relays = Arc::new(Semaphore::new(MAX_RELAYS));
    let descriptors = state.setting().machine.descriptors;
    let total = (f64::from(descriptors) * DESCRIPTOR_SHARE) as usize;
    let register = Register::new(Arc::<State>::clone(&state), purpose.name(), total);
    loop {
        let accepted = select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // Without a ticket the stream is closed unread.
        let Some(ticket) = register.open(&stop).await else {
            continue;
        };
        let state = Arc::clone(&state);
        // Other hosts send one request on a connection, and close it when they have the answer.
        let relay = Arc::clone(&relays).try_acquire_owned().ok();
        let relay = relay.filter(|_| purpose == Purpose::Peers);
        tokio::spawn(async move {
            let log = state.log().clone();
            let (closer, admitted) = (ticket.closer.clone(), ticket.admitted);
            let tracker = Tracker::new(ticket);
            let stream = phase::Stream::new(stream, &tracker);
            let service = service_fn(move |request: Request<Incoming>| {
                let phase = tracker.begin_request();
                let response = match purpose {
                    _ if !admitted => status(StatusCode::SERVICE_UNAVAILABLE),
                    Purpose::Control => answer(&state, &request),
                    Purpose::Peers if relay.is_none() => status(StatusCode::SERVICE_UNAVAILABLE),
                    Purpose::Peers => relay::answer(&state, &request),
                };
                let response = response.map(|body| phase::Answer::new(body, phase));
                async move { Ok::<_, Infallible>(response) }
            });
            let mut builder = Builder::new();
            builder
                .timer(TokioTimer::new())
                // Answers take little time, so that a caller which has left costs nothing.
                .half_close(true)
                .header_read_timeout(HEADER_TIMEOUT)
                .max_buf_size(8 * 1024);
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            select! {
                () = closer.cancelled() => {}
                () = sleep(MAX_RELAY_TIME), if purpose == Purpose::Peers => {}
                ended = connection => if let Err(error) = ended {
                    debug!(log, "control: connection failed"; "error" => %error);
                },
            }
        });
    }
}

fn answer(state: &State, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let protocol = state.dependencies.format.protocol();
    let path = request.uri().path();
    if path == protocol.ready {
        let ready = state.is_ready();
        return status(if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        });
    }
    if path == protocol.look_up {
        return look_up(state, request.uri().query().unwrap_or_default());
    }
    if path == METRICS_PATH {
        state.update_store_metrics();
        return Response::new(Full::new(state.metrics.text().into()));
    }
    status(StatusCode::NOT_FOUND)
}

fn look_up(state: &State, query: &str) -> Response<Full<Bytes>> {
    let protocol = state.dependencies.format.protocol();
    let field = |wanted: &str| {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let mut values = pairs.filter(|(name, _)| *name == wanted);
        values.next().map(|(_, value)| value)
    };
    let centre = field(protocol.look_up_data_centre).map(DataCentre::from);
    let region = field(protocol.look_up_region).map(Region::from);
    let (scope, addresses) = addresses(state, centre.as_ref(), region.as_ref());
    let scope = scope.to_string();
    state.metrics.count_look_up(&scope);
    let now = state.now();
    let membership = state.membership.lock();
    let (known, reachable) = (
        membership.peers.len(),
        membership.presence.reachable(now).count(),
    );
    drop(membership);
    info!(state.log(), "look-up: answered"; "scope" => scope,
        "data-centre" => centre.as_ref().map(DataCentre::as_str),
        "region" => region.as_ref().map(Region::as_str), "hosts" => addresses.len(),
        "known-hosts" => known, "reachable-hosts" => reachable,
        "running-ms" => now.since(Instant::ZERO).as_millis() as u64);
    let lifetime = LOOK_UP_LIFETIME.min(state.setting().bounds.look_up);
    let (body, kind) = state.dependencies.format.look_up(&addresses, lifetime);
    let mut response = Response::new(Full::new(body.into()));
    let kind = HeaderValue::from_static(kind);
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// Hosts that the answer to a look-up names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
enum Scope {
    /// Those in the caller's data centre.
    #[display("data-centre")]
    DataCentre,
    /// Those in the caller's region.
    #[display("region")]
    Region,
    /// Those of all regions.
    #[display("all")]
    All,
}

/// Returns the addresses of the hosts for a caller.
///
/// Hosts of its data centre if there are enough, else of its region, else of all regions.
fn addresses(
    state: &State,
    centre: Option<&DataCentre>,
    region: Option<&Region>,
) -> (Scope, Vec<SocketAddr>) {
    let now = state.now();
    let membership = state.membership.lock();
    let own = (!state.is_leaving()).then_some(&state.own);
    let others = membership.peers.values();
    let others = others.filter(|peer| membership.presence.is_serving(now, &peer.host));
    let hosts: Vec<_> = others.chain(own).collect();
    let named = |wanted: &dyn Fn(&crate::model::Peer) -> bool| -> Vec<SocketAddr> {
        let chosen = hosts.iter().filter(|peer| wanted(peer));
        chosen
            .map(|peer| peer.callers)
            .take(MAX_ADDRESSES)
            .collect()
    };
    let near = named(&|peer| Some(&peer.data_centre) == centre);
    if near.len() >= MIN_HOSTS_IN_DATA_CENTRE {
        return (Scope::DataCentre, near);
    }
    let near = named(&|peer| Some(&peer.region) == region);
    if near.is_empty() {
        (Scope::All, named(&|_| true))
    } else {
        (Scope::Region, near)
    }
}

/// Returns an answer without a body.
pub(crate) fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
