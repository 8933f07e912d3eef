//! `drain`.

use crate::{answer::Answer, client::Client, confirm, error::Result, option::Wait};
use azurenotch_config::change::Change;
use azurenotch_wire::id::Server;

/// Starts or ends the drain of a backend server.
pub(super) async fn run(
    client: &Client,
    server: &Server,
    draining: bool,
    wait: Wait,
) -> Result<Answer> {
    let server = server.clone();
    let change = Change::Drain {
        server: server.clone(),
        draining,
    };
    let version = client.change(&change).await?.version;
    let text = if draining {
        format!("Backend server {server} takes no new work from version {version}.")
    } else {
        format!("The drain of backend server {server} ends in version {version}.")
    };
    Ok(confirm::report(client, text, version, wait).await)
}
