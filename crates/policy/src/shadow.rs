//! Shadow reservations, as in EASY backfill: where and when a gang that does not fit now will probably fit.

use model::{Duration, Gang};

use crate::{FreeCapacity, Running, place::best_fit};

/// The reserved backend servers and the start time of a waiting gang.
#[derive(Debug, Clone)]
pub(crate) struct Shadow {
    reserved: Vec<bool>,
    /// Time from now until the gang can start.
    pub(crate) after: Duration,
}

impl Shadow {
    /// Simulates the end of running gangs, ordered by the time that `left` returns for each, until the gang fits.
    /// Returns `None` if it does not fit after all have ended.
    pub(crate) fn of(
        free_capacity: &FreeCapacity,
        running: &[Running],
        gang: &Gang,
        left: impl Fn(&Running) -> Duration,
    ) -> Option<Shadow> {
        let mut ends: Vec<(Duration, &Running)> = running.iter().map(|gang| (left(gang), gang)).collect();
        ends.sort_by(|a, b| a.0.cmp(&b.0).then_with(|| a.1.job.cmp(&b.1.job)));
        let mut later = free_capacity.clone();
        for (at, ended) in ends {
            later.give(&ended.members, &ended.per_task);
            // The gang can only newly fit where the last gang ended; other extents were tried before.
            if !may_fit_near(&later, ended, gang) {
                continue;
            }
            let free = |i: usize| later.fits(i, &gang.per_task);
            if let Some(members) = best_fit(&later, gang, &Default::default(), free) {
                let mut reserved = vec![false; free_capacity.len()];
                for member in &members {
                    if let Some(i) = free_capacity.position(&member.server) {
                        reserved[i] = true;
                    }
                }
                return Some(Shadow { reserved, after: at });
            }
        }
        None
    }

    /// Whether the reservation includes a backend server.
    pub(crate) fn covers(&self, i: usize) -> bool {
        self.reserved[i]
    }
}

fn may_fit_near(free_capacity: &FreeCapacity, ended: &Running, gang: &Gang) -> bool {
    let rack_fits = |rack: usize| {
        let fits = free_capacity.racks()[rack].iter().map(|i| free_capacity.fits(*i, &gang.per_task));
        fits.fold(0u32, |sum, n| sum.saturating_add(n)) >= gang.tasks
    };
    match gang.within {
        model::Within::AvailabilityZone => true,
        _ => ended
            .members
            .iter()
            .filter_map(|m| free_capacity.position(&m.server))
            .any(|i| rack_fits(free_capacity.rack(i))),
    }
}
