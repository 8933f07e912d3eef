//! The platform on which hosts run, as the product sees it.

use crate::{
    model::{Fact, Outcome, Peer},
    protocol::Protocol,
};
use async_trait::async_trait;
use azurenotch_wire::id::{Host, Service};
use derive_more::Display;
use snafu::Snafu;
use std::{fmt::Debug, net::SocketAddr, time::Duration};

/// Result of a call to the platform.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a call to the platform failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// Nothing was done.
    #[snafu(display("the store refused the call with status {status}"))]
    Refused {
        /// Status of the answer.
        status: u16,
    },
    /// The call may have been done.
    #[snafu(display("the store did not answer: {reason}"))]
    Lost {
        /// What happened.
        reason: String,
    },
    /// The wanted history is no longer there; read everything anew.
    #[snafu(display("the history is no longer there"))]
    Compacted,
    /// A row has another version than the write requires.
    #[snafu(display("a row was changed by another host"))]
    Conflict,
    /// The answer cannot be read.
    #[snafu(display("the store's answer cannot be read: {reason}"))]
    Malformed {
        /// What is wrong.
        reason: String,
    },
}

/// What the store keeps for hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Subject {
    /// Configuration and orders of the operator.
    #[display("orders")]
    Orders,
    /// Backend servers.
    #[display("servers")]
    Servers,
    /// States of version moves.
    #[display("outcomes")]
    Outcomes,
    /// Entry hosts.
    #[display("hosts")]
    Hosts,
}

/// Answer to a read.
#[derive(Debug)]
pub struct Batch {
    /// What was read, in the order of the store.
    pub facts: Vec<Fact>,
    /// Version of the store up to which the answer is complete.
    pub version: u64,
    /// Reading of the store's steady clock.
    pub clock: Duration,
    /// Rows that cannot be used, with the reason.
    pub unusable: Vec<(String, String)>,
}

/// The platform's store.
#[async_trait]
pub trait Store: Debug + Send + Sync {
    /// Reads everything about a subject.
    async fn read(&self, subject: Subject) -> Result<Batch>;

    /// Waits up to `wait` for changes after a version of the store.
    async fn follow(&self, subject: Subject, after: u64, wait: Duration) -> Result<Batch>;

    /// Makes this host known to the others.
    async fn announce(&self, peer: &Peer) -> Result<()>;

    /// Makes further calls to another address.
    fn redirect(&self, address: SocketAddr);

    /// Removes a host that is gone.
    async fn withdraw(&self, host: &Host) -> Result<()>;

    /// Writes the state of a version move.
    ///
    /// The write succeeds only if the order has the version `order` and the state's row has the
    /// version `known`, 0 if there is none.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Conflict`] if a version differs.
    async fn conclude(
        &self,
        service: &Service,
        outcome: &Outcome,
        order: u64,
        known: u64,
    ) -> Result<u64>;
}

/// Formats of the platform.
pub trait Format: Debug + Send + Sync {
    /// Returns the names on the wire.
    fn protocol(&self) -> &Protocol;

    /// Returns the body of an answer to a look-up, and its content type.
    fn look_up(&self, addresses: &[SocketAddr], lifetime: Duration) -> (Vec<u8>, &'static str);
}
