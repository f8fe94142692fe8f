//! Settings of a box on a platform that keeps its state, in JSON.

use std::net::SocketAddr;

use model::{AvailabilityZoneId, BoxId, CheckError, Duration, JsonPath};
use net::{
    admission::{ConnectionLimit, MemoryLimit},
    guard::GuardLimits,
};
use runtime::box_capacity::{self, BoxCapacity, MIN_CLIENTS_CONNECTIONS, MIN_CLIENTS_MEMORY_MB};
use scheduler::{Timing, Tuning};
use serde::{Deserialize, Serialize};

/// Lease of an election, unless the store's shortest lease is longer. It covers three renewals, so that two may be
/// lost, also to a slow store. Jobs that arrive after a scheduler has failed wait until this lease has expired.
const ELECTION_TTL: Duration = Duration::from_millis(1000);
/// Longest wait of a watch on the configuration. A watch whose response is lost is repeated after this, before the
/// platform requests the newest configuration again.
const WATCH_WAIT: Duration = Duration::from_millis(2000);
/// Time after which a store that has not responded counts as unreachable. It exceeds two liveness checks of the store
/// with slow responses.
const STORE_SILENCE: Duration = Duration::from_millis(1100);

#[derive(Deserialize)]
struct SettingsFile {
    deployment: RawDeployment,
}

/// Settings as read from the field `deployment`, not yet checked.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawDeployment {
    /// Id of the box.
    #[serde(rename = "box")]
    pub box_id: BoxId,
    /// Availability zone of the box.
    pub availability_zone: AvailabilityZoneId,
    /// Address to listen on for callers.
    pub callers_address: SocketAddr,
    /// Address to listen on for the load balancer's readiness checks.
    pub readiness_address: SocketAddr,
    /// Address to listen on for other boxes.
    pub peers_address: SocketAddr,
    /// Address to listen on for operators: metrics, status and evacuations.
    pub metrics_address: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Address of the platform's permit service; empty if no queue requires permits.
    #[serde(default)]
    pub adviser_address: String,
    /// Address of the service that lists machines and takes them for maintenance; empty if there is none.
    #[serde(default)]
    pub machines_address: String,
    /// Addresses of boxes to contact first; they may no longer exist.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// CPU time of the box, as a share of a core; above 0.
    pub cpu_share: f64,
    /// Bandwidth of the box's network link, in Mbit/s; above 0.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
    /// Memory available to the box's process, in MB; above 0.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
    /// File descriptors available to the box's process, 256 to 10,000,000.
    #[serde(default = "default_descriptors")]
    pub descriptors: usize,
    /// Memory that all connections of clients may hold together, in MB, 4 to `memory_mb`. If left out, a tenth of
    /// `memory_mb`, and at least 4.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_memory_mb: Option<f64>,
    /// Connections of clients that may be open at the same time, 64 to `descriptors`. If left out, three sixteenths of
    /// `descriptors`, and 64 to 2,048.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub connections: Option<usize>,
    /// Shortest lease that the store grants, in milliseconds, 1 to 60,000.
    pub shortest_ttl_ms: u64,
    /// Longest lease that a backend server grants, in milliseconds, 1,000 to 600,000.
    pub lease_ms: u64,
    /// Interval at which a backend server writes its entry in the platform's list, in milliseconds, 100 to 60,000. One
    /// that is too long takes a backend server that is cut off for one that has left.
    #[serde(default = "default_server_heartbeat_ms")]
    pub server_heartbeat_ms: u64,
    /// Factor by which the run time of a task grows away from its data or spread over racks; at least 1.
    pub far_factor: f64,
    /// Longest time between SIGTERM and the end of the process, in milliseconds, 1,000 to 600,000.
    pub grace_ms: u64,
    /// Settings of the scheduler's mechanisms, for measuring the effect of each.
    #[serde(default, skip_serializing)]
    pub tuning: Tuning,
    /// Time for which a scheduler that cannot confirm its election still renews leases, in milliseconds.
    #[serde(default = "default_unconfirmed_renewal_ms")]
    pub unconfirmed_renewal_ms: u64,
    /// Most verbose level that is logged: `error`, `warn`, `info`, `debug` or `trace`.
    pub log_level: log::LevelFilter,
}

/// Checked settings.
#[derive(Debug, Clone)]
pub struct DeploymentSettings {
    /// Settings of the runtime.
    pub runtime: runtime::Settings,
    /// Address to listen on for callers.
    pub callers_address: SocketAddr,
    /// Address to listen on for the load balancer's readiness checks.
    pub readiness_address: SocketAddr,
    /// Address to listen on for operators: metrics, status and evacuations.
    pub metrics_address: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Address of the platform's permit service; `None` if no queue requires permits.
    pub adviser_address: Option<SocketAddr>,
    /// Address of the service that lists machines and takes them for maintenance; `None` if there is none.
    pub machines_address: Option<SocketAddr>,
    /// Longest time between SIGTERM and the end of the process.
    pub grace: Duration,
    /// Most verbose level that is logged.
    pub log_level: log::LevelFilter,
}

