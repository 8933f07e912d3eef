//! `check`, `diff` and `apply`.

use super::timeline;
use crate::{
    answer::Answer,
    client::Client,
    confirm,
    error::{Error, InputSnafu, InvalidSnafu, ReadSnafu, Result},
    option::Wait,
};
use azurenotch_config::{
    change::Change,
    diff::{Difference, diff as differences},
    document::Document,
    ini::Invalid,
    setting::Setting,
    snapshot::Snapshot,
};
use azurenotch_wire::{event::Kind, version::Version};
use serde::Serialize;
use serde_json::{Value, json};
use snafu::ResultExt;
use std::{fs, io, path::Path};

/// Checks a document or the settings of a daemon.
pub(super) fn check(file: &Path, settings: bool) -> Result<Answer> {
    let text = read(file)?;
    let (subject, result) = if settings {
        ("settings are", Setting::parse(&text).map(drop))
    } else {
        ("document is", Document::parse(&text).map(drop))
    };
    Ok(match result {
        Ok(()) => Answer::new(
            format!("{}: the {subject} valid.", file.display()),
            json!({ "valid": true, "errors": [] }),
        ),
        Err(invalid) => rejected(file, &invalid),
    })
}

/// Shows what a document would change.
pub(super) async fn diff(client: &Client, file: &Path) -> Result<Answer> {
    let document = match Document::parse(&read(file)?) {
        Ok(document) => document,
        Err(invalid) => return Ok(rejected(file, &invalid)),
    };
    let snapshot = client.get::<Snapshot>("/v1/snapshot").await?;
    Ok(Comparison::new(&snapshot, &document, file).into())
}

/// Replaces the document in force.
pub(super) async fn apply(
    client: &Client,
    file: &Path,
    expect: Version,
    wait: Wait,
) -> Result<Answer> {
    let text = read(file)?;
    let document = match Document::parse(&text) {
        Ok(document) => document,
        Err(invalid) => return Ok(rejected(file, &invalid)),
    };
    match client.change(&Change::Apply { text, expect }).await {
        Ok(accepted) => {
            let version = accepted.version;
            let text = format!("{} is accepted as version {version}.", file.display());
            Ok(confirm::report(client, text, version, wait).await)
        }
        Err(error @ Error::Conflict { .. }) => {
            // The conflict is reported even if the comparison cannot be shown.
            let Ok(snapshot) = client.get::<Snapshot>("/v1/snapshot").await else {
                return Err(error);
            };
            let mut comparison = Comparison::new(&snapshot, &document, file);
            comparison.changes = changes_since(client, expect).await.unwrap_or_default();
            Ok(Answer::from(comparison).failure(Some(error)))
        }
        Err(error) => Err(error),
    }
}

/// Accepted change, as the timeline describes it.
#[derive(Debug, Serialize)]
struct Accepted {
    version: Version,
    change: String,
}

/// Returns the changes accepted after `expect` that the hosts still hold in their timelines.
async fn changes_since(client: &Client, expect: Version) -> Result<Vec<Accepted>> {
    let events = timeline::collect(client, None).await?.events;
    let changes = events.into_iter().filter_map(|event| match event.kind {
        Kind::Accepted { version, change } if version > expect => {
            // The text comes from a host; a control character could move the cursor of the
            // operator's terminal.
            let change = change.replace(char::is_control, " ");
            Some(Accepted { version, change })
        }
        _ => None,
    });
    Ok(changes.collect())
}

/// Differences between the document in force and a file.
#[derive(Debug, Serialize)]
struct Comparison<'a> {
    version: Version,
    differences: Vec<Difference>,
    /// Accepted changes after the expected version; empty unless there is a conflict.
    changes: Vec<Accepted>,
    #[serde(skip)]
    file: &'a Path,
}

impl<'a> Comparison<'a> {
    fn new(snapshot: &Snapshot, document: &Document, file: &'a Path) -> Self {
        Self {
            version: snapshot.version,
            differences: differences(&snapshot.document, document),
            changes: Vec::new(),
            file,
        }
    }
}

impl From<Comparison<'_>> for Answer {
    fn from(comparison: Comparison<'_>) -> Self {
        let (version, file) = (comparison.version, comparison.file.display());
        let mut text = if comparison.differences.is_empty() {
            format!("{file} does not differ from version {version}.\n")
        } else {
            format!("{file} changes version {version}:\n")
        };
        let lines = comparison.differences.iter();
        text.extend(lines.map(|difference| format!("  {difference}\n")));
        if !comparison.changes.is_empty() {
            text.push_str("Changes that were accepted after the expected version:\n");
        }
        let lines = comparison.changes.iter();
        text.extend(lines.map(|accepted| format!("  {}  {}\n", accepted.version, accepted.change)));
        Self::new(text, comparison)
    }
}

fn rejected(file: &Path, invalid: &Invalid) -> Answer {
    let path = file.display();
    let lines = invalid.errors.iter().map(|error| {
        let (line, kind) = (error.line, &error.kind);
        format!("{path}:{line}: {kind}\n")
    });
    let errors = invalid.errors.iter().map(|error| {
        let detail = error.kind.to_string();
        json!({ "line": error.line, "detail": detail })
    });
    not_valid(file, lines.collect(), errors.collect())
}

/// Returns the answer about a file with errors, which are `text` for people.
pub(super) fn not_valid(file: &Path, text: String, errors: Vec<Value>) -> Answer {
    let failure = InvalidSnafu {
        path: file,
        errors: errors.len(),
    };
    let json = json!({ "valid": false, "errors": errors });
    Answer::new(text, json).failure(failure.fail::<()>().err())
}

/// Reads a file, or the standard input for `-`.
pub(super) fn read(file: &Path) -> Result<String> {
    if file == Path::new("-") {
        return io::read_to_string(io::stdin()).context(InputSnafu);
    }
    fs::read_to_string(file).context(ReadSnafu { path: file })
}
