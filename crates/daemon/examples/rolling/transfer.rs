//! Long downloads with slow readers.

use azurenotch_test_support::caller::Client;
use bytes::Bytes;
use http::{Request, header};
use http_body_util::BodyExt;
use parking_lot::Mutex;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{task::JoinSet, time};

/// Path of a download that is larger than all buffers between the caller and the server.
const DOWNLOAD_PATH: &str = "/catalogues/bytes/268435456";
/// Pause of a caller after each frame of the body.
const READ_PAUSE: Duration = Duration::from_millis(20);

/// Downloads, one at each host.
#[derive(Debug)]
pub struct Transfers {
    started: usize,
    ends: Arc<Mutex<Vec<Instant>>>,
    _tasks: JoinSet<()>,
}

impl Transfers {
    /// Starts a download at each of the hosts.
    pub async fn start(hosts: &[SocketAddr], key: &str) -> Self {
        let ends = Arc::new(Mutex::new(Vec::new()));
        let mut tasks = JoinSet::new();
        let mut started = 0;
        for host in hosts {
            let mut client = Client::new(*host);
            let request = Request::builder()
                .uri(DOWNLOAD_PATH)
                .header(header::AUTHORIZATION, format!("Bearer {key}"))
                .body(Bytes::new())
                .expect("the request is valid");
            let Ok(response) = client.start(request).await else {
                continue;
            };
            if !response.status().is_success() {
                continue;
            }
            started += 1;
            let ends = Arc::clone(&ends);
            tasks.spawn(async move {
                let mut body = response.into_body();
                while let Some(Ok(_)) = body.frame().await {
                    time::sleep(READ_PAUSE).await;
                }
                ends.lock().push(Instant::now());
                drop(client);
            });
        }
        Self {
            started,
            ends,
            _tasks: tasks,
        }
    }

    /// Returns the number of downloads that have not ended.
    pub fn running(&self) -> usize {
        self.started - self.ends.lock().len()
    }

    /// Returns the time from `since` to the end of the last download, once all have ended.
    pub fn last_end(&self, since: Instant) -> Option<Duration> {
        let ends = self.ends.lock();
        (ends.len() == self.started).then(|| {
            let last = ends.iter().max().copied().unwrap_or(since);
            last.saturating_duration_since(since)
        })
    }
}
