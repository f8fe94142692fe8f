//! Times that the scheduler's decisions rest on.

use model::{Duration, Moment};

use crate::tuning::Tuning;

/// The slowest clock of a backend server runs at this share of true speed (users' protocol page: 2 % slow).
const SLOWEST_CLOCK: f64 = 0.98;

/// Time limits of a deployment, from its settings.
#[derive(Debug, Clone)]
pub struct Timing {
    /// Longest lease that a backend server grants.
    pub lease: Duration,
    /// Added to each bound on a lease: what reading two clocks and sending may take.
    pub lease_slack: Duration,
    /// How long a scheduler that can no longer confirm its election goes on renewing leases, if witnesses vouch for it.
    pub unconfirmed_renewal: Duration,
    /// The lease that such a scheduler gives at most.
    pub unconfirmed_lease: Duration,
    /// Such a scheduler goes by the answers to calls that it sent within this.
    pub witness_window: Duration,
    /// A start without an answer is sent again this often before the run is given up.
    pub start_tries: u32,
    /// A stop without an answer, or a stray run, is stopped again after this long.
    pub stop_retry: Duration,
    /// A backend server that refused a start for another reason than room is left alone for this long.
    pub refused_pause: Duration,
    /// How long the tasks of a step run when spread over racks, against one rack.
    pub far_factor: f64,
    /// How much later than due a timed occurrence starts, so that two clocks that differ never make it early.
    pub due_margin: Duration,
    /// How long a job's end can still be asked for.
    pub keep_ended: Duration,
    /// How strong each mechanism is.
    pub tuning: Tuning,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            lease: Duration::from_secs(6),
            lease_slack: Duration::from_millis(300),
            unconfirmed_renewal: Duration::from_secs(8),
            unconfirmed_lease: Duration::from_secs(3),
            witness_window: Duration::from_secs(2),
            start_tries: 3,
            stop_retry: Duration::from_millis(400),
            refused_pause: Duration::from_millis(1000),
            far_factor: 3.0,
            due_margin: Duration::from_millis(30),
            keep_ended: Duration::from_secs(150),
            tuning: Tuning::default(),
        }
    }
}

impl Timing {
    /// When a lease that was last renewed by a call sent at `sent` is over on any backend server's clock.
    pub fn lease_expiry(&self, sent: Moment) -> Moment {
        self.over(self.lease, sent)
    }

    fn over(&self, lease: Duration, sent: Moment) -> Moment {
        sent + lease.scaled(1.0 / SLOWEST_CLOCK) + self.lease_slack
    }

    /// When every lease that an earlier scheduler can have granted is over, for one elected at `elected`.
    pub fn earlier_lease_expiry(&self, elected: Moment) -> Moment {
        self.lease_expiry(elected + self.unconfirmed_renewal)
    }

    /// The same if so many witnesses had answered the new scheduler at `heard` that no earlier one can count most of
    /// them by later calls. Until the election an earlier one may have given whole leases.
    pub fn outvoted_lease_expiry(&self, elected: Moment, heard: Moment) -> Moment {
        let unconfirmed = self.lease.min(self.unconfirmed_lease);
        self.lease_expiry(elected).max(self.over(unconfirmed, heard + self.witness_window))
    }
}
