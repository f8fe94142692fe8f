//! The work of one link: a loop of renewals holds its backend server, and another gives it orders in turn.

use std::{
    sync::{Arc, Weak},
    time::Instant,
};

use jobs::{RunNumber, TaskId};
use model::{BackendServerId, Duration, Moment};
use net::{CallLimiter, NetError};
use scheduler::{CallFailure, Order, Scheduler, StartReply};
use smol::channel::Receiver;

use crate::{
    active::Active,
    context::Context,
    platform::{Heartbeat, HeartbeatReply, Lease, Start, StopReply, Target, ThrottleOrder},
    telemetry,
    timers::{Backoff, with_timeout},
};

/// How long a renewal waits for an end while something runs: also how old a lease gets before it is renewed.
const BUSY_WAIT: Duration = Duration::from_millis(1000);
/// The same while best-effort tasks run beside tasks with a latency target: latency is measured over 0.5 s.
const WATCHED_WAIT: Duration = Duration::from_millis(400);
/// The same while nothing runs.
const IDLE_WAIT: Duration = Duration::from_millis(2000);
/// The same while it may get no lease, since the next scheduler may have been told that it was not reached: it gets
/// one as soon as that is withdrawn.
const NAMED_WAIT: Duration = Duration::from_millis(100);
/// The same, for witnesses, without a word of the store: their answers tell whether leases may be renewed.
const UNCONFIRMED_WAIT: Duration = Duration::from_millis(250);
/// Ends are acknowledged with the next renewal, which waits this long at most for the store to hold them.
const STORE_WAIT: Duration = Duration::from_millis(400);

/// What the loops of a link work with.
#[derive(Clone)]
pub(crate) struct Worker {
    pub(crate) cx: Context,
    pub(crate) target: Target,
    /// Weak, since the scheduler's links own the loops.
    pub(crate) active: Weak<Active>,
    /// For the first call of all.
    pub(crate) first_calls: Arc<CallLimiter>,
}

/// Renews leases, takes listings in and acknowledges ends, until the backend server or the scheduler is gone.
pub(crate) async fn heartbeat_loop(worker: Worker, stored: Receiver<()>) {
    let mut backoff = Backoff::new();
    let (mut first, mut heard, mut answered) = (true, false, false);
    let id = worker.target.id.clone();
    while let Some(active) = worker.active.upgrade() {
        if active.has_ended() {
            return;
        }
        let Some((target, heartbeat)) = worker.next_heartbeat(&active, answered) else { break };
        let renews = heartbeat.lease.is_some();
        let _ = stored.try_recv();
        let sent = worker.now();
        let call = worker.cx.servers.heartbeat(target, heartbeat);
        let reply = if std::mem::take(&mut first) { worker.first_calls.run(call).await } else { call.await };
        telemetry::count_server_call("hold", heartbeat_outcome(&reply));
        match reply {
            Ok(HeartbeatReply::Listing(listing)) => {
                answered = true;
                backoff.reset();
                if !std::mem::replace(&mut heard, true) {
                    worker.take_address(&active);
                }
                let now = worker.now();
                active.update(|scheduler| scheduler.listing(&id, &listing, sent, now));
                wait_for_store(&active, &id, &stored).await;
            }
            Ok(HeartbeatReply::Fenced) => return worker.fenced(&active),
            Ok(HeartbeatReply::Gone) => {
                let now = worker.now();
                active.update(|scheduler| scheduler.server_ended(&id, now));
                break;
            }
            Err(e) => {
                log::debug!("server={id} event=hold_failed renews={renews} why={e}");
                answered = false;
                let (how, now) = (unanswered(&e), worker.now());
                active.update(|scheduler| scheduler.call_failed(&id, how, now));
                backoff.wait().await;
            }
        }
    }
    // The platform may list the same life again: a new link is opened then.
    if let Some(active) = worker.active.upgrade() {
        active.links.close(&id);
    }
}

/// Waits until the ends that were just listed are stored, so that the next renewal acknowledges them.
async fn wait_for_store(active: &Active, id: &BackendServerId, stored: &Receiver<()>) {
    let taken = async {
        while active.lock().has_pending_completions(id) {
            if stored.recv().await.is_err() {
                return;
            }
        }
    };
    with_timeout(STORE_WAIT, taken).await;
}

