//! Section `[usage]`: reports of the requests that servers ran for each workspace.

use super::MAX_DURATION_S;
use azurenotch_config::ini::{Errors, Section};
use std::{net::SocketAddr, time::Duration};

/// Name of the section in settings that list several duties of the hosts.
const DUTY: &str = "usage-reports";

/// Section `[usage]`: reports of the requests that servers ran for each workspace.
///
/// Without the section, hosts neither count nor report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Usage {
    /// Address to which the reports are sent.
    pub address: SocketAddr,
    /// Length of the window that a report covers.
    pub window: Duration,
    /// Time after the end of a window within which its report is due.
    pub late: Duration,
    /// Time for which a former holder of the duty may still be sending.
    pub lease: Duration,
}

/// Returns whether a section with this name is about a duty other than usage reports.
///
/// The template renders one section for each duty that the platform names.
pub(super) fn is_other_duty(name: &str) -> bool {
    !name.is_empty() && name != DUTY
}

/// Reads the section.
pub(super) fn read(section: &mut Section<'_>, errors: &mut Errors) -> Option<Usage> {
    let address = section.required("address", errors);
    let mut time = |name, default, least| {
        let value = section.default_in(name, default, least..=MAX_DURATION_S, errors);
        value.map(Duration::from_secs_f64)
    };
    // Windows are written into the store one by one, and the time of day has milliseconds.
    let window = time("window-s", 5.0, 1.0);
    let late = time("late-s", 10.0, 1.0);
    let lease = time("lease-s", 3.0, 0.0);
    Some(Usage {
        address: address?,
        window: window?,
        late: late?,
        lease: lease?,
    })
}
