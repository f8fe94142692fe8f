//! A dated reservation: where and when a gang that does not fit now will.

use model::{Duration, Gang};

use crate::{Room, Running, place::best_fit};

/// The place and the date of a waiting gang.
#[derive(Debug, Clone)]
pub(crate) struct Shadow {
    places: Vec<bool>,
    /// From now on until it can start.
    pub(crate) after: Duration,
}

impl Shadow {
    /// Lets running gangs end one by one, by how long each has left, until the gang fits.
    pub(crate) fn of(
        room: &Room,
        running: &[Running],
        gang: &Gang,
        left: impl Fn(&Running) -> Duration,
    ) -> Option<Shadow> {
        let mut ends: Vec<(Duration, &Running)> = running.iter().map(|gang| (left(gang), gang)).collect();
        ends.sort_by(|a, b| a.0.cmp(&b.0).then_with(|| a.1.job.cmp(&b.1.job)));
        let mut later = room.clone();
        for (at, ended) in ends {
            later.give(&ended.members, &ended.per_task);
            // A place can only open where the last gang ended; other extents were tried before.
            if !may_fit_near(&later, ended, gang) {
                continue;
            }
            let free = |i: usize| later.fits(i, &gang.per_task);
            if let Some(members) = best_fit(&later, gang, &Default::default(), free) {
                let mut places = vec![false; room.len()];
                for member in &members {
                    if let Some(i) = room.position(&member.server) {
                        places[i] = true;
                    }
                }
                return Some(Shadow { places, after: at });
            }
        }
        None
    }

    /// Whether the place takes in a backend server.
    pub(crate) fn covers(&self, i: usize) -> bool {
        self.places[i]
    }
}

fn may_fit_near(room: &Room, ended: &Running, gang: &Gang) -> bool {
    let rack_fits = |rack: usize| {
        let fits = room.racks()[rack].iter().map(|i| room.fits(*i, &gang.per_task));
        fits.fold(0u32, |sum, n| sum.saturating_add(n)) >= gang.tasks
    };
    match gang.within {
        model::Within::AvailabilityZone => true,
        _ => ended.members.iter().filter_map(|m| room.position(&m.server)).any(|i| rack_fits(room.rack(i))),
    }
}
