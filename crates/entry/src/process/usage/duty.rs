//! Task that drives the state machine of the reports.

use super::convert::{self, Named};
use crate::{
    era::Era,
    platform::{
        Error,
        usage::{Accounts, Call},
    },
    process::{metrics, state::State},
};
use azurenotch_core::process::{
    usage::{Action, Event, Moments, Read, Report, Reporter, Row, Sent, View, Write},
    wall::Time,
};
use azurenotch_wire::id::Incarnation;
use slog::{error, info, warn};
use std::{sync::Arc, time::Duration};
use tokio::{select, time::sleep};
use tokio_util::sync::CancellationToken;

/// Longest time between two looks at what is to be done.
///
/// Counts, claims and collectors change with each message of another host.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Largest part of the own counts, which are not sent.
const OWN_PART_BYTES: usize = 1 << 20;
/// Shortest pause after a call that failed, whatever the state machine asks for.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// Writes and sends reports until `stop` is cancelled; ends at once without the settings for it.
///
/// A send that is under way by then is finished.
pub async fn run(state: Arc<State>, stop: CancellationToken) {
    let (Some(book), Some(accounts)) = (&state.usage, &state.dependencies.accounts) else {
        return;
    };
    let metrics = match state.metrics.register_usage() {
        Ok(metrics) => metrics,
        Err(error) => {
            error!(state.log(), "usage: cannot register metrics"; "error" => %error);
            return;
        }
    };
    let setting = book.lock().setting;
    let own = &state.own;
    let mut duty = Duty {
        state: &state,
        accounts: accounts.as_ref(),
        metrics,
        reporter: Reporter::new(setting, own.host.clone(), Incarnation(own.incarnation)),
        named: Named::new(),
        era: Era::default(),
    };
    while !stop.is_cancelled() {
        duty.step(&stop).await;
    }
}

/// State machine of the reports, with what it needs to act.
struct Duty<'a> {
    state: &'a State,
    accounts: &'a dyn Accounts,
    metrics: metrics::Usage,
    reporter: Reporter,
    /// Reports that the row has, as far as this host knows.
    named: Named,
    /// Era of the last read.
    era: Era,
}

