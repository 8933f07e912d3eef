//! Callers that follow look-ups and send on a fixed schedule.

use super::fleet::look_up;
use azurenotch_test_support::caller::{Client, Error};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Request, header};
use parking_lot::Mutex;
use std::{
    collections::BTreeMap,
    fmt::{self, Display, Formatter},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{task::JoinSet, time};
use tokio_util::sync::CancellationToken;

/// Time between two requests of a caller.
const INTERVAL: Duration = Duration::from_millis(40);
/// Longest time for a request, above the timeout of the route.
const TIMEOUT: Duration = Duration::from_secs(4);
/// Largest latency that the histogram holds, in microseconds.
const LONGEST_US: u64 = 60_000_000;

/// What callers saw in one phase.
#[derive(Debug, Clone)]
pub struct Tally {
    /// Requests that were answered by a backend server.
    pub answered: u64,
    /// Refusals by reason.
    pub refused: BTreeMap<String, u64>,
    /// Answers with a failure that is not a refusal.
    pub failed: u64,
    /// Requests that were sent and got no complete answer.
    pub cut: u64,
    /// Attempts whose connection was refused, so that nothing was sent.
    pub unreached: u64,
    /// Latency from the scheduled time of the send, in microseconds.
    pub latency: Histogram<u64>,
    /// When the last answered request was sent.
    pub last_sent: Option<Instant>,
}

impl Default for Tally {
    fn default() -> Self {
        let latency = Histogram::new_with_bounds(1, LONGEST_US, 3);
        Self {
            answered: 0,
            refused: BTreeMap::new(),
            failed: 0,
            cut: 0,
            unreached: 0,
            latency: latency.expect("the bounds are valid"),
            last_sent: None,
        }
    }
}

impl Tally {
    /// Returns the share of requests that were refused.
    pub fn refused_share(&self) -> f64 {
        let refused: u64 = self.refused.values().sum();
        refused as f64 / (self.answered + refused).max(1) as f64
    }

    /// Returns a quantile of the latency in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1000.0
    }
}

impl Display for Tally {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} answered, {} cut", self.answered, self.cut)?;
        for (reason, count) in &self.refused {
            write!(f, ", {count} {reason}")?;
        }
        write!(f, ", {} failed, {} unreached", self.failed, self.unreached)
    }
}

/// Callers that run through the phases of the measurement.
#[derive(Debug)]
pub struct Load {
    shared: Arc<Shared>,
    stop: CancellationToken,
    callers: JoinSet<Option<()>>,
}

#[derive(Debug)]
struct Shared {
    phase: AtomicUsize,
    tallies: Mutex<Vec<Tally>>,
    key: String,
    /// Addresses that a caller tries when none of its own answers.
    seeds: Vec<SocketAddr>,
}

impl Load {
    /// Starts callers that are spread evenly over the regions.
    pub fn start(callers: usize, key: &str, seeds: Vec<SocketAddr>) -> Self {
        let shared = Arc::new(Shared {
            phase: AtomicUsize::new(0),
            tallies: Mutex::new(vec![Tally::default()]),
            key: key.to_owned(),
            seeds,
        });
        let stop = CancellationToken::new();
        let mut tasks = JoinSet::new();
        let start = Instant::now();
        for number in 0..callers {
            let offset = INTERVAL.mul_f64(number as f64 / callers as f64);
            let caller = Caller {
                shared: Arc::clone(&shared),
                name: format!("10.{}.0.{}", number % 3 + 1, number + 1),
                hosts: Vec::new(),
                expires: start,
                client: None,
                number,
            };
            tasks.spawn(
                stop.clone()
                    .run_until_cancelled_owned(caller.run(start + offset)),
            );
        }
        Self {
            shared,
            stop,
            callers: tasks,
        }
    }

