//! Partitioned schedulers, each of which reaches a part of the backend servers, and the stored witnesses.

use std::collections::BTreeSet;

use model::{BackendServerId, Duration, Moment, Revision};
use scheduler::{WitnessRecord, WitnessWrite};

use super::{
    events::Event,
    world::{STEP_MS, World},
};

/// Lease of an election: time after the store's last reply for which a scheduler counts as confirmed.
const ELECTION_LEASE_MS: u64 = 1000;

/// Backend servers and store that a scheduler does not reach, and until when, in milliseconds.
#[derive(Debug, Default)]
pub(crate) struct CutOff {
    pub(crate) from: BTreeSet<BackendServerId>,
    pub(crate) until: u64,
    /// Whether it does not reach the store either.
    pub(crate) from_store: bool,
}

impl World {
    /// Elects another box while the current one is alive, cut off from the store: the two reach different backend
    /// servers, and some are reached by neither.
    pub(crate) fn elect_concurrent(&mut self, reached_by_old: u8, reached_by_neither: u8, ms: u64) {
        if self.now < self.store_down_until {
            return;
        }
        let unreachable = |mask: u8| {
            let among = |(i, id): (usize, &BackendServerId)| (mask >> (i % 8) & 1 == 0).then(|| id.clone());
            self.servers.keys().enumerate().filter_map(among).collect::<BTreeSet<_>>()
        };
        let old = reached_by_old & !reached_by_neither;
        let (old, new) = (unreachable(old), unreachable(!old & !reached_by_neither));
        let until = self.now + ms;
        if let Some(leader) = self.leaders.iter_mut().rfind(|leader| leader.alive) {
            leader.cut_off = CutOff { from: old, until, from_store: true };
        }
        self.elect();
        let elected = self.leaders.last_mut().expect("one was just elected");
        elected.cut_off = CutOff { from: new, until, from_store: false };
    }

    pub(crate) fn reachable_by(&self, leader: usize, id: &BackendServerId) -> bool {
        let cut_off = &self.leaders[leader].cut_off;
        self.reachable(id) && (cut_off.until <= self.now || !cut_off.from.contains(id))
    }

    pub(crate) fn reaches_store(&self, leader: usize) -> bool {
        let cut_off = &self.leaders[leader].cut_off;
        self.now >= self.store_down_until && (cut_off.until <= self.now || !cut_off.from_store)
    }

    /// Confirms the election of the current leader if it reaches the store.
    pub(crate) fn confirm(&mut self, i: usize) {
        if self.reaches_store(i) && self.leaders[i].fence == self.holder {
            self.leaders[i].confirmed = Moment::from_millis(self.now + ELECTION_LEASE_MS);
        }
    }

    /// Returns the lease that a scheduler may grant now.
    pub(crate) fn lease(&self, i: usize) -> Option<Duration> {
        let (leader, now) = (&self.leaders[i], self.moment());
        if self.uses_witnesses {
            return leader.scheduler.lease_now(leader.confirmed, now);
        }
        let timing = World::timing();
        (now <= leader.confirmed + timing.unconfirmed_renewal).then_some(timing.lease)
    }

    /// Writes the witnesses; the write may be lost or take effect late, like any other.
    pub(crate) fn write_next_witnesses(&mut self, i: usize) {
        let now = self.moment();
        if self.leaders[i].writing_witnesses || !self.reaches_store(i) || !self.uses_witnesses {
            return;
        }
        let Some(write) = self.leaders[i].scheduler.next_witness_write(now) else { return };
        self.leaders[i].writing_witnesses = true;
        if self.now < self.lose_writes_until && self.rng.bool() {
            let late = if self.rng.bool() { STEP_MS } else { 1000 + self.rng.u64(..5000) };
            self.after(late, Event::WriteWitnesses { leader: i, write, answered: false });
            self.after(300, Event::WitnessWriteLost { leader: i });
        } else {
            self.after(STEP_MS, Event::WriteWitnesses { leader: i, write, answered: true });
        }
    }

    /// Writes the witnesses to the store. The error is the stored record if this scheduler is still the leader.
    pub(crate) fn write_witnesses(
        &mut self,
        leader: usize,
        write: &WitnessWrite,
    ) -> Result<Revision, Option<(WitnessRecord, Revision)>> {
        let found = self.witnesses.as_ref().map_or(Revision(0), |(_, revision)| *revision);
        if self.leaders[leader].fence != self.holder {
            return Err(None);
        }
        if found != write.replaces {
            return Err(self.witnesses.clone());
        }
        self.revision += 1;
        let revision = Revision(self.revision);
        self.witnesses = Some((write.record.clone(), revision));
        Ok(revision)
    }

    pub(crate) fn on_witnesses_written(
        &mut self,
        leader: usize,
        write: WitnessWrite,
        result: Result<Revision, Option<(WitnessRecord, Revision)>>,
    ) {
        let leader = &mut self.leaders[leader];
        leader.writing_witnesses = false;
        match result {
            Ok(revision) => leader.scheduler.witnesses_stored(write, revision),
            Err(Some((record, revision))) => leader.scheduler.witnesses_found(Some(record), revision),
            Err(None) => {}
        }
    }
}
