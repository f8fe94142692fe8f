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
mod usage;
mod weight;

use model::CustomerId;

pub use self::{
    above::AboveShare,
    queue::Queue,
    reservations::{Claim, Position, Reservations},
    resource::ResourceKind,
    shares::{Capacity, Demand, Share, Shares},
    weight::Weight,
};
pub(crate) use usage::Usage;

/// Customer that capacity is counted for. `None` stands for all work without a configured customer, which counts as
/// one customer.
pub type Claimant = Option<CustomerId>;
