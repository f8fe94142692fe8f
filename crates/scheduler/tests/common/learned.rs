//! The store's pages of what schedulers have learned, with conflicts and the check of the fencing token.

use std::collections::BTreeMap;

use jobs::Fence;
use model::{Moment, Revision};
use scheduler::{LearnedPage, LearnedWrite, Scheduler};

/// Wall-clock time at [`Moment::ZERO`], in milliseconds since 1970.
const WALL_START_MS: u64 = 1_800_000_000_000;

pub(crate) fn wall_ms(now: Moment) -> u64 {
    WALL_START_MS + now.millis()
}

/// Why the store did not take a write.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Conflict {
    Deposed,
    Found(Revision),
}

#[derive(Debug)]
pub(crate) struct LearnedStore {
    holder: Fence,
    revision: u64,
    values: BTreeMap<u32, (Vec<u8>, Revision)>,
    /// Times and sizes of all writes that took effect.
    pub(crate) writes: Vec<(Moment, usize)>,
}

impl LearnedStore {
    pub(crate) fn new(holder: Fence) -> LearnedStore {
        LearnedStore { holder, revision: 1000, values: BTreeMap::new(), writes: Vec::new() }
    }

    pub(crate) fn elect(&mut self, holder: Fence) {
        self.holder = holder;
    }

    pub(crate) fn pages(&self) -> Vec<LearnedPage> {
        let page = |(page, (value, revision)): (&u32, &(Vec<u8>, Revision))| LearnedPage {
            page: *page,
            value: value.clone(),
            revision: *revision,
        };
        self.values.iter().map(page).collect()
    }

    pub(crate) fn bytes(&self) -> usize {
        self.values.values().map(|(value, _)| value.len()).sum()
    }

    /// Commits a write of the scheduler with the fencing token `fence`.
    pub(crate) fn commit(&mut self, fence: Fence, write: &LearnedWrite, now: Moment) -> Result<Revision, Conflict> {
        if fence != self.holder {
            return Err(Conflict::Deposed);
        }
        let found = self.values.get(&write.page).map_or(Revision(0), |(_, revision)| *revision);
        if found != write.replaces {
            return Err(Conflict::Found(found));
        }
        self.revision += 1;
        self.values.insert(write.page, (write.value.clone(), Revision(self.revision)));
        self.writes.push((now, write.value.len()));
        Ok(Revision(self.revision))
    }

    /// Stores the next page that the scheduler offers, as the runtime does.
    pub(crate) fn store_next(&mut self, scheduler: &mut Scheduler, now: Moment) {
        let Some(write) = scheduler.next_learned_write(now, wall_ms(now)) else { return };
        match self.commit(scheduler.fence(), &write, now) {
            Ok(revision) => scheduler.learned_stored(write, revision),
            Err(Conflict::Found(revision)) => scheduler.learned_revision_found(write.page, revision),
            Err(Conflict::Deposed) => {}
        }
    }

    /// Changes the stored pages.
    pub(crate) fn corrupt(&mut self, change: impl Fn(&mut Vec<u8>)) {
        self.values.values_mut().for_each(|(value, _)| change(value));
    }
}
