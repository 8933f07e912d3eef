//! Endpoint that receives the reports and checks their order.

use azurenotch_core::process::usage::{Report, Setting, Window};
use std::collections::BTreeMap;

/// Report that arrived.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub host: usize,
    pub incarnation: u64,
    pub token: u64,
    pub report: Report,
}

#[derive(Debug, Default)]
pub struct Cloud {
    /// Accepted reports with the time of the first arrival.
    pub accepted: BTreeMap<Window, (u64, Report)>,
    holders: BTreeMap<u64, (usize, u64)>,
    /// Last arrival from each host, and the host of the last arrival.
    last: BTreeMap<usize, u64>,
    holder: Option<usize>,
    /// Whether it does not answer.
    pub down_until: u64,
    pub broken: Vec<String>,
}

impl Cloud {
    pub fn receive(&mut self, now: u64, arrival: Arrival, setting: &Setting) {
        let Arrival {
            host,
            incarnation,
            token,
            report,
        } = arrival;
        let window = report.window;
        if let Some((highest, _)) = self.holders.last_key_value()
            && *highest > token
        {
            self.fail(now, format!("token {token:x} after {highest:x}"));
        }
        let holder = *self.holders.entry(token).or_insert((host, incarnation));
        // A restarted host counts as another one, as nobody can tell whose send is the later one.
        if holder != (host, incarnation) {
            let text = format!(
                "token {token:x} of {holder:?} and {:?}",
                (host, incarnation)
            );
            self.fail(now, text);
        }
        let before = self.last.insert(host, now);
        let is_return = self.holder.replace(host).is_some_and(|last| last != host);
        if is_return && before.is_some_and(|at| now < at + setting.lease.as_millis() as u64) {
            self.fail(now, format!("holder {host} again within the lease"));
        }
        let (_, first) = self.accepted.entry(window).or_insert((now, report.clone()));
        if *first != report {
            let text = format!("window {window} has two reports: {first:?}, {report:?}");
            self.fail(now, text);
        }
    }

    fn fail(&mut self, now: u64, text: String) {
        self.broken.push(format!("{now} ms: {text}"));
    }
}
