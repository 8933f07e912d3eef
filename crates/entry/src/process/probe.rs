//! Health checks of backend servers that may have become cold unnoticed.

use crate::{
    connection::pool::Pool,
    process::{server_limit::Process, state::State},
    request::head,
};
use azurenotch_wire::{
    id::{Server, Service},
    time::Instant,
};
use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::Full;
use slog::info;
use std::{sync::Arc, time::Duration};
use tokio::{select, time::sleep, time::timeout};
use tokio_util::sync::CancellationToken;

/// Time between two rounds of health checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a health check, and of its connection.
const CHECK_TIMEOUT: Duration = Duration::from_millis(800);
/// Subtracted from `usize::MAX` for the connection limit of health checks, in effect no limit.
///
/// Health checks may thus open connections beyond those for requests.
const CONNECTION_LIMIT_MARGIN: usize = 1;

/// Until `stop` is cancelled, checks the servers whose cache state is uncertain.
pub async fn run(state: Arc<State>, stop: CancellationToken) {
    loop {
        select! {
            () = stop.cancelled() => return,
            () = sleep(CHECK_INTERVAL) => {}
        }
        let checks: Vec<Check> = due_checks(&state);
        for check in checks {
            tokio::spawn(check.run(Arc::clone(&state)));
        }
    }
}

/// Health check of one server.
#[derive(Debug)]
struct Check {
    service: Service,
    server: Server,
    /// Start of the server's process.
    incarnation: u64,
    path: String,
    pool: Arc<Pool>,
}

fn due_checks(state: &State) -> Vec<Check> {
    let now = state.now();
    let mut checks = Vec::new();
    for (service, fleet) in state.fleets.lock().iter_mut() {
        let awaited = fleet.placement.backends().filter(|(index, backend)| {
            let paused = fleet.placement.is_paused(now, *index);
            fleet.placement.awaits_health_check(*index) && !backend.draining && !paused
        });
        let awaited: Vec<usize> = awaited.map(|(index, _)| index).collect();
        for index in awaited {
            if let Some(pool) = fleet.pool(index)
                && fleet.placement.take_health_check(now, index)
            {
                let backend = fleet.placement.backend(index);
                checks.push(Check {
                    service: service.clone(),
                    server: backend.server.clone(),
                    incarnation: backend.incarnation,
                    path: fleet.health_path.clone(),
                    pool,
                });
            }
        }
    }
    checks
}

impl Check {
    async fn run(self, state: Arc<State>) {
        let sent = state.now();
        let Ok(Some((code, headers))) = timeout(CHECK_TIMEOUT, self.send(&state)).await else {
            return;
        };
        let process = Process {
            service: &self.service,
            server: &self.server,
            incarnation: self.incarnation,
        };
        let same = observe(&state, process, &headers, sent);
        if code != StatusCode::OK || !same {
            return;
        }
        let protocol = state.dependencies.format.protocol();
        let cold_ms = headers.get(&protocol.cold);
        let cold_ms = cold_ms.and_then(|value| value.to_str().ok()?.parse().ok());
        let cold = Duration::from_millis(cold_ms.unwrap_or_default());
        let now = state.now();
        if let Some(fleet) = state.fleets.lock().get_mut(&self.service)
            && let Some(index) = fleet.placement.find(&self.server)
        {
            fleet.placement.confirm_health(index);
            fleet.placement.set_cold(now, index, cold);
        }
        if !cold.is_zero() {
            state.place_cold_servers(&[(self.service.clone(), self.server.clone())]);
        }
        info!(state.log(), "servers: health check passed"; "server" => %self.server,
            "cold-ms" => cold.as_millis() as u64);
    }

    async fn send(&self, state: &State) -> Option<(StatusCode, HeaderMap)> {
        let now = state.now();
        let mut lease = match self.pool.reuse(now, Duration::from_secs(1)) {
            Some(lease) => lease,
            None => self
                .pool
                .connect(now, CHECK_TIMEOUT, usize::MAX - CONNECTION_LIMIT_MARGIN)
                .await
                .ok()?,
        };
        let request = request(&self.path, &self.pool)?;
        let response = lease.send(request).await.ok()?;
        Some((response.status(), response.headers().clone()))
    }
}

/// Returns the request of a health check; `None` if the configured path is none.
pub(crate) fn request(path: &str, pool: &Pool) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = path.parse().ok()?;
    let host = pool.address().to_string();
    request
        .headers_mut()
        .insert(header::HOST, host.parse().ok()?);
    Some(request)
}

/// Records what a process says about itself in the answer to a health check sent at `sent`.
///
/// Returns whether the answer is from its server.
pub(crate) fn observe(
    state: &State,
    process: Process<'_>,
    headers: &HeaderMap,
    sent: Instant,
) -> bool {
    let protocol = state.dependencies.format.protocol();
    let name = headers.get(&protocol.server);
    if name.is_none_or(|it| it.as_bytes() != process.server.as_str().as_bytes()) {
        return false;
    }
    if head::is_leaving(headers, protocol) {
        state.record_leaving(process.service, process.server, process.incarnation);
    }
    // Health checks may lack the header, so that only a limit in them is news.
    let limit = head::limit(headers, protocol);
    if limit != Ok(None) {
        state.record_limit(process, limit, sent);
    }
    true
}
