//! Callers of the demo and the counts of their answers.

use crate::fleet::Result;
use azurenotch_test_support::caller::Client;
use bytes::Bytes;
use http::{Method, Request, Response};
use std::{
    collections::BTreeMap,
    fmt::{self, Display, Formatter},
    net::SocketAddr,
    time::{Duration, Instant},
};
use tokio::{task::JoinSet, time};
use tokio_util::sync::CancellationToken;

/// Pause of a caller after each answer.
const REQUEST_PAUSE: Duration = Duration::from_millis(2);

/// Status, outcome and reason of an answer.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    outcome: String,
    reason: String,
    has_retry_after: bool,
}

impl Answer {
    /// Returns whether the answer is a refusal with this status, reason and outcome.
    pub fn is_refusal(&self, status: u16, reason: &str, outcome: &str) -> bool {
        self.status == status && self.reason == reason && self.outcome == outcome
    }
}

impl Display for Answer {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.status, self.reason, self.outcome)
    }
}

/// Answers counted by kind.
#[derive(Debug, Default)]
pub struct Tally {
    /// Answers of backend servers.
    pub answered: u32,
    /// Refusals by reason.
    pub refused: BTreeMap<String, u32>,
    /// Refusals for the rate without a `retry-after` header.
    pub without_retry_after: u32,
    /// Requests whose connection failed before a complete answer.
    pub broken: u32,
}

impl Tally {
    /// Counts an answer.
    pub fn count(&mut self, answer: &Answer) {
        if answer.reason.is_empty() {
            self.answered += 1;
            return;
        }
        *self.refused.entry(answer.reason.clone()).or_default() += 1;
        self.without_retry_after += u32::from(answer.reason == "rate" && !answer.has_retry_after);
    }

    /// Returns whether every request was answered or refused for the limits of the contract.
    pub fn is_clean(&self) -> bool {
        let contract = ["rate", "concurrency"];
        self.broken == 0
            && self
                .refused
                .keys()
                .all(|reason| contract.contains(&reason.as_str()))
    }

    fn add(&mut self, other: Self) {
        self.answered += other.answered;
        self.without_retry_after += other.without_retry_after;
        self.broken += other.broken;
        for (reason, count) in other.refused {
            *self.refused.entry(reason).or_default() += count;
        }
    }
}

impl Display for Tally {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} answered", self.answered)?;
        for (reason, count) in &self.refused {
            write!(f, ", {count} {reason}")?;
        }
        write!(f, ", {} broken", self.broken)
    }
}

/// Callers that send requests until they are stopped.
#[derive(Debug)]
pub struct Load {
    started: Instant,
    stop: CancellationToken,
    callers: JoinSet<Tally>,
}

impl Load {
    /// Starts `callers` callers at each of the hosts.
    pub fn start(hosts: Vec<SocketAddr>, path: &str, key: &str, callers: usize) -> Self {
        let stop = CancellationToken::new();
        let mut tasks = JoinSet::new();
        for host in hosts
            .into_iter()
            .flat_map(|host| std::iter::repeat_n(host, callers))
        {
            tasks.spawn(send_requests(
                host,
                path.to_owned(),
                key.to_owned(),
                stop.clone(),
            ));
        }
        Self {
            started: Instant::now(),
            stop,
            callers: tasks,
        }
    }

    /// Stops the callers; returns their counts and the duration of the load.
    pub async fn stop(mut self) -> (Tally, Duration) {
        self.stop.cancel();
        let mut tally = Tally::default();
        while let Some(Ok(part)) = self.callers.join_next().await {
            tally.add(part);
        }
        (tally, self.started.elapsed())
    }
}

/// Sends requests on a persistent connection until stopped or the host announces to close it.
async fn send_requests(
    host: SocketAddr,
    path: String,
    key: String,
    stop: CancellationToken,
) -> Tally {
    let mut client = Client::new(host);
    let mut tally = Tally::default();
    while !stop.is_cancelled() {
        let Ok(request) = request(Method::GET, &path, Some(&key)) else {
            break;
        };
        let Ok(response) = client.send(request).await else {
            tally.broken += 1;
            break;
        };
        tally.count(&answer(&response));
        if response
            .headers()
            .get("connection")
            .is_some_and(|value| value == "close")
        {
            break;
        }
        time::sleep(REQUEST_PAUSE).await;
    }
    tally
}

/// Sends one `GET` request.
pub async fn get(host: SocketAddr, path: &str, key: Option<&str>) -> Result<Answer> {
    let response = Client::new(host)
        .send(request(Method::GET, path, key)?)
        .await?;
    Ok(answer(&response))
}

/// Sends one `POST` request.
pub async fn post(host: SocketAddr, path: &str, key: &str) -> Result<Answer> {
    let response = Client::new(host)
        .send(request(Method::POST, path, Some(key))?)
        .await?;
    Ok(answer(&response))
}

fn request(method: Method, path: &str, key: Option<&str>) -> Result<Request<Bytes>> {
    let mut builder = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "demo");
    if let Some(key) = key {
        builder = builder.header("authorization", format!("Bearer {key}"));
    }
    Ok(builder.body(Bytes::from_static(b"demo"))?)
}

fn answer(response: &Response<Bytes>) -> Answer {
    let header = |name| {
        let value = response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    Answer {
        status: response.status().as_u16(),
        outcome: header("azurenotch-outcome"),
        reason: header("azurenotch-reason"),
        has_retry_after: response.headers().contains_key("retry-after"),
    }
}
