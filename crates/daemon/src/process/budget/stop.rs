//! Release of the host's shares before a planned stop.

use super::{ROLE, State, send_report};
use azurenotch_core::process::budget::Ledger;
use ractor::{ActorRef, RpcReplyPort};
use std::sync::Arc;

impl State {
    /// Releases the elastic shares.
    ///
    /// If this host holds the role, it writes the allocation without its own shares before it
    /// replies. Otherwise a new holder would treat them as in use for longer than
    /// `Timing::holdover`, because this incarnation never reports again.
    pub(super) fn stop(&mut self, myself: &ActorRef<super::Message>, reply: RpcReplyPort<()>) {
        self.stopping = true;
        let now = self.node.clock.now();
        self.shares.release_elastic(now);
        let Some(reporter) = &mut self.reporter else {
            let _ = reply.send(());
            return;
        };
        let token = reporter.token();
        let report = reporter.report(now, token, true, || self.shares.usage(now));
        if self.ledger.as_ref().map(Ledger::token) == Some(token) {
            // The answer to a leaving host contains no grant.
            let _ = self.on_report(&report);
            self.stop_reply = Some(reply);
            self.allocate(myself);
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
                // If the report is lost, the shares expire at the end of their validity.
                let _ = send_report(&*transport, address, &report).await;
            }
            let _ = reply.send(());
        });
    }

    /// Replies to a planned stop once the allocation has no share of this host or the role is lost.
    pub(super) fn reply_to_stop(&mut self) {
        let recorded = self.ledger.as_ref().is_some_and(|ledger| {
            let mut entries = ledger.allocation().slots.values();
            entries.any(|entry| entry.incarnation == self.node.incarnation)
        });
        if !recorded && let Some(reply) = self.stop_reply.take() {
            // The caller may have timed out.
            let _ = reply.send(());
        }
    }
}