impl TryFrom<RawDeployment> for DeploymentSettings {
    type Error = CheckError;
    fn try_from(raw: RawDeployment) -> Result<DeploymentSettings, CheckError> {
        check(&raw)?;
        let adviser_address = parse_optional_address("adviser_address", &raw.adviser_address)?;
        let machines_address = parse_optional_address("machines_address", &raw.machines_address)?;
        let guard = guard_limits(&raw);
        let election_ttl = ELECTION_TTL.max(Duration::from_millis(raw.shortest_ttl_ms));
        let timing = Timing {
            lease: Duration::from_millis(raw.lease_ms),
            far_factor: raw.far_factor,
            server_heartbeat: Duration::from_millis(raw.server_heartbeat_ms),
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
                capacity: BoxCapacity::beside(guard, raw.cpu_share, raw.memory_mb, raw.descriptors),
                guard,
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
    check_range(&path, "lease_ms", raw.lease_ms, 1000, 600_000)?;
    check_range(&path, "shortest_ttl_ms", raw.shortest_ttl_ms, 1, 60_000)?;
    check_range(&path, "grace_ms", raw.grace_ms, 1000, 600_000)?;
    check_range(&path, "server_heartbeat_ms", raw.server_heartbeat_ms, 100, 60_000)?;
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
    check_range(&path, "descriptors", raw.descriptors as u64, 256, 10_000_000)?;
    if raw.memory_mb.is_nan() || raw.memory_mb <= 0.0 {
        return Err(CheckError::new(&path.field("memory_mb"), raw.memory_mb, "allowed is more than 0"));
    }
    check_clients(&path, raw)
}

/// Checks the limits on connections of clients.
fn check_clients(path: &JsonPath, raw: &RawDeployment) -> Result<(), CheckError> {
    let most = raw.memory_mb;
    if let Some(mb) = raw.request_memory_mb.filter(|mb| !(MIN_CLIENTS_MEMORY_MB..=most).contains(mb)) {
        let allowed = format!("allowed is {MIN_CLIENTS_MEMORY_MB} to memory_mb, which is {most}");
        return Err(CheckError::new(&path.field("request_memory_mb"), mb, allowed));
    }
    let most = raw.descriptors;
    if let Some(connections) = raw.connections.filter(|n| !(MIN_CLIENTS_CONNECTIONS..=most).contains(n)) {
        let allowed = format!("allowed is {MIN_CLIENTS_CONNECTIONS} to descriptors, which is {most}");
        return Err(CheckError::new(&path.field("connections"), connections, allowed));
    }
    Ok(())
}

/// Returns the limits on connections of clients: those of the settings, or the usual ones of a box of its size.
fn guard_limits(raw: &RawDeployment) -> GuardLimits {
    let usual = box_capacity::guard_limits(raw.memory_mb, raw.descriptors);
    GuardLimits {
        memory: raw.request_memory_mb.map_or(usual.memory, |mb| MemoryLimit((mb * 1_000_000.0) as usize)),
        connections: raw.connections.map_or(usual.connections, ConnectionLimit),
    }
}

fn default_server_heartbeat_ms() -> u64 {
    Timing::default().server_heartbeat.millis()
}

fn default_unconfirmed_renewal_ms() -> u64 {
    Timing::default().unconfirmed_renewal.millis()
}

/// Bandwidth that is assumed if the settings give none: enough not to limit the box.
fn default_link_mbps() -> f64 {
    1000.0
}

/// Number of file descriptors that is assumed if the settings give none: enough not to limit the box.
fn default_descriptors() -> usize {
    16_384
}

/// Memory that is assumed if the settings give none: enough not to limit the box.
fn default_memory_mb() -> f64 {
    1024.0
}

/// Parses an address; `None` if the text is empty.
fn parse_optional_address(name: &str, text: &str) -> Result<Option<SocketAddr>, CheckError> {
    if text.is_empty() {
        return Ok(None);
    }
    let path = JsonPath::root().field("deployment").field(name);
    text.parse().map(Some).map_err(|_| CheckError::new(&path, text, "allowed is IP:port, or nothing"))
}

fn check_range(path: &JsonPath, name: &str, ms: u64, min: u64, max: u64) -> Result<(), CheckError> {
    if (min..=max).contains(&ms) {
        return Ok(());
    }
    Err(CheckError::new(&path.field(name), ms, format!("allowed is {min} to {max} milliseconds")))
}

/// Returns whether a settings file has a field `deployment`, which selects this way to run a box.
///
/// Returns `false` if the file cannot be read or parsed.
pub fn has_deployment_settings(path: &str) -> bool {
    let text = std::fs::read(path).unwrap_or_default();
    serde_json::from_slice::<serde_json::Value>(&text).is_ok_and(|value| value.get("deployment").is_some())
}

/// Reads and checks a settings file. The error names the file, the field and the allowed values.
pub fn read(path: &str) -> Result<DeploymentSettings, String> {
    let text = std::fs::read(path).map_err(|e| format!("{path}: {e}"))?;
    let file: SettingsFile = model::from_json(&text).map_err(|e| format!("{path}: {e}"))?;
    DeploymentSettings::try_from(file.deployment).map_err(|e| format!("{path}: {e}"))
}
