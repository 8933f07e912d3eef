//! Actor that keeps the configuration in force up to date.

use crate::process::{
    change::{self, Accepted, HEAD, object},
    node::{Encoded, Node},
    tell, transport,
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

/// Time between two reads of the head.
pub const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time for a peer to send its snapshot.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Called after a snapshot came into force.
pub type Listener = Box<dyn Fn(Arc<Snapshot>) + Send + Sync>;

/// Keeps the configuration in force up to date.
#[derive(Debug)]
pub struct Configuration;

/// Message to the actor.
#[derive(Debug)]
pub enum Message {
    /// Time to read the head.
    Poll,
    /// The head was read.
    Head(Instant, table::Result<Option<Row>>),
    /// A peer reported its version.
    Announced(Host, Version),
    /// A peer answered a fetch.
    Fetched(Host, transport::Result<Fetched>),
    /// The store answered a load.
    Loaded(Version, Digest, Option<Vec<u8>>),
    /// An operator or the planner asks for a change.
    Change(Change, Option<Fence>, RpcReplyPort<change::Result<Version>>),
    /// A change was accepted.
    Accepted(Change, Box<Accepted>, RpcReplyPort<change::Result<Version>>),
}

/// Arguments of the actor.
#[derive(derive_more::Debug)]
pub struct Arguments {
    /// Shared state of the host.
    pub node: Arc<Node>,
    /// Called after a snapshot came into force.
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
    /// Whether a read of the head is under way.
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
        // A slow store is asked by one read at a time.
        if std::mem::replace(&mut self.reading, true) {
            return;
        }
        let node = Arc::clone(&self.node);
        let myself = myself.clone();
        tokio::spawn(async move {
            let sent = node.clock.now();
            let read = node.table.get(HEAD).await;
            tell(&myself, Message::Head(sent, read));
        });
    }

    fn on_head(&mut self, sent: Instant, read: table::Result<Option<Row>>) {
        self.reading = false;
        self.note_store(read.is_ok());
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
            warn!(self.node.log, "config: head was refused"; "error" => %error);
        }
        if version < self.node.version() {
            self.restore(row.map_or(Expect::Absent, |row| Expect::Version(row.version)));
        }
    }

    /// Moves the head forward to the version in force.
    ///
    /// A store that was restored from a backup shows an older head. The version in force was
    /// accepted once, so it must not be lost.
    fn restore(&self, expect: Expect) {
        let node = Arc::clone(&self.node);
        let Some(encoded) = node.encoded.load_full() else {
            return;
        };
        tokio::spawn(async move {
            let outcome = change::publish(&node, &encoded, expect, None).await;
            info!(node.log, "config: head of the store was behind";
                "version" => %encoded.version, "restored" => matches!(outcome, Ok(true)));
        });
    }

    fn note_store(&mut self, answers: bool) {
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

    /// Starts the next fetch, if one is due.
    fn fetch(&mut self, myself: &ActorRef<Message>) {
        let node = Arc::clone(&self.node);
        let myself = myself.clone();
        match self.adoption.poll(node.clock.now()) {
            Action::Wait(_) => {}
            Action::FetchFromPeer { host, .. } => {
                tokio::spawn(async move {
                    let answer = ask(&node, &host).await;
                    tell(&myself, Message::Fetched(host, answer));
                });
            }
            Action::LoadFromStore { version, digest } => {
                tokio::spawn(async move {
                    let bytes = node.store.get(&object(&digest)).await.ok().flatten();
                    tell(&myself, Message::Loaded(version, digest, bytes));
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
                warn!(self.node.log, "config: snapshot of a peer was refused";
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
                warn!(self.node.log, "config: snapshot of the store was refused"; "error" => %error);
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
        // The operator may have gone away.
        let _ = reply.send(Ok(version));
    }

    /// Decodes and adopts a verified snapshot; returns whether it was well-formed.
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
        // A newer version may have been adopted while this one was under way.
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

async fn ask(node: &Node, host: &Host) -> transport::Result<Fetched> {
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

/// Runs a change beside the actor, so that a slow store does not hold up adoptions.
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
            Ok(accepted) => tell(
                &myself,
                Message::Accepted(change, Box::new(accepted), reply),
            ),
            Err(error) => {
                if let Some(current) = error.current() {
                    node.recorder.record(Kind::Conflict { current });
                }
                // The operator may have gone away.
                let _ = reply.send(Err(error));
            }
        }
    });
}

/// Asks the actor for a change.
///
/// # Errors
///
/// Returns why the change was not accepted; [`change::Error::Doubt`] if no answer came in time.
pub async fn request(
    actor: &ActorRef<Message>,
    change: Change,
    fence: Option<Fence>,
    timeout: Duration,
) -> change::Result<Version> {
    let call = actor.call(|reply| Message::Change(change, fence, reply), Some(timeout));
    match time::timeout(timeout + POLL_INTERVAL, call).await {
        Ok(Ok(ractor::rpc::CallResult::Success(outcome))) => outcome,
        _ => Err(change::Error::Doubt),
    }
}
