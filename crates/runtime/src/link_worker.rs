//! The two loops of a link: one sends heartbeats, which renew leases, acknowledge completions and fetch listings; the
//! other sends orders, which wait in [`crate::order_queue`].

use std::{
    sync::{Arc, Weak},
    time::Instant,
};

use jobs::{RunNumber, TaskId};
use model::{BackendServerId, Duration, Moment};
use net::{CallLimiter, NetError};
use scheduler::{CallFailure, Order, PendingStop, Scheduler, StartReply};
use smol::{channel::Receiver, lock::Semaphore};

use crate::{
    active::Active,
    context::Context,
    order_queue::OrderQueue,
    platform::{Heartbeat, HeartbeatReply, Lease, Start, StopReply, Target, ThrottleOrder},
    telemetry,
    term_tasks::TermTasks,
    timers::{Backoff, pause, with_timeout},
};

/// Longest wait of a heartbeat for a completion while something runs. It is also the age at which a lease is renewed.
const BUSY_WAIT: Duration = Duration::from_millis(1000);
/// The same while best-effort tasks run beside tasks with a latency target: latency is measured over 0.5 s.
const WATCHED_WAIT: Duration = Duration::from_millis(400);
/// The same while nothing runs.
const IDLE_WAIT: Duration = Duration::from_millis(2000);
/// The same while no lease may be granted because the backend server may be recorded as unreachable, which the next
/// scheduler would rely on. The lease is granted as soon as the record is withdrawn.
const RECORDED_WAIT: Duration = Duration::from_millis(100);
/// The same for witnesses while the store does not confirm the election, or if each of them is needed when it does not:
/// their responses decide whether leases may be renewed.
const WITNESS_WAIT: Duration = Duration::from_millis(250);
/// Time for which an order without a response delays the next one, which is then sent beside it. Backend servers respond
/// within a few milliseconds.
const ORDER_TURN: Duration = Duration::from_millis(60);
/// Most orders to a backend server that wait for a response beside the one sent last.
const MAX_UNANSWERED_ORDERS: usize = 3;
/// Longest time that a heartbeat is delayed until completions are stored, so that it acknowledges them.
const MAX_STORE_WAIT: Duration = Duration::from_millis(400);

/// Context shared by the loops of a link.
#[derive(Clone)]
pub(crate) struct Worker {
    pub(crate) cx: Context,
    pub(crate) target: Target,
    /// Weak, since the links of the scheduler own the loops.
    pub(crate) active: Weak<Active>,
    /// Limits concurrent first calls.
    pub(crate) first_calls: Arc<CallLimiter>,
    /// Limits the orders to all backend servers that wait for a response beside a later one.
    pub(crate) unanswered: Arc<Semaphore>,
}

/// Sends heartbeats and applies their listings, until the backend server or the scheduler has ended.
pub(crate) async fn heartbeat_loop(worker: Worker, stored: Receiver<()>) {
    let mut backoff = Backoff::new();
    let (mut is_first, mut has_responded, mut last_answered) = (true, false, false);
    let id = worker.target.id.clone();
    while let Some(active) = worker.active.upgrade() {
        if active.has_ended() {
            return;
        }
        let Some((target, heartbeat)) = worker.next_heartbeat(&active, last_answered) else { break };
        let renews = heartbeat.lease.is_some();
        let _ = stored.try_recv();
        let sent = worker.now();
        let call = worker.cx.servers.heartbeat(target, heartbeat);
        let reply = if std::mem::take(&mut is_first) { worker.first_calls.run(call).await } else { call.await };
        telemetry::count_server_call("hold", heartbeat_outcome(&reply));
        match reply {
            Ok(HeartbeatReply::Listing(listing)) => {
                last_answered = true;
                backoff.reset();
                if !std::mem::replace(&mut has_responded, true) {
                    active.links.record_reached(&worker.target);
                    worker.end_previous_at_address(&active);
                }
                let now = worker.now();
                active.update(|scheduler| scheduler.listing(&id, &listing, sent, now));
                wait_for_store(&active, &id, &stored).await;
            }
            Ok(HeartbeatReply::Fenced) => return worker.record_fenced(&active),
            Ok(HeartbeatReply::Gone) if reopen_if_misdirected(&active, &worker.target) => return,
            Ok(HeartbeatReply::Gone) => {
                let now = worker.now();
                active.update(|scheduler| scheduler.server_ended(&id, now));
                break;
            }
            Err(e) => {
                log::debug!("server={id} event=hold_failed renews={renews} why={e}");
                last_answered = false;
                let (failure, now) = (call_failure(&e), worker.now());
                active.update(|scheduler| scheduler.call_failed(&id, failure, now));
                backoff.wait().await;
            }
        }
    }
    // The platform may list the same incarnation again; a new link is opened then.
    if let Some(active) = worker.active.upgrade() {
        active.links.close(&id);
        if !active.lock().tracks_server(&id) {
            active.links.forget(&id);
        }
    }
}

