//! Scheduler of a deployment, without I/O.
//!
//! One box at a time is elected and runs a [`Scheduler`]. The runtime passes it the listings of backend servers, the
//! results of writes to the store and the requests of callers, and carries out the orders and writes that it returns.
//! Three rules hold across elections:
//!
//! - *store before ordering*: a start is sent only after its placement is stored ([`Scheduler::next_write_batch`]);
//! - *store before acknowledging or reporting*: a completion is acknowledged and reported to callers only after the
//!   store holds it;
//! - *one placement at a time*: a task is placed again only when its earlier run is known to have ended: it is listed
//!   as completed, absent from a listing that must show it, or past every lease that it can have been given.

mod archive;
mod batch;
mod candidate;
mod check;
mod completions;
mod contact;
mod crashes;
pub mod departures;
mod draining;
mod evacuation;
pub mod fair_share;
mod fleet_capacity;
mod guarantee;
mod headroom;
mod health;
mod held_jobs;
mod incarnations;
mod learned;
mod listing;
mod maintenance;
mod maintenance_batch;
mod observations;
mod orders;
mod outcomes;
mod overdue_stops;
mod pending_writes;
mod permits;
mod placement;
mod plan;
mod policy;
mod preempt;
mod queue_policies;
mod ready;
mod restore;
mod retention;
mod run_estimates;
mod run_state;
pub mod run_time;
mod runs;
mod scheduler;
mod server;
mod server_capacity;
mod sharing;
mod speed;
mod stalled;
mod starts;
mod stops;
mod sums;
mod throttle;
mod timing;
mod tuning;
mod unreachable;
mod witnesses;

pub use crate::{
    archive::Archival,
    batch::{ProgressWrite, WriteBatch},
    completions::{Completion, CompletionKind, Listing, RunningTask, Unreadable},
    contact::CallFailure,
    departures::{LastWrite, MachineList},
    evacuation::{EvacuatedBy, EvacuationError, EvacuationStatus},
    fair_share::Weight,
    learned::{LearnedPage, LearnedWrite},
    maintenance_batch::{Machine, MachineId, MaintenanceProgress, MaintenanceReply, MaintenanceRequest},
    observations::Observation,
    orders::{Order, StartReply},
    permits::{Permit, PermitRequest},
    policy::{CustomerPolicy, Policy},
    queue_policies::{QueuePolicyRecord, QueuePolicyWrite},
    run_state::StopReason,
    scheduler::{Counts, Scheduler},
    server::{ServerAddress, ServerInfo},
    sharing::ShareReport,
    speed::{SpeedReport, SpeedSummary},
    stalled::StalledCounts,
    stops::PendingStop,
    timing::Timing,
    tuning::Tuning,
    unreachable::{UnreachableRecord, UnreachableWrite},
    witnesses::{WitnessRecord, WitnessWrite},
};
