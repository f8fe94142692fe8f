//! Replays arrivals through a planner in virtual time, to measure policies side by side.
//!
//! There are no boxes, messages or leases here, only the planner and a model of how gangs run: a gang starts
//! [`sim::START`] after it was placed, and a checkpoint takes [`sim::CHECKPOINT`]. Arrivals are drawn with a fixed
//! seed from the kinds of work in the platform's brief; see [`workload`].

pub mod measure;
pub mod sim;
pub mod workload;
