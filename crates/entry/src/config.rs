//! The configuration on this box: received from the store and from peers, and passed on to peers and backend
//! servers.
//!
//! The store may be unreachable from an availability zone, so boxes also fetch a newer revision from each
//! other; heartbeats and backend servers report the revisions that they have.

use std::collections::{BTreeMap, BTreeSet};

use backend::{BackendReply, BackendRequest};
use model::{ApplyId, BackendServerId, BoxId, Duration, Moment, OperatorFile, Revision};
use outside::{StoreReply, StoreRequest};
use spread::{Applied, Apply, ApplyStep, CONFIG_KEY, Taken};

use crate::{
    BackendOp, CallerReply, EntryBox, Observation, OpId, PeerReply, PeerRequest, entry_box::Op, waiters::Respondent,
};

/// Delay before a failed watch on the store is sent again.
const WATCH_RETRY: Duration = Duration::from_secs(1);
/// Shortest time between two deliveries of a revision to one backend server. A failed delivery doesn't count.
const MIN_CONFIGURE_INTERVAL: Duration = Duration::from_secs(2);

/// State of the configuration's watch, fetches and deliveries.
#[derive(Default)]
pub(crate) struct ConfigState {
    watch: Option<OpId>,
    next_watch_at: Moment,
    /// The store's version of the configuration; 0 until it was read.
    version: u64,
    is_fetching: bool,
    /// When the configuration was last sent to each backend server.
    last_sent: BTreeMap<BackendServerId, Moment>,
    /// Time of the next attempt to record outcomes in claims whose last write failed; `None` if there are none.
    pub(crate) claim_ends_retry_at: Option<Moment>,
}

impl EntryBox {
    pub(crate) fn tick_config(&mut self, now: Moment) {
        let is_watching = self.config.watch.is_some_and(|op| self.ops.contains_key(&op));
        if is_watching || self.config.next_watch_at > now {
            return;
        }
        // The first read returns what is stored, without waiting for a change.
        let wait = if self.config.version == 0 { Duration::ZERO } else { self.limits.watch };
        let above = self.config.version;
        let op = self.new_op(Op::WatchConfiguration);
        self.config.watch = Some(op);
        self.config.next_watch_at = now + WATCH_RETRY;
        let req = StoreRequest::Watch { key: CONFIG_KEY.to_owned(), above, wait };
        self.out.push(crate::Output::CallStore { op, req });
    }

    pub(crate) fn on_store_watch_reply(&mut self, reply: Option<StoreReply>, now: Moment) {
        self.config.watch = None;
        match reply {
            Some(StoreReply::Found { value: Some(found) }) => {
                self.config.version = found.version;
                self.config.next_watch_at = now;
                self.take_document(&found.value, now);
            }
            Some(_) | None => self.config.next_watch_at = now + WATCH_RETRY,
        }
    }

    /// Puts a configuration document into force if its revision is higher than the current one. The source doesn't
    /// matter; an invalid document is only counted.
    pub(crate) fn take_document(&mut self, text: &str, now: Moment) {
        match self.current.take(text) {
            Ok(Taken::InForce) => self.on_new_revision(now),
            Ok(Taken::Known | Taken::Older) => {}
            Err(_) => self.observe(Observation::Count { name: "bad_document" }),
        }
    }

    fn on_new_revision(&mut self, now: Moment) {
        let Some(file) = self.file() else { return };
        let zone = &self.id.availability_zone;
        let here = file.backend_servers.values().filter(|s| s.availability_zone == *zone);
        let servers: BTreeSet<BackendServerId> = here.map(|s| s.id.clone()).collect();
        self.replicas.set_servers(&servers);
        self.planning.mark_changed();
        self.out.push(crate::Output::Configured(file));
        self.observe(Observation::InForce { revision: self.current.revision() });
        self.config.last_sent.clear();
        // An immediate heartbeat reports the new revision to the peers.
        self.last_heartbeat = None;
        self.send_heartbeats(now);
        for server in servers {
            self.send_configuration(&server, now);
        }
        self.send_watches(now);
    }

    pub(crate) fn fetch_configuration(&mut self, peer: &BoxId) {
        if !self.config.is_fetching {
            self.config.is_fetching = true;
            self.call_peer(Op::FetchConfiguration, peer, PeerRequest::FetchConfiguration);
        }
    }

    pub(crate) fn on_peer_configuration(&mut self, reply: Option<PeerReply>, now: Moment) {
        self.config.is_fetching = false;
        if let Some(PeerReply::Configuration(Some(text))) = reply {
            self.take_document(&text, now);
        }
    }

    /// Handles a backend server's report of the revision that it has applied: sends it the current configuration if
    /// that is newer.
    pub(crate) fn on_server_revision(&mut self, server: &BackendServerId, revision: Revision, now: Moment) {
        if revision < self.current.revision() {
            self.send_configuration(server, now);
        } else {
            self.current.record_revision(revision);
        }
    }

    /// Sends the configuration to a backend server that lags behind this box. Every box does so, not the
    /// planner alone, so a failed planner does not delay a revision.
    fn send_configuration(&mut self, server: &BackendServerId, now: Moment) {
        let Some(document) = self.current.document().cloned() else { return };
        if self.config.last_sent.get(server).is_some_and(|at| now.since(*at) < MIN_CONFIGURE_INTERVAL) {
            return;
        }
        self.config.last_sent.insert(server.clone(), now);
        let req = BackendRequest::Configure { revision: self.current.revision(), document: document.to_string() };
        self.call_backend(BackendOp::Configure, server.clone(), req);
    }

    pub(crate) fn on_configure_reply(&mut self, server: &BackendServerId, reply: Option<BackendReply>, _now: Moment) {
        if !matches!(reply, Some(BackendReply::Configured { .. })) {
            self.config.last_sent.remove(server);
        }
    }

    pub(crate) fn apply(&mut self, id: ApplyId, base: Revision, file: OperatorFile, to: Respondent) {
        let mut apply = Apply::new(id, base, file);
        let step = apply.begin();
        // The time counts only for an accepted file, and the first step accepts none.
        self.apply_step(apply, step, to, Moment::ZERO);
    }

    pub(crate) fn on_apply_reply(&mut self, mut apply: Apply, to: Respondent, reply: Option<StoreReply>, now: Moment) {
        let step = apply.on_reply(reply);
        self.apply_step(apply, step, to, now);
    }

    fn apply_step(&mut self, apply: Apply, step: ApplyStep, to: Respondent, now: Moment) {
        match step {
            ApplyStep::Call(req) => self.call_store(Op::Apply(apply, to), req),
            ApplyStep::Over(applied) => {
                if let Applied::Accepted { text, .. } = &applied {
                    let text = text.clone();
                    self.take_document(&text, now);
                }
                self.reply(to, CallerReply::Applied(applied));
            }
        }
    }
}
