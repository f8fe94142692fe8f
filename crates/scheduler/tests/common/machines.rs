//! The platform's list of machines. It shows changes with a delay, is read in pages that are not a snapshot, and is at
//! times slow or unavailable. A backend server that is cut off stays listed.

use std::collections::BTreeMap;

use model::{BackendServerId, Incarnation, Moment};
use scheduler::{CallFailure, Machine, MachineId, MachineList, Scheduler};

use super::{
    events::Event,
    world::{STEP_MS, World},
};

/// Maximum delay until a change is listed (observed on the platform: 500 ms).
const MAX_LAG_MS: u64 = 500;
/// Machines in one page.
const PAGE_SIZE: usize = 3;
/// Delay between the reads of two pages.
const PAGE_DELAY_MS: u64 = 2 * STEP_MS;
/// Time after an election until a first call has failed.
const FIRST_CALL_MS: u64 = 100;
/// Share of the requests that fail or end after a page, and that are answered late, of 256.
const FAILED: u8 = 20;
const LATE: u8 = 30;

/// Longest delay of a request or of a reply.
const MAX_DELAY_MS: u64 = 3000;

/// Machines of the platform.
#[derive(Debug)]
pub(crate) struct Machines {
    /// Whether the platform offers the list.
    pub(crate) available: bool,
    /// Whether requests fail or are answered late at times.
    pub(crate) faulty: bool,
    /// Machines as the list shows them, with the number of the latest change shown; `None` for those not listed.
    rows: BTreeMap<MachineId, (Option<Machine>, u64)>,
    changes: u64,
    /// Random numbers of the list alone, so that it changes nothing else in a case.
    rng: fastrand::Rng,
}

impl Machines {
    pub(crate) fn new(seed: u64) -> Machines {
        Machines {
            available: !seed.is_multiple_of(5),
            faulty: true,
            rows: BTreeMap::new(),
            changes: 0,
            rng: fastrand::Rng::with_seed(!seed),
        }
    }

    /// Returns whether the next departure is announced with the time that the backend server stays.
    pub(crate) fn reports_notice(&mut self) -> bool {
        self.available && self.rng.bool()
    }

    /// Returns the delay of a request or of a reply.
    fn delay_ms(&mut self) -> u64 {
        if self.faulty && self.rng.u8(..) < LATE { self.rng.u64(..MAX_DELAY_MS) } else { STEP_MS }
    }

    /// Returns the number of the change that a page or an event belongs to.
    fn next_change(&mut self) -> u64 {
        self.changes += 1;
        self.changes
    }
}

fn machine_id(server: &BackendServerId) -> MachineId {
    MachineId::from(format!("m-{server}").as_str())
}

impl World {
    /// Lists a backend server on its machine, after a delay.
    pub(crate) fn list_machine(&mut self, server: &BackendServerId) {
        let machine = Machine { id: machine_id(server), up: true, server: Some(server.clone()) };
        self.change_machine(machine, true);
    }

    /// Lists the machine of an ended backend server without it, or no longer, after a delay.
    pub(crate) fn list_machine_down(&mut self, server: &BackendServerId, machine_stays: bool) {
        let machine = Machine { id: machine_id(server), up: false, server: None };
        self.change_machine(machine, machine_stays);
    }

    fn change_machine(&mut self, machine: Machine, present: bool) {
        let number = self.machines.next_change();
        let lag = self.machines.rng.u64(..MAX_LAG_MS);
        self.after(lag, Event::MachineChanged { machine, present, number });
    }

    pub(crate) fn on_machine_changed(&mut self, machine: Machine, present: bool, number: u64) {
        let rows = &mut self.machines.rows;
        if rows.get(&machine.id).is_some_and(|(_, latest)| *latest > number) {
            return;
        }
        rows.insert(machine.id.clone(), (present.then_some(machine), number));
    }

    /// Requests the list if the scheduler needs it.
    pub(crate) fn request_machine_list(&mut self, leader: usize) {
        let now = self.moment();
        if !self.machines.available || self.leaders[leader].requesting_machines {
            return;
        }
        if !self.leaders[leader].scheduler.request_machine_list(now) {
            return;
        }
        self.leaders[leader].requesting_machines = true;
        let fails = self.machines.faulty && self.machines.rng.u8(..) < FAILED;
        let delay = self.machines.delay_ms();
        let list = MachineList { complete: true, ..MachineList::default() };
        let event = if fails {
            Event::MachineListFailed { leader }
        } else {
            Event::MachinePage { leader, list, after: None, requested: now }
        };
        self.after(delay, event);
    }

    /// Reads the page that follows the machine `after`.
    pub(crate) fn on_machine_page(
        &mut self,
        leader: usize,
        mut list: MachineList,
        after: Option<MachineId>,
        requested: Moment,
    ) {
        let listed = self.machines.rows.values().filter_map(|(machine, _)| machine.as_ref());
        let rest: Vec<Machine> =
            listed.filter(|row| after.as_ref().is_none_or(|after| row.id > *after)).cloned().collect();
        list.machines.extend(rest.iter().take(PAGE_SIZE).cloned());
        list.pages += 1;
        let last = list.machines.last().map(|machine| machine.id.clone());
        if rest.len() > PAGE_SIZE && self.machines.faulty && self.machines.rng.u8(..) < FAILED {
            list.complete = false;
        } else if rest.len() > PAGE_SIZE {
            return self.after(PAGE_DELAY_MS, Event::MachinePage { leader, list, after: last, requested });
        }
        let delay = self.machines.delay_ms();
        self.after(delay, Event::MachineListed { leader, list, requested });
    }

    pub(crate) fn on_machines_listed(&mut self, leader: usize, list: &MachineList, requested: Moment) {
        let now = self.moment();
        let leader = &mut self.leaders[leader];
        leader.requesting_machines = false;
        if !leader.alive {
            return;
        }
        let tracked = |scheduler: &Scheduler| {
            let of_server = |id: &&BackendServerId| scheduler.tracks_server(id);
            self.servers.keys().filter(of_server).cloned().collect::<Vec<_>>()
        };
        let before: Vec<(BackendServerId, Option<Incarnation>)> =
            tracked(&leader.scheduler).into_iter().map(|id| (id.clone(), leader.scheduler.incarnation(&id))).collect();
        leader.scheduler.machine_list_received(list, requested, now);
        for (id, incarnation) in before {
            let server = &self.servers[&id];
            // A deposed scheduler without a response rightly ends the incarnation that it knows from the store, while
            // its successor has placed runs in the next.
            let runs_for_it = leader.fence == self.holder && !server.running.is_empty();
            let is_meant = incarnation.map_or(runs_for_it, |known| known == server.incarnation);
            assert!(
                leader.scheduler.tracks_server(&id) || !is_meant,
                "at {}: {id} still runs and was taken for ended",
                self.now
            );
        }
    }

    /// Fails the first call of a new scheduler to each backend server that has ended and that the store names as the
    /// place of a run.
    pub(crate) fn call_ended_places(&mut self, leader: usize) {
        if !self.machines.available {
            return;
        }
        for server in self.leaders[leader].scheduler.restored_addresses().into_keys() {
            if !self.servers.contains_key(&server) {
                self.after(FIRST_CALL_MS, Event::CallFailed { leader, server, how: CallFailure::Refused });
            }
        }
    }

    pub(crate) fn on_machine_list_failed(&mut self, leader: usize) {
        self.leaders[leader].requesting_machines = false;
        self.leaders[leader].scheduler.machine_list_failed();
    }
}
