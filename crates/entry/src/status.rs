//! What a box tells operators of itself and its availability zone.

use std::collections::BTreeMap;

use lifecycle::{Anomaly, Stage};
use model::{AvailabilityZoneId, BackendServerId, BoxId, Incarnation, Moment, Resources, Revision};
use serde::{Deserialize, Serialize};

use crate::EntryBox;

/// The state of a box and of its availability zone, as that box sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The box.
    pub box_id: BoxId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub availability_zone: AvailabilityZoneId,
    /// The revision in force here.
    pub revision: Revision,
    /// The highest revision that it has heard of.
    pub heard_of: Revision,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The box that plans, as seen from here.
    pub planner: BoxId,
    /// Boxes of the availability zone.
    pub boxes: Vec<BoxStatus>,
    /// Backend servers of the availability zone.
    pub backend_servers: Vec<ServerStatus>,
    /// This box's own jobs by where they stand.
    pub jobs: JobCounts,
}

/// A peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxStatus {
    /// The box.
    pub id: BoxId,
    /// Whether it was heard of late.
    pub live: bool,
    /// Whether it said that it is leaving.
    pub leaving: bool,
    /// How often it came back after a gap.
    pub returns: u32,
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// The backend server.
    pub id: BackendServerId,
    /// Whether it is given new work.
    pub open: bool,
    /// Why it is not, or why it lags; empty if neither.
    pub why: String,
    /// The configuration that it matches.
    pub revision: Revision,
    /// What its worker has.
    pub resources: Resources,
    /// What is held there.
    pub held: Resources,
    /// Leases that hold it.
    pub leases: usize,
}

/// Jobs by where they stand.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobCounts {
    /// In the queue.
    pub waiting: usize,
    /// Reserving or starting.
    pub starting: usize,
    /// Running.
    pub running: usize,
    /// Being stopped.
    pub stopping: usize,
    /// Ended and still remembered.
    pub ended: usize,
    /// Held by another box.
    pub moved: usize,
}

impl EntryBox {
    /// The state of this box.
    pub fn status(&self, now: Moment) -> StatusReport {
        let peers = self.view.peers().iter().map(|(id, status)| BoxStatus {
            id: id.clone(),
            live: self.view.is_live(id, now),
            leaving: status.draining,
            returns: status.returns,
        });
        StatusReport {
            box_id: self.id.box_id.clone(),
            incarnation: self.id.incarnation,
            availability_zone: self.id.availability_zone.clone(),
            revision: self.current.revision(),
            heard_of: self.current.highest_known_revision(),
            leaving: self.draining,
            planner: self.view.planner(now).clone(),
            boxes: peers.collect(),
            backend_servers: self.server_statuses(now),
            jobs: self.job_counts(),
        }
    }

    fn server_statuses(&self, now: Moment) -> Vec<ServerStatus> {
        let Some(file) = self.file() else { return Vec::new() };
        let here = file.backend_servers.values().filter(|s| s.availability_zone == self.id.availability_zone);
        here.map(|entry| {
            let replica = self.replicas.get(&entry.id);
            let holding = || replica.into_iter().flat_map(|r| r.leases.values()).filter(|l| l.state.holds());
            let revision = replica.and_then(|r| r.info.as_ref()).map_or(Revision(0), |info| info.revision);
            ServerStatus {
                id: entry.id.clone(),
                open: self.is_open(&file, &entry.id, now),
                why: self.why_closed(entry, revision, now),
                revision,
                resources: entry.resources,
                held: holding().map(|lease| lease.resources).sum(),
                leases: holding().count(),
            }
        })
        .collect()
    }

    fn why_closed(&self, entry: &model::BackendServerEntry, revision: Revision, now: Moment) -> String {
        let replica = self.replicas.get(&entry.id);
        let mut reasons = Vec::new();
        if entry.mode != model::ServerMode::Active {
            reasons.push("draining by the file".to_owned());
        }
        match replica.map(|r| (r.last_reply, r.info.as_ref())) {
            Some((Some(at), info)) => {
                if info.is_some_and(|info| info.leaving) {
                    reasons.push("it says that it is leaving".to_owned());
                }
                if now.since(at) > self.limits.watch + self.limits.silent_after {
                    reasons.push(format!("silent for {}", now.since(at)));
                }
                if revision < self.current.revision() {
                    reasons.push(format!("matches revision {revision}, not yet {}", self.current.revision()));
                }
            }
            _ => reasons.push("it has not answered yet".to_owned()),
        }
        if self.quarantine.is_closed(&entry.id) {
            reasons.push("in quarantine: it failed several jobs in a row".to_owned());
        }
        reasons.join("; ")
    }

    fn job_counts(&self) -> JobCounts {
        let mut counts = JobCounts::default();
        for view in self.jobs.views() {
            let count = match view.stage {
                Stage::Waiting => &mut counts.waiting,
                Stage::Starting => &mut counts.starting,
                Stage::Running => &mut counts.running,
                Stage::Stopping => &mut counts.stopping,
                Stage::Ended(_) => &mut counts.ended,
                Stage::Moved(_) | Stage::Void => &mut counts.moved,
            };
            *count += 1;
        }
        counts
    }

    /// Waiting jobs of this box by customer and class, for gauges.
    pub fn queue_lengths(&self) -> BTreeMap<(model::CustomerId, model::ClassId), usize> {
        let mut lengths = BTreeMap::new();
        for view in self.jobs.views().filter(|view| view.stage == Stage::Waiting) {
            *lengths.entry((view.spec.customer.clone(), view.spec.class.clone())).or_insert(0) += 1;
        }
        lengths
    }
}

/// The fixed name under which an anomaly is counted.
pub(crate) fn anomaly_name(anomaly: Anomaly) -> &'static str {
    match anomaly {
        Anomaly::StaleReply => "stale_reply",
        Anomaly::ForeignAnswer => "foreign_answer",
        Anomaly::DamagedAnswer => "damaged_answer",
        Anomaly::LateGrant => "late_grant",
        Anomaly::PartialGang => "partial_gang",
    }
}
