//! Faults that can be ordered while a stand-in runs.

use std::sync::Mutex;

/// Faults of one stand-in. All off at first.
#[derive(Debug, Default)]
pub struct Faults {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default, Clone)]
struct Inner {
    slow_ms: u64,
    down: bool,
    lose_answers: u32,
    fail_tasks: bool,
    stale_list: bool,
}

/// What happens to one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFault {
    /// It goes through.
    None,
    /// It is not seen.
    Down,
    /// It takes effect, and its answer is lost.
    LoseAnswer,
}

impl Faults {
    fn set(&self, f: impl FnOnce(&mut Inner)) {
        f(&mut self.inner.lock().expect("no holder panics"));
    }

    fn get(&self) -> Inner {
        self.inner.lock().expect("no holder panics").clone()
    }

    /// Every call takes so many milliseconds longer.
    pub fn set_slow(&self, ms: u64) {
        self.set(|f| f.slow_ms = ms);
    }

    /// No call is seen while this is set: the stand-in is down or cut off.
    pub fn set_down(&self, down: bool) {
        self.set(|f| f.down = down);
    }

    /// The next `n` calls take effect, and their answers are lost.
    pub fn lose_answers(&self, n: u32) {
        self.set(|f| f.lose_answers = n);
    }

    /// Every task of the backend server fails soon after it began.
    pub fn set_fail_tasks(&self, fail: bool) {
        self.set(|f| f.fail_tasks = fail);
    }

    /// The list of boxes stays as it is.
    pub fn set_stale_list(&self, stale: bool) {
        self.set(|f| f.stale_list = stale);
    }

    /// How much longer a call takes, in milliseconds.
    pub fn slow_ms(&self) -> u64 {
        self.get().slow_ms
    }

    /// Whether the stand-in is down.
    pub fn is_down(&self) -> bool {
        self.get().down
    }

    /// Whether the list is kept as it is.
    pub fn stale_list(&self) -> bool {
        self.get().stale_list
    }

    /// Whether tasks fail.
    pub fn fail_tasks(&self) -> bool {
        self.get().fail_tasks
    }

    /// What happens to the next call; counts down the lost answers.
    pub fn next_call(&self) -> StoreFault {
        let mut inner = self.inner.lock().expect("no holder panics");
        if inner.down {
            return StoreFault::Down;
        }
        if inner.lose_answers > 0 {
            inner.lose_answers -= 1;
            return StoreFault::LoseAnswer;
        }
        StoreFault::None
    }
}
