//! Output and exit code of a command.

use crate::error::Error;
use serde::Serialize;
use serde_json::Value;
use std::{
    io::{self, Write},
    process::ExitCode,
};

/// Output of a command for standard output, and its failure if it failed.
#[derive(Debug, Default)]
pub struct Answer {
    /// Output for people; empty if there is none.
    pub text: String,
    /// The same output as JSON; null if there is none.
    pub json: Value,
    /// Failure, which goes to standard error and sets the exit code.
    pub failure: Option<Error>,
}

impl Answer {
    /// Creates the answer of a successful command.
    ///
    /// `json` must have string keys and finite numbers; a value that cannot be encoded becomes null.
    pub fn new(text: impl Into<String>, json: impl Serialize) -> Self {
        Self {
            text: text.into(),
            json: serde_json::to_value(json).unwrap_or_default(),
            failure: None,
        }
    }

    /// Sets the failure with which the command ends.
    #[must_use]
    pub fn failure(mut self, failure: Option<Error>) -> Self {
        self.failure = failure;
        self
    }

    /// Prints the answer, as JSON if `json` is set, and returns the exit code.
    pub fn print(&self, json: bool) -> ExitCode {
        let text = match (json, &self.json) {
            (true, Value::Null) => String::new(),
            (true, value) => format!("{value:#}\n"),
            (false, _) if self.text.is_empty() || self.text.ends_with('\n') => self.text.clone(),
            (false, _) => format!("{}\n", self.text),
        };
        let written = io::stdout().lock().write_all(text.as_bytes());
        // A reader such as `head` may close the pipe early; the command has not failed then.
        if let Err(error) = written
            && error.kind() != io::ErrorKind::BrokenPipe
        {
            eprintln!("azurenotch: the output cannot be written: {error}");
            return ExitCode::from(crate::error::FAILED);
        }
        match &self.failure {
            Some(failure) => {
                eprintln!("azurenotch: {}", failure.line());
                ExitCode::from(failure.exit_code())
            }
            None => ExitCode::SUCCESS,
        }
    }
}

impl From<Error> for Answer {
    fn from(error: Error) -> Self {
        Self::default().failure(Some(error))
    }
}
