//! Consistency checks for tests: state that is updated incrementally must equal the same state computed anew.

use model::Moment;

use crate::{Scheduler, fleet_capacity::FleetCapacity};

impl Scheduler {
    /// Checks the state after an event. Returns a description of the first difference, which is a fault of the
    /// scheduler.
    pub fn check_kept(&mut self, now: Moment) -> Result<(), String> {
        self.check_capacity(now)?;
        self.check_isolated_retries()?;
        self.check_usage()?;
        self.check_acknowledged()
    }

    fn check_isolated_retries(&self) -> Result<(), String> {
        match self.servers.keys().find(|id| self.isolated_retries.get(*id).copied() != self.isolated_retry_on(id)) {
            Some(id) => Err(format!(
                "{id}: isolated retry: kept {:?}, recomputed {:?}",
                self.isolated_retries.get(id),
                self.isolated_retry_on(id)
            )),
            None => Ok(()),
        }
    }

    fn check_capacity(&mut self, now: Moment) -> Result<(), String> {
        self.refresh_capacity(now);
        let mut recomputed = FleetCapacity::default();
        for id in self.servers.keys() {
            recomputed.set(id, self.server_capacity(id, now));
        }
        self.fleet.check_same(&recomputed)
    }

    /// Checks that each completion that waits is not stored yet, or is behind one that is not.
    fn check_acknowledged(&mut self) -> Result<(), String> {
        for id in self.servers.keys().cloned().collect::<Vec<_>>() {
            if self.acknowledge_stored(&id) {
                return Err(format!("{id}: a completion is stored and was not released for acknowledgement"));
            }
        }
        Ok(())
    }
}
