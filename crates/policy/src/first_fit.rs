//! First-come, first-served placement with first fit, as a baseline for comparison.

use crate::{Decision, FreeCapacity, Planner, Queued, Snapshot};

/// Planner that starts jobs strictly in order of arrival: a job that does not fit blocks all later ones.
#[derive(Debug, Default)]
pub struct FirstFit;

impl Planner for FirstFit {
    fn plan(&mut self, snapshot: &Snapshot) -> Vec<Decision> {
        let mut free_capacity = FreeCapacity::remaining(&snapshot.servers, &snapshot.running);
        let mut queue: Vec<&Queued> = snapshot.queue.iter().collect();
        queue.sort_by(|a, b| b.waited.cmp(&a.waited).then_with(|| a.job.cmp(&b.job)));
        let mut decisions = Vec::new();
        for queued in queue {
            if let Err(e) = free_capacity.check_ever_fits(&queued.gang) {
                decisions.push(Decision::Refuse { job: queued.job.clone(), why: e.to_string() });
                continue;
            }
            let Some(members) = free_capacity.first_fit(&queued.gang, &queued.avoid) else { break };
            free_capacity.take(&members, &queued.gang.per_task);
            decisions.push(Decision::Start { job: queued.job.clone(), members });
        }
        decisions
    }
}
