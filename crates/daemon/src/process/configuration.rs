//! Actor that adopts new configuration versions and submits changes.

use crate::process::{
    change::{self, Accepted, HEAD_KEY, object_name},
    node::{Encoded, Node},
    send, transport,
};
use azurenotch_config::{change::Change, snapshot::Snapshot};
use azurenotch_core::process::adoption::{Action, Adoption, Origin};
use azurenotch_platform::table::{self, Expect, Fence, Row};
use azurenotch_wire::{
    event::{Kind, Source},
    id::Host,
    peer::{Fetch, Fetched},
    time::Instant,
    version::{Digest, Version},
};
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use slog::{info, warn};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Interval between reads of the configuration head.
pub const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout for fetching a snapshot from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Callback for each newly adopted snapshot.
pub type Listener = Box<dyn Fn(Arc<Snapshot>) + Send + Sync>;

/// Adopts new configuration versions and submits changes.
#[derive(Debug)]
pub struct Configuration;

/// Message to the actor.
#[derive(Debug)]
pub enum Message {
    /// Read the head now.
    Poll,
    /// A read of the head, sent at this time, has ended.
    Head(Instant, table::Result<Option<Row>>),
    /// A peer reported its version.
    Announced(Host, Version),
    /// A peer answered a fetch.
    Fetched(Host, transport::Result<Fetched>),
    /// A load from the object store ended; the bytes are absent if it failed.
    Loaded(Version, Digest, Option<Vec<u8>>),
    /// An operator or the planner requests a change.
    Change(Change, Option<Fence>, RpcReplyPort<change::Result<Version>>),
    /// A requested change was accepted and published.
    Accepted(Change, Box<Accepted>, RpcReplyPort<change::Result<Version>>),
}

/// Arguments of the actor.
#[derive(derive_more::Debug)]
pub struct Arguments {
    /// Shared state of the host.
    pub node: Arc<Node>,
    /// Called after each adoption of a snapshot.
    #[debug(skip)]
    pub listener: Listener,
}

/// State of the actor.
#[derive(derive_more::Debug)]
pub struct State {
    node: Arc<Node>,
    #[debug(skip)]
    listener: Listener,
    adoption: Adoption,
    /// Whether a read of the head is in progress.
    reading: bool,
    /// Whether the last read of the head succeeded.
    store_answers: bool,
}

impl Actor for Configuration {
    type Msg = Message;
    type State = State;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        arguments: Arguments,
    ) -> Result<State, ActorProcessingErr> {
        myself.send_message(Message::Poll)?;
        drop(myself.send_interval(POLL_INTERVAL, || Message::Poll));
        Ok(State {
            node: arguments.node,
            listener: arguments.listener,
            adoption: Adoption::new(),
            reading: false,
            store_answers: true,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            Message::Poll => state.poll(&myself),
            Message::Head(sent, read) => state.on_head(sent, read),
            Message::Announced(host, version) => state.adoption.on_heartbeat(&host, version),
            Message::Fetched(host, answer) => state.on_fetched(&host, answer),
            Message::Loaded(version, digest, bytes) => state.on_loaded(version, &digest, bytes),
            Message::Change(change, fence, reply) => {
                spawn_change(&state.node, &myself, change, fence, reply);
            }
            Message::Accepted(change, accepted, reply) => {
                state.on_accepted(&change, *accepted, reply);
            }
        }
        state.fetch(&myself);
        Ok(())
    }
}

impl State {
    fn poll(&mut self, myself: &ActorRef<Message>) {
        // At most one read is in progress, so that reads of a slow table do not pile up.
        if std::mem::replace(&mut self.reading, true) {
            return;
        }
        let node = Arc::clone(&self.node);
        let myself = myself.clone();
        tokio::spawn(async move {
            let sent = node.clock.now();
            let read = node.table.get(HEAD_KEY).await;
            send(&myself, Message::Head(sent, read));
        });
    }

    fn on_head(&mut self, sent: Instant, read: table::Result<Option<Row>>) {
        self.reading = false;
        self.set_store_answers(read.is_ok());
        let Ok(row) = read else { return };
        let head = match row.as_ref().map(change::decode_head).transpose() {
            Ok(head) => head,
            Err(error) => {
                warn!(self.node.log, "config: head is malformed"; "error" => %error);
                return;
            }
        };
        let version = head.as_ref().map(|head| head.version).unwrap_or_default();
        self.node
            .evidence
            .update(|evidence| evidence.on_head(sent, version));
        if let Some(head) = &head
            && let Err(error) = self.adoption.on_head(head)
        {
            warn!(self.node.log, "config: head rejected"; "error" => %error);
        }
        if version < self.node.version() {
            self.restore(row.map_or(Expect::Absent, |row| Expect::Version(row.version)));
        }
    }

    /// Publishes the version in force again, because the stored head is older.
    ///
    /// A table restored from a backup has an older head, but an accepted version must not be lost.
    fn restore(&self, expect: Expect) {
        let node = Arc::clone(&self.node);
        let Some(encoded) = node.encoded.load_full() else {
            return;
        };
        tokio::spawn(async move {
            let outcome = change::publish(&node, &encoded, expect, None).await;
            info!(node.log, "config: stored head older than version in force";
                "version" => %encoded.version, "restored" => matches!(outcome, Ok(true)));
        });
    }

    fn set_store_answers(&mut self, answers: bool) {
        if std::mem::replace(&mut self.store_answers, answers) == answers {
            return;
        }
        let state = if answers {
            azurenotch_wire::event::Reachability::Live
        } else {
            azurenotch_wire::event::Reachability::Suspect
        };
        self.node.recorder.record(Kind::Store { state });
    }

