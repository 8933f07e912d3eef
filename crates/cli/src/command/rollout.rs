//! `move start`, `move status` and `move cancel`.

use crate::{
    answer::Answer,
    client::Client,
    error::{NoMoveSnafu, Result},
    option::Rollout,
    table::Table,
};
use azurenotch_config::{
    change::Change,
    diff::format_duration,
    snapshot::{Move, Snapshot},
};
use azurenotch_wire::id::Service;
use serde_json::json;
use snafu::ensure;
use std::collections::BTreeMap;

/// Runs a command on version moves.
pub(super) async fn run(client: &Client, command: &Rollout) -> Result<Answer> {
    match command {
        Rollout::Start {
            within,
            service,
            to,
        } => {
            let change = Change::StartMove {
                service: service.clone(),
                to: to.clone(),
                deadline: *within,
            };
            let version = client.change(&change).await?.version;
            let text = format!(
                "Service {service} moves to version {to} within {}, from configuration {version}.",
                format_duration(*within)
            );
            Ok(Answer::new(text, json!({ "version": version })))
        }
        Rollout::Cancel { service } => {
            let change = Change::CancelMove {
                service: service.clone(),
            };
            let version = client.change(&change).await?.version;
            let text =
                format!("The move of service {service} is cancelled in configuration {version}.");
            Ok(Answer::new(text, json!({ "version": version })))
        }
        Rollout::Status { service } => status(client, service.as_ref()).await,
    }
}

async fn status(client: &Client, service: Option<&Service>) -> Result<Answer> {
    let snapshot = client.get::<Snapshot>("/v1/snapshot").await?;
    let mut moves = snapshot.moves;
    if let Some(service) = service {
        ensure!(
            moves.contains_key(service),
            NoMoveSnafu {
                service: service.to_string()
            }
        );
        moves.retain(|name, _| name == service);
    }
    if moves.is_empty() {
        return Ok(Answer::new("There are no version moves.", &moves));
    }
    Ok(Answer::new(table(&moves).to_string(), &moves))
}

fn table(moves: &BTreeMap<Service, Move>) -> Table {
    let header = [
        "service", "move", "from", "to", "state", "share", "within", "note",
    ];
    moves
        .iter()
        .fold(Table::new(header), |table, (service, entry)| {
            table.row([
                service.to_string(),
                entry.serial.to_string(),
                entry.from.to_string(),
                entry.to.to_string(),
                entry.state.to_string(),
                format!("{:.1} %", entry.share * 100.0),
                format_duration(entry.deadline),
                entry.note.clone(),
            ])
        })
}
