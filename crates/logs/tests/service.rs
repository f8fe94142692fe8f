//! Tests of a service's logger: a flush writes all earlier lines, and a blocked output blocks no caller.

use std::{
    io::Write,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use log::{Level, LevelFilter, Record};
use logs::service_logger;
use simplelog::SharedLogger;

/// Capacity of the logger's queue in lines.
const QUEUE_CAPACITY: usize = 2048;

/// Lines of each kind. The logger drops lines beyond 400 of one kind per second, which these tests must not reach.
const LINES_PER_KIND: usize = 300;

/// Output that delays each write.
#[derive(Clone)]
struct SlowOutput {
    delay: Duration,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for SlowOutput {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        std::thread::sleep(self.delay);
        self.written.lock().expect("no holder panics").extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn logger(delay: Duration) -> (Box<dyn SharedLogger>, SlowOutput) {
    let out = SlowOutput { delay, written: Arc::default() };
    (service_logger(LevelFilter::Info, Box::new(out.clone())), out)
}

fn log(logger: &dyn SharedLogger, message: &str) {
    logger.log(&Record::builder().level(Level::Info).args(format_args!("{message}")).build());
}

#[test]
fn flush_writes_all_earlier_lines() {
    let (logger, out) = logger(Duration::from_millis(60));
    for n in 0..3 {
        log(&*logger, &format!("event=test n={n}"));
    }
    logger.flush();
    let written =
        String::from_utf8(out.written.lock().expect("no holder panics").clone()).expect("the output is UTF-8");
    assert_eq!(written.lines().count(), 3, "{written}");
}

#[test]
fn neither_logging_nor_flushing_waits_for_a_blocked_output() {
    let (logger, _) = logger(Duration::from_secs(3600));
    let started = Instant::now();
    for n in 0..5000 {
        log(&*logger, &format!("event=test{} n={n}", n / LINES_PER_KIND));
    }
    logger.flush();
    assert!(started.elapsed() < Duration::from_secs(10), "{:?}", started.elapsed());
}

#[test]
fn flush_writes_all_lines_of_a_full_queue() {
    let (logger, out) = logger(Duration::from_millis(40));
    log(&*logger, "event=first");
    // The logger's thread is still writing the first line, so these fill the queue.
    for n in 0..QUEUE_CAPACITY {
        log(&*logger, &format!("event=test{} n={n}", n / LINES_PER_KIND));
    }
    logger.flush();
    let written =
        String::from_utf8(out.written.lock().expect("no holder panics").clone()).expect("the output is UTF-8");
    assert!(written.lines().count() >= QUEUE_CAPACITY, "{} lines", written.lines().count());
}
