use std::{
    cell::RefCell,
    collections::HashMap,
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::Duration,
};

use anyhow::Context as _;
use log::LevelFilter;

use crate::{core::Time, node::log_dispatch};

/// Lines that wait for a slow reader of standard output. Further ones are dropped and counted.
const QUEUE_LINES: usize = 2_048;
/// Time for which lines are collected before one write.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Lines of one kind that may follow each other at once.
const BURST: f64 = 60.0;
/// Lines of one kind a second in the long run.
const RATE: f64 = 10.0;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Starts logging structured lines to standard output. A reader that stops reading delays nothing: lines are
/// written by a thread of their own and dropped when too many wait.
///
/// # Errors
///
/// Fails when a logger is installed already or no thread can be started.
pub fn start_logging(level: LevelFilter) -> anyhow::Result<()> {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    thread::Builder::new()
        .name("log".into())
        .stack_size(128 << 10)
        .spawn(move || write_lines(&receiver))
        .context("start the log thread")?;
    let queue: Box<dyn Write + Send> = Box::new(Queue {
        sender,
        line: Vec::new(),
    });
    log_dispatch(level, true)
        .chain(queue)
        .apply()
        .context("install the logger")
}

fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut reported = 0;
    while let Ok(first) = lines.recv() {
        thread::sleep(WRITE_INTERVAL);
        let mut batch = first;
        for line in lines.try_iter() {
            batch.extend_from_slice(&line);
        }
        let dropped = DROPPED.load(Ordering::Relaxed);
        if dropped > reported {
            let line = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"dropped\":{dropped}}}\n"
            );
            batch.extend_from_slice(line.as_bytes());
            reported = dropped;
        }
        // Without standard output there is nowhere to report to.
        let _ = io::stdout().lock().write_all(&batch);
        let _ = io::stdout().lock().flush();
    }
}

struct Queue {
    sender: SyncSender<Vec<u8>>,
    line: Vec<u8>,
}

impl Write for Queue {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let line = std::mem::take(&mut self.line);
        if !line.is_empty() && self.sender.try_send(line).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

/// Bounds the number of log lines of each kind.
#[derive(Debug, Default)]
pub(super) struct LogLimiter {
    kinds: RefCell<HashMap<&'static str, Kind>>,
}

#[derive(Debug)]
struct Kind {
    tokens: f64,
    at: Time,
    suppressed: u64,
}

impl LogLimiter {
    /// Returns the number of lines of this kind that were left out before this one, or None if this one is left
    /// out, too.
    pub(super) fn admit(&self, now: Time, kind: &'static str) -> Option<u64> {
        let mut kinds = self.kinds.borrow_mut();
        let kind = kinds.entry(kind).or_insert(Kind {
            tokens: BURST,
            at: now,
            suppressed: 0,
        });
        let earned = now.since(kind.at).as_secs_f64() * RATE;
        kind.tokens = (kind.tokens + earned).min(BURST);
        kind.at = now;
        if kind.tokens < 1.0 {
            kind.suppressed += 1;
            return None;
        }
        kind.tokens -= 1.0;
        Some(std::mem::take(&mut kind.suppressed))
    }
}

/// Returns the number of lines dropped so far.
pub(super) fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}