/// Waits until the completions that were just listed are stored, so that the next heartbeat acknowledges them.
async fn wait_for_store(active: &Active, id: &BackendServerId, stored: &Receiver<()>) {
    let stored_all = async {
        while active.lock().has_pending_completions(id) {
            if stored.recv().await.is_err() {
                return;
            }
        }
    };
    with_timeout(MAX_STORE_WAIT, stored_all).await;
}

/// Sends orders in the order of the queue, until it is dropped. One without a response delays the others only for
/// [`ORDER_TURN`].
pub(crate) async fn order_loop(worker: Worker, term: TermTasks, queue: Arc<OrderQueue>) {
    let worker = Arc::new(worker);
    let mut unanswered: Vec<smol::Task<()>> = Vec::new();
    loop {
        let order = queue.next().await;
        let mut call = Box::pin(Arc::clone(&worker).execute(order, Arc::clone(&queue)));
        if finishes_within(ORDER_TURN, call.as_mut()).await {
            continue;
        }
        unanswered.retain(|call| !call.is_finished());
        let slot = if unanswered.len() < MAX_UNANSWERED_ORDERS { worker.unanswered.try_acquire_arc() } else { None };
        match slot {
            Some(slot) => unanswered.push(term.spawn(async move {
                call.await;
                drop(slot);
            })),
            None => call.await,
        }
    }
}

/// Runs a call for at most `limit`. Returns whether it has finished; if not, it can be continued.
async fn finishes_within(limit: Duration, call: impl Future<Output = ()>) -> bool {
    let finished = async {
        call.await;
        true
    };
    let expired = async {
        pause(limit).await;
        false
    };
    futures_lite::FutureExt::or(finished, expired).await
}

impl Worker {
    /// Sends an order if it is still needed, and applies the response.
    async fn execute(self: Arc<Worker>, order: Order, queue: Arc<OrderQueue>) {
        let Some(active) = self.active.upgrade() else { return };
        match order {
            Order::Start { task, run, text, checkpoint, permit, .. } => {
                let Some((target, lease)) = self.prepare_start(&active, task, run) else { return };
                let start = Start { fence: active.fence, task, run, text, checkpoint, lease, permit };
                self.start(&active, target, start).await;
            }
            Order::Stop { task, run, .. } => {
                self.stop(&active, task, run).await;
                queue.stop_finished(task, run);
            }
            Order::Throttle { task, run, percent, .. } => self.throttle(&active, task, run, percent).await,
        }
    }

    fn now(&self) -> Moment {
        self.cx.view.clock().now()
    }

    /// Whether orders may be sent and leases renewed. Checked before each call.
    fn can_send_orders(&self, active: &Active) -> bool {
        !active.has_ended() && self.cx.view.may_schedule()
    }

