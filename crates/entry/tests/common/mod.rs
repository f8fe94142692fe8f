//! Shared by the tests of this crate: a small deployment and jobs for it.

use entry::Limits;
use model::{AvailabilityZoneId, Duration, Gang, JobSpec, OperatorFile, Resources, Within};
use policy::Planner;
use standins::Work;
use test_utils::Shape;

/// Two availability zones with two boxes and three backend servers each.
pub(crate) const SHAPE: Shape = Shape { zones: 2, boxes: 2, servers: 3, accelerators: 4 };

/// Returns the planner under test.
pub(crate) fn planner(zone: &AvailabilityZoneId) -> Box<dyn Planner> {
    Box::new(policy::CellPlanner::new(zone.clone()))
}

/// Returns limits shorter than the defaults, so that leases expire within a case.
pub(crate) fn limits() -> Limits {
    let mut limits = Limits::default();
    limits.lifecycle.lease_ttl = Duration::from_secs(9);
    limits.lifecycle.renew_every = Duration::from_secs(3);
    limits.lifecycle.doubt_limit = Duration::from_secs(30);
    limits.checkpoint = Duration::from_secs(2);
    limits.lifecycle.checkpoint_wait = Duration::from_secs(4);
    limits
}

/// Returns the operators' file of the small deployment.
pub(crate) fn operator_file() -> OperatorFile {
    let mut servers = Vec::new();
    for zone in 1..=SHAPE.zones {
        for n in 1..=SHAPE.servers {
            servers.push(serde_json::json!({
                "id": format!("s{zone}{n}"), "availability_zone": format!("az-{zone}"), "rack": "r1",
                "address": "127.0.0.1:1",
                "resources": { "accelerators": SHAPE.accelerators, "cores": 16, "memory_gb": 64 },
            }));
        }
    }
    let text = serde_json::json!({
        "weights": { "completion_time": 1.0, "fragmentation": 1.0 },
        "classes": [
            { "id": "labelling", "urgent": true, "queue_limit": 100 },
            { "id": "archive", "queue_limit": 100 },
        ],
        "customers": [{ "id": "court", "share": 2 }, { "id": "council", "share": 1 }],
        "backend_servers": servers,
    });
    model::from_json(text.to_string().as_bytes()).expect("the file is well formed")
}

/// Returns the `n`th job of a case. `shape` selects the number of tasks. In `kind`, bit 0 selects the
/// customer, bit 1 makes the job repeatable and bit 2 checkpointable; from 250 on the job fails.
pub(crate) fn spec(n: usize, shape: u8, kind: u8, run_ms: u64) -> JobSpec {
    let tasks = [1, 1, 2, 3, 4, 6, 8, 12][usize::from(shape % 8)];
    let work = Work {
        run_ms,
        fail: (kind >= 250).then(|| "the recording cannot be read".to_owned()),
        answer_bytes: usize::from(kind),
    };
    JobSpec {
        customer: if kind & 1 == 0 { "court" } else { "council" }.parse().expect("a valid id"),
        request: format!("r-{n}").parse().expect("a valid id"),
        class: if tasks == 1 { "labelling" } else { "archive" }.parse().expect("a valid id"),
        gang: Gang { tasks, per_task: Resources::new(1, 1, 1), within: Within::Rack },
        declared: Duration::from_millis(run_ms),
        deadline: None,
        repeatable: kind & 2 != 0,
        checkpointable: kind & 4 != 0,
        payload: work.to_payload(),
    }
}
