//! The daemon of an entry host.

mod entry;

use azurenotch_config::setting::{Level, Setting};
use azurenotch_daemon::process::daemon::{Daemon, Dependencies};
use azurenotch_platform::http::Client;
use bpaf::Bpaf;
use slog::{Drain, LevelFilter, Logger, info, o};
use snafu::CleanedErrorText;
use std::{fs, io, path::PathBuf, process::ExitCode, sync::Arc};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code when the daemon cannot start.
const START_FAILED: u8 = 1;
/// Exit code for settings that cannot be read or are invalid.
const BAD_SETTINGS: u8 = 2;
/// Log records waiting to be written; further ones are dropped and counted.
const LOG_QUEUE_RECORDS: usize = 4096;

/// Serves callers of one entry host.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Options {
    /// Serve with the configuration, backend servers and orders of a platform
    #[bpaf(command("entry"))]
    Entry {
        /// Check the settings and exit
        check: bool,
        /// File with the settings (INI)
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Serve with the configuration that operators apply
    Daemon(#[bpaf(external(files))] Files),
}

/// Settings of a daemon whose configuration operators apply.
#[derive(Debug, Clone, Bpaf)]
struct Files {
    /// Check the settings and exit
    check: bool,
    /// File with the settings (INI)
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
}

fn main() -> ExitCode {
    match options().run() {
        Options::Entry { check, settings } => entry::main(check, &settings),
        Options::Daemon(files) => serve(files),
    }
}

fn serve(options: Files) -> ExitCode {
    let setting = match read(&options.settings) {
        Ok(setting) => setting,
        Err(detail) => {
            eprintln!("azurenotchd: {}: {detail}", options.settings.display());
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if options.check {
        println!("{}: settings are valid", options.settings.display());
        return ExitCode::SUCCESS;
    }
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("azurenotchd: runtime cannot start: {error}");
            return ExitCode::from(START_FAILED);
        }
    };
    runtime.block_on(run(setting))
}

fn read(path: &PathBuf) -> Result<Setting, Box<dyn std::error::Error>> {
    Ok(Setting::parse(&fs::read_to_string(path)?)?)
}

async fn run(setting: Setting) -> ExitCode {
    let log = logger(setting.log.level);
    let platform = &setting.platform;
    let client = |base: std::net::SocketAddr| Arc::new(Client::new(base).timeout(platform.timeout));
    let dependencies = Dependencies::new(
        client(platform.table.address),
        client(platform.store.address),
        client(platform.roster.address),
    );
    let (mut terminate, mut interrupt) = match (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) {
        (Ok(terminate), Ok(interrupt)) => (terminate, interrupt),
        (Err(error), _) | (_, Err(error)) => {
            eprintln!("azurenotchd: signals cannot be received: {error}");
            return ExitCode::from(START_FAILED);
        }
    };
    let daemon = match Daemon::start(setting, dependencies, log.clone()).await {
        Ok(daemon) => daemon,
        Err(error) => {
            eprintln!("azurenotchd: {}", chain(&error));
            return ExitCode::from(START_FAILED);
        }
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    info!(log, "daemon: stopping");
    tokio::select! {
        () = daemon.shut_down() => {}
        // A second interrupt does not wait for running requests.
        _ = interrupt.recv() => {}
    }
    ExitCode::SUCCESS
}

/// Returns an error and its causes in one line.
fn chain(error: &dyn std::error::Error) -> String {
    let texts = CleanedErrorText::new(error).map(|(_, text, _)| text);
    let texts = texts.filter(|text| !text.is_empty());
    texts.collect::<Vec<_>>().join(": ")
}

fn logger(level: Level) -> Logger {
    let level = match level {
        Level::Critical => slog::Level::Critical,
        Level::Error => slog::Level::Error,
        Level::Warning => slog::Level::Warning,
        Level::Info => slog::Level::Info,
        Level::Debug => slog::Level::Debug,
        Level::Trace => slog::Level::Trace,
    };
    let json = slog_json::Json::default(io::stderr()).fuse();
    let queue = slog_async::Async::new(json)
        .chan_size(LOG_QUEUE_RECORDS)
        .build()
        .fuse();
    Logger::root(LevelFilter::new(queue, level).fuse(), o!())
}
