//! Measures how late the tasks of this process run.
//!
//! A request waits for its task after it has reached the host. Callers see this time, while the
//! latency of answers does not include it.

use crate::process::state::State;
use slog::{info, warn};
use std::{sync::Arc, time::Duration};
use tokio::{
    select,
    task::yield_now,
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

/// Time between two measurements.
const INTERVAL: Duration = Duration::from_millis(200);
/// Lag from which the host reports that it falls behind.
const LATE: Duration = Duration::from_millis(250);
/// Lag below which it reports that it has caught up.
const ON_TIME: Duration = Duration::from_millis(100);

/// Measures the lag until `stop` is cancelled.
pub async fn run(state: Arc<State>, stop: CancellationToken) {
    let mut late_since: Option<Instant> = None;
    let mut longest = Duration::ZERO;
    loop {
        let start = Instant::now();
        select! {
            () = stop.cancelled() => return,
            () = sleep(INTERVAL) => {}
        }
        // Returns after all tasks that are ready have run once.
        yield_now().await;
        let lag = start.elapsed().saturating_sub(INTERVAL);
        state.metrics.lag.set(lag.as_secs_f64());
        longest = longest.max(lag);
        match late_since {
            None if lag >= LATE => {
                late_since = Some(start);
                longest = lag;
                warn!(state.log(), "host: tasks run late"; "lag-ms" => lag.as_millis() as u64);
            }
            Some(since) if lag < ON_TIME => {
                late_since = None;
                info!(state.log(), "host: tasks run on time again";
                    "longest-lag-ms" => longest.as_millis() as u64,
                    "ms" => since.elapsed().as_millis() as u64);
            }
            _ => {}
        }
    }
}
