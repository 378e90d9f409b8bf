use std::{
    cell::RefCell,
    collections::HashMap,
    io::{self, Write},
    sync::{
        OnceLock,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread::{self, Thread},
    time::{Duration, Instant},
};

use anyhow::Context as _;
use log::LevelFilter;

use crate::{
    core::Time,
    node::{log_dispatch, log_panics},
};

/// Maximum number of lines queued for a slow reader of standard output. Further lines are dropped and counted.
const QUEUE_LINES: usize = 2_048;
/// Interval over which lines are batched into one write.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Lines of one kind that may be logged in a burst.
const BURST_LINES: f64 = 60.0;
/// Sustained rate of lines of one kind, per second.
const LINES_PER_SECOND: f64 = 10.0;

/// Maximum time for which the exit of the process waits for the last lines to be written. A reader that is late by more is
/// taken to read no more.
const MAX_FLUSH_TIME: Duration = Duration::from_secs(1);
/// Interval at which the exit checks whether they are written.
const FLUSH_CHECK_INTERVAL: Duration = Duration::from_millis(1);

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);
static QUEUED_LINES: AtomicU64 = AtomicU64::new(0);
static WRITTEN_LINES: AtomicU64 = AtomicU64::new(0);
static WRITER: OnceLock<Thread> = OnceLock::new();

/// Starts logging structured lines, also about panics, to standard output.
///
/// A reader that stops reading does not delay the process: a separate thread writes the lines, and lines are dropped
/// when its queue is full.
///
/// # Errors
///
/// Fails if a logger is already installed or the thread cannot be started.
pub fn start_logging(level: LevelFilter) -> anyhow::Result<LogFlush> {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    let writer = thread::Builder::new()
        .name("log".into())
        .stack_size(128 << 10)
        .spawn(move || write_lines(&receiver))
        .context("start the log thread")?;
    WRITER.get_or_init(|| writer.thread().clone());
    let queue: Box<dyn Write + Send> = Box::new(QueueWriter {
        sender: sender.clone(),
        line: Vec::new(),
    });
    log_dispatch(level, true)
        .chain(queue)
        .apply()
        .context("install the logger")?;
    log_panics(true, move |line| enqueue(&sender, line.into_bytes()));
    Ok(LogFlush(()))
}

/// Waits, when dropped, until the lines logged so far are written, for 1 s at most. To be dropped before the process exits,
/// which a panic does, too.
#[derive(Debug)]
pub struct LogFlush(());

impl LogFlush {
    /// Waits like a drop, for `left` at most.
    pub fn within(self, left: Duration) {
        flush_logs(left.min(MAX_FLUSH_TIME));
        std::mem::forget(self);
    }
}

impl Drop for LogFlush {
    fn drop(&mut self) {
        flush_logs(MAX_FLUSH_TIME);
    }
}

fn flush_logs(limit: Duration) {
    let Some(writer) = WRITER.get() else {
        return;
    };
    let queued = QUEUED_LINES.load(Ordering::Relaxed);
    let end = Instant::now() + limit;
    while WRITTEN_LINES.load(Ordering::Relaxed) < queued && Instant::now() < end {
        writer.unpark();
        thread::sleep(FLUSH_CHECK_INTERVAL);
    }
}

fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut reported = 0;
    while let Ok(first) = lines.recv() {
        thread::park_timeout(WRITE_INTERVAL);
        let mut batch = first;
        let mut count = 1;
        for line in lines.try_iter() {
            batch.extend_from_slice(&line);
            count += 1;
        }
        let dropped = DROPPED_LINES.load(Ordering::Relaxed);
        if dropped > reported {
            let line = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"dropped\":{dropped}}}\n"
            );
            batch.extend_from_slice(line.as_bytes());
            reported = dropped;
        }
        // A failed write to standard output cannot be reported anywhere.
        let _ = write_whole(&mut io::stdout().lock(), &batch);
        WRITTEN_LINES.fetch_add(count, Ordering::Relaxed);
    }
}

/// Writes all bytes, also to a non-blocking output whose reader is slow. Giving up in the middle would join two lines.
fn write_whole(output: &mut impl Write, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match output.write(bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => bytes = &bytes[written..],
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                thread::sleep(WRITE_INTERVAL)
            }
            Err(error) => return Err(error),
        }
    }
    loop {
        match output.flush() {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                thread::sleep(WRITE_INTERVAL)
            }
            result => return result,
        }
    }
}

struct QueueWriter {
    sender: SyncSender<Vec<u8>>,
    line: Vec<u8>,
}

impl Write for QueueWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let line = std::mem::take(&mut self.line);
        if !line.is_empty() {
            enqueue(&self.sender, line);
        }
        Ok(())
    }
}

fn enqueue(sender: &SyncSender<Vec<u8>>, line: Vec<u8>) {
    let counter = match sender.try_send(line) {
        Ok(()) => &QUEUED_LINES,
        Err(_) => &DROPPED_LINES,
    };
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Rate limit for log lines of each kind.
#[derive(Debug, Default)]
pub(super) struct LogLimiter {
    buckets: RefCell<HashMap<&'static str, TokenBucket>>,
}

#[derive(Debug)]
struct TokenBucket {
    tokens: f64,
    refilled: Time,
    suppressed: u64,
}

impl LogLimiter {
    /// Returns the number of lines of this kind that were suppressed before this one, or None if this one is suppressed
    /// as well.
    pub(super) fn admit(&self, now: Time, kind: &'static str) -> Option<u64> {
        let mut buckets = self.buckets.borrow_mut();
        let bucket = buckets.entry(kind).or_insert(TokenBucket {
            tokens: BURST_LINES,
            refilled: now,
            suppressed: 0,
        });
        let refill = now.since(bucket.refilled).as_secs_f64() * LINES_PER_SECOND;
        bucket.tokens = (bucket.tokens + refill).min(BURST_LINES);
        bucket.refilled = now;
        if bucket.tokens < 1.0 {
            bucket.suppressed += 1;
            return None;
        }
        bucket.tokens -= 1.0;
        Some(std::mem::take(&mut bucket.suppressed))
    }

    /// Returns the kinds of which lines were suppressed since the last admitted one, and their numbers.
    pub(super) fn suppressed(&self) -> Vec<(&'static str, u64)> {
        let buckets = self.buckets.borrow();
        let counts = buckets
            .iter()
            .map(|(kind, bucket)| (*kind, bucket.suppressed));
        counts.filter(|(_, suppressed)| *suppressed > 0).collect()
    }
}

/// Returns the number of lines dropped since the process started.
pub(super) fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}
