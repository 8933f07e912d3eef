//! Limits that backend servers name in their answers: what hosts hear, log and count.

use crate::process::{
    message::{LimitReport, Limits},
    state::State,
};
use azurenotch_core::{
    process::senders::{Place, Roster},
    version::{
        limit::{self, Change, Report, Statement, max_senders},
        placement::Placement,
    },
};
use azurenotch_wire::{
    Map, Set,
    hash::{hash32, hash64},
    id::{Region, Server, Service},
    time::Instant,
};
use slog::{info, warn};
use std::{sync::atomic::Ordering, time::Duration};

/// Time for which a host tells the others what it heard about a limit.
const MAX_NEWS_AGE: Duration = Duration::from_secs(3);
/// Maximum number of limits that one message contains.
const MAX_REPORTS_PER_ROUND: usize = 40;

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
        match limit {
            Ok(None) if !self.has_limits.load(Ordering::Relaxed) => return,
            Ok(None) => {}
            _ => self.has_limits.store(true, Ordering::Relaxed),
        }
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
                placement.hear_limit(now, index, statement)
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
            self.report_limit(service, server, change, "answer");
            self.update_limit_senders_of(now, &[(service.clone(), server.clone())]);
        }
    }

    /// Takes in what another host heard about limits.
    ///
    /// `echoed` is when this host sent the message that the other one had received last.
    pub(super) fn receive_limits(&self, now: Instant, echoed: Instant, reports: &[LimitReport]) {
        if reports.is_empty() {
            return;
        }
        self.has_limits.store(true, Ordering::Relaxed);
        let mut changes = Vec::new();
        let mut fleets = self.fleets.lock();
        for report in reports {
            let LimitReport {
                server,
                incarnation,
                report,
            } = *report;
            let Some(statement) = report.statement(now, echoed) else {
                continue;
            };
            for (service, fleet) in fleets.iter_mut() {
                let placement = &mut fleet.placement;
                let change = placement.receive_limit(now, server, incarnation, statement);
                changes.extend(
                    change.map(|(server, change)| (service.clone(), server.clone(), change)),
                );
            }
        }
        drop(fleets);
        if changes.is_empty() {
            return;
        }
        for (service, server, change) in &changes {
            self.report_limit(service, server, *change, "peer");
        }
        let servers = changes.into_iter();
        let servers: Vec<_> = servers
            .map(|(service, server, _)| (service, server))
            .collect();
        self.update_limit_senders_of(now, &servers);
    }

    /// Returns what this host heard about limits, for the other hosts.
    pub(super) fn limit_news(&self, now: Instant) -> Limits {
        let fleets = self.fleets.lock();
        let news = fleets
            .values()
            .flat_map(|fleet| fleet.placement.limit_news(now, MAX_NEWS_AGE));
        let reports = news.map(|(backend, statement)| LimitReport {
            server: hash32(backend.server.as_str()),
            incarnation: backend.incarnation,
            report: Report::new(now, statement),
        });
        Limits {
            reports: reports.take(MAX_REPORTS_PER_ROUND).collect(),
        }
    }

    /// Recomputes which hosts share the limit of each backend server that has named one.
    pub(super) fn update_limit_senders(&self, now: Instant) {
        let mut roster = None;
        for (service, fleet) in self.fleets.lock().iter_mut() {
            let limited = fleet.placement.limited(now);
            let limited: Vec<usize> = limited.map(|(index, ..)| index).collect();
            if limited.is_empty() {
                self.metrics.set_limited_servers(service.as_str(), 0, 0.0);
                continue;
            }
            let roster = roster.get_or_insert_with(|| self.serving_hosts());
            self.share_limits(now, roster, &mut fleet.placement, &limited);
            self.measure_limits(now, service, &fleet.placement);
        }
    }

    /// Recomputes which hosts share the limits of these servers, which have just changed.
    fn update_limit_senders_of(&self, now: Instant, changed: &[(Service, Server)]) {
        let roster = self.serving_hosts();
        for (service, fleet) in self.fleets.lock().iter_mut() {
            let placement = &mut fleet.placement;
            let servers = changed.iter().filter(|(of, _)| of == service);
            let indices = servers.filter_map(|(_, server)| placement.find(server));
            let indices: Vec<usize> = indices.collect();
            if !indices.is_empty() {
                self.share_limits(now, &roster, placement, &indices);
                self.measure_limits(now, service, placement);
            }
        }
    }

    /// Sets this host's places among the hosts that share the limits of servers of one service.
    ///
    /// Unreachable hosts keep their part until they count as gone: they may be cut off and still
    /// send. A host that is stopping, or does not know the others yet, has none.
    fn share_limits(
        &self,
        now: Instant,
        roster: &Roster,
        placement: &mut Placement,
        servers: &[usize],
    ) {
        let may_send = self.knows_others(now) && !self.is_leaving();
        let served = placement.backends();
        let served: Set<Region> = served.filter_map(|(_, it)| it.region.clone()).collect();
        let served: Set<&Region> = served.iter().collect();
        let mut candidates: Map<Option<Region>, Vec<u64>> = Map::default();
        for index in servers.iter().copied() {
            let Some(limit) = placement.limit(now, index) else {
                continue;
            };
            let backend = placement.backend(index);
            let hosts = candidates
                .entry(backend.region.clone())
                .or_insert_with(|| roster.candidates(backend.region.as_ref(), &served));
            let hash = hash64(backend.server.as_str());
            let place = Place::new(hash, self.own_hash, hosts, max_senders(limit));
            let is_candidate = hosts.contains(&self.own_hash);
            placement.set_limit_place(now, index, place.filter(|_| may_send && is_candidate));
        }
    }

    fn measure_limits(&self, now: Instant, service: &Service, placement: &Placement) {
        let limited = placement.limited(now).count();
        let part = placement.limit_part(now);
        self.metrics
            .set_limited_servers(service.as_str(), limited, part);
    }

    /// Returns the hosts that serve callers, this one included.
    fn serving_hosts(&self) -> Roster {
        let membership = self.membership.lock();
        let serving = membership.presence.serving();
        let known = serving.filter_map(|host| Some((&membership.peers.get(host)?.region, host)));
        Roster::new(known.chain([(&self.own.region, &self.own.host)]))
    }

    /// Logs and counts a change of a server's limit.
    fn report_limit(&self, service: &Service, server: &Server, change: Change, source: &str) {
        let event = match change {
            Change::Named(limit) => {
                info!(self.log(), "servers: server named a limit"; "server" => %server,
                    "service" => %service, "per-second" => limit, "source" => source);
                "named"
            }
            Change::Ended => {
                info!(self.log(), "servers: limit of server ended"; "server" => %server,
                    "service" => %service, "source" => source);
                "ended"
            }
        };
        self.metrics.count_server_limit(service.as_str(), event);
    }
}
