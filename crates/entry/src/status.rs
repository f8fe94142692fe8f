//! Status of a box and of its availability zone, as reported to operators.

use std::collections::BTreeMap;

use lifecycle::{Anomaly, Stage};
use model::{AvailabilityZoneId, BackendServerId, BoxId, Incarnation, Moment, Resources, Revision};
use serde::{Deserialize, Serialize};

use crate::EntryBox;

/// The state of a box and of its availability zone, as that box sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Name of the box.
    pub box_id: BoxId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Availability zone that it serves.
    pub availability_zone: AvailabilityZoneId,
    /// Revision of the configuration in force on the box.
    pub revision: Revision,
    /// Highest revision that any peer or backend server has reported to it.
    pub heard_of: Revision,
    /// Whether the box is draining.
    pub leaving: bool,
    /// Box that plans for the availability zone, as this box sees it.
    pub planner: BoxId,
    /// Peers in the availability zone.
    pub boxes: Vec<BoxStatus>,
    /// Backend servers of the availability zone.
    pub backend_servers: Vec<ServerStatus>,
    /// Number of this box's own jobs in each stage.
    pub jobs: JobCounts,
}

/// Status of a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxStatus {
    /// Name of the peer.
    pub id: BoxId,
    /// Whether a recent heartbeat of it was received.
    pub live: bool,
    /// Whether it reported that it is draining.
    pub leaving: bool,
    /// How often its heartbeats resumed after a gap or came from a new incarnation. Earlier returns no longer count
    /// after a long time without a gap.
    pub returns: u32,
}

/// Status of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Name of the backend server.
    pub id: BackendServerId,
    /// Whether it may get new work.
    pub open: bool,
    /// Reasons why it gets no new work, and a note if its configuration is not the current one; empty if neither
    /// applies.
    pub why: String,
    /// Revision of the configuration that it has applied; 0 until it has reported one.
    pub revision: Revision,
    /// Resources that the operators' file gives it.
    pub resources: Resources,
    /// Resources that leases hold there.
    pub held: Resources,
    /// Number of leases that hold resources there.
    pub leases: usize,
}

/// Number of jobs in each stage.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobCounts {
    /// Jobs in the queue.
    pub waiting: usize,
    /// Jobs whose gangs are reserving resources or starting.
    pub starting: usize,
    /// Jobs whose gangs run.
    pub running: usize,
    /// Jobs whose gangs are being stopped.
    pub stopping: usize,
    /// Jobs that have ended and are still recorded.
    pub ended: usize,
    /// Jobs that another box holds now, and jobs that will not run under their ticket, which was fenced, replaced or
    /// abandoned ([`Stage::Void`]).
    pub moved: usize,
}

impl EntryBox {
    /// Returns the state of this box and of its availability zone.
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
                why: self.remarks(entry, revision, now),
                revision,
                resources: entry.resources,
                held: holding().map(|lease| lease.resources).sum(),
                leases: holding().count(),
            }
        })
        .collect()
    }

    fn remarks(&self, entry: &model::BackendServerEntry, revision: Revision, now: Moment) -> String {
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
                if now.since(at) > self.limits.watch + self.limits.unresponsive_after {
                    reasons.push(format!("silent for {}", now.since(at)));
                }
                if revision < self.current.revision() {
                    reasons.push(format!("matches revision {revision}, not yet {}", self.current.revision()));
                }
            }
            _ => reasons.push("it has not answered yet".to_owned()),
        }
        if self.quarantine.is_quarantined(&entry.id) {
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

    /// Returns the number of this box's waiting jobs by customer and class, for metrics.
    pub fn queue_lengths(&self) -> BTreeMap<(model::CustomerId, model::ClassId), usize> {
        let mut lengths = BTreeMap::new();
        for view in self.jobs.views().filter(|view| view.stage == Stage::Waiting) {
            *lengths.entry((view.spec.customer.clone(), view.spec.class.clone())).or_insert(0) += 1;
        }
        lengths
    }
}

/// Returns the fixed name under which an anomaly is counted.
pub(crate) fn anomaly_name(anomaly: Anomaly) -> &'static str {
    match anomaly {
        Anomaly::StaleReply => "stale_reply",
        Anomaly::ForeignAnswer => "foreign_answer",
        Anomaly::DamagedAnswer => "damaged_answer",
        Anomaly::LateGrant => "late_grant",
        Anomaly::PartialGang => "partial_gang",
    }
}
