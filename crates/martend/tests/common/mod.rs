//! Boxes as processes on a platform of their own, and a caller of them.
#![allow(dead_code, reason = "each test file uses a part")]

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command},
    time::{Duration, Instant},
};

use hyper::{Method, StatusCode};
use jobs::JobId;
use net::http::Client;
use users_platform_standin::{Answer, BoxAddrs, Caller, Platform, Setup, Work, free_addrs};

/// The key that callers use.
pub(crate) const KEY: &str = "key-1";
/// Far above what is needed, so that only a hang reaches it.
const PATIENCE: Duration = Duration::from_secs(60);

/// A box's process, killed when dropped.
pub(crate) struct BoxProcess {
    pub(crate) child: Child,
    pub(crate) addrs: BoxAddrs,
    /// What it logs.
    pub(crate) log: PathBuf,
}

impl Drop for BoxProcess {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.log);
    }
}

impl BoxProcess {
    /// Tells the process to end, as the deployment does.
    pub(crate) fn tell_to_end(&self) {
        let told = Command::new("kill").args(["-TERM", &self.child.id().to_string()]).status();
        assert!(told.expect("kill can be run").success());
    }
}

/// Boxes, the platform that they are on, and what speaks to them.
pub(crate) struct World {
    pub(crate) platform: Platform,
    pub(crate) boxes: Vec<BoxProcess>,
    pub(crate) caller: Caller,
    client: Client,
}

pub(crate) fn start_box(platform: &Platform, name: &str, addrs: BoxAddrs, seeds: &[SocketAddr]) -> BoxProcess {
    start_box_with(name, addrs, platform.settings(name, &addrs, seeds))
}

/// Starts a box with settings of its own.
pub(crate) fn start_box_with(name: &str, addrs: BoxAddrs, settings: String) -> BoxProcess {
    start_build(env!("CARGO_BIN_EXE_martend"), name, addrs, settings)
}

/// Starts a box from a `martend` that may be another build than the one under test.
pub(crate) fn start_build(program: &str, name: &str, addrs: BoxAddrs, settings: String) -> BoxProcess {
    let path = std::env::temp_dir().join(format!("martend-{}-{}-{name}.json", std::process::id(), addrs[0].port()));
    std::fs::write(&path, settings).expect("the temporary directory can be written");
    let log = path.with_extension("log");
    let child = Command::new(program)
        .env("MARTENSCALE_CONFIG", &path)
        .stdout(std::fs::File::create(&log).expect("the temporary directory can be written"))
        .spawn()
        .expect("the box starts");
    BoxProcess { child, addrs, log }
}

impl World {
    pub(crate) async fn start(boxes: usize, servers: usize) -> World {
        World::start_on(boxes, &Setup { servers, key: KEY.to_owned(), ..Setup::default() }).await
    }

    pub(crate) async fn start_on(boxes: usize, setup: &Setup) -> World {
        let platform = Platform::start(setup).await.expect("loopback can be used");
        let all: Vec<BoxAddrs> = (0..boxes).map(|_| free_addrs()).collect();
        let seeds: Vec<SocketAddr> = all.iter().map(|addrs| addrs[2]).collect();
        let boxes = all.iter().enumerate().map(|(i, addrs)| start_box(&platform, &format!("box-{i}"), *addrs, &seeds));
        let boxes = boxes.collect();
        let caller = Caller::new(KEY, platform.oracle.clone());
        let world = World { platform, boxes, caller, client: Client::default() };
        for i in 0..world.boxes.len() {
            world.until_ready(i).await;
        }
        world
    }

    pub(crate) async fn until_ready(&self, i: usize) {
        let addr = self.boxes[i].addrs[1];
        until("the box is ready", || async {
            let reply = self.client.call(addr, Method::GET, "/v1/ready", Default::default(), PATIENCE).await;
            reply.is_ok_and(|reply| reply.status == StatusCode::OK)
        })
        .await;
    }

    /// The box that schedules.
    pub(crate) async fn scheduler(&self) -> usize {
        let begun = Instant::now();
        while begun.elapsed() < PATIENCE {
            for (i, a_box) in self.boxes.iter().enumerate() {
                let status = self.client.call(a_box.addrs[3], Method::GET, "/v1/status", Default::default(), PATIENCE);
                let Ok(reply) = status.await else { continue };
                let status: serde_json::Value = reply.json().expect("the status is JSON");
                if !status["schedules_with_fence"].is_null() {
                    return i;
                }
            }
            smol::Timer::after(Duration::from_millis(20)).await;
        }
        panic!("no box schedules");
    }

    /// The box that schedules, as far as another one knows.
    pub(crate) async fn known_scheduler(&self, i: usize) -> Option<String> {
        self.status(i).await?["scheduler"].as_str().map(str::to_owned)
    }

    /// Backend servers that a box has heard as the scheduler; `None` if it does not schedule.
    pub(crate) async fn heard_servers(&self, i: usize) -> Option<u64> {
        let status = self.status(i).await?;
        Some(status["servers"].as_u64()? - status["unheard_servers"].as_u64()?)
    }

    /// Jobs that a box knows as the scheduler and that are not over; `None` if it does not schedule.
    pub(crate) async fn open_jobs(&self, i: usize) -> Option<u64> {
        self.status(i).await?["open_jobs"].as_u64()
    }

    /// The version of the configuration that is in force at a box.
    pub(crate) async fn configuration_version(&self, i: usize) -> Option<u64> {
        self.status(i).await?["configuration_version"].as_u64()
    }

    async fn status(&self, i: usize) -> Option<serde_json::Value> {
        let addr = self.boxes[i].addrs[3];
        let reply = self.client.call(addr, Method::GET, "/v1/status", Default::default(), PATIENCE).await.ok()?;
        Some(reply.json().expect("the status is JSON"))
    }

    /// Hands a job in at one box after another until it is accepted.
    pub(crate) async fn submit(&self, id: JobId, work: Work) {
        let begun = Instant::now();
        for i in (0..self.boxes.len()).cycle() {
            let answer = self.caller.submit(self.boxes[i].addrs[0], id, work).await;
            if answer.is_ok_and(|answer| answer.status == StatusCode::OK) {
                return;
            }
            assert!(begun.elapsed() < PATIENCE, "{id} is not accepted");
            smol::Timer::after(Duration::from_millis(50)).await;
        }
    }

    pub(crate) async fn state(&self, i: usize, id: JobId) -> Option<Answer> {
        self.caller.state(self.boxes[i].addrs[0], id).await.ok()
    }

    pub(crate) async fn until_succeeded(&self, i: usize, ids: impl Iterator<Item = u64>, tasks: usize) {
        for id in ids.map(JobId) {
            until("the job has succeeded", || async {
                self.state(i, id).await.is_some_and(|answer| answer.state == "succeeded")
            })
            .await;
            assert_eq!(self.platform.oracle.done_tasks(id), tasks, "{id} is shown as succeeded");
        }
    }
}

/// Looks again and again until something holds.
pub(crate) async fn until<F: Future<Output = bool>>(what: &str, check: impl Fn() -> F) {
    let begun = Instant::now();
    while !check().await {
        assert!(begun.elapsed() < PATIENCE, "waited for: {what}");
        smol::Timer::after(Duration::from_millis(20)).await;
    }
}
