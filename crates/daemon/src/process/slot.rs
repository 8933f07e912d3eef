//! Actor that claims a slot and, for the holder of the budget role, frees abandoned ones.

use crate::process::{admission::Seat, budget, node::Node, tell};
use azurenotch_core::process::slot::{
    Action, Answer, CLAIM_VALIDITY, Claim, Reaper, Slot as Machine, row_key,
};
use azurenotch_platform::table::{Error as TableError, Expect, Fence, Row};
use azurenotch_wire::{
    budget::Slot as Number,
    id::{Operation, Region},
    time::Instant,
};
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use rand::random;
use std::{sync::Arc, time::Duration};

/// Time between two steps.
const INTERVAL: Duration = Duration::from_millis(250);
/// Time between two searches for abandoned claims.
const REAP_INTERVAL: Duration = Duration::from_mins(1);

/// Claims a slot.
#[derive(Debug)]
pub struct Slot;

/// Message to the actor.
#[derive(Debug)]
pub enum Message {
    /// Time for the next step.
    Step,
    /// Release the slot; answered when that is done or the table does not answer.
    Release(RpcReplyPort<()>),
}

/// State of the actor.
#[derive(Debug)]
pub struct State {
    node: Arc<Node>,
    budget: ActorRef<budget::Message>,
    machine: Option<Machine>,
    /// Last seat that the budget actor was told of.
    told: Option<Seat>,
    reaper: Reaper,
    reaped: Instant,
    released: bool,
}

impl Actor for Slot {
    type Msg = Message;
    type State = State;
    type Arguments = (Arc<Node>, ActorRef<budget::Message>);

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        (node, budget): Self::Arguments,
    ) -> Result<State, ActorProcessingErr> {
        drop(myself.send_interval(INTERVAL, || Message::Step));
        Ok(State {
            node,
            budget,
            machine: None,
            told: None,
            reaper: Reaper::default(),
            reaped: Instant::ZERO,
            released: false,
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            Message::Step => state.step().await,
            Message::Release(reply) => {
                state.release().await;
                // The caller may have stopped waiting.
                let _ = reply.send(());
            }
        }
        Ok(())
    }
}

impl State {
    async fn step(&mut self) {
        // The number of slots and the region come with the first configuration.
        let (Some(snapshot), Some(region)) = (self.node.snapshot(), self.node.region()) else {
            return;
        };
        if self.released {
            return;
        }
        let slots = snapshot.document.fleet.slots;
        let host = self.node.host().clone();
        let incarnation = self.node.incarnation;
        let mut machine = self
            .machine
            .take()
            .unwrap_or_else(|| Machine::new(host, incarnation, Operation(random()), slots));
        let now = self.node.clock.now();
        if let Some(answer) = self.perform(machine.poll(now)).await {
            machine.on_answer(self.node.clock.now(), answer);
        }
        self.tell(&machine, region);
        self.machine = Some(machine);
        self.reap(slots).await;
    }

    async fn perform(&self, action: Action) -> Option<Answer> {
        match action {
            Action::Wait(_) => None,
            Action::Read(slot) => Some(match self.node.table.get(&row_key(slot)).await {
                Ok(row) => present(row.as_ref()),
                Err(_) => Answer::Unavailable,
            }),
            Action::Write {
                slot,
                claim,
                expect,
            } => Some(self.write(slot, &claim, expect).await),
        }
    }

    async fn write(&self, slot: Number, claim: &Claim, expect: Option<u64>) -> Answer {
        let Ok(value) = rmp_serde::to_vec(claim) else {
            return Answer::Unavailable;
        };
        let expect = expect.map_or(Expect::Absent, Expect::Version);
        match self
            .node
            .table
            .put(&row_key(slot), &value, expect, None)
            .await
        {
            Ok(version) => Answer::Written(version),
            Err(TableError::Conflict { row, .. }) => present(row.as_ref()),
            Err(_) => Answer::Unavailable,
        }
    }

    fn tell(&mut self, machine: &Machine, region: Region) {
        let now = self.node.clock.now();
        let seat = machine
            .held(now)
            .zip(machine.renewed())
            .map(|(slot, renewed)| Seat {
                slot,
                region,
                until: renewed + CLAIM_VALIDITY,
            });
        if seat != self.told {
            self.told.clone_from(&seat);
            tell(&self.budget, budget::Message::Seat(seat));
        }
    }

    /// Deletes claims of hosts that are certainly gone; only the holder of the budget role does.
    async fn reap(&mut self, slots: u32) {
        let now = self.node.clock.now();
        let token = self.node.roles.lock().get(budget::ROLE).copied();
        let Some(token) = token else { return };
        if now.since(self.reaped) < REAP_INTERVAL {
            return;
        }
        self.reaped = now;
        let fence = Fence {
            key: crate::process::role::row(budget::ROLE),
            token,
        };
        for slot in 0..slots {
            let Ok(found) = self.node.table.get(&row_key(slot)).await else {
                return;
            };
            let version = found.map(|row| row.version);
            if self.reaper.observe(self.node.clock.now(), slot, version)
                && let Some(version) = version
            {
                // A claim that was renewed meanwhile has another version and stays.
                let _ = self
                    .node
                    .table
                    .delete(&row_key(slot), version, Some(&fence))
                    .await;
            }
        }
    }

    async fn release(&mut self) {
        self.released = true;
        let now = self.node.clock.now();
        let Some((slot, version)) = self.machine.as_ref().and_then(|it| it.version(now)) else {
            return;
        };
        // If the table does not answer, the claim lapses after its validity.
        let _ = self.node.table.delete(&row_key(slot), version, None).await;
    }
}

fn present(row: Option<&Row>) -> Answer {
    let Some(row) = row else {
        return Answer::Row(None);
    };
    match rmp_serde::from_slice::<Claim>(&row.value) {
        Ok(claim) => Answer::Row(Some((row.version, claim))),
        // A malformed row is no answer: it must not be overwritten.
        Err(_) => Answer::Unavailable,
    }
}
