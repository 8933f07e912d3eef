//! Requests under which servers crash: what this host sees, hears and logs of them.

use crate::{
    process::{ledger, state::State},
    request::attempt::Target,
};
use azurenotch_core::{
    process::suspect::{self, Event, News, Process, Row},
    request::identity::Identity,
};
use azurenotch_wire::{
    hash::hash32,
    id::{Host, Release, Service},
    time::Instant,
};
use slog::{info, warn};
use std::sync::Arc;

/// Sender of what the store tells; hashes of hosts' names are other numbers.
const STORE: u32 = 0;

/// Run of a request.
#[derive(Debug)]
pub(crate) struct Run {
    /// Id of the request as sent by the caller, for logs.
    pub(crate) id: String,
    pub(crate) identity: Identity,
    /// Generations of crashes that were known when it began.
    pub(crate) generation: u8,
    pub(crate) began: Instant,
    /// Whether its caller had left when it ended.
    pub(crate) is_abandoned: bool,
}

/// Returns the process of a server as the other hosts know it.
pub(super) fn process(target: &Target) -> Process {
    Process {
        server: hash32(target.server.as_str()),
        incarnation: target.incarnation,
        software: software(&target.service, &target.release),
    }
}

/// Returns the hash of what a server runs: its service and version.
pub(crate) fn software(service: &Service, release: &Release) -> u32 {
    hash32(&format!("{service}/{release}"))
}

impl State {
    /// Records that a server crashed while it ran a request, and tells the other hosts.
    pub(crate) fn record_crash(self: &Arc<Self>, run: &Run, target: &Target) {
        let mut process = process(target);
        if run.is_abandoned {
            process.software = suspect::without_caller(process.software);
        }
        let now = self.now();
        let mut suspects = self.suspects.lock();
        let event = suspects.crash(now, run.identity, process, run.generation);
        let (crashes, generation) = suspects.crashes(run.identity);
        drop(suspects);
        warn!(self.log(), "suspects: server crashed while it ran the request"; "id" => &run.id,
            "request" => %run.identity, "server" => %target.server, "service" => %target.service,
            "version" => %target.release, "caller-left" => run.is_abandoned, "crashes" => crashes,
            "generation" => generation);
        if let Some(event) = event {
            self.report_suspect(run.identity, event, "answer");
            self.gossip_wakeup.notify_one();
        }
        if event == Some(Event::Confirmed) {
            self.write_soon(run.identity);
        }
    }

    /// Records a whole answer, which shows that the request does not crash the server.
    pub(crate) fn record_answer(self: &Arc<Self>, run: &Run, target: &Target) {
        let identity = run.identity;
        let software = software(&target.service, &target.release);
        let now = self.now();
        let mut suspects = self.suspects.lock();
        let was_rejected = suspects.is_confirmed(identity);
        let event = suspects.answer(now, identity, software, run.began);
        let is_rejected = suspects.is_confirmed(identity);
        drop(suspects);
        if was_rejected && !is_rejected {
            self.write_soon(identity);
        }
        if let Some(event) = event {
            self.report_suspect(identity, event, "answer");
            self.gossip_wakeup.notify_one();
        }
    }

    /// Records that a server outlived a run whose caller had left.
    pub(super) fn record_outlived(&self, identity: Identity, software: u32) {
        let event = self.suspects.lock().outlive(self.now(), identity, software);
        if let Some(event) = event {
            self.report_suspect(identity, event, "outlived");
            self.gossip_wakeup.notify_one();
        }
    }

    /// Ends the claim of a run, so that the request may run elsewhere.
    pub(crate) fn release_claim(&self, identity: Identity) {
        if self.suspects.lock().release(self.now(), identity) {
            self.gossip_wakeup.notify_one();
        }
    }

    /// Takes in what another host tells of suspected requests.
    pub(super) fn receive_suspects(&self, now: Instant, host: &Host, news: &News) {
        if news.is_empty() {
            return;
        }
        let sender = hash32(host.as_str());
        let events = self.suspects.lock().receive(now, sender, news);
        for (identity, event) in events {
            self.report_suspect(identity, event, "peer");
        }
    }

    /// Takes over rejected requests from the store.
    pub(super) fn restore_rejections(self: &Arc<Self>, now: Instant, rows: Vec<Row>) {
        for Row { report, age } in rows {
            let identity = report.identity;
            if age >= suspect::MAX_MEMORY {
                self.write_soon(identity);
                continue;
            }
            let news = News {
                records: vec![report.aged(age)],
                cleared: Vec::new(),
            };
            let events = self.suspects.lock().receive(now, STORE, &news);
            for (identity, event) in events {
                self.report_suspect(identity, event, "store");
            }
        }
    }

    /// Writes to the store whether a request is rejected; the ledger repeats it if it fails.
    fn write_soon(self: &Arc<Self>, identity: Identity) {
        let state = Arc::clone(self);
        tokio::spawn(async move {
            let is_rejected = state.suspects.lock().is_confirmed(identity);
            // The error is logged, and the ledger finds the difference.
            let _ = if is_rejected {
                ledger::keep(&state, identity).await
            } else {
                ledger::forget(&state, identity).await
            };
        });
    }

    /// Forgets what is too old, and updates the metrics.
    pub(super) fn sweep_suspects(&self, now: Instant) {
        let mut suspects = self.suspects.lock();
        suspects.sweep(now);
        let (suspected, confirmed) = suspects.counts();
        drop(suspects);
        self.metrics.set_suspects(suspected, confirmed);
        let fleets = self.fleets.lock();
        self.crash_checks.lock().retain(|(server, incarnation), _| {
            fleets.values().any(|fleet| {
                let index = fleet.placement.find(server);
                index
                    .is_some_and(|index| fleet.placement.backend(index).incarnation == *incarnation)
            })
        });
    }

    fn report_suspect(&self, identity: Identity, event: Event, source: &str) {
        let name = match event {
            Event::Suspected { .. } => "suspected",
            Event::Confirmed => "confirmed",
            Event::Cleared => "cleared",
        };
        self.metrics.count_suspect(name);
        match event {
            // Each crash cuts off many requests that harm nobody.
            Event::Suspected { crashes: 1, .. } if source == "peer" => {}
            Event::Suspected {
                crashes,
                generation,
            } => info!(self.log(), "suspects: request suspected"; "request" => %identity,
                "crashes" => crashes, "generation" => generation, "source" => source),
            Event::Confirmed => warn!(self.log(), "suspects: request confirmed";
                "request" => %identity, "source" => source),
            Event::Cleared => info!(self.log(), "suspects: request cleared";
                "request" => %identity, "source" => source),
        }
    }
}
