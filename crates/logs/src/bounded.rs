//! A logger that never blocks and limits the number of lines per kind and second.
//!
//! The kind of a line is its `event=` field. Lines pass through a bounded queue to a thread that writes them. Lines
//! beyond the limit of their kind, or beyond a full queue, are dropped and counted, and the count is logged.

use std::{
    collections::HashMap,
    io::Write,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use log::{LevelFilter, Log, Metadata, Record};
use simplelog::{Config, SharedLogger};

/// Capacity of the queue: what a busy scheduler logs in a second.
const QUEUE_CAPACITY: usize = 2048;
/// Maximum number of lines of one kind per second. A burst of 15 jobs of 20 tasks per second logs 300 starts.
const MAX_PER_KIND: u32 = 400;
/// Interval after which the counts by kind are reset.
const WINDOW: Duration = Duration::from_secs(1);

/// Maximum time that a flush waits for lines to be written, so that a reader that does not read cannot block it.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which a flush that found the queue full retries.
const FLUSH_PAUSE: Duration = Duration::from_millis(2);

/// A message to the writing thread.
enum Message {
    Line(String),
    /// Requests a signal on this channel once all earlier lines have been written.
    Flush(SyncSender<()>),
}

/// Logger that passes lines to a writing thread without blocking.
pub(crate) struct BoundedLines {
    level: LevelFilter,
    queue: SyncSender<Message>,
    dropped: AtomicU64,
    kinds: Mutex<Kinds>,
}

struct Kinds {
    since: Instant,
    counts: HashMap<String, u32>,
}

impl BoundedLines {
    pub(crate) fn new(level: LevelFilter, out: Box<dyn Write + Send>) -> BoundedLines {
        let (queue, messages) = sync_channel(QUEUE_CAPACITY);
        std::thread::spawn(move || write_lines(&messages, out));
        BoundedLines {
            level,
            queue,
            dropped: AtomicU64::new(0),
            kinds: Mutex::new(Kinds { since: Instant::now(), counts: HashMap::new() }),
        }
    }

    fn push(&self, level: log::Level, message: &str) {
        let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let line = format!("{}.{:03} {level} {message}\n", at.as_secs(), at.subsec_millis());
        if self.queue.try_send(Message::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Counts a line and returns whether its kind is within its limit. Once per [`WINDOW`], resets the counts and logs
    /// how many lines were dropped.
    fn admit(&self, message: &str) -> bool {
        let kind = message.split_whitespace().find_map(|field| field.strip_prefix("event=")).unwrap_or("");
        let mut kinds = self.kinds.lock().expect("no holder panics");
        if kinds.since.elapsed() >= WINDOW {
            kinds.since = Instant::now();
            let counts = std::mem::take(&mut kinds.counts);
            self.log_dropped(&counts);
        }
        let count = kinds.counts.entry(kind.to_owned()).or_insert(0);
        *count += 1;
        *count <= MAX_PER_KIND
    }

    fn log_dropped(&self, counts: &HashMap<String, u32>) {
        for (kind, count) in counts.iter().filter(|(_, count)| **count > MAX_PER_KIND) {
            self.push(log::Level::Warn, &format!("event=log_left_out kind={kind} lines={}", count - MAX_PER_KIND));
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            self.push(log::Level::Warn, &format!("event=log_left_out kind=any lines={dropped} why=output_is_slow"));
        }
    }
}

fn write_lines(messages: &Receiver<Message>, mut out: Box<dyn Write + Send>) {
    while let Ok(first) = messages.recv() {
        let mut text = String::new();
        let mut flushes = Vec::new();
        // Queued lines are written in one call.
        for message in std::iter::once(first).chain(messages.try_iter().take(QUEUE_CAPACITY)) {
            match message {
                Message::Line(line) => text.push_str(&line),
                Message::Flush(done) => flushes.push(done),
            }
        }
        // A failed write cannot be reported anywhere else.
        let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
        for done in flushes {
            // The flush may have timed out.
            let _ = done.try_send(());
        }
    }
}

impl Log for BoundedLines {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let message = record.args().to_string();
        if self.admit(&message) {
            self.push(record.level(), &message);
        }
    }

    fn flush(&self) {
        let started = Instant::now();
        let (done, written) = sync_channel(1);
        let mut message = Message::Flush(done);
        // A full queue drains meanwhile, unless the reader does not read.
        while let Err(TrySendError::Full(returned)) = self.queue.try_send(message) {
            if started.elapsed() >= FLUSH_TIMEOUT {
                return;
            }
            message = returned;
            std::thread::sleep(FLUSH_PAUSE);
        }
        let _ = written.recv_timeout(FLUSH_TIMEOUT.saturating_sub(started.elapsed()));
    }
}

impl SharedLogger for BoundedLines {
    fn level(&self) -> LevelFilter {
        self.level
    }

    fn config(&self) -> Option<&Config> {
        None
    }

    fn as_log(self: Box<Self>) -> Box<dyn Log> {
        self
    }
}
