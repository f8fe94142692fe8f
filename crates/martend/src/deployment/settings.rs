//! Settings of a box on the users' platform, in JSON.

use std::net::SocketAddr;

use model::{AvailabilityZoneId, BoxId, CheckError, Duration, JsonPath};
use runtime::box_capacity::BoxCapacity;
use scheduler::{Timing, Tuning};
use serde::{Deserialize, Serialize};

/// The lease of an election, unless the store allows none so short: three renewals, of which two may be lost, also to
/// a slow store. Jobs that come while the scheduler is lost wait for it.
const ELECTION_TTL: Duration = Duration::from_millis(1000);
/// Wait of the watch on the configuration: a watch whose answer is lost is made up for soon after, before the users ask for the newest
/// configuration again.
const WATCH_WAIT: Duration = Duration::from_millis(2000);
/// Above two signs of life that the store is asked for, each with a slow store's answer.
const STORE_SILENCE: Duration = Duration::from_millis(1100);

#[derive(Deserialize)]
struct SettingsFile {
    deployment: RawDeployment,
}

/// Settings as they stand under `deployment`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawDeployment {
    /// The box's id.
    #[serde(rename = "box")]
    pub box_id: BoxId,
    /// The box's availability zone.
    pub availability_zone: AvailabilityZoneId,
    /// Where callers are served.
    pub callers_address: SocketAddr,
    /// Where the balancer asks whether the box takes callers.
    pub readiness_address: SocketAddr,
    /// Where other boxes are served.
    pub peers_address: SocketAddr,
    /// Where metrics are served.
    pub metrics_address: SocketAddr,
    /// The platform's store.
    pub store_address: SocketAddr,
    /// The platform's adviser; empty or absent where no queue needs one.
    #[serde(default)]
    pub adviser_address: String,
    /// Where the platform's machines are listed and handed over for upkeep; empty or absent where there is none.
    #[serde(default)]
    pub machines_address: String,
    /// Boxes known from the start; they may be gone.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Share of a core that the box has.
    pub cpu_share: f64,
    /// What the box's link carries, in Mbit/s.
    #[serde(default = "wide_link")]
    pub link_mbps: f64,
    /// Memory that the box's process may take, in MB.
    #[serde(default = "much_memory")]
    pub memory_mb: f64,
    /// Descriptors that the box's process may take.
    #[serde(default = "many_descriptors")]
    pub descriptors: usize,
    /// The shortest lease of the store, in milliseconds.
    pub shortest_ttl_ms: u64,
    /// The longest lease that a backend server grants, in milliseconds.
    pub lease_ms: u64,
    /// How many times as long tasks run away from their data or spread over racks.
    pub far_factor: f64,
    /// How long a box that is told to end may take, in milliseconds.
    pub grace_ms: u64,
    /// What the scheduler's mechanisms are set to, for measuring what each is worth.
    #[serde(default, skip_serializing)]
    pub tuning: Tuning,
    /// How long a scheduler that can no longer confirm its election goes on renewing leases, in milliseconds.
    #[serde(default = "unconfirmed_renewal")]
    pub unconfirmed_renewal_ms: u64,
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub log_level: log::LevelFilter,
}

/// Settings, checked.
#[derive(Debug, Clone)]
pub struct DeploymentSettings {
    /// Of the box itself.
    pub runtime: runtime::Settings,
    /// Where callers are served.
    pub callers_address: SocketAddr,
    /// Where the balancer asks.
    pub readiness_address: SocketAddr,
    /// Where metrics are served.
    pub metrics_address: SocketAddr,
    /// The platform's store.
    pub store_address: SocketAddr,
    /// The platform's adviser.
    pub adviser_address: Option<SocketAddr>,
    /// Where the platform's machines are listed and handed over for upkeep.
    pub machines_address: Option<SocketAddr>,
    /// How long a box that is told to end may take.
    pub grace: Duration,
    /// What is logged.
    pub log_level: log::LevelFilter,
}

