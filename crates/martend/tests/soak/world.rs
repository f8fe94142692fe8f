//! A run: the platform, its boxes behind proxies, and the sequence of faults, recovery and checks.

use std::{
    io::Write,
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc, Mutex as StdMutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

use fastrand::Rng;
use jobs::JobId;
use smol::lock::Mutex;
use users_platform_standin::{BoxAddrs, Oracle, Platform, Queue, Setup, free_addrs};

use crate::{
    Case,
    boxes::{BoxProcess, wait_terminated},
    callers, checks, faults,
    ledger::Ledger,
    proxy::{Mode, Proxy},
};

/// API key of the callers.
pub(crate) const KEY: &str = "key-1";
/// Number of boxes in a run.
pub(crate) const BOXES: usize = 4;
/// Number of backend servers in a run.
pub(crate) const SERVERS: usize = 6;
/// Queue that is removed and added again.
pub(crate) const NIGHT: Queue = Queue { name: "night", service: "desk" };
/// Number of callers in a run.
const CALLERS: u64 = 4;

/// State of a run: its platform, boxes, proxies and records.
pub(crate) struct World {
    pub(crate) platform: Mutex<Platform>,
    pub(crate) oracle: Arc<Oracle>,
    pub(crate) boxes: Vec<Mutex<BoxProcess>>,
    /// Proxies in front of the backend servers.
    pub(crate) servers: Vec<Proxy>,
    pub(crate) ledger: Ledger,
    /// Directory for logs of the boxes and of the faults; removed if no invariant was violated.
    pub(crate) dir: PathBuf,
    /// Whether backend servers may restart under the same id after a crash.
    pub(crate) reuses_ids: bool,
    /// Whether the queue [`NIGHT`] is removed and added again all the time.
    changes_queues: bool,
    fronts: Vec<SocketAddr>,
    version: AtomicU64,
    started: Instant,
    event_log: StdMutex<std::fs::File>,
    /// End of the latest pause of each box, if any.
    paused_until: Vec<StdMutex<Option<Instant>>>,
}

/// Kills the boxes on drop, also if other tasks still reference the world after a panic.
struct KillBoxesOnDrop(Arc<World>);

impl Drop for KillBoxesOnDrop {
    fn drop(&mut self) {
        for a_box in &self.0.boxes {
            a_box.lock_blocking().kill();
        }
    }
}

impl World {
    /// Runs a seed and returns the violations of invariants.
    pub(crate) async fn run(case: Case) -> Vec<String> {
        let Case { seed, faults: length, changes_queues, .. } = case;
        let world = Arc::new(World::start(case).await.expect("loopback is available"));
        let _kill_boxes = KillBoxesOnDrop(Arc::clone(&world));
        let mut rng = Rng::with_seed(seed);
        let watching = smol::spawn(checks::monitor(Arc::clone(&world)));
        let calling: Vec<_> =
            (1..=CALLERS).map(|n| smol::spawn(callers::run_caller(Arc::clone(&world), n, seed))).collect();
        let crashing = smol::spawn(faults::crash_servers(Arc::clone(&world)));
        let crashing_job =
            smol::spawn(callers::submit_crashing_job(Arc::clone(&world), JobId((CALLERS + 1) << 32), seed));
        let changing = changes_queues.then(|| smol::spawn(faults::change_queues(Arc::clone(&world), seed)));
        faults::inject(&world, faults::plan(&mut rng, length)).await;
        if let Some(task) = changing {
            task.cancel().await;
            faults::remove_queue_and_lose_boxes(&world).await;
        }
        world.end_faults().await;
        for task in calling.into_iter().chain([crashing_job]) {
            task.cancel().await;
        }
        checks::check_recovery(&world).await;
        crashing.cancel().await;
        watching.cancel().await;
        world.terminate_boxes().await;
        let mut violations = world.oracle.violations();
        violations.dedup();
        if violations.is_empty() {
            // The logs of a run without violations are not needed; leftover files do no harm.
            let _ = std::fs::remove_dir_all(&world.dir);
        } else {
            violations.truncate(12);
            violations.push(format!("logs: {}", world.dir.display()));
        }
        violations
    }

    async fn start(Case { seed, reuses_ids, changes_queues, .. }: Case) -> std::io::Result<World> {
        let dir = std::env::temp_dir().join(format!("martenscale-soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        let setup = Setup { servers: SERVERS, key: KEY.to_owned(), slow_clocks: true, ..Setup::default() };
        let mut platform = Platform::start(&setup).await?;
        let mut servers = Vec::new();
        for i in 0..SERVERS {
            let proxy = Proxy::start(platform.server(i).0).await?;
            platform.advertise(i, proxy.addr);
            servers.push(proxy);
        }
        let all: Vec<BoxAddrs> = (0..BOXES).map(|_| free_addrs()).collect();
        let seeds: Vec<SocketAddr> = all.iter().map(|addrs| addrs[2]).collect();
        let mut boxes = Vec::new();
        for (i, addrs) in all.into_iter().enumerate() {
            let name = format!("box-{i}");
            let (front, store) = (Proxy::start(addrs[0]).await?, Proxy::start(platform.store_addr).await?);
            let settings = dir.join(format!("{name}.json"));
            std::fs::write(&settings, platform.settings_via(&name, &addrs, &seeds, store.addr))?;
            let mut a_box = BoxProcess::new(name, addrs, front, store, settings);
            a_box.start(&dir);
            boxes.push(a_box);
        }
        Ok(World {
            oracle: Arc::clone(&platform.oracle),
            platform: Mutex::new(platform),
            reuses_ids,
            changes_queues,
            fronts: boxes.iter().map(|a_box| a_box.front.addr).collect(),
            boxes: boxes.into_iter().map(Mutex::new).collect(),
            servers,
            ledger: Ledger::default(),
            event_log: StdMutex::new(std::fs::File::create(dir.join("faults.log"))?),
            dir,
            version: AtomicU64::new(1),
            started: Instant::now(),
            paused_until: (0..BOXES).map(|_| StdMutex::default()).collect(),
        })
    }

    /// Logs an event of the run to a file beside the boxes' logs.
    pub(crate) fn log_event(&self, what: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut event_log = self.event_log.lock().expect("no holder panics");
        writeln!(event_log, "{at:.3} {what}").expect("the file is writable");
    }

    pub(crate) fn any_front(&self, rng: &mut Rng) -> SocketAddr {
        self.fronts[rng.usize(..BOXES)]
    }

    /// Returns the queue that a job is submitted to.
    pub(crate) fn queue_of(&self, id: JobId) -> Queue {
        if self.changes_queues && !id.0.is_multiple_of(2) { NIGHT } else { Queue::DESK }
    }

    /// Whether the configuration has the queue [`NIGHT`].
    pub(crate) fn has_night(&self) -> bool {
        self.version.load(Ordering::Relaxed).is_multiple_of(2)
    }

    /// Changes the configuration. Every second version has the queue [`NIGHT`].
    pub(crate) async fn configure(&self) {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        let queues = if self.has_night() { &[Queue::DESK, NIGHT][..] } else { &[Queue::DESK] };
        self.log_event(&format!("configuration {version} with {} queues", queues.len()));
        self.platform.lock().await.configure_queues(version, queues);
    }

    /// Returns whether a box may end late, as it was paused after it had received SIGTERM at `terminated_at`.
    pub(crate) fn may_be_late(&self, i: usize, terminated_at: Instant) -> bool {
        self.paused_until[i].lock().expect("no holder panics").is_some_and(|until| until > terminated_at)
    }

    /// Records that a box is paused until then.
    pub(crate) fn record_pause(&self, i: usize, until: Instant) {
        *self.paused_until[i].lock().expect("no holder panics") = Some(until);
    }

    /// Ends all faults, and resumes or restarts all boxes.
    async fn end_faults(&self) {
        self.log_event("all faults are over");
        for proxy in &self.servers {
            proxy.set_mode(Mode::Open);
        }
        for a_box in &self.boxes {
            let mut a_box = a_box.lock().await;
            a_box.front.set_mode(Mode::Open);
            a_box.store.set_mode(Mode::Open);
            a_box.resume();
            a_box.start(&self.dir);
        }
    }

    /// Terminates all boxes and checks that each ends in order.
    async fn terminate_boxes(&self) {
        let mut terminations = Vec::new();
        for a_box in &self.boxes {
            terminations.push(a_box.lock().await.terminate());
        }
        for (a_box, termination) in self.boxes.iter().zip(terminations) {
            if let Err(what) = wait_terminated(a_box, termination).await {
                self.oracle.report_violation(what);
            }
        }
    }
}
