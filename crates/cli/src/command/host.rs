//! `status` and `hosts`.

use crate::{answer::Answer, client::Client, error::Result, table::Table};
use azurenotch_wire::{
    operator::{Peer, Status},
    version::Version,
};

/// Shows the state of one host.
pub(super) async fn status(client: &Client) -> Result<Answer> {
    let status = client.get::<Status>("/v1/status").await?;
    let contact = match status.store_contact_ms {
        Some(age) => format!("{age} ms ago"),
        None => "none yet".to_owned(),
    };
    let roles = match status.roles.as_slice() {
        [] => "none".to_owned(),
        roles => roles.join(", "),
    };
    let table = Table::new(["field", "value"]);
    let rows = [
        ("host", status.host.to_string()),
        ("incarnation", status.incarnation.to_string()),
        ("data centre", status.data_centre.to_string()),
        ("state", status.state.to_string()),
        ("version", status.version.to_string()),
        ("store contact", contact),
        ("in flight", status.in_flight.to_string()),
        ("roles", roles),
    ];
    let table = rows.into_iter().fold(table, |table, (name, value)| {
        table.row([name.to_owned(), value])
    });
    Ok(Answer::new(table.to_string(), &status))
}

/// Lists the hosts as one host sees them.
pub(super) async fn hosts(client: &Client) -> Result<Answer> {
    let hosts = client.get::<Vec<Peer>>("/v1/hosts").await?;
    let latest = hosts.iter().map(|host| host.version).max();
    let behind = |version: Version| Some(version) < latest;
    let header = [
        "host",
        "data centre",
        "state",
        "version",
        "callers",
        "operators",
    ];
    let table = hosts.iter().fold(Table::new(header), |table, host| {
        let mark = if behind(host.version) {
            " (behind)"
        } else {
            ""
        };
        table.row([
            host.host.to_string(),
            host.data_centre.to_string(),
            host.state.to_string(),
            format!("{}{mark}", host.version),
            host.address.to_string(),
            host.operator.to_string(),
        ])
    });
    Ok(Answer::new(table.to_string(), &hosts))
}
