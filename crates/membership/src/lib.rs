//! Which boxes of an availability zone are live, and which of them plans.
//!
//! Each box tells every other that it is live; a box not heard for [`Limits::dead_after`] is taken
//! for dead. The planner is the lowest live box that has been steady for a while. Two boxes may
//! disagree; nothing unsafe follows from it, since backend servers decide on each reservation.
//! The platform is not asked, so that a cut-off availability zone goes on alone.
//!
//! ```
//! use membership::{Limits, View};
//! use model::{Duration, Incarnation, Moment};
//!
//! let mut view = View::new("box-2".parse().expect("a valid id"), Limits::default(), Moment::ZERO);
//! let other = "box-1".parse().expect("a valid id");
//! let mut now = Moment::ZERO;
//! for _ in 0..20 {
//!     now = now + Duration::from_millis(500);
//!     view.tick(now);
//!     view.heard(&other, Incarnation(7), false, now);
//! }
//! assert_eq!(view.planner(now), &other);
//! ```

mod view;

pub use crate::view::{Limits, Status, View};
