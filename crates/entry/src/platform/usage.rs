//! Reports of the requests that servers ran, and the store's row about them.

use super::Result;
use async_trait::async_trait;
use azurenotch_wire::id::{Host, Workspace};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, fmt::Debug, time::Duration};

/// Requests that servers began to run, by workspace.
pub type Counts = BTreeMap<Workspace, u32>;

/// Row of the usage reports in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Fencing token of the holder.
    pub token: u64,
    /// Host that sends the reports.
    pub holder: Host,
    /// Its incarnation.
    pub incarnation: u64,
    /// Last reports, oldest first.
    pub reports: Vec<Report>,
    /// Highest window of which no report is written any more, unless the row has it.
    pub floor: u64,
    /// The store's clock at the write; not below the real one.
    pub written: Duration,
}

/// Report of a window; it is sent as it stands in the row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Number of the window.
    pub window: u64,
    /// Requests that servers began to run in it.
    pub counts: Counts,
}

/// Row of the usage reports as the store returned it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored {
    /// The row; `None` if there is none.
    pub row: Option<Row>,
    /// Version of the row, with its [`Era`]; its number is 0 if there is no row.
    ///
    /// [`Era`]: crate::era::Era
    pub version: u64,
    /// Reading of the store's monotonic clock.
    pub clock: Duration,
}

/// Report on its way, with the right to send it.
#[derive(Debug, Clone, Copy)]
pub struct Call<'a> {
    /// Report as it stands in the row.
    pub report: &'a Report,
    /// Host that holds the duty.
    pub holder: &'a Host,
    /// Its fencing token.
    pub token: u64,
}

/// Client of the platform's accounts, which take the reports.
#[async_trait]
pub trait Accounts: Debug + Send + Sync {
    /// Sends a report if `may_send` still holds immediately before.
    ///
    /// After an error, no byte of the call is sent any more.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Expired`] if `may_send` did not hold, and with [`Error::Lost`] if no
    /// answer came; the report may have been accepted then.
    ///
    /// [`Error::Expired`]: super::Error::Expired
    /// [`Error::Lost`]: super::Error::Lost
    async fn report(&self, call: &Call<'_>, may_send: &(dyn Fn() -> bool + Sync)) -> Result<()>;
}
