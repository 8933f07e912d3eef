//! `explain`.

use crate::{
    answer::Answer,
    error::{InputSnafu, NoSuchIdSnafu, Result},
    explain::{Explanation, Log},
};
use snafu::{OptionExt, ResultExt};
use std::io::BufRead;

/// Explains one request from the logs in `input`.
pub(super) fn run(id: &str, input: impl BufRead) -> Result<Answer> {
    let mut log = Log::default();
    for line in input.split(b'\n') {
        log.read(&String::from_utf8_lossy(&line.context(InputSnafu)?));
    }
    let lines = log.len();
    let explanation = Explanation::new(log, id).context(NoSuchIdSnafu { id, lines })?;
    Ok(Answer::new(explanation.to_string(), &explanation))
}
