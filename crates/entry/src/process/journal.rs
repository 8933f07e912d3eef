//! Log of a host, written in batches by a thread of its own.
//!
//! A stalled reader of the standard output never delays a request: lines wait until it resumes, and
//! those beyond a bound are counted and dropped. Warnings and errors have a bound of their own.

use slog::{Drain, Level, Logger, Never, OwnedKVList, Record, o, warn};
use std::{
    fmt::Debug,
    io::{self, Write},
    mem,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// Time between two batches.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);
/// Bytes at which a batch of one kind takes no more lines.
///
/// Usual lines and failures have a batch each, so the log grows by 640 KB a second at most.
const MAX_BATCH_BYTES: usize = 64 * 1024;
/// Batches that are queued for the standard output.
const MAX_QUEUED_BATCHES: usize = 4;
/// Time between two looks at whether the last batches have been written.
const CLOSE_INTERVAL: Duration = Duration::from_millis(1);
/// Stack size of the writing thread in bytes.
const WRITER_STACK_BYTES: usize = 64 * 1024;

/// Lines of one kind that are not yet queued for the writing thread.
#[derive(Debug, Default)]
struct Batch {
    bytes: Vec<u8>,
    /// Number of lines that were dropped since the last report.
    dropped: u64,
    /// Whether the batch has a report; one of them is enough, however long the reader stalls.
    has_report: bool,
}

/// Writer that collects the lines of one kind.
#[derive(Debug, Clone, Default)]
struct Sink(Arc<Mutex<Batch>>);

impl Sink {
    fn lock(&self) -> MutexGuard<'_, Batch> {
        // A panic cannot leave a batch inconsistent, so a poisoned lock is safe to use.
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

/// Writer of a host's log.
#[derive(Debug)]
pub struct Journal {
    usual: Stream,
    failures: Stream,
    batches: SyncSender<Vec<u8>>,
    writer: JoinHandle<()>,
}

/// Lines of one kind, with a logger that reports how many were dropped.
#[derive(Debug)]
struct Stream {
    kind: &'static str,
    sink: Sink,
    reports: Logger,
}

impl Stream {
    fn new(kind: &'static str, host: &str, bounded: &Arc<Bounded>) -> Self {
        Self {
            kind,
            sink: bounded.sink.clone(),
            reports: Logger::root(
                Unbounded(Arc::clone(bounded)),
                o!("host" => host.to_owned()),
            ),
        }
    }

    /// Adds a line with the number of dropped lines, if any.
    fn report_dropped(&self) {
        let mut batch = self.sink.lock();
        if batch.dropped > 0 && !batch.has_report {
            let dropped = mem::take(&mut batch.dropped);
            batch.has_report = true;
            drop(batch);
            warn!(self.reports, "journal: dropped"; "kind" => self.kind, "lines" => dropped);
        }
    }
}

/// Drain for lines of one kind that drops those beyond [`MAX_BATCH_BYTES`].
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
        self.write(record, values);
    }

    fn write(&self, record: &Record<'_>, values: &OwnedKVList) {
        if let Ok(json) = self.json.lock() {
            // Writing to memory fails only for lines that cannot be encoded.
            drop(json.log(record, values));
        }
    }
}

/// Drain that ignores the bound; only for reports of dropped lines.
struct Unbounded(Arc<Bounded>);

impl Drain for Unbounded {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        self.0.write(record, values);
        Ok(())
    }
}

/// Drain that separates warnings and errors, so that a flood of usual lines drops none of them.
struct Split {
    usual: Arc<Bounded>,
    failures: Arc<Bounded>,
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
    /// Creates a log and the thread that writes it to `output`.
    ///
    /// Each line names `host`.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub fn open(
        level: Level,
        host: &str,
        output: impl Write + Send + 'static,
    ) -> io::Result<(Self, Logger)> {
        let usual = Arc::new(Bounded::new(&Sink::default()));
        let failures = Arc::new(Bounded::new(&Sink::default()));
        let (batches, waiting) = sync_channel(MAX_QUEUED_BATCHES);
        let writer = thread::Builder::new()
            .name("journal".to_owned())
            .stack_size(WRITER_STACK_BYTES)
            .spawn(move || write(&waiting, output))?;
        let journal = Self {
            usual: Stream::new("usual", host, &usual),
            failures: Stream::new("failures", host, &failures),
            batches,
            writer,
        };
        let split = Split {
            usual,
            failures,
            level,
        };
        let log = Logger::root(split, o!("host" => host.to_owned()));
        Ok((journal, log))
    }

    /// Flushes the log at a fixed interval; never returns.
    pub async fn run(&self) {
        loop {
            sleep(FLUSH_INTERVAL).await;
            self.flush();
        }
    }

    /// Queues all collected lines for the writing thread, or keeps them while the queue is full.
    pub fn flush(&self) {
        self.enqueue(&self.failures);
        self.enqueue(&self.usual);
    }

    /// Writes all collected lines and ends the log; returns whether that took at most `max_wait`.
    ///
    /// A stalled reader of the output may keep the last lines out of it.
    pub fn close(self, max_wait: Duration) -> bool {
        let end = Instant::now() + max_wait;
        let is_before_end = || {
            thread::sleep(CLOSE_INTERVAL);
            Instant::now() < end
        };
        let Self {
            usual,
            failures,
            batches,
            writer,
        } = self;
        for stream in [failures, usual] {
            stream.report_dropped();
            let mut rest = mem::take(&mut stream.sink.lock().bytes);
            while let Err(TrySendError::Full(bytes)) = batches.try_send(rest) {
                if !is_before_end() {
                    return false;
                }
                rest = bytes;
            }
        }
        // The writer ends after the last batch.
        drop(batches);
        while !writer.is_finished() {
            if !is_before_end() {
                return false;
            }
        }
        true
    }

    fn enqueue(&self, stream: &Stream) {
        stream.report_dropped();
        let mut batch = stream.sink.lock();
        if batch.bytes.is_empty() {
            return;
        }
        let bytes = mem::take(&mut batch.bytes);
        match self.batches.try_send(bytes) {
            Ok(()) => batch.has_report = false,
            Err(TrySendError::Full(bytes) | TrySendError::Disconnected(bytes)) => {
                batch.bytes = bytes;
            }
        }
    }
}

fn write(batches: &Receiver<Vec<u8>>, mut output: impl Write) {
    while let Ok(batch) = batches.recv() {
        // Without the output there is no place to report the failure.
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
