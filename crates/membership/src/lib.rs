//! Failure detector of the boxes of an availability zone, and choice of the box that plans.
//!
//! Each box sends heartbeats to all others. A box without a heartbeat for [`Limits::dead_after`] is considered dead.
//! The planner is the live box with the lowest id that has been steady for a while. Two boxes may disagree about it,
//! which is safe because backend servers decide on each reservation. The platform is not involved, so that an
//! availability zone that is cut off from it continues to work.
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
//!     view.record_heartbeat(&other, Incarnation(7), false, now);
//! }
//! assert_eq!(view.planner(now), &other);
//! ```

mod view;

pub use crate::view::{Limits, Status, View};
