//! Guards against reports that are sent too early, by the wrong host or after the right to send ended.

use crate::process::{
    usage::{
        Action, Claim, Claims, Counts, Holder, Ledger, Moments, Part, Read, Report, Reporter, Row,
        Sent, Setting, Stored, View, Window, Write,
    },
    wall::Time,
};
use azurenotch_wire::{
    hash,
    id::{Host, Incarnation},
    time::Instant,
};
use std::time::Duration;
use test_case::test_case;

const SETTING: Setting = Setting {
    window: Duration::from_secs(5),
    late: Duration::from_secs(10),
    lease: Duration::from_secs(3),
};
/// Begin of window 100, which is the start of each test.
const BEGIN: Time = Time(500_000);
const STEP_MS: u64 = 50;
/// Token of the first holder in the first era.
const TOKEN: u64 = 1 << 32;

/// One host with a store and an endpoint that answer at once or not at all.
struct Bench {
    reporter: Reporter,
    ledger: Ledger,
    claims: Claims,
    rank: Option<usize>,
    era: u32,
    row: Option<Row>,
    version: u64,
    /// Times at which the store and the endpoint do not answer, in milliseconds.
    store_down: std::ops::Range<u64>,
    cloud_down: std::ops::Range<u64>,
    now: u64,
    /// Calls with their times in milliseconds.
    calls: Vec<(u64, String)>,
}

fn host(name: &str) -> Host {
    Host::from(name)
}

fn report(window: u64, count: u32) -> Report {
    Report {
        window: Window(window),
        counts: Counts::from([(7, count)]),
    }
}

/// Returns the row that the host `other` wrote at `at_ms`.
fn other_row(reports: &[Report], at_ms: i64) -> Row {
    Row {
        token: TOKEN + 5,
        holder: Holder {
            host: host("other"),
            incarnation: Incarnation(1),
        },
        reports: reports.to_vec(),
        floor: Window(0),
        clock: Duration::from_millis(100_000_u64.saturating_add_signed(at_ms)),
    }
}

impl Bench {
    fn new(rank: usize, row: Option<Row>) -> Self {
        let mut bench = Self {
            reporter: Reporter::new(SETTING, host("own"), Incarnation(1)),
            ledger: Ledger::new(SETTING),
            claims: Claims::default(),
            rank: Some(rank),
            era: 1,
            row,
            version: 7,
            store_down: 0..0,
            cloud_down: 0..0,
            now: 0,
            calls: Vec::new(),
        };
        // One host sent one request in each window from 98 to 101.
        let part = Part {
            first: Window(98),
            rows: vec![(7, vec![1; 4])],
        };
        let sender = host("sender");
        bench.ledger.receive(BEGIN, &sender, Incarnation(1), &part);
        bench
    }

    fn moments(&self) -> Moments {
        let now = Instant::from_millis(self.now);
        Moments {
            steady: now,
            boot: now,
            time: Some(BEGIN + Duration::from_millis(self.now)),
        }
    }

    fn clock(&self) -> Duration {
        Duration::from_millis(100_000 + self.now)
    }

    /// Polls until `until_ms`; returns the calls since the last time.
    fn run(&mut self, until_ms: u64) -> Vec<(u64, String)> {
        while self.now < until_ms {
            let moments = self.moments();
            let view = View {
                rank: self.rank,
                era: self.era,
                claims: &self.claims,
                ledger: &self.ledger,
            };
            match self.reporter.poll(moments, &view) {
                Action::Wait(until) => {
                    assert!(until > moments.steady);
                    self.now += STEP_MS;
                }
                action => self.perform(action),
            }
        }
        std::mem::take(&mut self.calls)
    }

    fn perform(&mut self, action: Action) {
        let moments = self.moments();
        let store_answers = !self.store_down.contains(&self.now);
        let text = match action {
            Action::Read if store_answers => {
                let row = self.row.clone();
                let stored = Stored {
                    row: row.map(|row| (self.version, row)),
                    clock: self.clock(),
                    era: self.era,
                };
                self.reporter.on_read(moments, Read::Stored(stored));
                "read".to_owned()
            }
            Action::Read => {
                self.reporter.on_read(moments, Read::Unavailable);
                "read lost".to_owned()
            }
            Action::Write { row, .. } if !store_answers => {
                self.reporter.on_write(moments, Write::Unavailable);
                format!("write lost {:x}", row.token)
            }
            Action::Write { row, .. } => {
                self.version += 1;
                let written = Write::Written {
                    version: self.version,
                    era: self.era,
                    clock: Some(self.clock()),
                };
                assert_eq!(row.clock, self.clock());
                self.reporter.on_write(moments, written);
                let windows: Vec<u64> = row.reports.iter().map(|it| it.window.0).collect();
                let text = format!("write {windows:?} {:x}", row.token);
                self.row = Some(row);
                text
            }
            Action::Send { report, token } => {
                assert!(self.reporter.may_send(moments));
                let is_lost = self.cloud_down.contains(&self.now);
                let sent = if is_lost {
                    Sent::Unanswered
                } else {
                    Sent::Accepted
                };
                self.reporter.on_sent(moments, sent);
                let lost = if is_lost { " lost" } else { "" };
                format!("send{lost} {} of {} {token:x}", report.window, report.sum())
            }
            Action::Wait(_) => unreachable!("waits are not performed"),
        };
        self.calls.push((self.now, text));
    }

