//! What happens in a virtual cluster, in the order of time.

use std::{cmp::Ordering, collections::BinaryHeap};

use backend::{BackendReply, BackendRequest};
use entry::{BackendOp, CallerReply, CallerRequest, OpId, Output, PeerReply, PeerRequest, ReplyTo};
use model::{BackendServerId, BoxId, Incarnation, Moment};
use outside::{StoreReply, StoreRequest};

use crate::CallerId;

/// One life of a box.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Life {
    pub(crate) id: BoxId,
    pub(crate) incarnation: Incarnation,
}

/// Something that happens.
#[derive(Debug, Clone)]
pub(crate) enum Event {
    Tick(Life),
    /// A request arrives at a backend server.
    AtServer {
        from: Life,
        op: BackendOp,
        server: BackendServerId,
        req: BackendRequest,
        call: u64,
    },
    /// A reply of a backend server arrives, or its call's time is over.
    FromServer {
        to: Life,
        op: BackendOp,
        server: BackendServerId,
        req: BackendRequest,
        reply: Option<BackendReply>,
        call: u64,
    },
    AtStore {
        from: Life,
        op: OpId,
        req: StoreRequest,
        call: u64,
    },
    FromStore {
        to: Life,
        op: OpId,
        reply: Option<StoreReply>,
        call: u64,
    },
    AtPeer {
        from: Life,
        op: OpId,
        peer: BoxId,
        req: PeerRequest,
        call: u64,
    },
    FromPeer {
        to: Life,
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
    /// A reply arrives at a caller; `None` when its connection broke or its patience with it ended.
    AtCaller {
        caller: CallerId,
        reply: Option<CallerReply>,
        call: u64,
    },
    ServerWake(BackendServerId),
    StoreWake,
}

/// Whom a box replies to.
#[derive(Debug, Clone)]
pub(crate) enum Asker {
    Caller {
        caller: CallerId,
        call: u64,
    },
    /// The operator of that number.
    Operator(usize),
    Peer {
        life: Life,
        op: OpId,
        call: u64,
    },
}

/// A reply that a box owes.
pub(crate) type Owed = (Life, ReplyTo);

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

/// Events to come.
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

    /// The next event, if it happens by `until`.
    pub(crate) fn pop(&mut self, until: Moment) -> Option<(Moment, Event)> {
        if self.heap.peek()?.at > until {
            return None;
        }
        self.heap.pop().map(|it| (it.at, it.event))
    }
}

/// With `MARTENSCALE_TRACE` set, prints what boxes do, for following a failed case by eye.
pub(crate) fn trace(now: Moment, life: &Life, output: &Output) {
    if std::env::var_os("MARTENSCALE_TRACE").is_none() {
        return;
    }
    let text = format!("{output:?}");
    // Watches and heartbeats go on all the time and hide the rest.
    if !text.contains("Watch") && !text.contains("Heartbeat") {
        println!("{now} {} {text}", life.id);
    }
}
