//! Lines of a service: never blocking, and bounded by kind and second.
//!
//! A line's kind is its `event=` field. Lines go through a bounded queue to a thread that writes them; a
//! full queue, or a kind that comes too often, drops lines and counts them, and the count is logged.

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

/// Lines that wait to be written: a second's worth of a busy scheduler.
const QUEUE: usize = 2048;
/// Lines of one kind in one second; a burst of 15 jobs of 20 tasks a second starts 300.
const PER_KIND: u32 = 400;
/// The count of a kind starts again after this long.
const WINDOW: Duration = Duration::from_secs(1);

/// A flush waits this long at most for lines to be written: a reader that has stopped reading holds nothing up.
const FLUSH_LIMIT: Duration = Duration::from_millis(300);

/// A flush that finds the queue full tries again after this.
const FLUSH_PAUSE: Duration = Duration::from_millis(2);

/// What the writing thread gets.
enum Message {
    Line(String),
    /// Everything before this has been written once the token is taken.
    Flush(SyncSender<()>),
}

/// Writes lines without holding up whoever logs.
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
        let (queue, messages) = sync_channel(QUEUE);
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

    /// Whether another line of this kind may go out; at the turn of a second, tells what was left out before.
    fn admit(&self, message: &str) -> bool {
        let kind = message.split_whitespace().find_map(|field| field.strip_prefix("event=")).unwrap_or("");
        let mut kinds = self.kinds.lock().expect("no holder panics");
        if kinds.since.elapsed() >= WINDOW {
            kinds.since = Instant::now();
            let counts = std::mem::take(&mut kinds.counts);
            self.report(&counts);
        }
        let count = kinds.counts.entry(kind.to_owned()).or_insert(0);
        *count += 1;
        *count <= PER_KIND
    }

    fn report(&self, counts: &HashMap<String, u32>) {
        for (kind, count) in counts.iter().filter(|(_, count)| **count > PER_KIND) {
            self.push(log::Level::Warn, &format!("event=log_left_out kind={kind} lines={}", count - PER_KIND));
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
        let mut flushed = Vec::new();
        // What has queued up meanwhile goes out in one call.
        for message in std::iter::once(first).chain(messages.try_iter().take(QUEUE)) {
            match message {
                Message::Line(line) => text.push_str(&line),
                Message::Flush(token) => flushed.push(token),
            }
        }
        // Nothing can be done about a log that cannot be written.
        let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
        for token in flushed {
            // Whoever asked may have given up.
            let _ = token.try_send(());
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
        let begun = Instant::now();
        let (token, written) = sync_channel(1);
        let mut message = Message::Flush(token);
        // A full queue is written down meanwhile, unless nobody reads.
        while let Err(TrySendError::Full(again)) = self.queue.try_send(message) {
            if begun.elapsed() >= FLUSH_LIMIT {
                return;
            }
            message = again;
            std::thread::sleep(FLUSH_PAUSE);
        }
        let _ = written.recv_timeout(FLUSH_LIMIT.saturating_sub(begun.elapsed()));
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
