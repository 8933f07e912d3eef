//! `check --entry`.

use super::document::{not_valid, read};
use crate::{answer::Answer, error::Result};
use azurenotch_adapter::document::{Document, Invalid};
use serde_json::json;
use std::path::Path;

/// Checks a configuration of entry hosts, and compares it with a former one.
pub(super) fn check(file: &Path, against: Option<&Path>) -> Result<Answer> {
    let document = match Document::parse(read(file)?.as_bytes()) {
        Ok(document) => document,
        Err(invalid) => return Ok(rejected(file, &invalid)),
    };
    let mut text = format!("{}: hosts adopt the configuration.\n", file.display());
    let findings = document.findings();
    if !findings.is_empty() {
        text.push_str("These entries have no effect, or not the one that they seem to have:\n");
    }
    text.extend(findings.iter().map(|finding| format!("  {finding}\n")));
    let mut json = json!({ "valid": true, "version": document.version(), "findings": findings });
    if let Some(against) = against {
        let former = match Document::parse(read(against)?.as_bytes()) {
            Ok(former) => former,
            Err(invalid) => return Ok(rejected(against, &invalid)),
        };
        let differences = document.differences(&former);
        let (start, end) = match differences.as_slice() {
            [] => ("It does not differ from", "."),
            _ => ("It changes", ":"),
        };
        let line = format!("{start} {}{end}\n", against.display());
        text.push_str(&line);
        let lines = differences.iter();
        text.extend(lines.map(|difference| format!("  {difference}\n")));
        json["differences"] = json!(differences);
    }
    Ok(Answer::new(text, json))
}

fn rejected(file: &Path, invalid: &Invalid) -> Answer {
    let detail = invalid.to_string();
    let text = format!("{}: {detail}\n", file.display());
    not_valid(file, text, vec![json!({ "detail": detail })])
}
