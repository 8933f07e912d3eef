//! Log lines of a host, written in batches by a thread of their own.
//!
//! A reader of the standard output that stalls never holds up a request: lines beyond the bound
//! are counted and dropped. Warnings, which tell of failures, have a bound of their own and wait
//! for the reader.

use slog::{Drain, Level, Logger, Never, OwnedKVList, Record, o};
use std::{
    fmt::Debug,
    io::{self, Write},
    mem,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::Duration,
};
use tokio::time::sleep;

/// Time between two batches.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);
/// Bytes of the usual lines of one batch, and again of its failures; 640 KB a second at most.
const MAX_BATCH_BYTES: usize = 64 * 1024;
/// Batches that wait for the standard output.
const MAX_QUEUED_BATCHES: usize = 4;
/// Stack of the writing thread in bytes.
const WRITER_STACK_BYTES: usize = 64 * 1024;

/// Lines of one kind that were not handed to the writing thread yet.
#[derive(Debug, Default)]
struct Batch {
    bytes: Vec<u8>,
    dropped: u64,
}

impl Batch {
    /// Takes the lines, followed by one that tells how many were dropped.
    fn take(&mut self, kind: &str) -> Vec<u8> {
        if self.dropped > 0 {
            let dropped = mem::take(&mut self.dropped);
            let line = format!(
                "{{\"msg\":\"journal: dropped\",\"kind\":\"{kind}\",\"lines\":{dropped}}}\n"
            );
            self.bytes.extend_from_slice(line.as_bytes());
        }
        mem::take(&mut self.bytes)
    }
}

/// End of the log at which lines of one kind are collected.
#[derive(Debug, Clone, Default)]
struct Sink(Arc<Mutex<Batch>>);

impl Sink {
    fn lock(&self) -> MutexGuard<'_, Batch> {
        // A batch is never left half changed.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.lock().bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Log of a host.
#[derive(Debug)]
pub struct Journal {
    usual: Sink,
    failures: Sink,
    batches: SyncSender<Vec<u8>>,
}

/// Drain for lines of one kind that drops those beyond the bound.
struct Bounded {
    json: Mutex<slog_json::Json<Sink>>,
    sink: Sink,
}

impl Bounded {
    fn new(sink: &Sink) -> Self {
        Self {
            json: Mutex::new(slog_json::Json::default(sink.clone())),
            sink: sink.clone(),
        }
    }

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) {
        let mut batch = self.sink.lock();
        if batch.bytes.len() >= MAX_BATCH_BYTES {
            batch.dropped += 1;
            return;
        }
        drop(batch);
        if let Ok(json) = self.json.lock() {
            // Writing to memory fails for no line that can be encoded.
            drop(json.log(record, values));
        }
    }
}

/// Drain that keeps warnings apart, so that they are not dropped before usual lines.
struct Split {
    usual: Bounded,
    failures: Bounded,
    level: Level,
}

impl Drain for Split {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        if record.level().is_at_least(Level::Warning) {
            self.failures.log(record, values);
        } else if record.level().is_at_least(self.level) {
            self.usual.log(record, values);
        }
        Ok(())
    }
}

impl Journal {
    /// Creates a log that is written to `output` by a thread of its own.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub fn open(level: Level, output: impl Write + Send + 'static) -> io::Result<(Self, Logger)> {
        let (usual, failures) = (Sink::default(), Sink::default());
        let split = Split {
            usual: Bounded::new(&usual),
            failures: Bounded::new(&failures),
            level,
        };
        let (batches, waiting) = sync_channel(MAX_QUEUED_BATCHES);
        thread::Builder::new()
            .name("journal".to_owned())
            .stack_size(WRITER_STACK_BYTES)
            .spawn(move || write(&waiting, output))?;
        let journal = Self {
            usual,
            failures,
            batches,
        };
        Ok((journal, Logger::root(split, o!())))
    }

    /// Hands lines to the writing thread from time to time, for ever.
    pub async fn run(&self) {
        loop {
            sleep(FLUSH_INTERVAL).await;
            self.flush();
        }
    }

    /// Hands the lines so far to the writing thread.
    ///
    /// If the standard output stalls, usual lines are dropped and failures wait.
    pub fn flush(&self) {
        self.enqueue(&self.failures, "failures", true);
        self.enqueue(&self.usual, "usual", false);
    }

    fn enqueue(&self, sink: &Sink, kind: &str, keeps_lines: bool) {
        let mut batch = sink.lock();
        if batch.bytes.is_empty() {
            return;
        }
        let bytes = batch.take(kind);
        let Err(TrySendError::Full(bytes) | TrySendError::Disconnected(bytes)) =
            self.batches.try_send(bytes)
        else {
            return;
        };
        if keeps_lines {
            batch.bytes = bytes;
        } else {
            batch.dropped += bytes.split(|byte| *byte == b'\n').count() as u64 - 1;
        }
    }
}

fn write(batches: &Receiver<Vec<u8>>, mut output: impl Write) {
    while let Ok(batch) = batches.recv() {
        // Nobody is left to tell that the output is gone.
        if output
            .write_all(&batch)
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
    }
}

#[cfg(test)]
mod tests;
