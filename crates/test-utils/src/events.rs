//! Events of a simulated cluster, and the queue that orders them by time.

use std::{cmp::Ordering, collections::BinaryHeap};

use backend::{BackendReply, BackendRequest};
use entry::{BackendOp, CallerReply, CallerRequest, OpId, Output, PeerReply, PeerRequest, ReplyTo};
use model::{BackendServerId, BoxId, Incarnation, Moment};
use outside::{StoreReply, StoreRequest};

use crate::CallerId;

/// One incarnation of a box.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct BoxIncarnation {
    pub(crate) id: BoxId,
    pub(crate) number: Incarnation,
}

/// An event of a simulated cluster. `call` numbers calls, so that only the first reply or time-out counts.
#[derive(Debug, Clone)]
pub(crate) enum Event {
    Tick(BoxIncarnation),
    /// A request arrives at a backend server.
    AtServer {
        from: BoxIncarnation,
        op: BackendOp,
        server: BackendServerId,
        req: BackendRequest,
        call: u64,
    },
    /// A reply of a backend server arrives at a box; `None` when the call timed out.
    FromServer {
        to: BoxIncarnation,
        op: BackendOp,
        server: BackendServerId,
        req: BackendRequest,
        reply: Option<BackendReply>,
        call: u64,
    },
    /// A request arrives at the store.
    AtStore {
        from: BoxIncarnation,
        op: OpId,
        req: StoreRequest,
        call: u64,
    },
    /// A reply of the store arrives at a box; `None` when the call timed out.
    FromStore {
        to: BoxIncarnation,
        op: OpId,
        reply: Option<StoreReply>,
        call: u64,
    },
    /// A request of a box arrives at another box.
    AtPeer {
        from: BoxIncarnation,
        op: OpId,
        peer: BoxId,
        req: PeerRequest,
        call: u64,
    },
    /// A reply of another box arrives at a box; `None` when the call failed or timed out.
    FromPeer {
        to: BoxIncarnation,
        op: OpId,
        peer: BoxId,
        reply: Option<PeerReply>,
        call: u64,
    },
    /// A caller's request arrives at a box.
    AtBox {
        caller: CallerId,
        id: BoxId,
        req: CallerRequest,
        call: u64,
    },
    /// A reply arrives at a caller; `None` when its connection broke or its call timed out.
    AtCaller {
        caller: CallerId,
        reply: Option<CallerReply>,
        call: u64,
    },
    /// A lease table has something to do, or a watch on it times out.
    ServerWake(BackendServerId),
    /// A watch on the store times out.
    StoreWake,
}

/// Sender of a request that a box has to reply to.
#[derive(Debug, Clone)]
pub(crate) enum Requester {
    Caller {
        caller: CallerId,
        call: u64,
    },
    /// An operator, by the number of the request.
    Operator(usize),
    Peer {
        incarnation: BoxIncarnation,
        op: OpId,
        call: u64,
    },
}

/// Key of a reply that a box has not sent yet.
pub(crate) type PendingReply = (BoxIncarnation, ReplyTo);

struct At {
    at: Moment,
    seq: u64,
    event: Event,
}

impl PartialEq for At {
    fn eq(&self, other: &At) -> bool {
        (self.at, self.seq) == (other.at, other.seq)
    }
}

impl Eq for At {}

impl PartialOrd for At {
    fn partial_cmp(&self, other: &At) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for At {
    fn cmp(&self, other: &At) -> Ordering {
        (other.at, other.seq).cmp(&(self.at, self.seq))
    }
}

/// Pending events, in the order of time; events of the same time keep the order in which they were added.
#[derive(Default)]
pub(crate) struct Queue {
    heap: BinaryHeap<At>,
    seq: u64,
}

impl Queue {
    pub(crate) fn push(&mut self, at: Moment, event: Event) {
        self.seq += 1;
        self.heap.push(At { at, seq: self.seq, event });
    }

    /// Removes and returns the next event, if it is due by `until`.
    pub(crate) fn pop(&mut self, until: Moment) -> Option<(Moment, Event)> {
        if self.heap.peek()?.at > until {
            return None;
        }
        self.heap.pop().map(|it| (it.at, it.event))
    }
}

/// Prints the outputs of boxes if `MARTENSCALE_TRACE` is set, to follow a failed case.
pub(crate) fn trace(now: Moment, incarnation: &BoxIncarnation, output: &Output) {
    if std::env::var_os("MARTENSCALE_TRACE").is_none() {
        return;
    }
    let text = format!("{output:?}");
    // Watches and heartbeats are so frequent that they would hide the rest.
    if !text.contains("Watch") && !text.contains("Heartbeat") {
        println!("{now} {} {text}", incarnation.id);
    }
}
