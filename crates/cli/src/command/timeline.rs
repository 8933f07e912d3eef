//! `timeline`.

use crate::{
    answer::Answer,
    client::{Client, READ_TIMEOUT},
    confirm,
    error::{Result, WriteSnafu},
    option::Timeline,
    page,
    table::Table,
};
use azurenotch_core::process::timeline::merge;
use azurenotch_wire::{
    event::{Event, Kind},
    id::{Host, Service, Workspace},
    operator::{Events, Peer},
};
use serde::Serialize;
use snafu::ResultExt;
use std::{
    fs,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::time::Instant;

/// Longest time for reading the events of all hosts; a fleet has thousands of hosts.
const COLLECT_TIMEOUT: Duration = Duration::from_mins(1);

/// Merged events and the hosts that did not answer.
#[derive(Debug, Serialize)]
pub(super) struct Report {
    pub(super) events: Vec<Event>,
    unreachable: Vec<Host>,
}

/// Reads and merges the events of all hosts, or only those of `only`.
pub(super) async fn collect(client: &Client, only: Option<&Host>) -> Result<Report> {
    let mut peers = client.get::<Vec<Peer>>("/v1/hosts").await?;
    peers.retain(|peer| only.is_none_or(|host| peer.host == *host));
    let end = Instant::now() + COLLECT_TIMEOUT;
    let answers = confirm::get_all::<Events>(peers, "/v1/events?after=0", READ_TIMEOUT, end).await;
    let mut unreachable = Vec::new();
    let mut lists = Vec::new();
    for (peer, answer) in answers {
        match answer {
            Ok(events) => lists.push(events.events),
            Err(_) => unreachable.push(peer.host),
        }
    }
    Ok(Report {
        events: merge(lists),
        unreachable,
    })
}

/// Merges the events of all hosts and shows those that pass the filters.
pub(super) async fn run(client: &Client, options: &Timeline) -> Result<Answer> {
    let mut report = collect(client, options.host_name.as_ref()).await?;
    let since = since(options.since_seconds);
    report
        .events
        .retain(|event| event.stamp.wall_ms >= since && passes(event, options));
    let Report {
        events,
        unreachable,
    } = &report;
    let mut text = String::new();
    if let Some(path) = &options.html {
        let html = page::html(events, unreachable);
        fs::write(path, html).context(WriteSnafu { path })?;
        text = format!(
            "{} events are written to {}.\n",
            events.len(),
            path.display()
        );
    } else if events.is_empty() {
        text.push_str("There are no such events.\n");
    } else {
        text.push_str(&table(events).to_string());
    }
    let missing = unreachable.iter();
    text.extend(
        missing.map(|host| format!("Host {host} does not answer; its events are missing.\n")),
    );
    Ok(Answer::new(text, report))
}

fn table(events: &[Event]) -> Table {
    let header = Table::new(["time (UTC)", "host", "event"]);
    events.iter().fold(header, |table, event| {
        table.row([
            page::time(event.stamp),
            event.host.to_string(),
            event.kind.to_string(),
        ])
    })
}

/// Returns the earliest wall clock to show, in Unix milliseconds; 0 shows all.
fn since(seconds: Option<u64>) -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |now| now.as_millis() as u64);
    seconds.map_or(0, |seconds| {
        now.saturating_sub(seconds.saturating_mul(1000))
    })
}

fn passes(event: &Event, options: &Timeline) -> bool {
    let workspace = options.workspace.as_ref().map(Workspace::as_str);
    let service = options.service.as_ref().map(Service::as_str);
    workspace.is_none_or(|name| concerns(&event.kind, "workspace", name))
        && service.is_none_or(|name| concerns(&event.kind, "service", name))
}

/// Returns whether an event names the workspace or service, as a field or in the text of a change.
fn concerns(kind: &Kind, field: &str, name: &str) -> bool {
    if let Kind::Accepted { change, .. } = kind {
        let words = change
            .split_whitespace()
            .map(|word| word.trim_end_matches(':'))
            .collect::<Vec<_>>();
        return words.windows(2).any(|pair| pair == [field, name]);
    }
    serde_json::to_value(kind).is_ok_and(|kind| kind[field] == name)
}
