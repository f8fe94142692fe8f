//! Settings of the daemon, read from a JSON file when it starts.

use std::net::SocketAddr;

use entry::Limits;
use logs::LogFormat;
use model::{AvailabilityZoneId, BoxId, CheckError, Duration, JsonPath};
use outside::ListedBox;
use serde::{Deserialize, Serialize};

/// Settings as read from JSON, not yet checked. `docs/OPERATIONS.md` lists them with units, defaults and bounds.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    /// Id of the box.
    #[serde(rename = "box")]
    pub box_id: BoxId,
    /// Availability zone of the box.
    pub availability_zone: AvailabilityZoneId,
    /// Address to listen on for callers and operators.
    pub callers_address: SocketAddr,
    /// Address to listen on for other boxes.
    pub peers_address: SocketAddr,
    /// Address of the platform's key-value store and list of boxes.
    pub platform_address: SocketAddr,
    /// Boxes known at the start, in addition to those of the platform's list.
    #[serde(default)]
    pub peers: Vec<ListedBox>,
    /// Level and format of logs.
    #[serde(default)]
    pub log: LogSettings,
    /// Time limits that override the defaults.
    #[serde(default)]
    pub limits: RawLimits,
}

/// Level and format of logs.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Most verbose level that is logged: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: log::LevelFilter,
    /// Format of log lines: `text` or `json`.
    pub format: LogFormat,
}

impl Default for LogSettings {
    fn default() -> LogSettings {
        LogSettings { level: log::LevelFilter::Info, format: LogFormat::Text }
    }
}

/// Time limits that override the defaults, in milliseconds.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[expect(missing_docs, reason = "the fields are those of `entry::Limits` and of its fields")]
pub struct RawLimits {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease_ttl_ms: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub renew_every_ms: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub heartbeat_every_ms: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub dead_after_ms: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub steady_after_ms: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adopt_after_ms: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint_ms: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub watch_ms: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub probe_after_ms: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tick_ms: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub drain_ms: Option<u64>,
}

/// Checked settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Id of the box.
    pub box_id: BoxId,
    /// Availability zone of the box.
    pub availability_zone: AvailabilityZoneId,
    /// Address to listen on for callers and operators.
    pub callers_address: SocketAddr,
    /// Address to listen on for other boxes.
    pub peers_address: SocketAddr,
    /// Address of the platform's key-value store and list of boxes.
    pub platform_address: SocketAddr,
    /// Boxes known at the start, in addition to those of the platform's list.
    pub peers: Vec<ListedBox>,
    /// Level and format of logs.
    pub log: LogSettings,
    /// Time limits of the entry box.
    pub limits: Limits,
    /// Interval at which the entry box receives a tick.
    pub tick: Duration,
    /// Longest time that a draining box runs.
    pub drain: Duration,
}

/// Default of `tick_ms`.
const DEFAULT_TICK: Duration = Duration::from_millis(100);
/// Default of `drain_ms`.
const DEFAULT_DRAIN: Duration = Duration::from_secs(90);

impl TryFrom<RawSettings> for Settings {
    type Error = CheckError;
    fn try_from(raw: RawSettings) -> Result<Settings, CheckError> {
        let path = JsonPath::root().field("limits");
        let l = &raw.limits;
        let mut limits = Limits::default();
        set_limit(&path, "lease_ttl_ms", l.lease_ttl_ms, 300, 3_600_000, &mut limits.lifecycle.lease_ttl)?;
        set_limit(&path, "renew_every_ms", l.renew_every_ms, 100, 1_200_000, &mut limits.lifecycle.renew_every)?;
        set_limit(
            &path,
            "heartbeat_every_ms",
            l.heartbeat_every_ms,
            20,
            10_000,
            &mut limits.membership.heartbeat_every,
        )?;
        set_limit(&path, "dead_after_ms", l.dead_after_ms, 100, 60_000, &mut limits.membership.dead_after)?;
        set_limit(&path, "steady_after_ms", l.steady_after_ms, 0, 60_000, &mut limits.membership.steady_after)?;
        set_limit(&path, "adopt_after_ms", l.adopt_after_ms, 100, 60_000, &mut limits.adopt_after)?;
        set_limit(&path, "checkpoint_ms", l.checkpoint_ms, 10, 600_000, &mut limits.checkpoint)?;
        set_limit(&path, "watch_ms", l.watch_ms, 50, 60_000, &mut limits.watch)?;
        set_limit(&path, "probe_after_ms", l.probe_after_ms, 100, 3_600_000, &mut limits.probe_after)?;
        let (mut tick, mut drain) = (DEFAULT_TICK, DEFAULT_DRAIN);
        set_limit(&path, "tick_ms", l.tick_ms, 5, 1000, &mut tick)?;
        set_limit(&path, "drain_ms", l.drain_ms, 100, 3_600_000, &mut drain)?;
        check_order(&path, &limits)?;
        limits.lifecycle.checkpoint_wait = limits.checkpoint + limits.call;
        Ok(Settings {
            box_id: raw.box_id,
            availability_zone: raw.availability_zone,
            callers_address: raw.callers_address,
            peers_address: raw.peers_address,
            platform_address: raw.platform_address,
            peers: raw.peers,
            log: raw.log,
            limits,
            tick,
            drain,
        })
    }
}

fn set_limit(
    path: &JsonPath,
    name: &str,
    ms: Option<u64>,
    min: u64,
    max: u64,
    limit: &mut Duration,
) -> Result<(), CheckError> {
    let Some(ms) = ms else { return Ok(()) };
    if !(min..=max).contains(&ms) {
        return Err(CheckError::new(&path.field(name), ms, format!("allowed is {min} to {max} milliseconds")));
    }
    *limit = Duration::from_millis(ms);
    Ok(())
}

/// Checks that a lease survives two lost renewals, and that a box stays a member after two lost heartbeats.
fn check_order(path: &JsonPath, limits: &Limits) -> Result<(), CheckError> {
    let (ttl, renew) = (limits.lifecycle.lease_ttl, limits.lifecycle.renew_every);
    if renew.millis() * 3 > ttl.millis() {
        let allowed = format!("at most a third of lease_ttl_ms, which is {}", ttl.millis());
        return Err(CheckError::new(&path.field("renew_every_ms"), renew.millis(), allowed));
    }
    let (dead, beat) = (limits.membership.dead_after, limits.membership.heartbeat_every);
    if beat.millis() * 3 > dead.millis() {
        let allowed = format!("at most a third of dead_after_ms, which is {}", dead.millis());
        return Err(CheckError::new(&path.field("heartbeat_every_ms"), beat.millis(), allowed));
    }
    Ok(())
}
