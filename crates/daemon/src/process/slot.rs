//! Actor that claims a slot and, as holder of the budget role, deletes abandoned claims.

use crate::process::{admission::HeldSlot, budget, node::Node, send};
use azurenotch_core::process::slot::{
    Action, Answer, CLAIM_VALIDITY, Claim, Reaper, Slot as StateMachine, row_key,
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

/// Interval between steps.
const STEP_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between searches for abandoned claims.
const REAP_INTERVAL: Duration = Duration::from_mins(1);

/// Claims a slot and deletes abandoned claims.
#[derive(Debug)]
pub struct Slot;

/// Message to the actor.
#[derive(Debug)]
pub enum Message {
    /// Perform the next step.
    Step,
    /// Release the slot; replied to when the table has deleted the claim or failed to.
    Release(RpcReplyPort<()>),
}

/// State of the actor.
#[derive(Debug)]
pub struct State {
    node: Arc<Node>,
    budget: ActorRef<budget::Message>,
    slot: Option<StateMachine>,
    /// Last slot that was sent to the budget actor.
    published: Option<HeldSlot>,
    reaper: Reaper,
    last_reap: Instant,
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
        drop(myself.send_interval(STEP_INTERVAL, || Message::Step));
        Ok(State {
            node,
            budget,
            slot: None,
            published: None,
            reaper: Reaper::default(),
            last_reap: Instant::ZERO,
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
                // The caller may have timed out.
                let _ = reply.send(());
            }
        }
        Ok(())
    }
}

impl State {
    async fn step(&mut self) {
        // The number of slots and the region are unknown before the first configuration.
        let (Some(snapshot), Some(region)) = (self.node.snapshot(), self.node.region()) else {
            return;
        };
        if self.released {
            return;
        }
        let slots = snapshot.document.fleet.slots;
        let host = self.node.host().clone();
        let incarnation = self.node.incarnation;
        let mut state_machine = self
            .slot
            .take()
            .unwrap_or_else(|| StateMachine::new(host, incarnation, Operation(random()), slots));
        let now = self.node.clock.now();
        if let Some(answer) = self.perform(state_machine.poll(now)).await {
            state_machine.on_answer(self.node.clock.now(), answer);
        }
        self.publish(&state_machine, region);
        self.slot = Some(state_machine);
        self.reap(slots).await;
    }

    async fn perform(&self, action: Action) -> Option<Answer> {
        match action {
            Action::Wait(_) => None,
            Action::Read(slot) => Some(match self.node.table.get(&row_key(slot)).await {
                Ok(row) => row_answer(row.as_ref()),
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
            Err(TableError::Conflict { row, .. }) => row_answer(row.as_ref()),
            Err(_) => Answer::Unavailable,
        }
    }

    fn publish(&mut self, state_machine: &StateMachine, region: Region) {
        let now = self.node.clock.now();
        let held_slot =
            state_machine
                .held(now)
                .zip(state_machine.renewed())
                .map(|(slot, renewed)| HeldSlot {
                    slot,
                    region,
                    until: renewed + CLAIM_VALIDITY,
                });
        if held_slot != self.published {
            self.published.clone_from(&held_slot);
            send(&self.budget, budget::Message::HeldSlot(held_slot));
        }
    }

    /// Deletes claims that have certainly expired, if this host holds the budget role.
    async fn reap(&mut self, slots: u32) {
        let now = self.node.clock.now();
        let token = self.node.roles.lock().get(budget::ROLE).copied();
        let Some(token) = token else { return };
        if now.since(self.last_reap) < REAP_INTERVAL {
            return;
        }
        self.last_reap = now;
        let fence = Fence {
            key: crate::process::role::lease_key(budget::ROLE),
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
                // A claim renewed in the meantime has a new version and is not deleted.
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
        let Some((slot, version)) = self.slot.as_ref().and_then(|it| it.version(now)) else {
            return;
        };
        // If the table is unavailable, the claim expires at the end of its validity.
        let _ = self.node.table.delete(&row_key(slot), version, None).await;
    }
}

fn row_answer(row: Option<&Row>) -> Answer {
    let Some(row) = row else {
        return Answer::Row(None);
    };
    match rmp_serde::from_slice::<Claim>(&row.value) {
        Ok(claim) => Answer::Row(Some((row.version, claim))),
        // A malformed row counts as unavailable, so that it is never overwritten.
        Err(_) => Answer::Unavailable,
    }
}
