//! Callers that choose hosts by look-ups and send requests on a fixed schedule.

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
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
/// Timeout of a request, longer than the timeout of the route.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);
/// Largest latency that the histogram records.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Results that callers counted in one phase.
#[derive(Debug, Clone)]
pub struct Tally {
    /// Requests that were answered by a backend server.
    pub answered: u64,
    /// Refusals by reason.
    pub refused: BTreeMap<String, u64>,
    /// Answers with an error status that are not refusals.
    pub failed: u64,
    /// Requests that were sent and got no complete answer.
    pub cut: u64,
    /// Attempts whose connection was refused, so that nothing was sent.
    pub unreached: u64,
    /// Latency from the scheduled send time to the answer, in microseconds.
    pub latency: Histogram<u64>,
    /// Latest send time of an answered request.
    pub last_sent: Option<Instant>,
}

impl Default for Tally {
    fn default() -> Self {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3);
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

/// Callers that run during all phases of the measurement.
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
    /// Addresses that a caller tries when none of the hosts from its look-ups answers.
    seeds: Vec<SocketAddr>,
}

impl Load {
    /// Starts callers that are distributed evenly over the regions.
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
            let offset = REQUEST_INTERVAL.mul_f64(number as f64 / callers as f64);
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

    /// Starts the next phase and returns the results of the previous one.
    ///
    /// A request belongs to the phase in which it was due to be sent; the pause lets requests in
    /// flight complete.
    pub async fn next(&self) -> Tally {
        let previous = {
            let mut tallies = self.shared.tallies.lock();
            tallies.push(Tally::default());
            self.shared.phase.fetch_add(1, Ordering::Relaxed)
        };
        time::sleep(Duration::from_millis(300)).await;
        self.shared.tallies.lock()[previous].clone()
    }

    /// Stops the callers.
    pub async fn stop(mut self) {
        self.stop.cancel();
        while self.callers.join_next().await.is_some() {}
    }
}

/// One caller with its look-up result and connection.
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
            due += REQUEST_INTERVAL;
        }
    }

    /// Sends one request; if a connection cannot be opened, tries the next of at most four hosts.
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
                        let us = u64::try_from(due.elapsed().as_micros()).unwrap_or(MAX_LATENCY_US);
                        tally.latency.saturating_record(us);
                    } else {
                        tally.failed += 1;
                    }
                    if header("connection") == Some("close") {
                        self.disconnect();
                    }
                    return;
                }
                Err(Error::Connect { .. }) => {
                    tally.unreached += 1;
                    self.disconnect();
                }
                Err(_) => {
                    tally.cut += 1;
                    self.disconnect();
                    return;
                }
            }
        }
    }

    /// Drops the connection and removes the host from the look-up result.
    fn disconnect(&mut self) {
        if let Some((address, _)) = self.client.take() {
            self.hosts.retain(|host| *host != address);
        }
    }

    /// Repeats the look-up when it has expired and connects to its first host.
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
                let client = Client::new(*host).timeout(REQUEST_TIMEOUT);
                (*host, client)
            });
        }
    }

    /// Looks up at the current host, the other hosts of the last look-up, and then the seed addresses.
    async fn look_up(&mut self) {
        let current = self.client.as_ref().map(|(address, _)| *address);
        let seeds = &self.shared.seeds;
        let rotated_seeds = seeds.iter().cycle().skip(self.number).take(seeds.len());
        let candidates = current
            .iter()
            .chain(&self.hosts)
            .chain(rotated_seeds)
            .copied();
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