    /// Returns the longest lease that a call may carry now; `None` if it must renew nothing.
    fn lease(&self, active: &Active, scheduler: &Scheduler, confirmed: Moment, now: Moment) -> Option<Duration> {
        let lease = if self.can_send_orders(active) { scheduler.lease_now(confirmed, now) } else { None };
        if active.set_grants_leases(lease.is_some()) && !active.has_ended() {
            let event = if lease.is_some() { "renewals_resumed" } else { "renewals_stopped" };
            log::warn!("event={event} fence={} unconfirmed_ms={}", active.fence, now.since(confirmed).millis());
        }
        lease
    }

    /// Ends the other backend servers that were linked at this address. Only one incarnation at a time has an address,
    /// so a response of one shows that all others that were reached there have ended.
    fn end_previous_at_address(&self, active: &Arc<Active>) {
        let now = self.now();
        for replaced in active.links.previous_at_address(&self.target) {
            let target = Target { id: replaced, ..self.target.clone() };
            if reopen_if_misdirected(active, &target) {
                continue;
            }
            active.update(|scheduler| scheduler.server_ended(&target.id, now));
            active.links.close(&target.id);
            active.links.forget(&target.id);
        }
    }

    /// Returns the target with the incarnation that the scheduler tracks now.
    fn target(&self, scheduler: &Scheduler) -> Target {
        Target { incarnation: scheduler.incarnation(&self.target.id), ..self.target.clone() }
    }

    /// Returns the target and the content of the next heartbeat; `None` if the scheduler no longer tracks the backend
    /// server.
    fn next_heartbeat(&self, active: &Active, last_answered: bool) -> Option<(Target, Heartbeat)> {
        let id = &self.target.id;
        let mut scheduler = active.lock();
        let (from, now) = (Instant::now(), self.now());
        if !scheduler.tracks_server(id) {
            return None;
        }
        // The incarnation that responded last may have ended.
        let last_answered = last_answered && scheduler.has_reported(id);
        // A call without a response may have renewed the lease. So an unreachable backend server is only queried, and
        // its lease isn't renewed.
        // Read once: a recorded backend server may get a short lease, and never a full one.
        let confirmed = self.cx.view.confirmed_until();
        let renews = last_answered && scheduler.may_renew_now(id, confirmed, now);
        let lease = if renews { self.lease(active, &scheduler, confirmed, now) } else { None };
        let lease = lease.map(|lease| scheduler.lease_for_renewal(id, lease));
        if let Some(lease) = lease {
            scheduler.lease_sent(id, lease, now);
        }
        let wait = match last_answered {
            false => Duration::ZERO,
            true if !renews => RECORDED_WAIT,
            true if scheduler.watches_latency(id) => WATCHED_WAIT,
            true if scheduler.is_busy(id) => BUSY_WAIT,
            true => IDLE_WAIT,
        };
        let is_confirmed = now <= confirmed;
        let is_decisive = scheduler.is_witness(id) && (!is_confirmed || scheduler.needs_each_witness());
        let wait = if is_decisive { wait.min(WITNESS_WAIT) } else { wait };
        let wait = scheduler.vote_due(id).map_or(wait, |due| wait.min(due.since(now)));
        let lease = lease.map(|length| Lease { from, length });
        let heartbeat =
            Heartbeat { fence: scheduler.fence(), acknowledged: scheduler.acknowledged_serial(id), lease, wait };
        Some((self.target(&scheduler), heartbeat))
    }

    /// Records that the backend server has accepted the fencing token of a later scheduler.
    fn record_fenced(&self, active: &Active) {
        if active.lose_leadership() {
            log::info!("event=deposed fence={} why=fenced_by server={}", active.fence, self.target.id);
        }
    }

    /// Records that an incarnation has ended, since another one responds, under the same id or another.
    fn record_ended(&self, active: &Active, ended: &Target) {
        let now = self.now();
        active.update(|scheduler| match ended.incarnation {
            Some(incarnation) => scheduler.incarnation_ended(&ended.id, incarnation, now),
            None => scheduler.server_ended(&ended.id, now),
        });
    }

