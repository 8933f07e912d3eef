//! What hosts tell each other of suspected requests in a round.

use super::{
    ALONE_FROM, Event, NEWS_TIME, Table,
    record::{Crash, Record},
    report::{self, Clearance, News, Report},
};
use crate::request::identity::Identity;
use azurenotch_wire::time::Instant;
use std::cmp::Reverse;

/// Largest number of records, and of clearances, in one message.
const MAX_NEWS: usize = 24;
/// Rejected requests that each message names beside the news, in turn.
const REMINDERS: usize = 4;

impl Table {
    /// Takes in what another host tells; returns what changed by it.
    ///
    /// `sender` is the hash of that host's name.
    pub fn receive(&mut self, now: Instant, sender: u32, news: &News) -> Vec<(Identity, Event)> {
        let mut events = Vec::new();
        for clearance in news.cleared.iter().take(MAX_NEWS) {
            let at = now - clearance.age();
            let Clearance {
                identity,
                software,
                generation,
                ..
            } = *clearance;
            let event = self.clear(identity, software, generation, at);
            events.extend(event.map(|event| (clearance.identity, event)));
        }
        for report in news.records.iter().take(2 * MAX_NEWS) {
            let crashes: Vec<Crash> = report.crashes(now).collect();
            let event = self.add(now, report.identity, &crashes);
            if event.is_none() {
                self.repeat_clearances(now, report.identity, &crashes);
            }
            events.extend(event.map(|event| (report.identity, event)));
            if let Some(record) = self.records.get_mut(&report.identity) {
                record.receive(now, self.own, sender, report);
            }
        }
        events
    }

    /// Tells a host again that a rejection has ended which it has from a copy of the store.
    fn repeat_clearances(&mut self, now: Instant, identity: Identity, crashes: &[Crash]) {
        let kinds = crashes.iter().map(|crash| crash.process.software);
        for kind in kinds {
            let key = (identity, kind);
            let answer = self.cleared.get(&key).filter(|answer| answer.lifts);
            let is_void = answer.is_some_and(|answer| {
                let mut voided = crashes.iter().filter(|it| it.process.software == kind);
                voided.any(|crash| answer.voids(crash))
            });
            let is_news = self.cleared_news.iter().any(|(known, _)| *known == key);
            if is_void && !is_news {
                self.cleared_news.push((key, now + NEWS_TIME));
            }
        }
    }

    /// Returns what the other hosts are told in a round; `round` is its number.
    ///
    /// A host that has just joined is told of all rejected requests that fit (`all`).
    pub fn news(&self, now: Instant, round: usize, all: bool) -> News {
        let is_news = |record: &&Record| record.news_until > now;
        let mut fresh: Vec<(&Identity, &Record)> = self.records.iter().collect();
        fresh.retain(|(_, record)| is_news(record));
        fresh.sort_unstable_by_key(|(identity, record)| (Reverse(record.count()), **identity));
        fresh.truncate(MAX_NEWS);
        let mut settled: Vec<(&Identity, &Record)> = self.records.iter().collect();
        settled.retain(|(_, record)| record.count() >= ALONE_FROM && !is_news(record));
        settled.sort_unstable_by_key(|(identity, _)| **identity);
        let reminders = if all { MAX_NEWS } else { REMINDERS };
        let first = if settled.is_empty() {
            0
        } else {
            round.wrapping_mul(REMINDERS) % settled.len()
        };
        settled.rotate_left(first);
        settled.truncate(reminders);
        let records = fresh.into_iter().chain(settled);
        let cleared = self.cleared_news.iter().rev();
        let cleared = cleared.filter(|(_, until)| *until > now);
        let clearances = cleared.filter_map(|(key, _)| {
            let answer = self.cleared.get(key)?;
            let (identity, software) = *key;
            Some(Clearance {
                identity,
                software,
                generation: answer.generation,
                age_ms: report::millis(now.since(answer.at)),
            })
        });
        News {
            records: records
                .map(|(identity, record)| Report::new(now, *identity, record, self.own))
                .collect(),
            cleared: clearances.take(MAX_NEWS).collect(),
        }
    }
}
