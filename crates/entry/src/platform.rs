//! Interface between an entry host and the platform it runs on.

use crate::{
    era::Era,
    model::{Fact, Outcome, Peer},
    protocol::Protocol,
};
use async_trait::async_trait;
use azurenotch_core::{
    process::suspect::{Report, Row},
    request::identity::Identity,
    version::placement,
};
use azurenotch_wire::id::{Host, Service};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::{fmt::Debug, net::SocketAddr, time::Duration};

pub mod usage;

/// Result of a call to the platform.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a call to the platform failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The store refused the call and changed nothing.
    #[snafu(display("the store refused the call with status {status}"))]
    Refused {
        /// Status of the answer.
        status: u16,
    },
    /// No answer arrived; the store may have executed the call.
    #[snafu(display("the store did not answer: {reason}"))]
    Lost {
        /// Cause, for logs.
        reason: String,
    },
    /// The store has compacted the requested versions; the subject has to be read in full.
    #[snafu(display("the store has compacted the requested versions"))]
    Compacted,
    /// The store has come back from an older copy; the subject has to be read in full.
    #[snafu(display("the store has come back from an older copy"))]
    Restored,
    /// The right to make the call ended before a connection was open; nothing was sent.
    #[snafu(display("the right to send has expired"))]
    Expired,
    /// A row does not have the version that the write requires.
    #[snafu(display("another host changed the row"))]
    Conflict,
    /// The answer cannot be decoded.
    #[snafu(display("cannot decode the store's answer: {reason}"))]
    Malformed {
        /// Which part is invalid, for logs.
        reason: String,
    },
}

/// Groups of rows that hosts read and follow separately.
///
/// The displayed names are labels of metrics and fields of log lines.
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

/// Rows that a read or a wait for changes returned.
#[derive(Debug)]
pub struct Batch {
    /// Decoded rows in the order of the store.
    pub facts: Vec<Fact>,
    /// Version of the store, with its [`Era`], up to which the answer is complete.
    ///
    /// [`Era`]: crate::era::Era
    pub version: u64,
    /// Reading of the store's monotonic clock.
    pub clock: Duration,
    /// Rejected requests, which stand beside the hosts.
    pub rejections: Vec<Rejection>,
    /// Keys of the rows that cannot be decoded, with the reason.
    pub unusable: Vec<(String, String)>,
}

/// Request that is rejected because servers crashed under it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rejection {
    /// What was known of it.
    pub report: Report,
    /// Reading of the store's monotonic clock when it was written.
    pub clock: Duration,
}

impl Rejection {
    /// Returns the row with its age by the store's clock, which shows `clock` now.
    pub(crate) fn into_row(self, clock: Duration) -> Row {
        Row {
            age: clock.saturating_sub(self.clock),
            report: self.report,
        }
    }
}

/// Client of the platform's store.
#[async_trait]
pub trait Store: Debug + Send + Sync {
    /// Reads all rows of a subject.
    async fn read(&self, subject: Subject) -> Result<Batch>;

    /// Waits up to `wait` for changes after the store's version `after`.
    ///
    /// `timeout` is the time limit of the whole call, connecting included.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Restored`] if `after` belongs to an earlier era of the store.
    async fn follow(
        &self,
        subject: Subject,
        after: u64,
        wait: Duration,
        timeout: Duration,
    ) -> Result<Batch>;

    /// Writes this host's row, which other hosts read to find it; returns the era of the write.
    async fn announce(&self, peer: &Peer) -> Result<Era>;

    /// Sends all further calls to another address.
    fn redirect(&self, address: SocketAddr);

    /// Removes the row of a host that no longer runs.
    async fn withdraw(&self, host: &Host) -> Result<()>;

    /// Writes a rejected request, for hosts that start when no other host knows of it.
    async fn keep_rejection(&self, rejection: &Rejection) -> Result<()>;

    /// Removes the row of a request that is not rejected any more.
    async fn drop_rejection(&self, identity: Identity) -> Result<()>;

    /// Writes the state of a version move.
    ///
    /// The write succeeds only if the order's row has version `order_version` and the state's row
    /// has version `state_version`, 0 if there is no such row. Returns the new version of the
    /// state's row.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Conflict`] if either version differs, in its number or in its era.
    async fn write_move_state(
        &self,
        service: &Service,
        outcome: &Outcome,
        order_version: u64,
        state_version: u64,
    ) -> Result<u64>;

    /// Reads the row of the usage reports.
    async fn read_usage(&self) -> Result<usage::Stored>;

    /// Writes the row of the usage reports; returns its new version and the store's clock.
    ///
    /// The write succeeds only if the row has this version, as [`Store::read_usage`] returned it.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Conflict`] if the version differs, in its number or in its era.
    async fn write_usage(&self, row: &usage::Row, version: u64) -> Result<(u64, Duration)>;
}

/// Protocol and body formats of the platform.
pub trait Format: Debug + Send + Sync {
    /// Returns the headers, paths and query fields.
    fn protocol(&self) -> &Protocol;

    /// Decodes the value of the header with the load of a backend server; `None` if it is malformed.
    fn load(&self, value: &str) -> Option<placement::Report>;

    /// Returns the body of an answer to a look-up, and its content type.
    fn look_up(&self, addresses: &[SocketAddr], lifetime: Duration) -> (Vec<u8>, &'static str);
}
