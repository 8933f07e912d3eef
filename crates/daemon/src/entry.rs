//! Runs an entry host whose configuration, backend servers and orders come from a platform.

use crate::{BAD_SETTINGS, START_FAILED, chain};
use azurenotch_adapter::{Cloud, Names, Table};
use azurenotch_entry::{
    process::{
        entry::Entry,
        journal::Journal,
        state::{Dependencies, State},
    },
    setting::Setting,
};
use azurenotch_platform::clock::Boot;
use azurenotch_wire::time::Instant;
use slog::{Level, info, warn};
use std::{fs, io, path::Path, process::ExitCode, sync::Arc, time::Duration};
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time::sleep,
};

/// Time for the last log lines after a second interrupt.
const LOG_CLOSE_TIMEOUT: Duration = Duration::from_millis(100);
/// Shortest time for them, if the process ran again only shortly before the end of the grace period.
const MIN_LOG_CLOSE_TIME: Duration = Duration::from_millis(10);
/// Part of the grace period after the last log lines, for the end of the process itself.
const EXIT_TIME: Duration = Duration::from_millis(50);
/// Interval between two looks for a signal; a signal seems older by up to twice as much.
const SIGNAL_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval for detecting changes of the settings file that come without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Serves callers until SIGTERM or SIGINT, or only checks the settings.
pub(crate) fn main(check: bool, path: &Path) -> ExitCode {
    let (text, setting) = match read(path) {
        Ok(read) => read,
        Err(detail) => {
            eprintln!("azurenotchd: {}: {detail}", path.display());
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if check {
        println!("{}: settings are valid", path.display());
        return ExitCode::SUCCESS;
    }
    // A single thread, because hosts run on a fraction of a core and each thread costs memory.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("azurenotchd: runtime cannot start: {error}");
            return ExitCode::from(START_FAILED);
        }
    };
    match runtime.block_on(run(text, setting, path)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("azurenotchd: {}", chain(error.as_ref()));
            ExitCode::from(START_FAILED)
        }
    }
}

fn read(path: &Path) -> Result<(String, Setting), Box<dyn std::error::Error>> {
    let text = fs::read_to_string(path)?;
    let setting = Setting::parse(&text)?;
    Ok((text, setting))
}

async fn run(
    text: String,
    setting: Setting,
    path: &Path,
) -> Result<(), Box<dyn std::error::Error>> {
    let (journal, log) = Journal::open(Level::Info, setting.host.name.as_str(), io::stdout())?;
    // Starts before signals are received, so that none is older than the clock.
    let clock = Arc::new(Boot::new());
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let hang_up = signal(SignalKind::hangup())?;
    let dependencies = Dependencies {
        format: Arc::new(Names::default()),
        store: Arc::new(Table::new(setting.store)),
        accounts: setting
            .usage
            .map(|usage| Arc::new(Cloud::new(usage.address)) as _),
        clock,
        log: log.clone(),
    };
    let entry = Entry::start(setting, dependencies).await?;
    let asked = tokio::select! {
        asked = stop_asked(&mut terminate, &mut interrupt, entry.state()) => asked,
        () = journal.run() => entry.state().now(),
        () = watch(hang_up, path, text, entry.state()) => entry.state().now(),
    };
    let state = Arc::clone(entry.state());
    let log_time = tokio::select! {
        () = entry.shut_down_since(asked) => {
            let left = state.stop.get().map(|stop| stop.end.since(state.now()));
            left.unwrap_or_default().saturating_sub(EXIT_TIME)
        }
        () = journal.run() => LOG_CLOSE_TIMEOUT,
        // A second interrupt does not wait for running requests.
        _ = interrupt.recv() => LOG_CLOSE_TIMEOUT,
    };
    journal.close(log_time.max(MIN_LOG_CLOSE_TIME));
    Ok(())
}

/// Waits for a signal to stop; returns a time before which there was none.
///
/// A process that was paused, or whose thread was busy, receives a signal later than it was sent.
async fn stop_asked(terminate: &mut Signal, interrupt: &mut Signal, state: &State) -> Instant {
    let mut clear = Instant::ZERO;
    loop {
        let start = state.now();
        tokio::select! {
            biased;
            _ = terminate.recv() => return clear,
            _ = interrupt.recv() => return clear,
            // Signals that came before `start` are received before this ends.
            () = sleep(SIGNAL_CHECK_INTERVAL) => clear = start,
        }
    }
}

/// Applies the settings whenever the file has changed; SIGHUP makes it read the file at once.
async fn watch(mut hang_up: Signal, path: &Path, mut last: String, state: &State) {
    loop {
        let signalled = tokio::select! {
            _ = hang_up.recv() => true,
            () = sleep(SETTINGS_POLL_INTERVAL) => false,
        };
        let text = match fs::read_to_string(path) {
            Ok(text) => text,
            Err(error) if signalled => {
                warn!(state.log(), "settings: cannot read file"; "error" => %error);
                continue;
            }
            // The file may be missing for a moment while it is replaced.
            Err(_) => continue,
        };
        if text == last {
            if signalled {
                info!(state.log(), "settings: unchanged");
            }
            continue;
        }
        match Setting::parse(&text) {
            Ok(setting) => {
                let deferred = state.reload(setting).join(", ");
                info!(state.log(), "settings: applied"; "from-next-start" => deferred);
            }
            Err(error) => warn!(state.log(), "settings: rejected"; "error" => %error),
        }
        last = text;
    }
}
