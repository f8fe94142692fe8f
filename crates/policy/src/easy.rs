//! EASY backfill (Lifka 1995) in order of arrival with best fit, as a baseline for comparison.
//!
//! The first job that does not fit gets a shadow reservation, computed from the declared times of running gangs.
//! Later jobs may start before it if they end by then or use none of the reserved backend servers.

use std::collections::BTreeSet;

use model::Duration;

use crate::{Decision, FreeCapacity, Planner, Queued, Snapshot, place::best_fit, shadow::Shadow};

/// Planner that uses EASY backfill with best fit.
#[derive(Debug, Default)]
pub struct Easy;

impl Planner for Easy {
    fn plan(&mut self, snapshot: &Snapshot) -> Vec<Decision> {
        let mut free_capacity = FreeCapacity::remaining(&snapshot.servers, &snapshot.running);
        let mut queue: Vec<&Queued> = snapshot.queue.iter().collect();
        queue.sort_by(|a, b| b.waited.cmp(&a.waited).then_with(|| a.job.cmp(&b.job)));
        let mut decisions = Vec::new();
        let mut shadow: Option<Shadow> = None;
        let mut failed_kinds = BTreeSet::new();
        for queued in queue {
            if let Err(e) = free_capacity.check_ever_fits(&queued.gang) {
                decisions.push(Decision::Refuse { job: queued.job.clone(), why: e.to_string() });
                continue;
            }
            // Jobs of one kind have the same result within a round, so that the others need no try.
            let kind = (queued.gang.tasks, queued.gang.per_task.accelerators, queued.declared);
            if failed_kinds.contains(&kind) {
                continue;
            }
            let free = |i: usize| match &shadow {
                Some(shadow) if shadow.covers(i) && queued.declared > shadow.after => 0,
                _ => free_capacity.fits(i, &queued.gang.per_task),
            };
            if let Some(members) = best_fit(&free_capacity, &queued.gang, &queued.avoid, free) {
                free_capacity.take(&members, &queued.gang.per_task);
                decisions.push(Decision::Start { job: queued.job.clone(), members });
                continue;
            }
            failed_kinds.insert(kind);
            if shadow.is_none() {
                let left = |gang: &crate::Running| {
                    Duration::from_millis(gang.declared.millis().saturating_sub(gang.ran_for.millis()))
                };
                shadow = Shadow::of(&free_capacity, &snapshot.running, &queued.gang, left);
            }
        }
        decisions
    }
}
