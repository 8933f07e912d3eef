//! Return of the host's shares before a planned stop.

use super::{ROLE, State, send_report};
use azurenotch_core::process::budget::Ledger;
use ractor::{ActorRef, RpcReplyPort};
use std::sync::Arc;

impl State {
    /// Gives the elastic shares back.
    ///
    /// A host that holds the role also writes the allocation without its shares before the reply. A
    /// new holder treats what is written as in use for `CLAIM_VALIDITY`, and the incarnation that it
    /// was written for never reports again.
    pub(super) fn stop(&mut self, myself: &ActorRef<super::Message>, reply: RpcReplyPort<()>) {
        self.stopping = true;
        let now = self.node.clock.now();
        self.fleet.stop(now);
        let Some(reporter) = &mut self.reporter else {
            let _ = reply.send(());
            return;
        };
        let token = reporter.token();
        let report = reporter.report(now, token, true, || self.fleet.usage(now));
        if self.ledger.as_ref().map(Ledger::token) == Some(token) {
            // The answer to a leaving host grants nothing.
            let _ = self.on_report(&report);
            self.departure = Some(reply);
            self.lead(myself);
            return;
        }
        let peers = self.node.peers.load();
        let holder = peers.iter().find(|peer| {
            peer.roles
                .iter()
                .any(|role| role.name == ROLE && role.token == token)
        });
        let address = holder.map(|peer| peer.peer);
        let transport = Arc::clone(&self.node.transport);
        tokio::spawn(async move {
            if let Some(address) = address {
                // Without an answer the shares lapse after their validity.
                let _ = send_report(&*transport, address, &report).await;
            }
            let _ = reply.send(());
        });
    }

    /// Replies to a planned stop once the table holds no share of this host, or the role is lost.
    pub(super) fn depart(&mut self) {
        let recorded = self.ledger.as_ref().is_some_and(|ledger| {
            let mut entries = ledger.allocation().slots.values();
            entries.any(|entry| entry.incarnation == self.node.incarnation)
        });
        if !recorded && let Some(reply) = self.departure.take() {
            // The stop may have given up waiting.
            let _ = reply.send(());
        }
    }
}
