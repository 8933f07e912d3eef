//! `explain`.

use crate::{
    answer::Answer,
    error::{InputSnafu, NoSuchIdSnafu, Result},
    explain::{Log, Story},
};
use snafu::{OptionExt, ResultExt};
use std::io::BufRead;

/// Explains what became of one request.
pub(super) fn run(id: &str, input: impl BufRead) -> Result<Answer> {
    let mut log = Log::default();
    for line in input.split(b'\n') {
        log.read(&String::from_utf8_lossy(&line.context(InputSnafu)?));
    }
    let lines = log.len();
    let story = Story::new(log, id).context(NoSuchIdSnafu { id, lines })?;
    Ok(Answer::new(story.to_string(), &story))
}
