//! A box with lowered limits, and what is checked while a crowd holds on to it.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use hyper::{Method, StatusCode};
use jobs::JobId;
use net::http::Client;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use users_platform_standin::{BoxAddrs, Setup, Work, free_addrs};

use crate::{
    common::{KEY, World, start_box_with},
    crowd::Crowd,
};

/// Memory of the box, in MB.
const MEMORY_MB: u64 = 64;
/// File descriptors of the box.
const DESCRIPTORS: usize = 1024;
/// Limit of each wait for an answer, far above what is needed, so that only a hang exceeds it.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Most processor time of the box for which a crowd presses before the checks; it stays during these. Processor time,
/// since a busy machine gives the box little of it.
const MAX_PRESS: Duration = Duration::from_secs(12);
/// Time without a byte sent, and without work of the box, after which the box has received all that it takes.
const SETTLED: Duration = Duration::from_secs(1);
/// Share of the observations in which a box without work may be running.
const MAX_IDLE_LOAD: f64 = 0.2;
/// Unit of the processor times that the system reports.
const CPU_TICK: Duration = Duration::from_millis(10);
/// Interval at which the box and the crowd are observed.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time limit of one call to the box.
const CALL_LIMIT: Duration = Duration::from_secs(3);

/// Held by each test for its whole length, so that one crowd at a time loads the machine.
static TURN: Mutex<()> = Mutex::new(());

/// What was seen of a box under a crowd.
#[derive(Debug)]
struct Findings {
    /// Whether the process runs.
    alive: bool,
    /// Peak of the resident memory, in KB.
    peak_kb: u64,
    /// Most descriptors open at the same time, as far as observed.
    descriptors: usize,
    /// Whether a job was accepted.
    accepted: bool,
    /// Whether the readiness address answered.
    ready: bool,
    /// Whether the metrics address answered.
    metrics: bool,
}

impl Findings {
    fn are_within_limits(&self) -> bool {
        let answered = self.accepted && self.ready && self.metrics;
        self.alive && answered && self.peak_kb <= MEMORY_MB * 1024 && self.descriptors <= DESCRIPTORS
    }
}

/// Starts a box, lets a crowd press it, and checks that the process lives within its limits and answers each kind of
/// client while the crowd's connections are open.
pub(crate) fn withstands(crowd: impl FnOnce(&BoxAddrs) -> Box<dyn Crowd>) {
    let _turn: MutexGuard<'_, ()> = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    raise_descriptor_limit();
    smol::block_on(async {
        let mut pressed = BoxUnderTest::start().await;
        let calm_kb = pressed.peak_kb();
        let crowd = crowd(&pressed.world.boxes[0].addrs);
        pressed.until_settled(crowd.as_ref()).await;
        let findings = pressed.check().await;
        println!("{findings:?}, in calm {calm_kb} KB, sent {} bytes", crowd.sent_bytes().unwrap_or(0));
        assert!(findings.are_within_limits(), "{findings:?}, allowed are {MEMORY_MB} MB, {DESCRIPTORS} descriptors");
    });
}

/// Lets this process and the box open as many descriptors as the system allows: the bound is that of the settings.
fn raise_descriptor_limit() {
    let limit = getrlimit(Resource::Nofile);
    // If this fails, fewer members connect.
    let _ = setrlimit(Resource::Nofile, Rlimit { current: limit.maximum, maximum: limit.maximum });
}

/// Returns the fields of a process's or thread's `stat` after its name, which may contain spaces.
fn fields_after_name(stat: &str) -> impl Iterator<Item = &str> {
    stat.rsplit(')').next().unwrap_or_default().split_whitespace()
}

struct BoxUnderTest {
    world: World,
    descriptors: usize,
    client: Client,
}

impl BoxUnderTest {
    async fn start() -> BoxUnderTest {
        let mut world = World::start_on(0, &Setup { servers: 1, key: KEY.to_owned(), ..Setup::default() }).await;
        let addrs = free_addrs();
        let settings = world.platform.settings("box-0", &addrs, &[]);
        let prefix = "\"deployment\":{";
        assert!(settings.contains(prefix), "{settings}");
        let lowered = format!("{prefix}\"memory_mb\":{MEMORY_MB},\"descriptors\":{DESCRIPTORS},");
        world.boxes.push(start_box_with("box-0", addrs, settings.replacen(prefix, &lowered, 1)));
        world.until_ready(0).await;
        assert_eq!(world.scheduler().await, 0);
        BoxUnderTest { world, descriptors: 0, client: Client::default() }
    }