/// Gives orders, one at a time and in their order.
pub(crate) async fn order_loop(worker: Worker, orders: Receiver<Order>) {
    while let Ok(order) = orders.recv().await {
        let Some(active) = worker.active.upgrade() else { return };
        match order {
            Order::Start { task, run, text, checkpoint, permit, .. } => {
                let Some((target, lease)) = worker.may_start(&active, task, run) else { continue };
                let start = Start { fence: active.fence, task, run, text, checkpoint, lease, permit };
                worker.start(&active, target, start).await;
            }
            Order::Stop { task, run, .. } => worker.stop(&active, task, run).await,
            Order::Throttle { task, run, percent, .. } => worker.throttle(&active, task, run, percent).await,
        }
    }
}

impl Worker {
    fn now(&self) -> Moment {
        self.cx.view.clock().now()
    }

    /// Whether orders may be given and leases renewed: asked before each call.
    fn may_order(&self, active: &Active) -> bool {
        !active.has_ended() && self.cx.view.may_schedule()
    }

    /// The lease that a call may carry now; `None` if it must renew nothing.
    fn lease(&self, active: &Active, scheduler: &Scheduler, now: Moment) -> Option<Duration> {
        let confirmed = self.cx.view.confirmed_until();
        if self.may_order(active) { scheduler.lease_now(confirmed, now) } else { None }
    }

    /// It answers at its address. One address has one life at a time: any other that was there is over.
    fn take_address(&self, active: &Active) {
        let now = self.now();
        for replaced in active.links.previous_at_address(&self.target) {
            active.update(|scheduler| scheduler.server_ended(&replaced, now));
            active.links.close(&replaced);
        }
    }

    /// The life that the scheduler means now.
    fn target(&self, scheduler: &Scheduler) -> Target {
        Target { incarnation: scheduler.incarnation(&self.target.id), ..self.target.clone() }
    }

    /// Whom the next renewal means and what it carries; `None` once the backend server is of no interest any more.
    fn next_heartbeat(&self, active: &Active, answered: bool) -> Option<(Target, Heartbeat)> {
        let id = &self.target.id;
        let mut scheduler = active.lock();
        let (from, now) = (Instant::now(), self.now());
        if !scheduler.tracks_server(id) {
            return None;
        }
        // The life that answered last may be over.
        let answered = answered && scheduler.has_reported(id);
        // An unanswered call may have renewed the lease, so one that is out of reach is only asked, not renewed.
        let renews = answered && scheduler.may_renew(id);
        let lease = if renews { self.lease(active, &scheduler, now) } else { None };
        if let Some(lease) = lease {
            scheduler.lease_sent(id, lease, now);
        }
        let wait = match answered {
            false => Duration::ZERO,
            true if !scheduler.may_renew(id) => NAMED_WAIT,
            true if scheduler.watches_latency(id) => WATCHED_WAIT,
            true if scheduler.is_busy(id) => BUSY_WAIT,
            true => IDLE_WAIT,
        };
        let witnesses = now > self.cx.view.confirmed_until() && scheduler.is_witness(id);
        let wait = if witnesses { wait.min(UNCONFIRMED_WAIT) } else { wait };
        let lease = lease.map(|length| Lease { from, length });
        let heartbeat =
            Heartbeat { fence: scheduler.fence(), acknowledged: scheduler.acknowledged_serial(id), lease, wait };
        Some((self.target(&scheduler), heartbeat))
    }

    /// The backend server obeys a later scheduler.
    fn fenced(&self, active: &Active) {
        if active.lose_leadership() {
            log::info!("event=deposed fence={} why=fenced_by server={}", active.fence, self.target.id);
        }
    }

    /// The backend server's life is over: another one answers, under its id or under another.
    fn gone(&self, active: &Active, ended: &Target) {
        let now = self.now();
        active.update(|scheduler| match ended.incarnation {
            Some(incarnation) => scheduler.incarnation_ended(&ended.id, incarnation, now),
            None => scheduler.server_ended(&ended.id, now),
        });
    }

