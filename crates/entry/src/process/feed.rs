//! Follows what the platform says about one subject.

use crate::{
    platform::{Error, Result, Subject},
    process::{state::State, world::Bulletin},
};
use rand::random_range;
use slog::{info, warn};
use std::{sync::Arc, time::Duration};
use tokio::{select, time::sleep};
use tokio_util::sync::CancellationToken;

/// Longest time that the store waits for a change before it answers.
///
/// A host that hears nothing for longer cannot know of withdrawn keys, so that the time is well
/// below the bound of withdrawals.
const WAIT: Duration = Duration::from_secs(1);
/// Time between two looks whether this host has to follow the store.
const CHECK: Duration = Duration::from_millis(100);
/// Age of what other hosts tell from which this host asks the store itself.
///
/// Below the bound of withdrawals by the time for two tries.
const LATE: Duration = Duration::from_secs(3);
/// Pause after the first failure, doubled with each one in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause between two tries of a host that follows the store for others.
const LAST_PAUSE: Duration = Duration::from_millis(800);
/// Longest pause between two tries of the other hosts.
///
/// While the store is down all hosts ask it, and calls that it refuses are paid for as well.
const LAST_PAUSE_OTHERS: Duration = Duration::from_millis(2_500);

/// Follows a subject until `stop` is cancelled.
pub async fn run(state: Arc<State>, subject: Subject, stop: CancellationToken) {
    let mut feed = Feed {
        state,
        subject,
        whole: true,
        pause: FIRST_PAUSE,
        connected: false,
    };
    select! {
        () = stop.cancelled() => {}
        () = feed.follow() => {}
    }
}

/// Position in what the platform says about one subject.
#[derive(Debug)]
struct Feed {
    state: Arc<State>,
    subject: Subject,
    /// Whether everything has to be read.
    whole: bool,
    pause: Duration,
    connected: bool,
}

impl Feed {
    async fn follow(&mut self) {
        loop {
            if !self.is_needed() {
                sleep(CHECK).await;
                continue;
            }
            let result = if self.whole {
                self.read().await
            } else {
                self.wait().await
            };
            let name = self.subject.to_string();
            match result {
                Ok(()) => {
                    self.state.counter.store(&name, "ok");
                    self.state.note_call(self.subject, true);
                    self.regained();
                }
                Err(Error::Compacted) => {
                    self.state.counter.store(&name, "compacted");
                    info!(self.state.log(), "feed: history compacted, rereading all rows"; "subject" => name);
                    self.whole = true;
                }
                Err(error) => {
                    self.state.counter.store(&name, "error");
                    self.state.note_call(self.subject, false);
                    self.lost(&error).await;
                }
            }
        }
    }

    async fn read(&mut self) -> Result<()> {
        let start = self.state.now();
        let batch = self.state.parts.store.read(self.subject).await?;
        self.report(&batch.unusable);
        let mut world = self.state.world.lock();
        world.set_clock(self.state.now(), batch.clock);
        let changes = world.replace(self.subject, batch.version, batch.facts);
        world.confirm(self.subject, batch.version, start);
        drop(world);
        self.whole = false;
        self.state.apply(changes, "store");
        self.state.news.notify_one();
        Ok(())
    }

    async fn wait(&self) -> Result<()> {
        let start = self.state.now();
        let version = self.state.world.lock().view(self.subject).version;
        let store = &self.state.parts.store;
        let batch = store.follow(self.subject, version, WAIT).await?;
        let end = self.state.now();
        self.report(&batch.unusable);
        // An empty answer means that nothing had changed when the wait was over.
        let waited = batch.facts.is_empty() && batch.unusable.is_empty();
        let waited = waited && end.since(start) >= WAIT;
        let at = if waited { start + WAIT } else { start };
        let news = Bulletin {
            after: version,
            upto: batch.version,
            facts: batch.facts,
        };
        let mut world = self.state.world.lock();
        world.set_clock(end, batch.clock);
        let changes = world.learn(end, self.subject, news, at);
        drop(world);
        if !changes.is_empty() {
            self.state.apply(changes, "store");
            self.state.news.notify_one();
        }
        Ok(())
    }

    /// Returns whether this host follows the store, for others or because nobody tells it.
    fn is_needed(&self) -> bool {
        let now = self.state.now();
        let view = self.state.world.lock().view(self.subject);
        let late = view.confirmed.is_none_or(|at| now.since(at) > LATE);
        late || self.state.follows(now)
    }

    fn report(&self, unusable: &[(String, String)]) {
        for (key, reason) in unusable {
            warn!(self.state.log(), "feed: unusable row"; "subject" => %self.subject,
                "key" => key, "reason" => reason);
        }
    }

    fn regained(&mut self) {
        self.pause = FIRST_PAUSE;
        if !self.connected {
            self.connected = true;
            info!(self.state.log(), "feed: store reads succeeding"; "subject" => %self.subject);
        }
    }

    async fn lost(&mut self, error: &Error) {
        if self.connected {
            self.connected = false;
            warn!(self.state.log(), "feed: store reads failing"; "subject" => %self.subject, "error" => %error);
            self.state.drift.lock().release(self.state.now());
        }
        // Hosts that lost the store together must not return together.
        sleep(self.pause.mul_f64(random_range(0.7..1.3))).await;
        let now = self.state.now();
        let last = if self.state.follows(now) {
            LAST_PAUSE
        } else {
            LAST_PAUSE_OTHERS
        };
        self.pause = (2 * self.pause).min(last);
    }
}
