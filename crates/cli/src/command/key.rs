//! `key grant`, `key withdraw` and `key list`.

use crate::{
    answer::Answer,
    client::Client,
    confirm,
    error::{KeyFileSnafu, RandomSnafu, ReadSnafu, Result},
    option::{Key as Command, Wait},
    table::Table,
};
use azurenotch_config::{
    change::Change,
    snapshot::{Key, KeyHash, Snapshot},
};
use azurenotch_wire::id::Workspace;
use serde_json::json;
use snafu::{ResultExt, ensure};
use std::{fs, path::Path};

/// Random bytes of a new key, which is written in hexadecimal.
const NEW_KEY_BYTES: usize = 32;
/// Shortest existing key that is accepted: 128 bits in hexadecimal.
const MIN_KEY_CHARS: usize = 32;
/// Longest existing key that is accepted; it must fit into a request header.
const MAX_KEY_CHARS: usize = 1024;

/// Runs a command on keys.
pub(super) async fn run(client: &Client, command: &Command) -> Result<Answer> {
    match command {
        Command::Grant {
            key_file,
            workspace,
            name,
        } => grant(client, key_file.as_deref(), workspace, name).await,
        Command::Withdraw {
            wait,
            workspace,
            name,
        } => withdraw(client, workspace, name, *wait).await,
        Command::List { workspace } => list(client, workspace.as_ref()).await,
    }
}

async fn grant(
    client: &Client,
    file: Option<&Path>,
    workspace: &Workspace,
    name: &str,
) -> Result<Answer> {
    let key = file.map_or_else(create, read)?;
    let change = Change::GrantKey {
        hash: KeyHash::of(key.as_bytes()),
        workspace: workspace.clone(),
        name: name.to_owned(),
    };
    let version = client.change(&change).await?.version;
    let text = format!("Key {name} of workspace {workspace} is granted in version {version}.\n");
    // The operator already has a key that was read from a file.
    if file.is_some() {
        return Ok(Answer::new(text, json!({ "version": version })));
    }
    let text = format!("{text}The key is shown only this once:\n{key}\n");
    Ok(Answer::new(text, json!({ "version": version, "key": key })))
}

async fn withdraw(
    client: &Client,
    workspace: &Workspace,
    name: &str,
    wait: Wait,
) -> Result<Answer> {
    let change = Change::WithdrawKey {
        workspace: workspace.clone(),
        name: name.to_owned(),
    };
    let version = client.change(&change).await?.version;
    let text = format!("Key {name} of workspace {workspace} is withdrawn in version {version}.");
    Ok(confirm::report(client, text, version, wait).await)
}

async fn list(client: &Client, workspace: Option<&Workspace>) -> Result<Answer> {
    let snapshot = client.get::<Snapshot>("/v1/snapshot").await?;
    let listed = |key: &&Key| workspace.is_none_or(|workspace| key.workspace == *workspace);
    let mut keys = snapshot.keys.values().filter(listed).collect::<Vec<_>>();
    keys.sort_by(|a, b| (&a.workspace, &a.name).cmp(&(&b.workspace, &b.name)));
    if keys.is_empty() {
        return Ok(Answer::new("There are no keys.", &keys));
    }
    let header = Table::new(["workspace", "name", "state"]);
    let table = keys.iter().fold(header, |table, key| {
        let state = if key.withdrawn {
            "withdrawn"
        } else {
            "granted"
        };
        table.row([
            key.workspace.to_string(),
            key.name.clone(),
            state.to_owned(),
        ])
    });
    Ok(Answer::new(table.to_string(), &keys))
}

fn create() -> Result<String> {
    let mut bytes = [0; NEW_KEY_BYTES];
    getrandom::fill(&mut bytes).context(RandomSnafu)?;
    Ok(hex::encode(bytes))
}

/// Reads a key in the syntax of an `authorization` header, without trailing line breaks.
fn read(file: &Path) -> Result<String> {
    let text = fs::read_to_string(file).context(ReadSnafu { path: file })?;
    let key = text.trim_end_matches(['\r', '\n']);
    let plain = key
        .bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || b"-._~+/=".contains(&byte));
    ensure!(
        plain && (MIN_KEY_CHARS..=MAX_KEY_CHARS).contains(&key.len()),
        KeyFileSnafu {
            path: file,
            min: MIN_KEY_CHARS,
            max: MAX_KEY_CHARS
        }
    );
    Ok(key.to_owned())
}
