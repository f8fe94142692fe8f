//! Backend servers and the platform of a simulated cluster: how their calls are answered, and pending watches.

use backend::{BackendReply, BackendRequest, TaskState};
use model::{BackendServerId, Duration, Moment};
use outside::{StoreReply, StoreRequest};
use standins::Violation;

use crate::{
    Cluster,
    events::{BoxIncarnation, Event},
};

/// A pending watch on a lease table.
pub(crate) struct Watch {
    pub(crate) to: BoxIncarnation,
    pub(crate) req: BackendRequest,
    pub(crate) until: Moment,
    pub(crate) call: u64,
}

/// A pending watch on the store.
pub(crate) struct StoreWatch {
    pub(crate) to: BoxIncarnation,
    pub(crate) op: entry::OpId,
    pub(crate) key: String,
    pub(crate) above: u64,
    pub(crate) until: Moment,
    pub(crate) call: u64,
}

impl Cluster {
    pub(crate) fn handle_server_request(
        &mut self,
        from: BoxIncarnation,
        op: entry::BackendOp,
        id: BackendServerId,
        req: BackendRequest,
        call: u64,
    ) {
        if self.faults.is_server_cut(&from.id, &id) {
            return;
        }
        let now = self.now;
        let Some(server) = self.servers.get_mut(&id) else { return };
        if let BackendRequest::Reserve { .. } = &req
            && let Some(since) = server.drain_start
        {
            let free_before = server.table.free();
            let reply = server.table.call(req.clone(), now);
            if free_before != server.table.free() {
                self.oracle
                    .record_violation(Violation::WorkWhileLeaving { server: id.clone(), after: now.since(since) });
            }
            return self.reply_from_server(from, op, id, req, reply, call);
        }
        let runs_before = server.table.runs.len();
        let reply = server.table.call(req.clone(), now);
        let began = server.table.runs[runs_before..].to_vec();
        if let (BackendRequest::Watch { table, since, wait }, BackendReply::Table(update)) = (&req, &reply)
            && update.table == *table
            && update.version == *since
        {
            let until = now + *wait;
            server.watches.push(Watch { to: from, req, until, call });
            self.queue.push(until, Event::ServerWake(id));
            return;
        }
        self.check_gang_armed(&id, &began);
        self.reply_from_server(from, op, id.clone(), req, reply, call);
        self.answer_server_watches(&id);
    }

    /// Checks that when a member of a gang starts, all others have been armed for the same attempt. A member whose
    /// lease expired or whose backend server restarted since counts as armed.
    fn check_gang_armed(&mut self, began: &BackendServerId, runs: &[standins::RunRecord]) {
        for run in runs {
            for member in run.task.members.iter().filter(|m| m.server != *began) {
                let Some(other) = self.servers.get(&member.server) else { continue };
                let armed = match other.table.state_of(&run.job) {
                    Some((token, state)) => token.attempt > run.token.attempt || *state != TaskState::Reserved,
                    None => other.incarnation > 1,
                };
                if !armed {
                    self.oracle.record_violation(Violation::BeganInPart {
                        job: run.job.clone(),
                        attempt: run.token.attempt,
                        began: began.clone(),
                        missing: member.server.clone(),
                    });
                }
            }
        }
    }

    fn reply_from_server(
        &mut self,
        to: BoxIncarnation,
        op: entry::BackendOp,
        server: BackendServerId,
        req: BackendRequest,
        reply: BackendReply,
        call: u64,
    ) {
        if !self.faults.is_server_cut(&to.id, &server) {
            self.send(Event::FromServer { to, op, server, req, reply: Some(reply), call });
        }
    }

    /// Answers the watches on a lease table that has changed or that timed out, and schedules the table's next event.
    pub(crate) fn answer_server_watches(&mut self, id: &BackendServerId) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(id) else { return };
        let version = server.table.version();
        let due = |w: &Watch| {
            let BackendRequest::Watch { since, .. } = &w.req else { return true };
            *since != version || w.until <= now
        };
        let (ready, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut server.watches).into_iter().partition(due);
        server.watches = waiting;
        let replies: Vec<_> = ready.into_iter().map(|w| (server.table.call(w.req.clone(), now), w)).collect();
        if let Some(at) = server.table.next_event() {
            self.queue.push(at.max(now + Duration::from_millis(1)), Event::ServerWake(id.clone()));
        }
        for (reply, w) in replies {
            self.reply_from_server(w.to, entry::BackendOp::Watch, id.clone(), w.req, reply, w.call);
        }
    }

    pub(crate) fn handle_store_request(&mut self, from: BoxIncarnation, op: entry::OpId, req: StoreRequest, call: u64) {
        if self.faults.store_down || self.faults.is_cut_from_platform(&from.id) {
            return;
        }
        let reply = self.store.call(&req, self.now);
        if let StoreRequest::Watch { key, above, wait } = &req
            && store_version(&reply) <= *above
            && *wait > Duration::ZERO
        {
            let until = self.now + *wait;
            self.store_watches.push(StoreWatch { to: from, op, key: key.clone(), above: *above, until, call });
            self.queue.push(until, Event::StoreWake);
            return;
        }
        self.reply_from_store(from, op, reply, call);
        self.answer_store_watches();
    }

    fn reply_from_store(&mut self, to: BoxIncarnation, op: entry::OpId, reply: StoreReply, call: u64) {
        if self.faults.lose_store_answers > 0 {
            self.faults.lose_store_answers -= 1;
            return;
        }
        if !self.faults.store_down && !self.faults.is_cut_from_platform(&to.id) {
            self.send(Event::FromStore { to, op, reply: Some(reply), call });
        }
    }

    /// Answers the watches on the store whose key has changed or that timed out.
    pub(crate) fn answer_store_watches(&mut self) {
        let now = self.now;
        let mut replies = Vec::new();
        let mut waiting = Vec::new();
        for watch in std::mem::take(&mut self.store_watches) {
            let reply = self.store.peek(&watch.key, now);
            if store_version(&reply) > watch.above || watch.until <= now {
                replies.push((watch, reply));
            } else {
                waiting.push(watch);
            }
        }
        self.store_watches = waiting;
        for (watch, reply) in replies {
            self.reply_from_store(watch.to, watch.op, reply, watch.call);
        }
    }
}

fn store_version(reply: &StoreReply) -> u64 {
    match reply {
        StoreReply::Found { value: Some(value) } => value.version,
        _ => 0,
    }
}
