//! A run: the platform, its boxes behind their proxies, and the order in which everything happens.

use std::{
    io::Write,
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc, Mutex as StdMutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use fastrand::Rng;
use jobs::JobId;
use smol::lock::Mutex;
use users_platform_standin::{BoxAddrs, Oracle, Platform, Setup, free_addrs};

use crate::{
    boxes::{BoxProcess, left_in_order},
    callers, checks, faults,
    ledger::Ledger,
    proxy::{Mode, Proxy},
};

/// The key that callers use.
pub(crate) const KEY: &str = "key-1";
/// Boxes of a run.
pub(crate) const BOXES: usize = 4;
/// Backend servers of a run.
pub(crate) const SERVERS: usize = 6;
/// Callers of a run.
const CALLERS: u64 = 4;

/// Everything that takes part in a run.
pub(crate) struct World {
    pub(crate) platform: Mutex<Platform>,
    pub(crate) oracle: Arc<Oracle>,
    pub(crate) boxes: Vec<Mutex<BoxProcess>>,
    /// One in front of each backend server.
    pub(crate) servers: Vec<Proxy>,
    pub(crate) ledger: Ledger,
    /// Logs of the boxes and of the faults; removed if nothing was broken.
    pub(crate) dir: PathBuf,
    /// Backend servers that crash may come back under their ids.
    pub(crate) returns: bool,
    fronts: Vec<SocketAddr>,
    version: AtomicU64,
    begun: Instant,
    notes: StdMutex<std::fs::File>,
    /// Until when each box may be held up by a pause.
    paused_until: Vec<StdMutex<Option<Instant>>>,
}

/// Kills the boxes also when a panic leaves others with a hold on the world.
struct EndsBoxes(Arc<World>);

impl Drop for EndsBoxes {
    fn drop(&mut self) {
        for a_box in &self.0.boxes {
            a_box.lock_blocking().kill();
        }
    }
}

impl World {
    /// Plays a seed; returns what was broken.
    pub(crate) async fn play(seed: u64, length: Duration, returns: bool) -> Vec<String> {
        let world = Arc::new(World::start(seed, returns).await.expect("loopback can be used"));
        let _ends = EndsBoxes(Arc::clone(&world));
        let mut rng = Rng::with_seed(seed);
        let watching = smol::spawn(checks::watch(Arc::clone(&world)));
        let calling: Vec<_> = (1..=CALLERS).map(|n| smol::spawn(callers::call(Arc::clone(&world), n, seed))).collect();
        let crashing = smol::spawn(faults::crash_as_told(Arc::clone(&world)));
        let last = smol::spawn(callers::hand_in_crashing(Arc::clone(&world), JobId((CALLERS + 1) << 32), seed));
        faults::inject(&world, faults::plan(&mut rng, length)).await;
        world.heal().await;
        for task in calling.into_iter().chain([last]) {
            task.cancel().await;
        }
        checks::settle(&world).await;
        crashing.cancel().await;
        watching.cancel().await;
        world.leave().await;
        let mut broken = world.oracle.violations();
        broken.dedup();
        if broken.is_empty() {
            // What is left of a run that broke nothing is of no use; a file that stays does no harm.
            let _ = std::fs::remove_dir_all(&world.dir);
        } else {
            broken.truncate(12);
            broken.push(format!("logs: {}", world.dir.display()));
        }
        broken
    }

    async fn start(seed: u64, returns: bool) -> std::io::Result<World> {
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
            returns,
            fronts: boxes.iter().map(|a_box| a_box.front.addr).collect(),
            boxes: boxes.into_iter().map(Mutex::new).collect(),
            servers,
            ledger: Ledger::default(),
            notes: StdMutex::new(std::fs::File::create(dir.join("faults.log"))?),
            dir,
            version: AtomicU64::new(1),
            begun: Instant::now(),
            paused_until: (0..BOXES).map(|_| StdMutex::default()).collect(),
        })
    }

    /// Writes down what happens, beside the boxes' logs.
    pub(crate) fn note(&self, what: &str) {
        let at = self.begun.elapsed().as_secs_f64();
        let mut notes = self.notes.lock().expect("no holder panics");
        writeln!(notes, "{at:.3} {what}").expect("the file can be written");
    }

    pub(crate) fn any_front(&self, rng: &mut Rng) -> SocketAddr {
        self.fronts[rng.usize(..BOXES)]
    }

    pub(crate) async fn configure(&self) {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        self.platform.lock().await.configure(version);
    }

    /// A box that was paused after it was told to end may end late.
    pub(crate) fn may_be_late(&self, i: usize, told: Instant) -> bool {
        self.paused_until[i].lock().expect("no holder panics").is_some_and(|until| until > told)
    }

    /// A box stands still up to then.
    pub(crate) fn note_pause(&self, i: usize, until: Instant) {
        *self.paused_until[i].lock().expect("no holder panics") = Some(until);
    }

    /// Ends every fault.
    async fn heal(&self) {
        self.note("everything is well again");
        for proxy in &self.servers {
            proxy.set(Mode::Open);
        }
        for a_box in &self.boxes {
            let mut a_box = a_box.lock().await;
            a_box.front.set(Mode::Open);
            a_box.store.set(Mode::Open);
            a_box.resume();
            a_box.start(&self.dir);
        }
    }

    /// Every box leaves in order.
    async fn leave(&self) {
        let mut told = Vec::new();
        for a_box in &self.boxes {
            told.push(a_box.lock().await.tell_to_end());
        }
        for (a_box, told) in self.boxes.iter().zip(told) {
            if let Err(what) = left_in_order(a_box, told).await {
                self.oracle.report_violation(what);
            }
        }
    }
}
