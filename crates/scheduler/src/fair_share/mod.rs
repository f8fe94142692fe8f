//! Fair shares: how a service that is short of capacity is divided between customers.
//!
//! Everything here takes values and returns values. [`Shares::divide`] divides the scarcest resource by weighted
//! max-min fairness; [`Queue`] tells which part of the waiting work lies within its customer's share; [`AboveShare`]
//! says with hysteresis which customers hold more than theirs; [`Reservations`] bounds how long a gang is overtaken.
//! The choices are explained in `docs/design/0018-fair-shares.md`.

mod above;
mod queue;
mod reservations;
mod resource;
mod shares;
mod weight;

pub use self::{
    above::AboveShare,
    queue::Queue,
    reservations::{Claim, Position, Reservations},
    resource::ResourceKind,
    shares::{Capacity, Demand, Share, Shares},
    weight::Weight,
};

/// Customer that capacity is counted for, as an index into the demands. All work without a configured customer counts
/// as one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Claimant(pub usize);
