//! Behaviour of a stand-in task, given by the job's payload.

use model::JobSpec;
use serde::{Deserialize, Serialize};

/// Instructions to a stand-in task, in JSON as the job's payload.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Work {
    /// Run time of the task, in milliseconds.
    pub run_ms: u64,
    /// Failure that the task reports at its end, on any backend server; `None` if it succeeds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fail: Option<String>,
    /// Least length of the answer, in bytes.
    #[serde(default)]
    pub answer_bytes: usize,
}

impl Work {
    /// Returns the work of a job. If its payload is not a `Work`, the task runs for its declared time and succeeds.
    pub fn of(spec: &JobSpec) -> Work {
        serde_json::from_str(&spec.payload).unwrap_or(Work {
            run_ms: spec.declared.millis(),
            fail: None,
            answer_bytes: 0,
        })
    }

    /// Returns the work as a payload.
    pub fn to_payload(&self) -> String {
        serde_json::to_string(self).expect("the work serializes")
    }

    /// Returns the expected answer to a job. It names the customer and the request, so that a test detects the
    /// answer of another job.
    pub fn answer(spec: &JobSpec) -> String {
        let name = format!("answer to {}/{};", spec.customer, spec.request);
        let len = Work::of(spec).answer_bytes.max(name.len());
        name.chars().cycle().take(len).collect()
    }
}
