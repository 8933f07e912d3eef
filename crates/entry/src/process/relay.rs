//! Requests for updates of the platform's rows between hosts.
//!
//! Hosts that do not follow the store get from peers what gossip messages cannot hold.

use crate::{
    platform::Subject,
    process::{
        change::{Origin, Source},
        control::status,
        gossip::NewerPeer,
        replica::{Change, Freshness, Replica, Update},
        state::State,
    },
};
use azurenotch_platform::http::interim;
use azurenotch_wire::time::Instant;
use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, client::conn::http1 as client};
use hyper_util::rt::TokioIo;
use rand::random_range;
use serde::{Deserialize, Serialize};
use slog::{debug, info, warn};
use snafu::{ResultExt, Snafu};
use std::{
    io::{self, Read, Write},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use tokio::{
    net::TcpStream,
    select,
    sync::watch,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

/// Path of updates.
///
/// The query holds the versions of orders, servers and the configuration that the client has.
const FACTS_PATH: &str = "/facts";
/// Name of the compression of answers.
///
/// A configuration of 1,700 routes has 158 KB, of which eight at a time take longer than
/// [`REQUEST_TIMEOUT`] on half of a link of 12 Mbit/s unless they are compressed.
const DEFLATE: &str = "deflate";
/// Timeout of a request to another host.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for the messages that contain a change to arrive one after the other.
const MESSAGE_TIME: Duration = Duration::from_millis(80);
/// Pause after each request.
const REQUEST_PAUSE: Duration = Duration::from_millis(150);
/// Maximum size of another host's answer in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Subjects in an answer, in its order.
const RELAYED_SUBJECTS: [Subject; 3] = [Subject::Orders, Subject::Outcomes, Subject::Servers];

/// Result of a request to another host.
type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a request to another host failed.
#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("no answer in time"))]
    Timeout,
    #[snafu(display("the host answers other hosts: status {status}"))]
    Busy { status: StatusCode },
    #[snafu(display("cannot connect: {source}"))]
    Connect { source: io::Error },
    #[snafu(display("the URI is not valid: {source}"))]
    Uri { source: http::uri::InvalidUri },
    #[snafu(display("the HTTP exchange failed: {source}"))]
    Exchange { source: hyper::Error },
    #[snafu(display("the answer is incomplete or too large: {source}"))]
    Body {
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    #[snafu(display("cannot encode the answer: {source}"))]
    Encode { source: rmp_serde::encode::Error },
    #[snafu(display("cannot compress or decompress the answer: {source}"))]
    Compress { source: io::Error },
    #[snafu(display("cannot decode the answer: {source}"))]
    Decode { source: rmp_serde::decode::Error },
}

/// Updates of the subjects in the order of [`RELAYED_SUBJECTS`].
#[derive(Debug, Serialize, Deserialize)]
struct Answer {
    updates: [Update; 3],
}

impl Answer {
    /// Encodes the answer, compressed if the client accepts that.
    fn encode(&self, compresses: bool) -> Result<Vec<u8>> {
        let bytes = rmp_serde::to_vec(self).context(EncodeSnafu)?;
        if !compresses {
            return Ok(bytes);
        }
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&bytes).context(CompressSnafu)?;
        encoder.finish().context(CompressSnafu)
    }

    /// Decodes an answer of at most [`MAX_ANSWER_BYTES`] once it is decompressed.
    fn decode(bytes: &[u8], compressed: bool) -> Result<Self> {
        if !compressed {
            return rmp_serde::from_slice(bytes).context(DecodeSnafu);
        }
        let mut plain = Vec::new();
        let limit = MAX_ANSWER_BYTES as u64;
        DeflateDecoder::new(bytes)
            .take(limit)
            .read_to_end(&mut plain)
            .context(CompressSnafu)?;
        rmp_serde::from_slice(&plain).context(DecodeSnafu)
    }
}

/// Answers a request for updates.
pub(crate) fn answer(state: &State, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    if request.uri().path() != FACTS_PATH {
        return status(StatusCode::NOT_FOUND);
    }
    let query = request.uri().query().unwrap_or_default();
    let mut versions = query.split(',').map(|text| text.parse().unwrap_or(0));
    let (orders, servers) = (versions.next().unwrap_or(0), versions.next().unwrap_or(0));
    // Hosts of earlier builds send no version of the configuration.
    let configuration = versions.next().unwrap_or(u64::MAX);
    let replica = state.replica.lock();
    let answer = Answer {
        updates: RELAYED_SUBJECTS.map(|subject| match subject {
            Subject::Servers => replica.update_since(subject, servers),
            Subject::Orders => replica.orders_since(orders, configuration),
            _ => replica.update_since(subject, orders),
        }),
    };
    drop(replica);
    // Hosts of earlier builds do not ask for it.
    let accepted = request.headers().get(header::ACCEPT_ENCODING);
    let compresses = accepted.is_some_and(|it| it == DEFLATE);
    match answer.encode(compresses) {
        Ok(bytes) => {
            let mut response = Response::new(Full::new(bytes.into()));
            if compresses {
                let encoding = HeaderValue::from_static(DEFLATE);
                response
                    .headers_mut()
                    .insert(header::CONTENT_ENCODING, encoding);
            }
            response
        }
        Err(error) => {
            warn!(state.log(), "relay: cannot encode answer"; "error" => %error);
            status(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Requests updates from hosts with newer rows until `stop` is cancelled.
pub async fn run(
    state: Arc<State>,
    mut newer_peers: watch::Receiver<Option<NewerPeer>>,
    stop: CancellationToken,
) {
    loop {
        select! {
            () = stop.cancelled() => return,
            changed = newer_peers.changed() => if changed.is_err() { return },
        }
        // Most changes arrive in messages, but not the rows that a host starts with.
        if state.configuration_version() != 0 {
            sleep(MESSAGE_TIME).await;
        }
        let newer_peer = newer_peers.borrow_and_update().clone();
        let newer_peer = newer_peer.filter(|it| is_newer(&state, it));
        if let Some(newer_peer) = newer_peer {
            match request(&state, newer_peer.address).await {
                Ok(answer) => {
                    state.metrics.count_relay("answered");
                    apply_answer(&state, newer_peer.address, answer);
                }
                Err(error @ Error::Busy { .. }) => {
                    state.metrics.count_relay("busy");
                    debug!(state.log(), "relay: peer is busy"; "from" => %newer_peer.address,
                        "error" => %error);
                    // Tries again after the pause, by then perhaps at a host that was served.
                    newer_peers.mark_changed();
                }
                Err(error) => {
                    state.metrics.count_relay("failed");
                    warn!(state.log(), "relay: request to peer failed";
                        "from" => %newer_peer.address, "error" => %error);
                }
            }
        }
        // Jitter keeps hosts that were rejected together from asking together.
        sleep(REQUEST_PAUSE.mul_f64(random_range(0.7..2.0))).await;
    }
}

/// Returns whether another host still has rows that this one lacks.
fn is_newer(state: &State, peer: &NewerPeer) -> bool {
    let replica = state.replica.lock();
    let lacks = |(subject, version)| replica.freshness(subject).version < version;
    peer.versions.into_iter().any(lacks) || state.configuration_version() < peer.configuration
}

fn apply_answer(state: &State, from: SocketAddr, answer: Answer) {
    let mut changes = Vec::new();
    let mut replica = state.replica.lock();
    let Freshness {
        version: before,
        confirmed,
        ..
    } = replica.freshness(Subject::Orders);
    let now = state.now();
    for (subject, update) in RELAYED_SUBJECTS.into_iter().zip(answer.updates) {
        // The states of moves have no freshness of their own; they follow that of the orders.
        let known = match subject {
            Subject::Outcomes => before,
            subject => replica.freshness(subject).version,
        };
        changes.extend(apply_update(now, &mut replica, subject, known, update));
    }
    drop(replica);
    if !changes.is_empty() {
        info!(state.log(), "relay: received changes from peer"; "from" => %from,
            "changes" => changes.len());
    }
    let source = Source {
        origin: Origin::Peer,
        confirmed,
    };
    state.apply(changes, source);
}

/// Applies an update of another host that was requested by one which had the version `known`.
pub(crate) fn apply_update(
    now: Instant,
    replica: &mut Replica,
    subject: Subject,
    known: u64,
    update: Update,
) -> Vec<Change> {
    if update.up_to < known || update.after > known {
        return Vec::new();
    }
    if update.after == 0 {
        let changes = replica.replace(now, subject, update.up_to, update.facts);
        replica.advance(subject, update.up_to);
        return changes;
    }
    let changes = replica.apply(now, update.facts);
    replica.advance(subject, update.up_to);
    changes
}

async fn request(state: &State, address: SocketAddr) -> Result<Answer> {
    let (orders, servers) = {
        let replica = state.replica.lock();
        let version = |subject| replica.freshness(subject).version;
        (version(Subject::Orders), version(Subject::Servers))
    };
    let configuration = state.configuration_version();
    let uri = format!("{FACTS_PATH}?{orders},{servers},{configuration}");
    timeout(REQUEST_TIMEOUT, exchange(address, uri))
        .await
        .unwrap_or(Err(Error::Timeout))
}

async fn exchange(address: SocketAddr, uri: String) -> Result<Answer> {
    let stream = TcpStream::connect(address).await.context(ConnectSnafu)?;
    let interim = interim::Count::default();
    let stream = interim::Stream::new(stream, interim.clone());
    let (mut sender, connection) = client::handshake(TokioIo::new(stream))
        .await
        .context(ExchangeSnafu)?;
    let mut request = Request::new(Full::<Bytes>::default());
    *request.uri_mut() = uri.parse().context(UriSnafu)?;
    request
        .headers_mut()
        .insert(header::ACCEPT_ENCODING, HeaderValue::from_static(DEFLATE));
    interim.follow(&mut request);
    let answer = async move {
        let answer = sender.send_request(request).await.context(ExchangeSnafu)?;
        let status = answer.status();
        if !status.is_success() {
            return BusySnafu { status }.fail();
        }
        let encoding = answer.headers().get(header::CONTENT_ENCODING);
        let compressed = encoding.is_some_and(|it| it == DEFLATE);
        let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES);
        let body = body.collect().await.context(BodySnafu)?;
        Answer::decode(&body.to_bytes(), compressed)
    };
    let mut answer = std::pin::pin!(answer);
    select! {
        biased;
        answer = &mut answer => answer,
        _ = connection => answer.await,
    }
}

#[cfg(test)]
mod tests;
