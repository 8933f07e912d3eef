//! Limits that backend servers name in their answers: what hosts hear, log and count.

use crate::process::state::State;
use azurenotch_core::version::limit::{self, Change, Statement};
use azurenotch_wire::{
    id::{Server, Service},
    time::Instant,
};
use slog::{info, warn};

/// Process of a backend server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Process<'a> {
    pub(crate) service: &'a Service,
    pub(crate) server: &'a Server,
    /// Start of the process.
    pub(crate) incarnation: u64,
}

impl State {
    /// Records what an answer to a request sent at `sent` said about the server's limit.
    pub(crate) fn record_limit(
        &self,
        process: Process<'_>,
        limit: limit::Result<Option<f64>>,
        sent: Instant,
    ) {
        let Process {
            service,
            server,
            incarnation,
        } = process;
        let now = self.now();
        let mut fleets = self.fleets.lock();
        let Some(fleet) = fleets.get_mut(service) else {
            return;
        };
        let placement = &mut fleet.placement;
        let index = placement.find(server);
        let index = index.filter(|index| placement.backend(*index).incarnation == incarnation);
        let Some(index) = index else {
            return;
        };
        let change = match limit {
            Ok(limit) => {
                let received = now;
                let statement = Statement {
                    limit,
                    sent,
                    received,
                };
                placement.observe_limit(now, index, statement)
            }
            Err(error) => {
                if placement.reject_limit(index) {
                    warn!(self.log(), "servers: server named a limit that cannot be read";
                        "server" => %server, "service" => %service, "error" => %error);
                }
                self.metrics
                    .count_server_limit(service.as_str(), "unreadable");
                return;
            }
        };
        drop(fleets);
        if let Some(change) = change {
            self.report_limit(service, server.as_str(), change, "answer");
        }
    }

    /// Logs and counts a change of a server's limit.
    fn report_limit(&self, service: &Service, server: &str, change: Change, source: &str) {
        let event = match change {
            Change::Named(limit) => {
                info!(self.log(), "servers: server named a limit"; "server" => server,
                    "service" => %service, "per-second" => limit, "source" => source);
                "named"
            }
            Change::Ended => {
                info!(self.log(), "servers: limit of server ended"; "server" => server,
                    "service" => %service, "source" => source);
                "ended"
            }
        };
        self.metrics.count_server_limit(service.as_str(), event);
    }
}