    fn hear(&mut self, claim: Claim) {
        let now = Instant::from_millis(self.now);
        let other = host("other");
        self.claims.receive(now, &other, Incarnation(1), claim);
    }
}

fn claim(written: u64, accepted: u64) -> Claim {
    Claim {
        token: TOKEN + 5,
        holder: hash::hash32("other"),
        written,
        accepted,
    }
}

fn texts(calls: &[(u64, String)]) -> Vec<(u64, &str)> {
    calls
        .iter()
        .map(|(at, text)| (*at, text.as_str()))
        .collect()
}

#[test]
fn the_holder_writes_once_and_sends_once_for_each_window() {
    let mut bench = Bench::new(0, Some(other_row(&[report(98, 9)], -9_000)));
    let calls = bench.run(22_000);
    // The other host did not send window 98, and this one may lack counts of window 99.
    let expected = [
        (2_600, "read"),
        (4_000, "write [98] 100000006"),
        (4_000, "send 98 of 9 100000006"),
        (7_600, "write [98, 99] 100000006"),
        (7_600, "send 99 of 1 100000006"),
        (10_000, "write [98, 99, 100] 100000006"),
        (10_000, "send 100 of 1 100000006"),
        (15_000, "write [98, 99, 100, 101] 100000006"),
        (15_000, "send 101 of 1 100000006"),
        (20_000, "write [99, 100, 101, 102] 100000006"),
        (20_000, "send 102 of 0 100000006"),
    ];
    assert_eq!(texts(&calls), expected);
}

/// Time of the first call in window 100 of a collector of this rank, if it heard this claim at 9 s.
#[test_case(0, None => Some(10_000); "first")]
#[test_case(1, None => Some(11_200); "second")]
#[test_case(2, None => Some(12_400); "third")]
#[test_case(1, Some((100, 100)) => None; "word that the window is accepted")]
#[test_case(1, Some((100, 99)) => Some(14_250); "word that the window is written")]
fn collectors_take_turns(rank: usize, heard: Option<(u64, u64)>) -> Option<u64> {
    let mut bench = Bench::new(rank, Some(other_row(&[report(99, 9)], 0)));
    bench.hear(claim(99, 99));
    bench.run(9_000);
    let (written, accepted) = heard.unwrap_or((99, 99));
    bench.hear(claim(written, accepted));
    bench.run(14_900).first().map(|(at, _)| *at)
}

#[test]
fn a_takeover_waits_for_the_lease_and_sends_what_was_written() {
    // The other host wrote the row at 600 ms and was killed.
    let row = other_row(&[report(97, 8), report(98, 9)], 600);
    let mut bench = Bench::new(1, Some(row));
    bench.hear(claim(98, 96));
    let calls = bench.run(7_900);
    // Window 97 was due at the start.
    let expected = [
        (4_250, "read"),
        (4_600, "write [97, 98] 100000006"),
        (4_600, "send 98 of 9 100000006"),
    ];
    assert_eq!(texts(&calls), expected);
}

/// Time of the write of window 101, which begins at 5 s, by a host that collects from 11 s on.
#[test_case(None => 15_000; "no host is lost")]
#[test_case(Some(4_900) => 15_000; "a host was lost before the window")]
#[test_case(Some(10_000) => 17_600; "a host was lost before this one collected")]
#[test_case(Some(13_000) => 15_000; "a host was lost after that")]
fn a_collector_without_all_counts_lets_others_write_first(lost_ms: Option<u64>) -> u64 {
    let mut bench = Bench::new(0, Some(other_row(&[report(100, 9)], 0)));
    let third = host("third");
    bench.rank = None;
    for at in [4_900, 10_000, 11_000, 13_000, 14_900] {
        bench.run(at);
        bench.rank = Some(0).filter(|_| at >= 11_000);
        bench.hear(claim(100, 100));
        let now = Instant::from_millis(at);
        if Some(at) == lost_ms {
            let claim = claim(100, 100);
            bench.claims.receive(now, &third, Incarnation(1), claim);
        }
    }
    if lost_ms.is_some() {
        bench.claims.forget(Instant::from_millis(14_900), &third);
    }
    let mut calls = bench.run(16_500);
    bench.hear(claim(100, 100));
    calls.extend(bench.run(18_000));
    let write = calls.iter().find(|(_, text)| text.starts_with("write"));
    write.expect("the window is written").0
}

