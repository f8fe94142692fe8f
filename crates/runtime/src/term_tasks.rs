//! Tasks of a scheduler. The failure of one ends the term.
//!
//! A panic ends only the task in which it occurs. A scheduler without one of its tasks may start nothing any more, while
//! its box continues to renew the election; another scheduler can continue from what the store holds.

use std::sync::{Arc, Weak};

use crate::active::Active;

/// Spawns the tasks of a scheduler.
#[derive(Clone)]
pub(crate) struct TermTasks {
    /// Weak, since the scheduler owns some of its tasks.
    active: Weak<Active>,
}

impl TermTasks {
    pub(crate) fn new(active: &Arc<Active>) -> TermTasks {
        TermTasks { active: Arc::downgrade(active) }
    }

    /// Spawns a task whose panic ends the term.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) -> smol::Task<()> {
        let guard = FailureGuard { active: self.active.clone() };
        smol::spawn(async move {
            let _guard = guard;
            task.await;
        })
    }
}

/// Reports the failure of the task that holds it.
struct FailureGuard {
    active: Weak<Active>,
}

impl Drop for FailureGuard {
    fn drop(&mut self) {
        if std::thread::panicking()
            && let Some(active) = self.active.upgrade()
        {
            log::error!("event=task_failed fence={}", active.fence);
            active.report_failed_task();
        }
    }
}
