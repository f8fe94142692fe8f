//! Faults that tests inject into a running stand-in.

use std::sync::Mutex;

/// Faults of one stand-in. All are off by default.
#[derive(Debug, Default)]
pub struct Faults {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default, Clone)]
struct Inner {
    delay_ms: u64,
    down: bool,
    lose_answers: u32,
    fail_tasks: bool,
    stale_list: bool,
}

/// Fault that applies to one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFault {
    /// The call is handled and answered.
    None,
    /// The call is dropped before it takes effect.
    Down,
    /// The call takes effect, and its answer is dropped.
    LoseAnswer,
}

impl Faults {
    fn set(&self, f: impl FnOnce(&mut Inner)) {
        f(&mut self.inner.lock().expect("no holder panics"));
    }

    fn get(&self) -> Inner {
        self.inner.lock().expect("no holder panics").clone()
    }

    /// Delays every call by `ms` milliseconds.
    pub fn set_delay_ms(&self, ms: u64) {
        self.set(|f| f.delay_ms = ms);
    }

    /// Drops all calls while set, as if the stand-in were down or unreachable.
    pub fn set_down(&self, down: bool) {
        self.set(|f| f.down = down);
    }

    /// Drops the answers of the next `n` calls, which take effect.
    pub fn lose_answers(&self, n: u32) {
        self.set(|f| f.lose_answers = n);
    }

    /// Makes every task of the backend server fail soon after its start.
    pub fn set_fail_tasks(&self, fail: bool) {
        self.set(|f| f.fail_tasks = fail);
    }

    /// Keeps the platform's list of boxes from changing while set.
    pub fn set_stale_list(&self, stale: bool) {
        self.set(|f| f.stale_list = stale);
    }

    /// Returns the delay of every call, in milliseconds.
    pub fn delay_ms(&self) -> u64 {
        self.get().delay_ms
    }

    /// Returns whether all calls are dropped.
    pub fn is_down(&self) -> bool {
        self.get().down
    }

    /// Returns whether changes of the list of boxes are ignored.
    pub fn stale_list(&self) -> bool {
        self.get().stale_list
    }

    /// Returns whether every task fails.
    pub fn fail_tasks(&self) -> bool {
        self.get().fail_tasks
    }

    /// Returns the fault for the next call, and counts it against the answers to drop.
    pub fn next_call(&self) -> CallFault {
        let mut inner = self.inner.lock().expect("no holder panics");
        if inner.down {
            return CallFault::Down;
        }
        if inner.lose_answers > 0 {
            inner.lose_answers -= 1;
            return CallFault::LoseAnswer;
        }
        CallFault::None
    }
}