    /// Waits until the crowd has sent all that the box takes and the box has processed it, but not for long: the crowd
    /// goes on during the checks.
    async fn until_settled(&mut self, crowd: &dyn Crowd) {
        let (started, worked) = (Instant::now(), self.processor_time());
        while started.elapsed() < TIMEOUT && self.processor_time().saturating_sub(worked) < MAX_PRESS {
            let (sent, since) = (crowd.sent_bytes(), Instant::now());
            let (mut observations, mut busy) = (0, 0);
            while since.elapsed() < SETTLED {
                self.observe_descriptors();
                observations += 1;
                busy += usize::from(self.is_runnable());
                smol::Timer::after(POLL_INTERVAL).await;
            }
            let load = busy as f64 / observations as f64;
            if !self.is_alive() || sent.is_some() && crowd.sent_bytes() == sent && load <= MAX_IDLE_LOAD {
                return;
            }
        }
    }

    async fn check(&mut self) -> Findings {
        let accepted = self.is_a_job_accepted().await;
        let [_, readiness, _, metrics] = self.world.boxes[0].addrs;
        let ready = self.is_answered(readiness, "/v1/ready").await;
        let metrics = self.is_answered(metrics, "/metrics").await;
        Findings {
            alive: self.is_alive(),
            peak_kb: self.peak_kb(),
            descriptors: self.descriptors,
            accepted,
            ready,
            metrics,
        }
    }

    /// Submits a job until it is accepted: while a crowd presses, the box may refuse.
    async fn is_a_job_accepted(&mut self) -> bool {
        let started = Instant::now();
        let work = Work { tasks: 1, accelerators: 0, work_ms: 100, gang: false };
        while started.elapsed() < TIMEOUT && self.is_alive() {
            self.observe_descriptors();
            let answer = self.world.caller.submit(self.world.boxes[0].addrs[0], JobId(1), work).await;
            if answer.is_ok_and(|answer| answer.status == StatusCode::OK) {
                return true;
            }
            smol::Timer::after(POLL_INTERVAL).await;
        }
        false
    }

    async fn is_answered(&mut self, addr: std::net::SocketAddr, path: &str) -> bool {
        let started = Instant::now();
        while started.elapsed() < TIMEOUT && self.is_alive() {
            self.observe_descriptors();
            let reply = self.client.call(addr, Method::GET, path, Default::default(), CALL_LIMIT).await;
            if reply.is_ok_and(|reply| reply.status == StatusCode::OK) {
                return true;
            }
            smol::Timer::after(POLL_INTERVAL).await;
        }
        false
    }

    /// Returns whether the process that was started still runs; none takes its place.
    fn is_alive(&mut self) -> bool {
        self.world.boxes[0].child.try_wait().is_ok_and(|status| status.is_none())
    }

    fn observe_descriptors(&mut self) {
        let pid = self.world.boxes[0].child.id();
        // The process may have ended.
        let open = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
        self.descriptors = self.descriptors.max(open);
    }

    /// Returns the processor time that the process has used; 0 if it has ended.
    fn processor_time(&self) -> Duration {
        let pid = self.world.boxes[0].child.id();
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        // The times in user mode and in kernel mode.
        let ticks = fields_after_name(&stat).skip(11).take(2).filter_map(|field| field.parse::<u32>().ok());
        CPU_TICK * ticks.sum::<u32>()
    }

    /// Returns whether a thread of the process runs, or would if the machine had a processor free.
    fn is_runnable(&self) -> bool {
        let pid = self.world.boxes[0].child.id();
        let threads = std::fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten();
        let mut stats = threads.filter_map(|thread| std::fs::read_to_string(thread.path().join("stat")).ok());
        stats.any(|stat| fields_after_name(&stat).next() == Some("R"))
    }

    /// Returns the peak of the resident memory, in KB; 0 if the process has ended.
    fn peak_kb(&self) -> u64 {
        let pid = self.world.boxes[0].child.id();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
    }
}
