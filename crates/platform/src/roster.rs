//! The platform's list of hosts.

use async_trait::async_trait;
use azurenotch_wire::id::{DataCentre, Host};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::{fmt::Debug, net::SocketAddr};

/// Result of a roster operation.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Platform's list of live and leaving hosts, which may be out of date.
#[async_trait]
pub trait Roster: Debug + Send + Sync {
    /// Returns the listed hosts, including those that are being removed.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] if the platform does not answer within its timeout.
    async fn list(&self) -> Result<Vec<Entry>>;
}

/// One listed host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the host.
    pub host: Host,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Address that accepts callers' requests.
    pub address: SocketAddr,
    /// Address that accepts messages of other hosts.
    pub peer: SocketAddr,
    /// Address of its operators' interface.
    pub operator: SocketAddr,
    /// Whether the platform is removing it.
    pub leaving: bool,
}

/// Why the roster could not be read.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The platform did not answer.
    #[snafu(display("list of hosts is unavailable"))]
    Unavailable,
    /// The platform returned a status or body that the protocol does not define.
    #[snafu(display("list of hosts was answered with unexpected status {status}"))]
    Protocol {
        /// HTTP status.
        status: u16,
    },
}