    /// Begins the next phase and returns what callers saw in the former one.
    ///
    /// A request belongs to the phase of its scheduled send; the pause lets those in flight end.
    pub async fn next(&self) -> Tally {
        let former = {
            let mut tallies = self.shared.tallies.lock();
            tallies.push(Tally::default());
            self.shared.phase.fetch_add(1, Ordering::Relaxed)
        };
        time::sleep(Duration::from_millis(300)).await;
        self.shared.tallies.lock()[former].clone()
    }

    /// Ends the callers.
    pub async fn stop(mut self) {
        self.stop.cancel();
        while self.callers.join_next().await.is_some() {}
    }
}

/// One caller.
struct Caller {
    shared: Arc<Shared>,
    name: String,
    hosts: Vec<SocketAddr>,
    expires: Instant,
    client: Option<(SocketAddr, Client)>,
    number: usize,
}

impl Caller {
    async fn run(mut self, mut due: Instant) {
        loop {
            time::sleep_until(due.into()).await;
            let phase = self.shared.phase.load(Ordering::Relaxed);
            self.send(due, phase).await;
            due += INTERVAL;
        }
    }

    /// Sends one request; a connection that is refused is followed by the next host.
    async fn send(&mut self, due: Instant, phase: usize) {
        for _ in 0..4 {
            self.refresh().await;
            let Some((_, client)) = &mut self.client else {
                break;
            };
            let sent = Instant::now();
            let request = Request::builder()
                .uri("/labels/1")
                .header(header::AUTHORIZATION, format!("Bearer {}", self.shared.key))
                .body(Bytes::new())
                .expect("the request is valid");
            let result = client.send(request).await;
            let shared = Arc::clone(&self.shared);
            let mut tallies = shared.tallies.lock();
            let tally = &mut tallies[phase];
            match result {
                Ok(response) => {
                    let header =
                        |name| response.headers().get(name).and_then(|it| it.to_str().ok());
                    if let Some(reason) = header("azurenotch-reason") {
                        *tally.refused.entry(reason.to_owned()).or_default() += 1;
                    } else if response.status().is_success() {
                        tally.answered += 1;
                        tally.last_sent = tally.last_sent.max(Some(sent));
                        let us = u64::try_from(due.elapsed().as_micros()).unwrap_or(LONGEST_US);
                        tally.latency.saturating_record(us);
                    } else {
                        tally.failed += 1;
                    }
                    if header("connection") == Some("close") {
                        self.leave();
                    }
                    return;
                }
                Err(Error::Connect { .. }) => {
                    tally.unreached += 1;
                    self.leave();
                }
                Err(_) => {
                    tally.cut += 1;
                    self.leave();
                    return;
                }
            }
        }
    }

    /// Moves away from the host and looks up again before the next request.
    fn leave(&mut self) {
        if let Some((address, _)) = self.client.take() {
            self.hosts.retain(|host| *host != address);
        }
    }

    /// Looks up when the lifetime is over and connects to the best host that is named.
    async fn refresh(&mut self) {
        if Instant::now() >= self.expires || self.hosts.is_empty() {
            self.look_up().await;
        }
        let stays = self
            .client
            .as_ref()
            .is_some_and(|(address, _)| self.hosts.contains(address));
        if !stays {
            self.client = self.hosts.first().map(|host| {
                let client = Client::new(*host).timeout(TIMEOUT);
                (*host, client)
            });
        }
    }

    /// Asks the present host, the others named before, and then the addresses known from the start.
    async fn look_up(&mut self) {
        let present = self.client.as_ref().map(|(address, _)| *address);
        let seeds = &self.shared.seeds;
        let turned = seeds.iter().cycle().skip(self.number).take(seeds.len());
        let candidates = present.iter().chain(&self.hosts).chain(turned).copied();
        for address in candidates.collect::<Vec<_>>() {
            let Ok(answer) = look_up(address, &self.name).await else {
                continue;
            };
            self.hosts = answer.hosts.iter().map(|host| host.address).collect();
            self.expires = Instant::now() + Duration::from_millis(answer.lifetime_ms);
            if !self.hosts.is_empty() {
                return;
            }
        }
    }
}