/// First write after an outage of the store that begins at 9 s.
#[test_case(13_000 => (13_750, "write [98, 99, 100] 100000006".to_owned()); "window 100 is not due yet")]
#[test_case(19_000 => (19_750, "write [98, 99, 101] 100000006".to_owned()); "window 100 was due")]
fn windows_that_are_not_overdue_are_written_after_an_outage(until_ms: u64) -> (u64, String) {
    let mut bench = Bench::new(0, Some(other_row(&[report(98, 9)], -9_000)));
    bench.run(9_000);
    bench.store_down = 9_000..until_ms;
    let calls = bench.run(19_900);
    let lost = calls.iter().take_while(|(_, text)| text.contains("lost"));
    let lost = lost.count();
    assert!((1..=8).contains(&lost), "{calls:?}");
    calls[lost].clone()
}

#[test]
fn a_report_is_repeated_until_it_is_overdue_for_long() {
    let mut bench = Bench::new(0, Some(other_row(&[report(98, 9)], -9_000)));
    bench.run(9_000);
    bench.cloud_down = 9_000..24_950;
    let calls = bench.run(26_000);
    let sends = calls.iter().filter(|(_, text)| text.starts_with("send"));
    let (lost, kept): (Vec<_>, Vec<_>) = sends.partition(|(_, text)| text.contains("lost"));
    assert!(
        lost.iter()
            .all(|(_, text)| text == "send lost 100 of 1 100000006"),
        "{lost:?}"
    );
    assert!(lost.len() <= 10, "{lost:?}");
    // Window 100 is given up 20 s after its end, at 25 s.
    assert!(kept[0].1.starts_with("send 101"), "{kept:?}");
    assert!(kept[0].0 >= 25_000, "{kept:?}");
}

#[test_case(2_100, 0 => false; "suspended for longer than the right to send")]
#[test_case(0, 2_100 => false; "stopped for longer")]
#[test_case(1_900, 0 => true; "suspended for less")]
fn the_right_to_send_ends_on_both_clocks(suspended_ms: u64, stopped_ms: u64) -> bool {
    let mut bench = Bench::new(0, Some(other_row(&[report(98, 9)], -9_000)));
    let calls = bench.run(7_650);
    assert_eq!(texts(&calls)[3], (7_600, "write [98, 99] 100000006"));
    let at = |ms| Instant::from_millis(7_600 + ms);
    bench.reporter.may_send(Moments {
        steady: at(stopped_ms),
        boot: at(suspended_ms + stopped_ms),
        time: None,
    })
}

/// Windows in the row after the store came back at 10.5 s from a copy without window 100.
#[test_case(&[(12_000, 100)] => vec![99, 101]; "window 100 was written")]
#[test_case(&[(10_600, 99)] => vec![99, 101]; "the holder may have written it before it was lost")]
#[test_case(&[(12_000, 99)] => vec![99, 100, 101]; "the holder did not write it")]
fn a_lost_window_is_missing_rather_than_different(heard: &[(u64, u64)]) -> Vec<u64> {
    let mut bench = Bench::new(1, Some(other_row(&[report(99, 9)], 5_100)));
    bench.hear(claim(99, 99));
    bench.run(10_500);
    bench.era = 2;
    for (at, written) in heard {
        bench.run(*at);
        bench.hear(claim(*written, 99));
    }
    let calls = bench.run(17_000);
    // Who wrote last before the restore is unknown, so that the lease counts from when it was seen.
    let writes: Vec<_> = texts(&calls)
        .into_iter()
        .filter(|it| it.1.starts_with("write"))
        .collect();
    assert!(writes[0].0 >= 14_500, "{writes:?}");
    assert!(
        writes.iter().all(|it| it.1.ends_with("200000001")),
        "{writes:?}"
    );
    let row = bench.row.expect("the row was written");
    row.reports.iter().map(|report| report.window.0).collect()
}

#[test]
fn a_host_that_leaves_sends_what_it_wrote_and_writes_no_more() {
    let mut bench = Bench::new(0, Some(other_row(&[report(98, 9)], -9_000)));
    bench.run(9_000);
    bench.cloud_down = 9_000..10_200;
    bench.run(10_100);
    bench.rank = None;
    let calls = bench.run(20_000);
    assert_eq!(texts(&calls), [(10_250, "send 100 of 1 100000006")]);
}