    /// The life that is to start a run, and the lease that the order carries, unless the run is not wanted there any
    /// more: the order may have waited since before its availability zone was evacuated, or since an earlier life.
    fn may_start(&self, active: &Active, task: TaskId, run: RunNumber) -> Option<(Target, Lease)> {
        let id = &self.target.id;
        let mut scheduler = active.lock();
        let (from, now) = (Instant::now(), self.now());
        if !scheduler.may_start(id, task, run) {
            drop(scheduler);
            active.update(|scheduler| scheduler.start_withdrawn(id, task, run, now));
            return None;
        }
        let Some(most) = self.lease(active, &scheduler, now) else {
            drop(scheduler);
            active.update(|scheduler| scheduler.start_replied(id, task, run, StartReply::Unknown, now));
            return None;
        };
        // A start carries a lease. No note that leaves it out may be drawn up between the question and this.
        let lease = Lease { from, length: scheduler.lease_for_start(id, most, now) };
        Some((self.target(&scheduler), lease))
    }

    async fn start(&self, active: &Active, target: Target, start: Start) {
        let (task, run) = (start.task, start.run);
        let reply = if self.may_order(active) {
            self.cx.servers.start(target.clone(), start).await
        } else {
            StartReply::Unknown
        };
        log::info!(
            "job={} event=start task={task} run={run} server={} fence={} outcome={reply:?}",
            task.occurrence.job,
            self.target.id,
            active.fence
        );
        telemetry::count_server_call("start", start_outcome(reply));
        if reply == StartReply::Gone {
            return self.gone(active, &target);
        }
        let now = self.now();
        active.update(|scheduler| scheduler.start_replied(&self.target.id, task, run, reply, now));
    }

    async fn stop(&self, active: &Active, task: TaskId, run: RunNumber) {
        let target = self.target(&active.lock());
        let reply = self.cx.servers.stop(target.clone(), active.fence, task, run).await;
        log::info!(
            "job={} event=stop task={task} run={run} server={} fence={} outcome={reply:?}",
            task.occurrence.job,
            self.target.id,
            active.fence
        );
        telemetry::count_server_reply("stop", &reply);
        let now = self.now();
        match reply {
            Ok(StopReply::Stopped) => active.update(|s| s.stop_replied(&self.target.id, task, run, now)),
            Ok(StopReply::Fenced) => {
                active.lose_leadership();
            }
            Ok(StopReply::Gone) => self.gone(active, &target),
            // The scheduler repeats it.
            Err(_) => {}
        }
    }

    /// Tells how fast a run may work. The scheduler repeats it if there is no answer.
    async fn throttle(&self, active: &Active, task: TaskId, run: RunNumber, percent: u32) {
        let order = ThrottleOrder { fence: active.fence, task, run, percent };
        let target = self.target(&active.lock());
        let reply = self.cx.servers.throttle(target, order).await;
        telemetry::count_server_reply("pace", &reply);
        if let Ok(true) = reply {
            active.update(|scheduler| scheduler.throttle_replied(&self.target.id, task, run, percent));
        }
    }
}

fn unanswered(e: &NetError) -> CallFailure {
    match e {
        NetError::Refused { .. } => CallFailure::Refused,
        NetError::Unsent { .. } | NetError::Lost { .. } => CallFailure::NoResponse,
    }
}

fn heartbeat_outcome(reply: &Result<HeartbeatReply, NetError>) -> &'static str {
    match reply {
        Ok(HeartbeatReply::Listing(_)) => "answered",
        Ok(HeartbeatReply::Fenced) => "fenced",
        Ok(HeartbeatReply::Gone) => "gone",
        Err(_) => "lost",
    }
}

fn start_outcome(reply: StartReply) -> &'static str {
    match reply {
        StartReply::Started => "started",
        StartReply::NoRoom => "no_room",
        StartReply::Over => "over",
        StartReply::Refused => "refused",
        StartReply::NoTicket => "no_ticket",
        StartReply::Late => "late",
        StartReply::Fenced => "fenced",
        StartReply::Gone => "gone",
        StartReply::Unknown => "lost",
    }
}