impl Duty<'_> {
    /// Does what is to be done next.
    async fn step(&mut self, stop: &CancellationToken) {
        let action = self.poll();
        let succeeded = match action {
            Action::Wait(until) => {
                let left = until.since(self.state.dependencies.clock.steady());
                sleep_until_stop(left.min(POLL_INTERVAL), stop).await;
                true
            }
            Action::Read => self.read().await,
            Action::Write {
                row,
                expected_version,
            } => self.write(&row, expected_version).await,
            Action::Send { report, token } => self.send(&report, token).await,
        };
        self.note_events();
        if !succeeded {
            sleep_until_stop(FAILURE_PAUSE, stop).await;
        }
    }

    fn poll(&mut self) -> Action {
        let state = self.state;
        let now = state.now();
        let collectors = state.collectors(now);
        let rank = collectors.iter().position(|it| *it == state.own.host);
        let era = state.replica.lock().era();
        let Some(book) = &state.usage else {
            return Action::Wait(state.dependencies.clock.steady() + POLL_INTERVAL);
        };
        let mut book = book.lock();
        if rank.is_some() {
            // The report of a window includes what this host counted since its last round.
            book.parts(now, OWN_PART_BYTES);
        }
        let moments = moments(state, book.time(now));
        let view = View {
            rank: rank.filter(|_| !state.is_leaving()),
            era: era.max(self.era).0.into(),
            claims: &book.claims,
            ledger: &book.ledger,
        };
        let action = self.reporter.poll(moments, &view);
        book.claim = self.reporter.claim();
        let age = book.accepted_age(now);
        drop(book);
        self.metrics
            .holder
            .set(i64::from(self.reporter.is_holder()));
        let age = age.map_or(f64::INFINITY, |age| age.as_secs_f64());
        self.metrics.accepted_age.set(age);
        action
    }

    /// Returns the present time on all clocks.
    fn moments(&self) -> Moments {
        moments_now(self.state)
    }

    async fn read(&mut self) -> bool {
        let result = self.state.dependencies.store.read_usage().await;
        self.count_call("usage-read", &result);
        let (read, succeeded) = match result {
            Ok(stored) => {
                let (stored, named) = convert::from_stored(stored);
                self.named = named;
                self.era = Era(u16::try_from(stored.era).unwrap_or(u16::MAX));
                (Read::Stored(stored), true)
            }
            Err(error) => {
                warn!(self.state.log(), "usage: cannot read row from store"; "error" => %error);
                (Read::Unavailable, false)
            }
        };
        self.reporter.on_read(self.moments(), read);
        succeeded
    }

    async fn write(&mut self, row: &Row, expected_version: Option<u64>) -> bool {
        let names = self.state.workspaces_by_hash.lock().clone();
        let (row, unknown) = convert::to_row(row, &self.named, &names);
        if unknown > 0 {
            warn!(self.state.log(), "usage: counts of unknown workspaces left out";
                "workspaces" => unknown);
        }
        let version = expected_version.unwrap_or(self.era.version(0));
        let store = &self.state.dependencies.store;
        let result = store.write_usage(&row, version).await;
        self.count_call("usage-write", &result);
        let write = match &result {
            Ok((version, clock)) => {
                let reports = row.reports.into_iter();
                self.named = reports.map(|report| (report.window, report)).collect();
                Write::Written {
                    version: *version,
                    era: Era::of(*version).0.into(),
                    clock: Some(*clock),
                }
            }
            Err(Error::Conflict) => Write::Conflict,
            Err(Error::Refused { .. }) => Write::Unavailable,
            Err(_) => Write::Ambiguous,
        };
        match &result {
            Ok(_) => {}
            // Another host acts.
            Err(error @ Error::Conflict) => {
                info!(self.state.log(), "usage: row not written"; "error" => %error,
                    "token" => row.token);
            }
            Err(error) => {
                warn!(self.state.log(), "usage: row not written"; "error" => %error,
                    "token" => row.token);
            }
        }
        self.reporter.on_write(self.moments(), write);
        matches!(write, Write::Written { .. } | Write::Conflict)
    }

    async fn send(&mut self, report: &Report, token: u64) -> bool {
        let state = self.state;
        let window = report.window.0;
        let Some(named) = self.named.get(&window) else {
            // The state machine sends only what the row has.
            error!(state.log(), "usage: report without row"; "window" => window, "token" => token);
            self.reporter.on_sent(self.moments(), Sent::Unanswered);
            return false;
        };
        let call = Call {
            report: named,
            holder: &state.own.host,
            token,
        };
        let reporter = &self.reporter;
        let may_send = || reporter.may_send(moments_now(state));
        let result = self.accounts.report(&call, &may_send).await;
        let sent = match &result {
            Ok(()) => Sent::Accepted,
            Err(error) => {
                warn!(state.log(), "usage: report not accepted"; "window" => window,
                    "token" => token, "error" => %error);
                Sent::Unanswered
            }
        };
        if !matches!(result, Err(Error::Expired)) {
            info!(state.log(), "usage: report sent"; "window" => window, "token" => token,
                "sum" => report.sum());
        }
        self.reporter.on_sent(self.moments(), sent);
        result.is_ok()
    }

    /// Logs and counts what became of reports.
    fn note_events(&mut self) {
        for event in self.reporter.take_events() {
            let (message, outcome, report, token) = match &event {
                Event::Acquired { token } => {
                    info!(self.state.log(), "usage: duty taken over"; "token" => token);
                    continue;
                }
                Event::Written { report, token } => {
                    ("usage: report written", "written", report, token)
                }
                Event::Accepted { report, token } => {
                    ("usage: report accepted", "accepted", report, token)
                }
                Event::GivenUp { report, token } => {
                    ("usage: report given up", "given-up", report, token)
                }
            };
            self.metrics.windows.with_label_values(&[outcome]).inc();
            info!(self.state.log(), "{}", message; "window" => report.window.0, "token" => token,
                "sum" => report.sum(), "workspaces" => report.counts.len());
        }
    }

    fn count_call<T>(&self, subject: &str, result: &Result<T, Error>) {
        let label = match result {
            Ok(_) => "ok",
            Err(Error::Conflict) => "conflict",
            Err(_) => "error",
        };
        self.state.metrics.count_store_call(subject, label);
    }
}

/// Returns the present time on all clocks of the host.
fn moments_now(state: &State) -> Moments {
    let book = state.usage.as_ref();
    let time = book.and_then(|book| book.lock().time(state.now()));
    moments(state, time)
}

fn moments(state: &State, time: Option<Time>) -> Moments {
    Moments {
        steady: state.dependencies.clock.steady(),
        boot: state.now(),
        time,
    }
}

async fn sleep_until_stop(time: Duration, stop: &CancellationToken) {
    select! {
        () = stop.cancelled() => {}
        () = sleep(time) => {}
    }
}
