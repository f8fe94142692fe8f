//! The configuration on this box: from the store, from peers and from backend servers, and on to them.

use std::collections::{BTreeMap, BTreeSet};

use backend::{BackendReply, BackendRequest};
use model::{ApplyId, BackendServerId, BoxId, Duration, Moment, OperatorFile, Revision};
use outside::{StoreReply, StoreRequest};
use spread::{Applied, Apply, ApplyStep, CONFIG_KEY, Taken};

use crate::{
    BackendOp, CallerReply, EntryBox, Observation, OpId, PeerReply, PeerRequest, entry_box::Op, waiters::Respondent,
};

/// A watch on the store that failed is sent again after this.
const WATCH_RETRY: Duration = Duration::from_secs(1);
/// A backend server that does not take the configuration is told again after this.
const CONFIGURE_RETRY: Duration = Duration::from_secs(2);

/// What is on its way.
#[derive(Default)]
pub(crate) struct ConfigState {
    watch: Option<OpId>,
    watch_at: Moment,
    /// The store's version of the configuration.
    version: u64,
    fetching: bool,
    /// When each backend server was last told.
    told: BTreeMap<BackendServerId, Moment>,
    /// When ends of claims are written again.
    pub(crate) retry_ends_at: Option<Moment>,
}

impl EntryBox {
    pub(crate) fn tick_config(&mut self, now: Moment) {
        let waiting = self.config.watch.is_some_and(|op| self.ops.contains_key(&op));
        if waiting || self.config.watch_at > now {
            return;
        }
        // The first read must not wait for a change.
        let wait = if self.config.version == 0 { Duration::ZERO } else { self.limits.watch };
        let above = self.config.version;
        let op = self.new_op(Op::WatchConfiguration);
        self.config.watch = Some(op);
        self.config.watch_at = now + WATCH_RETRY;
        let req = StoreRequest::Watch { key: CONFIG_KEY.to_owned(), above, wait };
        self.out.push(crate::Output::CallStore { op, req });
    }

    pub(crate) fn on_configuration(&mut self, reply: Option<StoreReply>, now: Moment) {
        self.config.watch = None;
        match reply {
            Some(StoreReply::Found { value: Some(found) }) => {
                self.config.version = found.version;
                self.config.watch_at = now;
                self.take_document(&found.value, now);
            }
            Some(_) | None => self.config.watch_at = now + WATCH_RETRY,
        }
    }

    /// Takes a document, whoever sent it; the highest revision wins.
    pub(crate) fn take_document(&mut self, text: &str, now: Moment) {
        match self.current.take(text) {
            Ok(Taken::InForce) => self.in_force(now),
            Ok(Taken::Known | Taken::Older) => {}
            Err(_) => self.observe(Observation::Count { name: "bad_document" }),
        }
    }

    fn in_force(&mut self, now: Moment) {
        let Some(file) = self.file() else { return };
        let zone = &self.id.availability_zone;
        let here = file.backend_servers.values().filter(|s| s.availability_zone == *zone);
        let servers: BTreeSet<BackendServerId> = here.map(|s| s.id.clone()).collect();
        self.replicas.keep(&servers);
        self.planning.mark_dirty();
        self.out.push(crate::Output::Configured(file));
        self.observe(Observation::InForce { revision: self.current.revision() });
        self.config.told.clear();
        // Peers hear of it with a heartbeat at once, rather than with the next.
        self.last_heartbeat = None;
        self.send_heartbeats(now);
        for server in servers {
            self.tell_server(&server, now);
        }
        self.send_watches(now);
    }

    pub(crate) fn fetch_configuration(&mut self, peer: &BoxId) {
        if !self.config.fetching {
            self.config.fetching = true;
            self.call_peer(Op::FetchConfiguration, peer, PeerRequest::FetchConfiguration);
        }
    }

    pub(crate) fn on_fetched_configuration(&mut self, reply: Option<PeerReply>, now: Moment) {
        self.config.fetching = false;
        if let Some(PeerReply::Configuration(Some(text))) = reply {
            self.take_document(&text, now);
        }
    }

    /// A backend server said which revision it matches.
    pub(crate) fn on_server_revision(&mut self, server: &BackendServerId, revision: Revision, now: Moment) {
        if revision < self.current.revision() {
            self.tell_server(server, now);
        } else {
            self.current.record_revision(revision);
        }
    }

    /// Only the planner tells backend servers, unless it fails to: then whoever sees it.
    fn tell_server(&mut self, server: &BackendServerId, now: Moment) {
        let Some(document) = self.current.document().cloned() else { return };
        if self.config.told.get(server).is_some_and(|at| now.since(*at) < CONFIGURE_RETRY) {
            return;
        }
        self.config.told.insert(server.clone(), now);
        let req = BackendRequest::Configure { revision: self.current.revision(), document: document.to_string() };
        self.call_backend(BackendOp::Configure, server.clone(), req);
    }

    pub(crate) fn on_configured(&mut self, server: &BackendServerId, reply: Option<BackendReply>, _now: Moment) {
        if !matches!(reply, Some(BackendReply::Configured { .. })) {
            self.config.told.remove(server);
        }
    }

    pub(crate) fn apply(&mut self, id: ApplyId, base: Revision, file: OperatorFile, to: Respondent) {
        let mut apply = Apply::new(id, base, file);
        let step = apply.begin();
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
