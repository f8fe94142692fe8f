//! Box processes, and the signals sent to them.

use std::{
    fs::File,
    os::unix::process::ExitStatusExt,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus},
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};
use users_platform_standin::BoxAddrs;

use crate::proxy::Proxy;

/// Time after SIGTERM within which a box must end: its grace period of 6 s, and a second for a busy machine.
const ENDS_WITHIN: Duration = Duration::from_secs(7);

/// A box with fixed addresses and, over time, several processes. Kills the current process on drop.
pub(crate) struct BoxProcess {
    pub(crate) name: String,
    pub(crate) addrs: BoxAddrs,
    /// Proxy between callers and the box.
    pub(crate) front: Proxy,
    /// Proxy between the box and the store.
    pub(crate) store: Proxy,
    /// Number of processes started so far.
    pub(crate) incarnations: usize,
    settings: PathBuf,
    child: Option<Child>,
}

impl Drop for BoxProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

impl BoxProcess {
    pub(crate) fn new(name: String, addrs: BoxAddrs, front: Proxy, store: Proxy, settings: PathBuf) -> BoxProcess {
        BoxProcess { name, addrs, front, store, incarnations: 0, settings, child: None }
    }

    /// Starts a process, which logs into `dir`, unless one runs.
    pub(crate) fn start(&mut self, dir: &Path) {
        if self.child.is_some() {
            return;
        }
        let log = File::create(dir.join(format!("{}.{}.log", self.name, self.incarnations)))
            .expect("the directory is writable");
        let child = Command::new(env!("CARGO_BIN_EXE_martend"))
            .env("MARTENSCALE_CONFIG", &self.settings)
            .stdout(log.try_clone().expect("a descriptor is free"))
            .stderr(log)
            .spawn()
            .expect("the box starts");
        self.incarnations += 1;
        self.child = Some(child);
    }

    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Stops the process until [`BoxProcess::resume`].
    pub(crate) fn pause(&self) {
        self.signal(Signal::STOP);
    }

    pub(crate) fn resume(&self) {
        self.signal(Signal::CONT);
    }

    fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().and_then(|child| Pid::from_raw(child.id().cast_signed()));
        if let Some(pid) = pid {
            // A child keeps its process id until it is waited for, so the id is not that of another process.
            let _ = kill_process(pid, signal);
        }
    }

    /// Sends SIGTERM to the process.
    pub(crate) fn terminate(&self) -> Termination {
        self.signal(Signal::TERM);
        Termination { incarnation: self.incarnations, at: Instant::now() }
    }

    /// Returns the name and current system call of each thread of the process.
    fn threads(&self) -> String {
        let Some(child) = &self.child else { return String::new() };
        let tasks = std::fs::read_dir(format!("/proc/{}/task", child.id())).into_iter().flatten().flatten();
        let part = |path: &Path, name: &str| {
            let text = std::fs::read_to_string(path.join(name)).unwrap_or_default();
            text.lines().next().unwrap_or_default().chars().take(60).collect::<String>()
        };
        let thread = |path: PathBuf| format!("[{} {}]", part(&path, "comm"), part(&path, "syscall"));
        tasks.map(|task| thread(task.path())).collect()
    }

    /// Returns the exit status of the process; `None` while it runs, or if there is none.
    pub(crate) fn ended(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status)
    }
}

/// Process that received SIGTERM, and the time of the signal.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Termination {
    incarnation: usize,
    pub(crate) at: Instant,
}

/// Waits for the end of a process that received SIGTERM. The error says how it failed to end in order.
pub(crate) async fn wait_terminated(
    a_box: &smol::lock::Mutex<BoxProcess>,
    termination: Termination,
) -> Result<(), String> {
    loop {
        let mut locked = a_box.lock().await;
        if locked.child.is_none() || locked.incarnations != termination.incarnation {
            return Ok(());
        }
        if let Some(status) = locked.ended() {
            // A process that has just started has not yet installed its signal handlers, and ends at once.
            let by_signal = status.signal() == Some(Signal::TERM.as_raw());
            return if status.success() || by_signal {
                Ok(())
            } else {
                Err(format!("{} ended with {status}", locked.name))
            };
        }
        if termination.at.elapsed() > ENDS_WITHIN {
            let threads = locked.threads();
            locked.kill();
            let s = ENDS_WITHIN.as_secs();
            return Err(format!("{} has not ended {s} s after SIGTERM; its threads: {threads}", locked.name));
        }
        drop(locked);
        smol::Timer::after(Duration::from_millis(20)).await;
    }
}
