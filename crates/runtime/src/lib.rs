//! Runs a box: takes callers' requests, follows the configuration, and schedules while the box is elected.
//!
//! Every box accepts every request, because a job counts as accepted once the store holds it; the elected scheduler
//! finds new jobs in the store. All calls to external systems go through the traits of [`platform`] and of the crate
//! `outside`, so this crate depends on no platform's protocol.

mod active;
pub mod addresses;
pub mod box_capacity;
mod box_list;
mod cleaner;
mod configuration;
mod configuration_watch;
mod context;
mod directory;
mod election;
mod evacuation;
mod evacuation_revisions;
pub mod failed_terms;
mod follow;
mod keys;
mod leader;
mod learned;
mod link_worker;
mod links;
mod machine_list;
mod maintenance;
pub mod order_queue;
mod outcome;
mod paged_reads;
mod panics;
mod permits;
pub mod platform;
mod predecessors;
mod probe;
mod queue_policies;
mod relay;
pub mod relay_boxes;
mod relay_messages;
mod relay_service;
mod requests;
mod running_box;
mod settings;
mod stored_record;
mod submissions;
mod supervised;
mod telemetry;
mod term_tasks;
pub mod timeout_estimator;
mod timers;
mod unreachable;
mod unusable_items;
mod view;
mod witnesses;
mod writer;

pub use crate::{
    configuration::{Access, CallLimits, Configuration, Denied, Route},
    evacuation::EvacuationOutcome,
    outcome::{CancelOutcome, StateOutcome, SubmitOutcome},
    requests::Requests,
    running_box::{OptionalServices, RunningBox, Status},
    settings::Settings,
    unusable_items::UnusableItems,
    view::View,
};