impl TryFrom<RawDeployment> for DeploymentSettings {
    type Error = CheckError;
    fn try_from(raw: RawDeployment) -> Result<DeploymentSettings, CheckError> {
        check(&raw)?;
        let adviser_address = optional_address("adviser_address", &raw.adviser_address)?;
        let machines_address = optional_address("machines_address", &raw.machines_address)?;
        let election_ttl = ELECTION_TTL.max(Duration::from_millis(raw.shortest_ttl_ms));
        let timing = Timing {
            lease: Duration::from_millis(raw.lease_ms),
            far_factor: raw.far_factor,
            unconfirmed_renewal: Duration::from_millis(raw.unconfirmed_renewal_ms),
            tuning: raw.tuning,
            ..Timing::default()
        };
        Ok(DeploymentSettings {
            runtime: runtime::Settings {
                box_id: raw.box_id,
                availability_zone: raw.availability_zone,
                peers_address: raw.peers_address,
                seeds: raw.seeds,
                cpu_share: raw.cpu_share,
                link_mbps: raw.link_mbps,
                memory_mb: raw.memory_mb,
                capacity: BoxCapacity::new(raw.cpu_share, raw.memory_mb, raw.descriptors),
                election_ttl,
                watch_wait: WATCH_WAIT,
                store_silence: STORE_SILENCE,
                timing,
            },
            callers_address: raw.callers_address,
            readiness_address: raw.readiness_address,
            metrics_address: raw.metrics_address,
            store_address: raw.store_address,
            adviser_address,
            machines_address,
            grace: Duration::from_millis(raw.grace_ms),
            log_level: raw.log_level,
        })
    }
}

fn check(raw: &RawDeployment) -> Result<(), CheckError> {
    let path = JsonPath::root().field("deployment");
    within(&path, "lease_ms", raw.lease_ms, 1000, 600_000)?;
    within(&path, "shortest_ttl_ms", raw.shortest_ttl_ms, 1, 60_000)?;
    within(&path, "grace_ms", raw.grace_ms, 1000, 600_000)?;
    if raw.far_factor.is_nan() || raw.far_factor < 1.0 {
        return Err(CheckError::new(&path.field("far_factor"), raw.far_factor, "allowed is 1 or more"));
    }
    if raw.cpu_share.is_nan() || raw.cpu_share <= 0.0 {
        return Err(CheckError::new(&path.field("cpu_share"), raw.cpu_share, "allowed is more than 0"));
    }
    if let Some(headroom) = raw.tuning.headroom.filter(|headroom| !(0.0..=1.0).contains(headroom)) {
        return Err(CheckError::new(&path.field("tuning").field("headroom"), headroom, "allowed is 0 to 1"));
    }
    if raw.link_mbps.is_nan() || raw.link_mbps <= 0.0 {
        return Err(CheckError::new(&path.field("link_mbps"), raw.link_mbps, "allowed is more than 0"));
    }
    within(&path, "descriptors", raw.descriptors as u64, 256, 10_000_000)?;
    if raw.memory_mb.is_nan() || raw.memory_mb <= 0.0 {
        return Err(CheckError::new(&path.field("memory_mb"), raw.memory_mb, "allowed is more than 0"));
    }
    Ok(())
}

fn unconfirmed_renewal() -> u64 {
    Timing::default().unconfirmed_renewal.millis()
}

/// A link of which the settings tell nothing is taken for one that is wide enough for all.
fn wide_link() -> f64 {
    1000.0
}

/// Memory of which the settings tell nothing is taken for enough.
fn many_descriptors() -> usize {
    16_384
}

fn much_memory() -> f64 {
    1024.0
}

/// An address that may be left empty.
fn optional_address(name: &str, text: &str) -> Result<Option<SocketAddr>, CheckError> {
    if text.is_empty() {
        return Ok(None);
    }
    let path = JsonPath::root().field("deployment").field(name);
    text.parse().map(Some).map_err(|_| CheckError::new(&path, text, "allowed is IP:port, or nothing"))
}

fn within(path: &JsonPath, name: &str, ms: u64, min: u64, max: u64) -> Result<(), CheckError> {
    if (min..=max).contains(&ms) {
        return Ok(());
    }
    Err(CheckError::new(&path.field(name), ms, format!("allowed is {min} to {max} milliseconds")))
}

/// Whether a settings file is one for a box on the users' platform.
pub fn has_deployment_settings(path: &str) -> bool {
    let text = std::fs::read(path).unwrap_or_default();
    serde_json::from_slice::<serde_json::Value>(&text).is_ok_and(|value| value.get("deployment").is_some())
}

/// Reads and checks a settings file; the error names the file, the field and what is allowed.
pub fn read(path: &str) -> Result<DeploymentSettings, String> {
    let text = std::fs::read(path).map_err(|e| format!("{path}: {e}"))?;
    let file: SettingsFile = model::from_json(&text).map_err(|e| format!("{path}: {e}"))?;
    DeploymentSettings::try_from(file.deployment).map_err(|e| format!("{path}: {e}"))
}
