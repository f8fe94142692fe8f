//! Settings of the limits on connections of clients.

use martend::deployment::{DeploymentSettings, RawDeployment};
use model::CheckError;
use net::{
    admission::{ConnectionLimit, MemoryLimit},
    guard::GuardLimits,
};
use serde_json::{Value, json};

/// Returns the checked limits of a box whose settings have these fields.
fn limits(fields: &Value) -> Result<GuardLimits, CheckError> {
    let mut settings = json!({
        "box": "b", "availability_zone": "a", "callers_address": "127.0.0.1:1", "readiness_address": "127.0.0.1:2",
        "peers_address": "127.0.0.1:3", "metrics_address": "127.0.0.1:4", "store_address": "127.0.0.1:5",
        "cpu_share": 0.12, "shortest_ttl_ms": 1000, "lease_ms": 3000, "far_factor": 3.0, "grace_ms": 6000,
        "log_level": "info",
    });
    settings.as_object_mut().expect("it is one").extend(fields.as_object().expect("it is one").clone());
    let raw: RawDeployment = serde_json::from_value(settings).expect("the fields are known");
    Ok(DeploymentSettings::try_from(raw)?.runtime.guard)
}

fn guard_limits(memory: usize, connections: usize) -> GuardLimits {
    GuardLimits { memory: MemoryLimit(memory), connections: ConnectionLimit(connections) }
}

/// Guards against limits that do not go with the size of a box.
#[test]
fn limits_go_with_the_memory_and_the_descriptors_of_a_box() {
    for (memory_mb, descriptors, expected) in [
        (160.0, 4100, guard_limits(16_000_000, 768)),
        (120.0, 3075, guard_limits(12_000_000, 576)),
        (1.0, 256, guard_limits(4_000_000, 64)),
        (1024.0, 1_000_000, guard_limits(102_400_000, 2048)),
    ] {
        let fields = json!({ "memory_mb": memory_mb, "descriptors": descriptors });
        assert_eq!(limits(&fields).expect("it is valid"), expected, "{fields}");
    }
}

/// Guards against settings that are ignored, or that leave a box without room for a single request.
#[test]
fn settings_of_the_limits_are_checked() {
    let fields = json!({ "memory_mb": 160.0, "request_memory_mb": 20.5, "connections": 100 });
    assert_eq!(limits(&fields).expect("it is valid"), guard_limits(20_500_000, 100));
    for (field, value) in [
        ("request_memory_mb", json!(3.9)),
        ("request_memory_mb", json!(161.0)),
        ("connections", json!(63)),
        ("connections", json!(4101)),
    ] {
        let mut fields = json!({ "memory_mb": 160.0, "descriptors": 4100 });
        fields[field] = value;
        let error = limits(&fields).expect_err("it is out of range").to_string();
        assert!(error.contains(field), "{error}");
    }
}
