//! Passes lists of machines to the evidence, and ends the backend servers that it proves to have ended.

use model::{BackendServerId, Moment};

use super::{MachineList, Observed, Proof, Verdict};
use crate::{Scheduler, maintenance_batch::MachineId, observations::Observation, server::Server};

impl Scheduler {
    /// Returns whether the list of machines is to be requested now. The caller requests it if so.
    pub fn request_machine_list(&mut self, now: Moment) -> bool {
        if !self.timing.tuning.machine_list {
            return false;
        }
        let failing_since = |id| self.servers.get(id)?.contact.failing_since;
        let silent_since = self.unreachable.pending().filter_map(failing_since).min();
        let is_due = self.departures.requests.is_due(self.elected, silent_since, now);
        if is_due {
            self.departures.requests.sent(now);
        }
        is_due
    }

    /// Handles a request for the list of machines that failed. It proves nothing.
    pub fn machine_list_failed(&mut self) {
        self.departures.requests.failed();
    }

    /// Handles a list of machines that was requested at `requested`: ends the backend servers that it proves to have
    /// ended.
    pub fn machine_list_received(&mut self, list: &MachineList, requested: Moment, now: Moment) {
        if !self.timing.tuning.machine_list {
            return;
        }
        self.departures.requests.received(list, requested, self.elected);
        let observed: Vec<Observed> = self.servers.iter().map(|(id, server)| observe(id, server)).collect();
        let verdicts = self.departures.evidence.apply_list(list, requested, now, self.elected, &observed);
        for (id, verdict) in verdicts {
            match verdict {
                Verdict::Ended { machine, proof } => self.end_proven(&id, machine.as_ref(), proof, now),
                Verdict::Contradicted { machine } => {
                    log::warn!("server={id} event=machine_list_contradicted machine={machine} fence={}", self.fence);
                }
            }
        }
    }

    fn end_proven(&mut self, id: &BackendServerId, machine: Option<&MachineId>, proof: Proof, now: Moment) {
        let Some(server) = self.servers.get(id) else { return };
        let silent_ms = server.contact.failing_since.map_or(0, |since| now.since(since).millis());
        let machine = machine.map_or_else(|| "unknown".to_owned(), MachineId::to_string);
        log::info!("server={id} event=ended_by_machine_list machine={machine} silent_ms={silent_ms} proof={proof}");
        self.observations.push(Observation::EndedByMachineList);
        if server.info.is_some() {
            return self.server_ended(id, now);
        }
        // Known from the store only, so whether it had announced its departure is unknown. As after a lease, its runs are
        // charged if another incarnation responds at its address.
        self.record_lapsed(id, now);
        self.record_witness_end(id, now);
        self.lapse_members(id, "server_gone", now);
        self.remove_server(id);
    }
}

fn observe(id: &BackendServerId, server: &Server) -> Observed {
    Observed {
        id: id.clone(),
        incarnation: server.incarnation,
        first_response: server.contact.first_response,
        answered_call_sent: server.answered_call_sent,
        failing_since: server.contact.failing_since,
        has_runs: !server.members.is_empty(),
    }
}
