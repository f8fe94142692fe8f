//! The logger of a service: what is flushed is written, and nobody waits for a reader that does not read.

use std::{
    io::Write,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use log::{Level, LevelFilter, Record};
use logs::service_logger;
use simplelog::SharedLogger;

/// Takes a while for each write.
#[derive(Clone)]
struct SlowOutput {
    each: Duration,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for SlowOutput {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        std::thread::sleep(self.each);
        self.written.lock().expect("no holder panics").extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn logger(each: Duration) -> (Box<dyn SharedLogger>, SlowOutput) {
    let out = SlowOutput { each, written: Arc::default() };
    (service_logger(LevelFilter::Info, Box::new(out.clone())), out)
}

fn log(logger: &dyn SharedLogger, message: &str) {
    logger.log(&Record::builder().level(Level::Info).args(format_args!("{message}")).build());
}

#[test]
fn what_was_logged_before_a_flush_is_written_after_it() {
    let (logger, out) = logger(Duration::from_millis(60));
    for n in 0..3 {
        log(&*logger, &format!("event=test n={n}"));
    }
    logger.flush();
    let written = String::from_utf8(out.written.lock().expect("no holder panics").clone()).expect("it is text");
    assert_eq!(written.lines().count(), 3, "{written}");
}

#[test]
fn nobody_waits_for_a_reader_that_does_not_read() {
    let (logger, _) = logger(Duration::from_secs(3600));
    let begun = Instant::now();
    for n in 0..5000 {
        log(&*logger, &format!("event=test{} n={n}", n / 300));
    }
    logger.flush();
    assert!(begun.elapsed() < Duration::from_secs(10), "{:?}", begun.elapsed());
}

#[test]
fn a_flush_that_finds_the_queue_full_still_writes_what_is_in_it() {
    let (logger, out) = logger(Duration::from_millis(40));
    log(&*logger, "event=first");
    // The thread is at work on the first line; these fill the queue behind it.
    for n in 0..2048 {
        log(&*logger, &format!("event=test{} n={n}", n / 300));
    }
    logger.flush();
    let written = String::from_utf8(out.written.lock().expect("no holder panics").clone()).expect("it is text");
    assert!(written.lines().count() >= 2048, "{} lines", written.lines().count());
}
