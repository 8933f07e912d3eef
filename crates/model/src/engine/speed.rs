//! Speed of servers, gossip of the figures that tell it, and health checks before a send.

use super::Engine;
use crate::event::{Check, Event};
use azurenotch_core::version::placement::{self, Choice, Figure, Finding, MAX_CHECK_TIME, Report};
use azurenotch_wire::time::Instant;
use rand::Rng;

impl Engine<'_> {
    /// Schedules the first periods of the servers, which do not begin at the same time.
    pub(super) fn schedule_periods(&mut self) {
        let Some(periods) = self.site.periods else {
            return;
        };
        for server in 0..self.servers.len() {
            let first = periods.length.mul_f64(self.random.random());
            let event = Event::Period { server };
            self.queue.push(Instant::ZERO + first, event);
        }
    }

    /// Draws the speed of a server for its next period.
    pub(super) fn begin_period(&mut self, server: usize) {
        let Some(periods) = self.site.periods else {
            return;
        };
        let slow = self.random.random_bool(periods.slow_share);
        self.servers[server].period_factor = if slow { periods.slow_factor } else { 1.0 };
        let event = Event::Period { server };
        self.queue.push(self.now + periods.length, event);
    }

    /// Returns what a server reports to the hosts of this variant.
    pub(super) fn report_of(&self, server: usize) -> Report {
        let server = &self.servers[server];
        let tells = self.variant.speed && self.site.periods.is_some();
        Report {
            load: server.load(),
            speed: tells.then(|| server.factor()),
        }
    }

    /// Returns the figures that a host reports to the others.
    pub(super) fn figures(&self, host: usize) -> Vec<(u32, Figure)> {
        let placement = &self.hosts[host].placement;
        placement::most_different(placement.figures(self.now).collect()).collect()
    }

    /// Asks the chosen server for its speed if that pays; returns whether it does.
    pub(super) fn begin_check(&mut self, request: usize, host: usize, choice: Choice) -> bool {
        let now = self.now;
        let placement = &mut self.hosts[host].placement;
        if !self.variant.checks
            || self.requests[request].is_checked
            || !placement.begin_check(now, &choice)
        {
            return false;
        }
        self.requests[request].is_checked = true;
        self.report.checks += u64::from(self.is_counted());
        let check = Check {
            request,
            host,
            server: self.hosts[host].server(&choice),
            choice,
        };
        let at = now + self.one_way_delay(host, check.server);
        self.queue.push(at, Event::Check(check));
        true
    }

    /// Answers a health check, unless the server is away.
    pub(super) fn answer_check(&mut self, check: Check) {
        let server = &self.servers[check.server];
        let report = server.is_up().then(|| self.report_of(check.server));
        let delay = self.one_way_delay(check.host, check.server);
        let at = match report {
            Some(_) => self.now + delay,
            None => self.now - delay + MAX_CHECK_TIME,
        };
        self.queue.push(at, Event::CheckEnded { check, report });
    }

    /// Sends the request for which a health check was made.
    pub(super) fn end_check(&mut self, check: Check, report: Option<Report>) {
        let now = self.now;
        let placement = &mut self.hosts[check.host].placement;
        let index = check.choice.index;
        if let Some(report) = report {
            placement.observe_report(now, index, &report);
        }
        placement.end_check(now, index);
        let chooses_again = report.is_some() && placement.finding(now, index) != Finding::Good;
        if self.requests[check.request].ended {
            return;
        }
        if chooses_again {
            self.dispatch(check.request, check.host);
        } else {
            self.send(check.request, check.host, check.choice);
        }
    }
}
