//! Knowledge of the platform for hosts that do not follow it.

use crate::{
    platform::Subject,
    process::{
        directory::status,
        gossip::Better,
        state::State,
        world::{Bulletin, Change, World},
    },
};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, client::conn::http1 as client};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use snafu::{ResultExt, Snafu};
use std::{io, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{net::TcpStream, select, sync::watch, time::timeout};
use tokio_util::sync::CancellationToken;

/// Path of the knowledge of the platform; the query names the versions that the caller knows.
const FACTS: &str = "/facts";
/// Longest time for asking another host.
const TIMEOUT: Duration = Duration::from_millis(800);
/// Pause between two questions.
const PAUSE: Duration = Duration::from_millis(150);
/// Largest answer of another host in bytes.
const ANSWER_BYTES: usize = 8 << 20;
/// Subjects that hosts tell one another.
const SUBJECTS: [Subject; 3] = [Subject::Orders, Subject::Outcomes, Subject::Servers];

/// Result of asking another host.
type Result<T, E = Error> = std::result::Result<T, E>;

/// Why another host did not answer.
#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("no answer in time"))]
    Slow,
    #[snafu(display("cannot connect: {source}"))]
    Connect { source: io::Error },
    #[snafu(display("the question is not valid: {source}"))]
    Question { source: http::uri::InvalidUri },
    #[snafu(display("the exchange failed: {source}"))]
    Exchange { source: hyper::Error },
    #[snafu(display("the answer broke off: {source}"))]
    Body {
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    #[snafu(display("the answer cannot be read: {source}"))]
    Decode { source: rmp_serde::decode::Error },
}

/// What a host knows of the platform, in the order of [`SUBJECTS`].
#[derive(Debug, Serialize, Deserialize)]
struct Answer {
    news: [Bulletin; 3],
}

/// Answers another host's question.
pub(crate) fn answer(state: &State, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    if request.uri().path() != FACTS {
        return status(StatusCode::NOT_FOUND);
    }
    let query = request.uri().query().unwrap_or_default();
    let mut versions = query.split(',').map(|text| text.parse().unwrap_or(0));
    let (orders, servers) = (versions.next().unwrap_or(0), versions.next().unwrap_or(0));
    let world = state.world.lock();
    let answer = Answer {
        news: SUBJECTS.map(|subject| {
            let known = match subject {
                Subject::Servers => servers,
                _ => orders,
            };
            world.since(subject, known)
        }),
    };
    drop(world);
    match rmp_serde::to_vec(&answer) {
        Ok(bytes) => Response::new(Full::new(bytes.into())),
        Err(error) => {
            warn!(state.log(), "relay: cannot encode answer"; "error" => %error);
            status(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Asks hosts that know more until `stop` is cancelled.
pub async fn run(
    state: Arc<State>,
    mut better: watch::Receiver<Option<Better>>,
    stop: CancellationToken,
) {
    loop {
        select! {
            () = stop.cancelled() => return,
            changed = better.changed() => if changed.is_err() { return },
        }
        let found = better.borrow_and_update().clone();
        if let Some(found) = found {
            match ask(&state, found.address).await {
                Ok(answer) => take(&state, found.address, answer),
                Err(error) => {
                    warn!(state.log(), "relay: request to peer failed"; "from" => %found.address,
                    "error" => %error)
                }
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
}

fn take(state: &State, from: SocketAddr, answer: Answer) {
    let mut changes = Vec::new();
    let mut world = state.world.lock();
    let before = world.view(Subject::Orders).version;
    for (subject, news) in SUBJECTS.into_iter().zip(answer.news) {
        // The states of moves have no version of their own; they go with the orders.
        let known = match subject {
            Subject::Outcomes => before,
            subject => world.view(subject).version,
        };
        changes.extend(adopt(&mut world, subject, known, news));
    }
    drop(world);
    if !changes.is_empty() {
        info!(state.log(), "relay: received changes from peer"; "from" => %from, "changes" => changes.len());
    }
    state.apply(changes, "peer");
}

fn adopt(world: &mut World, subject: Subject, known: u64, news: Bulletin) -> Vec<Change> {
    if news.upto < known || news.after > known {
        return Vec::new();
    }
    if news.after == 0 {
        let changes = world.replace(subject, news.upto, news.facts);
        world.advance(subject, news.upto);
        return changes;
    }
    world.advance(subject, news.upto);
    world.apply(news.facts)
}

async fn ask(state: &State, address: SocketAddr) -> Result<Answer> {
    let (orders, servers) = {
        let world = state.world.lock();
        let version = |subject| world.view(subject).version;
        (version(Subject::Orders), version(Subject::Servers))
    };
    let question = format!("{FACTS}?{orders},{servers}");
    timeout(TIMEOUT, exchange(address, question))
        .await
        .unwrap_or(Err(Error::Slow))
}

async fn exchange(address: SocketAddr, question: String) -> Result<Answer> {
    let stream = TcpStream::connect(address).await.context(ConnectSnafu)?;
    let (mut sender, connection) = client::handshake(TokioIo::new(stream))
        .await
        .context(ExchangeSnafu)?;
    let mut request = Request::new(Full::<Bytes>::default());
    *request.uri_mut() = question.parse().context(QuestionSnafu)?;
    let answer = async move {
        let answer = sender.send_request(request).await.context(ExchangeSnafu)?;
        let body = Limited::new(answer.into_body(), ANSWER_BYTES);
        let body = body.collect().await.context(BodySnafu)?;
        rmp_serde::from_slice(&body.to_bytes()).context(DecodeSnafu)
    };
    let mut answer = std::pin::pin!(answer);
    select! {
        biased;
        answer = &mut answer => answer,
        _ = connection => answer.await,
    }
}
