//! The second baseline: EASY backfill (Lifka 1995) in order of arrival, with best fit.
//!
//! The first job that does not fit gets a date by the declared times of what runs; later jobs may
//! start before it if they end by then, or leave its place alone.

use std::collections::BTreeSet;

use model::Duration;

use crate::{Decision, Planner, Queued, Room, Snapshot, place::best_fit, shadow::Shadow};

/// EASY backfill with best fit.
#[derive(Debug, Default)]
pub struct Easy;

impl Planner for Easy {
    fn plan(&mut self, snapshot: &Snapshot) -> Vec<Decision> {
        let mut room = Room::beside(&snapshot.servers, &snapshot.running);
        let mut queue: Vec<&Queued> = snapshot.queue.iter().collect();
        queue.sort_by(|a, b| b.waited.cmp(&a.waited).then_with(|| a.job.cmp(&b.job)));
        let mut decisions = Vec::new();
        let mut shadow: Option<Shadow> = None;
        let mut failed = BTreeSet::new();
        for queued in queue {
            if let Err(e) = room.check_ever_fits(&queued.gang) {
                decisions.push(Decision::Refuse { job: queued.job.clone(), why: e.to_string() });
                continue;
            }
            // Alike jobs fare alike within a round; only their declared times may differ.
            let kind = (queued.gang.tasks, queued.gang.per_task.accelerators, queued.declared);
            if failed.contains(&kind) {
                continue;
            }
            let free = |i: usize| match &shadow {
                Some(shadow) if shadow.covers(i) && queued.declared > shadow.after => 0,
                _ => room.fits(i, &queued.gang.per_task),
            };
            if let Some(members) = best_fit(&room, &queued.gang, &queued.avoid, free) {
                room.take(&members, &queued.gang.per_task);
                decisions.push(Decision::Start { job: queued.job.clone(), members });
                continue;
            }
            failed.insert(kind);
            if shadow.is_none() {
                let left = |gang: &crate::Running| {
                    Duration::from_millis(gang.declared.millis().saturating_sub(gang.ran_for.millis()))
                };
                shadow = Shadow::of(&room, &snapshot.running, &queued.gang, left);
            }
        }
        decisions
    }
}
