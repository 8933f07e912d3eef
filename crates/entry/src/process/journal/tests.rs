//! Logging while the reader of the output stalls.

use super::{Journal, MAX_BATCH_BYTES, MAX_QUEUED_BATCHES};
use slog::{Level, info, warn};
use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, Sender, channel},
    thread::{sleep, spawn},
    time::{Duration, Instant},
};

/// Output that blocks until the test lets it continue.
struct Stalled {
    start: Receiver<()>,
    written: Sender<Vec<u8>>,
}

impl Write for Stalled {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // The test drops the other end to let the reader continue.
        self.start.recv().unwrap_or_default();
        let sent = self.written.send(bytes.to_vec());
        sent.map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_stalled_reader_bounds_the_log_and_blocks_nobody() {
    let (go, start) = channel();
    let (written, lines) = channel();
    let output = Stalled { start, written };
    let (journal, log) = Journal::open(Level::Info, "h1", output).expect("a thread starts");
    for _ in 0..2 * MAX_QUEUED_BATCHES {
        for number in 0..2 * MAX_BATCH_BYTES / 100 {
            info!(log, "a line of some length that fills the batch"; "number" => number);
        }
        journal.flush();
    }
    drop(go);
    let first = lines.recv().expect("a batch is written");
    assert!(
        first.len() <= MAX_BATCH_BYTES + 1024,
        "{} bytes",
        first.len()
    );
    let text = String::from_utf8(first).expect("valid text");
    let report = text.lines().find(|line| line.contains("journal: dropped"));
    let report = report.expect("a line reports the dropped lines");
    // Without these fields, `azurenotch explain` cannot show the line.
    for field in ["\"ts\":", "\"host\":\"h1\"", "\"kind\":\"usual\""] {
        assert!(report.contains(field), "{field} is missing in {report}");
    }
}

/// Guards against warnings that are dropped when usual lines flood a stalled log.
#[test]
fn failures_outlive_usual_lines() {
    const FAILURES: usize = 40;
    let (go, start) = channel();
    let (written, lines) = channel();
    let output = Stalled { start, written };
    let (journal, log) = Journal::open(Level::Info, "h1", output).expect("a thread starts");
    for failure in 0..FAILURES {
        for number in 0..2 * MAX_BATCH_BYTES / 100 {
            info!(log, "a line of some length that fills the batch"; "number" => number);
        }
        warn!(log, "failed"; "failure" => failure);
        journal.flush();
    }
    drop(go);
    let mut text = String::new();
    while (0..FAILURES).any(|failure| !text.contains(&format!("\"failure\":{failure}}}"))) {
        journal.flush();
        let batch = lines.recv_timeout(std::time::Duration::from_secs(5));
        text += &String::from_utf8(batch.expect("all failures are written")).expect("valid text");
    }
    assert!(text.contains("\"kind\":\"usual\""), "drops are reported");
}

/// Guards against a process that ends before its last lines are written.
#[test]
fn closing_waits_for_a_slow_reader() {
    let (go, start) = channel();
    let (written, lines) = channel();
    let output = Stalled { start, written };
    let (journal, log) = Journal::open(Level::Info, "h1", output).expect("a thread starts");
    for number in 0..=MAX_QUEUED_BATCHES {
        info!(log, "usual"; "number" => number);
        warn!(log, "failed"; "number" => number);
        journal.flush();
    }
    info!(log, "stopped");
    let reader = spawn(move || {
        sleep(Duration::from_millis(50));
        drop(go);
    });
    assert!(journal.close(Duration::from_secs(5)));
    reader.join().expect("no panic");
    let text: Vec<u8> = lines.iter().flatten().collect();
    let text = String::from_utf8(text).expect("valid text");
    let failures = text.lines().filter(|line| line.contains("\"failed\""));
    assert_eq!(failures.count(), MAX_QUEUED_BATCHES + 1, "{text}");
    assert!(text.contains("\"stopped\""), "{text}");
}

/// Guards against a process that never ends because nobody reads its log.
#[test]
fn closing_does_not_wait_for_a_stalled_reader() {
    let (_go, start) = channel();
    let (written, _lines) = channel();
    let output = Stalled { start, written };
    let (journal, log) = Journal::open(Level::Info, "h1", output).expect("a thread starts");
    info!(log, "stopped");
    let from = Instant::now();
    assert!(!journal.close(Duration::from_millis(20)));
    assert!(from.elapsed() < Duration::from_secs(5));
}

/// Guards against lines that are dropped, and miscounted, while a busy machine does not run the writer.
#[test]
fn a_reader_that_stalls_for_a_moment_loses_no_line() {
    const LINES: usize = 5 * MAX_QUEUED_BATCHES;
    let (go, start) = channel();
    let (written, lines) = channel();
    let output = Stalled { start, written };
    let (journal, log) = Journal::open(Level::Info, "h1", output).expect("a thread starts");
    for number in 0..LINES {
        info!(log, "usual"; "number" => number);
        journal.flush();
    }
    drop(go);
    assert!(journal.close(Duration::from_secs(5)));
    let text: Vec<u8> = lines.iter().flatten().collect();
    let text = String::from_utf8(text).expect("valid text");
    assert_eq!(text.lines().count(), LINES, "{text}");
}