    /// Returns the target of a start and the lease that it carries; `None` if the run must not start there any more.
    /// The order may have been queued since before the evacuation of its availability zone, or for an earlier
    /// incarnation.
    fn prepare_start(&self, active: &Active, task: TaskId, run: RunNumber) -> Option<(Target, Lease)> {
        let id = &self.target.id;
        let mut scheduler = active.lock();
        let (from, now) = (Instant::now(), self.now());
        if !scheduler.may_start(id, task, run) {
            drop(scheduler);
            active.update(|scheduler| scheduler.start_withdrawn(id, task, run, now));
            return None;
        }
        let confirmed = self.cx.view.confirmed_until();
        let Some(max_lease) = self.lease(active, &scheduler, confirmed, now) else {
            drop(scheduler);
            active.update(|scheduler| scheduler.start_replied(id, task, run, StartReply::Unknown, now));
            return None;
        };
        // A start order grants a lease, so the scheduler must register the lease under the same lock as this check: no
        // record of unreachable backend servers without it may be made in between.
        let lease = Lease { from, length: scheduler.lease_for_start(id, max_lease, now) };
        Some((self.target(&scheduler), lease))
    }

    async fn start(&self, active: &Arc<Active>, target: Target, start: Start) {
        let (task, run) = (start.task, start.run);
        let reply = if self.can_send_orders(active) {
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
        let reply = match reply {
            StartReply::Gone if reopen_if_misdirected(active, &target) => StartReply::Unknown,
            StartReply::Gone => return self.record_ended(active, &target),
            reply => reply,
        };
        let now = self.now();
        active.update(|scheduler| scheduler.start_replied(&self.target.id, task, run, reply, now));
    }

    /// Returns the target of a stop and what is known of it; `None` if it is no longer needed.
    fn prepare_stop(&self, active: &Active, task: TaskId, run: RunNumber) -> Option<(Target, PendingStop)> {
        let scheduler = active.lock();
        let pending = scheduler.pending_stop(&self.target.id, task, run).filter(|stop| !stop.answered)?;
        Some((self.target(&scheduler), pending))
    }

    /// Stops a run, unless it has ended since the order was queued.
    async fn stop(&self, active: &Arc<Active>, task: TaskId, run: RunNumber) {
        let Some((target, pending)) = self.prepare_stop(active, task, run) else { return };
        let sent = self.now();
        let reply = self.cx.servers.stop(target.clone(), active.fence, task, run).await;
        log::info!(
            "job={} event=stop task={task} run={run} server={} fence={} why={} waited_ms={} outcome={reply:?}",
            task.occurrence.job,
            self.target.id,
            active.fence,
            pending.reason,
            sent.since(pending.since).millis()
        );
        telemetry::count_server_reply("stop", &reply);
        let now = self.now();
        match reply {
            Ok(StopReply::Stopped) => active.update(|s| s.stop_replied(&self.target.id, task, run, now)),
            Ok(StopReply::Fenced) => {
                active.lose_leadership();
            }
            Ok(StopReply::Gone) if !reopen_if_misdirected(active, &target) => self.record_ended(active, &target),
            // The scheduler repeats the order.
            Ok(StopReply::Gone) | Err(_) => {}
        }
    }

    /// Sets the speed of a run. The scheduler repeats the order if there is no response.
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

/// Replaces the link to a backend server by one to the address at which it was last reached, if `target` has another
/// address. Returns whether it has: what responds at that address then proves nothing about the backend server.
fn reopen_if_misdirected(active: &Arc<Active>, target: &Target) -> bool {
    let Some(addr) = active.links.reached_elsewhere(target) else { return false };
    log::warn!("server={} event=other_server_at_listed_address listed={} reached={addr}", target.id, target.addr);
    active.links.open(&Target { addr, incarnation: None, ..target.clone() }, active);
    true
}

fn call_failure(e: &NetError) -> CallFailure {
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
