//! Actor that acquires, renews and releases the lease of one role.

use crate::process::node::Node;
use azurenotch_core::process::lease::{Action, Lease, Read, Row, Write};
use azurenotch_platform::table::{Error as TableError, Expect};
use azurenotch_wire::time::Instant;
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use slog::warn;
use std::{sync::Arc, time::Duration};

/// Minimum delay between steps, so that a fault cannot cause a busy loop.
const MIN_STEP_DELAY: Duration = Duration::from_millis(20);

/// Returns the table key of a role's lease.
pub fn lease_key(role: &str) -> String {
    format!("lease/{role}")
}

/// Callback for renewals and losses of a role.
pub type Listener = Box<dyn Fn(Change) + Send + Sync>;

/// Change of a role's lease at this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The role is held under this token; the last renewal was sent at this time.
    Renewed {
        /// Fencing token.
        token: u64,
        /// When the renewal was sent.
        sent: Instant,
    },
    /// Another host took over.
    Lost,
}

/// Acquires, renews and releases the lease of one role.
#[derive(Debug)]
pub struct Role;

/// Message to the actor.
#[derive(Debug)]
pub enum Message {
    /// Perform the next step.
    Step,
    /// Release the role; replied to when it is released or the table is unavailable.
    Release(RpcReplyPort<()>),
}

/// Arguments of the actor.
#[derive(derive_more::Debug)]
pub struct Arguments {
    /// Shared state of the host.
    pub node: Arc<Node>,
    /// Name of the role.
    pub role: String,
    /// Receives renewals and losses.
    #[debug(skip)]
    pub listener: Listener,
    /// Seed of random delays.
    pub seed: u64,
}

/// State of the actor.
#[derive(derive_more::Debug)]
pub struct State {
    node: Arc<Node>,
    lease: Lease,
    #[debug(skip)]
    listener: Listener,
    held: Option<u64>,
}

impl Actor for Role {
    type Msg = Message;
    type State = State;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        arguments: Arguments,
    ) -> Result<State, ActorProcessingErr> {
        let Arguments {
            node,
            role,
            listener,
            seed,
        } = arguments;
        let lease = Lease::new(&role, node.host().clone(), node.incarnation, seed);
        myself.send_message(Message::Step)?;
        Ok(State {
            node,
            lease,
            listener,
            held: None,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            Message::Step => {
                let next = state.step().await;
                let now = state.node.clock.now();
                let pause = next.map_or(MIN_STEP_DELAY, |next| next.since(now).max(MIN_STEP_DELAY));
                drop(myself.send_after(pause, || Message::Step));
            }
            Message::Release(reply) => {
                state.release().await;
                // The caller may have timed out.
                let _ = reply.send(());
            }
        }
        Ok(())
    }
}

impl State {
    /// Performs one action and returns when the next is due; `None` means at once.
    async fn step(&mut self) -> Option<Instant> {
        let now = self.node.clock.now();
        let next = match self.lease.poll(now) {
            Action::Wait(until) => Some(until),
            Action::Read => {
                self.read().await;
                None
            }
            Action::Write { value, expect } => {
                self.write(now, &value, expect).await;
                None
            }
        };
        self.publish();
        next
    }

    async fn read(&mut self) {
        let key = lease_key(self.lease.role());
        let read = match self.node.table.get(&key).await {
            Ok(row) => Read::Row(row.map(convert)),
            Err(_) => Read::Unavailable,
        };
        let outcome = self.lease.on_read(self.node.clock.now(), read);
        self.log_malformed(outcome);
    }

    async fn write(&mut self, sent: Instant, value: &[u8], expect: Option<u64>) {
        let key = lease_key(self.lease.role());
        let expect = expect.map_or(Expect::Absent, Expect::Version);
        let write = match self.node.table.put(&key, value, expect, None).await {
            Ok(version) => Write::Written(version),
            Err(TableError::Conflict { row, .. }) => Write::Conflict(row.map(convert)),
            Err(TableError::Unavailable { .. }) => Write::Unavailable,
            Err(_) => Write::Ambiguous,
        };
        let is_written = matches!(write, Write::Written(_));
        let outcome = self.lease.on_write(self.node.clock.now(), write);
        self.log_malformed(outcome);
        if let (true, Some(token)) = (is_written, self.lease.token(self.node.clock.now())) {
            (self.listener)(Change::Renewed { token, sent });
        }
    }

    async fn release(&mut self) {
        self.lease.release(self.node.clock.now());
        for _ in 0..4 {
            if self.lease.is_released() || self.step().await.is_some() {
                break;
            }
        }
        self.publish();
    }

    fn log_malformed(&self, outcome: Result<(), azurenotch_core::process::lease::Error>) {
        if let Err(error) = outcome {
            warn!(self.node.log, "lease: row is malformed";
                "role" => self.lease.role(), "error" => %error);
        }
    }

    /// Publishes lease changes to the event recorder, the heartbeats and the listener.
    ///
    /// A holder that cannot renew keeps the role in holdover until another host takes over.
    fn publish(&mut self) {
        if let Some(event) = self.lease.event(self.node.clock.now()) {
            self.node.recorder.record(event);
        }
        let held = self.lease.last_token();
        if held == self.held {
            return;
        }
        let mut roles = self.node.roles.lock();
        match held {
            Some(token) => roles.insert(self.lease.role().to_owned(), token),
            None => roles.remove(self.lease.role()),
        };
        drop(roles);
        if held.is_none() {
            (self.listener)(Change::Lost);
        }
        self.held = held;
    }
}

fn convert(row: azurenotch_platform::table::Row) -> Row {
    Row {
        version: row.version,
        value: row.value,
    }
}
