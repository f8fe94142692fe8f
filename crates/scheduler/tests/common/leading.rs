//! What an elected box does around its scheduler: it plans, writes, renews and sends orders.

use std::collections::BTreeMap;

use model::{BackendServerId, Duration, Incarnation};
use scheduler::{CallFailure, Order, StartReply};

use super::{
    events::Event,
    world::{ClockReading, STEP_MS, World},
};

/// Writes of one scheduler under way, each of other jobs.
const WRITES_AT_ONCE: usize = 3;

impl World {
    pub(crate) fn run_leader(&mut self, i: usize) {
        self.confirm(i);
        let now = self.moment();
        let wall = self.now;
        let leader = &mut self.leaders[i];
        leader.scheduler.tick(now);
        leader.scheduler.plan(now, wall);
        leader.scheduler.check_kept(now).unwrap_or_else(|why| panic!("at {wall}: {why}"));
        self.write_next(i);
        self.write_next_note(i);
        self.write_next_witnesses(i);
        self.renew(i);
        for order in self.leaders[i].scheduler.take_orders() {
            self.send(i, order);
        }
    }

    pub(crate) fn write_next(&mut self, i: usize) {
        if self.leaders[i].writing >= WRITES_AT_ONCE || !self.reaches_store(i) {
            return;
        }
        let Some(batch) = self.leaders[i].scheduler.next_write_batch(4) else { return };
        self.leaders[i].writing += 1;
        if self.now < self.lose_writes_until && self.rng.bool() {
            let late = if self.rng.bool() { STEP_MS } else { 1000 + self.rng.u64(..5000) };
            self.after(late, Event::Write { leader: i, batch: batch.clone(), answered: false });
            self.after(300, Event::WriteLost { leader: i, batch });
        } else {
            self.after(STEP_MS, Event::Write { leader: i, batch, answered: true });
        }
    }

    /// A write of the note may be lost, or take effect late, as any other.
    fn write_next_note(&mut self, i: usize) {
        let now = self.moment();
        if self.leaders[i].noting || !self.reaches_store(i) {
            return;
        }
        let Some(write) = self.leaders[i].scheduler.next_unreachable_write(now) else { return };
        self.leaders[i].noting = true;
        if self.now < self.lose_writes_until && self.rng.bool() {
            let late = if self.rng.bool() { STEP_MS } else { 1000 + self.rng.u64(..5000) };
            self.after(late, Event::Note { leader: i, write, answered: false });
            self.after(300, Event::NoteLost { leader: i });
        } else {
            self.after(STEP_MS, Event::Note { leader: i, write, answered: true });
        }
    }

    pub(crate) fn renew(&mut self, i: usize) {
        let ids: Vec<BackendServerId> = self.servers.keys().cloned().collect();
        for id in ids {
            let (now, moment, lease) = (self.now, self.moment(), self.lease(i));
            let leader = &mut self.leaders[i];
            match leader.holding.get(&id) {
                Some(&since) if now < since + 200 => continue,
                Some(_) => {
                    leader.holding.remove(&id);
                    leader.reached.remove(&id);
                    let refused = self.servers[&id].cut_refuses && self.servers[&id].cut_until > now;
                    let how = if refused { CallFailure::Refused } else { CallFailure::NoResponse };
                    leader.scheduler.call_failed(&id, how, moment);
                }
                None => {}
            }
            if now >= leader.renews_until {
                leader.alive = false;
                return;
            }
            let life = leader.scheduler.incarnation(&id);
            let renews = leader.reached.contains(&id) && leader.scheduler.may_renew(&id);
            let lease = lease.filter(|_| renews);
            let until = lease.and_then(|lease| lease_until(&leader.clocks, &id, life, lease, now));
            if let Some(lease) = lease.filter(|_| until.is_some()) {
                leader.scheduler.lease_sent(&id, lease, moment);
            }
            leader.holding.insert(id.clone(), now);
            let acknowledged = leader.scheduler.acknowledged_serial(&id);
            self.after(STEP_MS, Event::Hold { leader: i, server: id, life, acknowledged, until, sent: moment });
        }
    }

    /// As the host does: a start that is dropped counts as refused, since nobody else answers it; stops are repeated anyway.
    fn drop_order(&mut self, i: usize, order: &Order) {
        let now = self.moment();
        if let Order::Start { server, task, run, .. } = order {
            self.leaders[i].scheduler.start_replied(server, *task, *run, StartReply::Refused, now);
        }
    }

    pub(crate) fn send(&mut self, i: usize, order: Order) {
        if self.now < self.drop_orders_until {
            return self.drop_order(i, &order);
        }
        let lost = self.now < self.lose_orders_until && self.rng.u8(..) < 80;
        // An order without an answer is carried out late, or at once.
        let late = if lost && self.rng.bool() { 2000 + self.rng.u64(..10_000) } else { STEP_MS };
        let now = self.moment();
        let life = self.leaders[i].scheduler.incarnation(order.subject().0);
        match order {
            Order::Start { server, task, run, checkpoint, .. } => {
                // As the host does: the order may have waited since an earlier life.
                if !self.leaders[i].scheduler.may_start(&server, task, run) {
                    return self.leaders[i].scheduler.start_withdrawn(&server, task, run, now);
                }
                let lease = self.lease(i);
                let leader = &mut self.leaders[i];
                let Some(lease) = lease else {
                    return leader.scheduler.start_replied(&server, task, run, StartReply::Unknown, now);
                };
                let Some(until) = lease_until(&leader.clocks, &server, life, lease, self.now) else { return };
                leader.scheduler.lease_sent(&server, lease, now);
                let answered = !lost && self.reachable_by(i, &server);
                let checkpoint = checkpoint.is_some();
                self.after(
                    late,
                    Event::Start { leader: i, server: server.clone(), life, task, run, until, answered, checkpoint },
                );
                if !answered {
                    let reply = StartReply::Unknown;
                    self.after(400, Event::Started { leader: i, server, task, run, reply });
                }
            }
            Order::Stop { server, task, run, .. } => {
                self.after(late, Event::Stop { leader: i, server, life, task, run, answered: !lost });
            }
            Order::Throttle { .. } => unreachable!("no job of this world lives on what others leave"),
        }
    }
}

/// The end of a lease on the clock of the life that is meant; `None` before its first answer.
fn lease_until(
    clocks: &BTreeMap<BackendServerId, ClockReading>,
    id: &BackendServerId,
    life: Option<Incarnation>,
    lease: Duration,
    now: u64,
) -> Option<u64> {
    let reading = clocks.get(id).filter(|reading| Some(reading.incarnation) == life)?;
    Some(reading.clock + (now - reading.at) + lease.millis())
}
