//! What a stand-in task does, read from the job's payload.

use model::JobSpec;
use serde::{Deserialize, Serialize};

/// Instructions to a stand-in task. A payload that is none stands for a task that runs as long as declared.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Work {
    /// How long the task runs, in milliseconds.
    pub run_ms: u64,
    /// The failure that it reports at the end, on whichever backend server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fail: Option<String>,
    /// Length of the answer, in bytes.
    #[serde(default)]
    pub answer_bytes: usize,
}

impl Work {
    /// The work of this job.
    pub fn of(spec: &JobSpec) -> Work {
        serde_json::from_str(&spec.payload).unwrap_or(Work {
            run_ms: spec.declared.millis(),
            fail: None,
            answer_bytes: 0,
        })
    }

    /// The work as a payload.
    pub fn to_payload(&self) -> String {
        serde_json::to_string(self).expect("our own types always serialize")
    }

    /// The one right answer to this job: it names its customer and request, so that a foreign
    /// answer shows.
    pub fn answer(spec: &JobSpec) -> String {
        let name = format!("answer to {}/{};", spec.customer, spec.request);
        let len = Work::of(spec).answer_bytes.max(name.len());
        name.chars().cycle().take(len).collect()
    }
}