    /// Starts the next fetch of a snapshot if one is due.
    fn fetch(&mut self, myself: &ActorRef<Message>) {
        let node = Arc::clone(&self.node);
        let myself = myself.clone();
        match self.adoption.poll(node.clock.now()) {
            Action::Wait(_) => {}
            Action::FetchFromPeer { host, .. } => {
                tokio::spawn(async move {
                    let answer = fetch_from_peer(&node, &host).await;
                    send(&myself, Message::Fetched(host, answer));
                });
            }
            Action::LoadFromStore { version, digest } => {
                tokio::spawn(async move {
                    let bytes = node.store.get(&object_name(&digest)).await.ok().flatten();
                    send(&myself, Message::Loaded(version, digest, bytes));
                });
            }
        }
    }

    fn on_fetched(&mut self, host: &Host, answer: transport::Result<Fetched>) {
        let now = self.node.clock.now();
        let Ok(answer) = answer else {
            self.adoption.on_failed(now, &Origin::Peer(host.clone()));
            return;
        };
        match (self.adoption.on_fetched(now, host, &answer), answer) {
            (
                Ok(Some(candidate)),
                Fetched::Snapshot {
                    version,
                    digest,
                    bytes,
                },
            ) => {
                let encoded = Encoded {
                    version,
                    digest,
                    bytes,
                };
                if !self.adopt_bytes(encoded, Source::Peer) {
                    self.adoption.on_invalid(now, &candidate);
                }
            }
            (Ok(_), _) => {}
            (Err(error), _) => {
                warn!(self.node.log, "config: snapshot from peer rejected";
                    "peer" => %host, "error" => %error);
            }
        }
    }

    fn on_loaded(&mut self, version: Version, digest: &Digest, bytes: Option<Vec<u8>>) {
        let now = self.node.clock.now();
        let Some(bytes) = bytes else {
            self.adoption.on_failed(now, &Origin::Store);
            return;
        };
        match self.adoption.on_loaded(now, version, digest, &bytes) {
            Ok(candidate) => {
                let encoded = Encoded {
                    version,
                    digest: digest.clone(),
                    bytes,
                };
                if !self.adopt_bytes(encoded, Source::Store) {
                    self.adoption.on_invalid(now, &candidate);
                }
            }
            Err(error) => {
                warn!(self.node.log, "config: snapshot from store rejected"; "error" => %error);
            }
        }
    }

    fn on_accepted(
        &mut self,
        change: &Change,
        accepted: Accepted,
        reply: RpcReplyPort<change::Result<Version>>,
    ) {
        let version = accepted.snapshot.version;
        let event = Kind::Accepted {
            version,
            change: change.describe().to_string(),
        };
        self.node.recorder.record(event);
        self.adopt(accepted.snapshot, accepted.encoded, Source::Change);
        // The requester may have timed out.
        let _ = reply.send(Ok(version));
    }

    /// Decodes and adopts a verified snapshot; returns `false` if it is malformed.
    fn adopt_bytes(&mut self, encoded: Encoded, source: Source) -> bool {
        match Snapshot::decode(&encoded.bytes) {
            Ok(snapshot) if snapshot.version == encoded.version => {
                self.adopt(snapshot, encoded, source);
                true
            }
            _ => false,
        }
    }

    fn adopt(&mut self, snapshot: Snapshot, encoded: Encoded, source: Source) {
        let version = encoded.version;
        // A newer version may have been adopted while this one was being fetched.
        if self.adoption.adopt(version, &encoded.digest).is_err() {
            return;
        }
        let snapshot = Arc::new(snapshot);
        self.node.gateway.adopt(Arc::clone(&snapshot));
        self.node.encoded.store(Some(Arc::new(encoded)));
        self.node
            .evidence
            .update(|evidence| evidence.on_adopted(version));
        self.node.recorder.record(Kind::Adopted { version, source });
        (self.listener)(snapshot);
    }
}

async fn fetch_from_peer(node: &Node, host: &Host) -> transport::Result<Fetched> {
    let peer = node
        .peers
        .load()
        .iter()
        .find(|peer| peer.host == *host)
        .map(|peer| peer.peer);
    let Some(peer) = peer else {
        return Ok(Fetched::Current);
    };
    let fetch = Fetch {
        held: node.version(),
    };
    transport::call(
        &*node.transport,
        peer,
        "/peer/snapshot",
        &fetch,
        FETCH_TIMEOUT,
    )
    .await
}

/// Runs a change in a separate task, so that a slow store does not delay adoptions.
fn spawn_change(
    node: &Arc<Node>,
    myself: &ActorRef<Message>,
    change: Change,
    fence: Option<Fence>,
    reply: RpcReplyPort<change::Result<Version>>,
) {
    let node = Arc::clone(node);
    let myself = myself.clone();
    tokio::spawn(async move {
        match change::accept(&node, &change, fence.as_ref()).await {
            Ok(accepted) => send(
                &myself,
                Message::Accepted(change, Box::new(accepted), reply),
            ),
            Err(error) => {
                if let Some(current) = error.current() {
                    node.recorder.record(Kind::Conflict { current });
                }
                // The requester may have timed out.
                let _ = reply.send(Err(error));
            }
        }
    });
}

/// Requests a change from the actor and waits for the result.
///
/// # Errors
///
/// Returns why the change was not accepted, or [`change::Error::Ambiguous`] on a timeout.
pub async fn request(
    actor: &ActorRef<Message>,
    change: Change,
    fence: Option<Fence>,
    timeout: Duration,
) -> change::Result<Version> {
    let call = actor.call(|reply| Message::Change(change, fence, reply), Some(timeout));
    match time::timeout(timeout + POLL_INTERVAL, call).await {
        Ok(Ok(ractor::rpc::CallResult::Success(outcome))) => outcome,
        _ => Err(change::Error::Ambiguous),
    }
}
