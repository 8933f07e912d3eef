//! The commands.

mod configuration;
mod document;
mod drain;
mod explain;
mod host;
mod key;
mod rollout;
mod timeline;

use crate::{
    answer::Answer,
    client::Client,
    error::{Error, Result},
    option::{self, Command, Options},
};
use bpaf::doc::Section;
use std::io::stdin;

/// Runs a command.
pub async fn run(options: &Options) -> Answer {
    answer(options).await.unwrap_or_else(Answer::from)
}

async fn answer(options: &Options) -> Result<Answer, Error> {
    match &options.command {
        Command::Check {
            entry,
            against,
            file,
            ..
        } if *entry || against.is_some() => {
            return configuration::check(file, against.as_deref());
        }
        Command::Check { settings, file, .. } => return document::check(file, *settings),
        Command::Explain { id } => return explain::run(id, stdin().lock()),
        Command::Manual => return Ok(manual()),
        _ => {}
    }
    let client = Client::new(options.hosts())?;
    match &options.command {
        Command::Check { .. } | Command::Explain { .. } | Command::Manual => Ok(Answer::default()),
        Command::Diff { file } => document::diff(&client, file).await,
        Command::Apply { expect, wait, file } => {
            document::apply(&client, file, *expect, *wait).await
        }
        Command::Status => host::status(&client).await,
        Command::Hosts => host::hosts(&client).await,
        Command::Key(key) => key::run(&client, key).await,
        Command::Move(rollout) => rollout::run(&client, rollout).await,
        Command::Drain { undo, wait, server } => drain::run(&client, server, !undo, *wait).await,
        Command::Timeline(timeline) => timeline::run(&client, timeline).await,
    }
}

fn manual() -> Answer {
    let page = option::options().render_manpage(
        "azurenotch",
        Section::General,
        None,
        None,
        Some("azurenotch operators' manual"),
    );
    Answer::new(page.clone(), page)
}
