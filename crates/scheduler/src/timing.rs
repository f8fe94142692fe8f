//! Time limits that the scheduler's decisions rest on.

use model::{Duration, Moment};

use crate::tuning::Tuning;

/// Speed of a backend server's slowest clock, as a share of true speed (platform protocol: up to 2 % slow).
const SLOWEST_CLOCK: f64 = 0.98;

/// Time limits of a deployment, from its settings.
#[derive(Debug, Clone)]
pub struct Timing {
    /// Longest lease that a backend server grants.
    pub lease: Duration,
    /// Margin added to each bound on a lease, for reading two clocks and for sending.
    pub lease_slack: Duration,
    /// How long a scheduler that can no longer confirm its election may grant full leases. Witnesses shorten the leases
    /// and prolong the time for what runs, see [`Timing::unconfirmed_limit`].
    pub unconfirmed_renewal: Duration,
    /// Longest lease that such a scheduler grants.
    pub unconfirmed_lease: Duration,
    /// How recently the call must have been sent whose response such a scheduler counts as a confirmation.
    pub witness_window: Duration,
    /// Number of orders for a start without a response before the run is abandoned.
    pub start_tries: u32,
    /// Time after which the stop of a run is repeated if it got no response, or if the run is orphaned and still
    /// listed.
    pub stop_retry: Duration,
    /// Pause before the next start on a backend server that has refused one.
    pub refused_pause: Duration,
    /// Factor by which the tasks of a step run longer if they are spread over racks instead of placed in one.
    pub far_factor: f64,
    /// Delay of a timed occurrence after its due time, so that a difference between two clocks never starts it early.
    pub due_margin: Duration,
    /// How long the outcome of an ended job can be queried.
    pub keep_ended: Duration,
    /// Interval at which a backend server writes its entry in the platform's list.
    pub server_heartbeat: Duration,
    /// Strength of each mechanism.
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
            server_heartbeat: Duration::from_millis(1500),
            tuning: Tuning::default(),
        }
    }
}

impl Timing {
    /// Returns when a lease that was last renewed by a call sent at `sent` has expired, on any backend server's
    /// clock.
    pub fn lease_expiry(&self, sent: Moment) -> Moment {
        self.expiry(self.lease, sent)
    }

    /// Returns when a lease of this length that was sent at `sent` has expired, on any backend server's clock.
    pub(crate) fn expiry(&self, lease: Duration, sent: Moment) -> Moment {
        sent + lease.scaled(1.0 / SLOWEST_CLOCK) + self.lease_slack
    }

    /// Returns when every lease that an earlier scheduler can have granted has expired, for a scheduler elected at
    /// `elected`.
    pub fn earlier_lease_expiry(&self, elected: Moment) -> Moment {
        self.lease_expiry(elected + self.unconfirmed_renewal)
    }

    /// Returns the same bound if by `responded` the new scheduler had responses from so many witnesses that no earlier
    /// one can count two thirds of them by later calls. Until the election an earlier one may have granted full leases.
    pub fn outvoted_lease_expiry(&self, elected: Moment, responded: Moment) -> Moment {
        self.lease_expiry(elected).max(self.short_lease_expiry(responded + self.witness_window))
    }

    /// Returns when a lease that only witnesses confirmed and that was last renewed by a call sent at `sent` has expired.
    pub(crate) fn short_lease_expiry(&self, sent: Moment) -> Moment {
        self.expiry(self.short_lease(), sent)
    }

    /// Returns how long after its last confirmation a witness may be found to have ended for the others to suffice.
    /// After that, whatever was renewed by its confirmation has expired.
    pub(crate) fn witness_end_window(&self) -> Duration {
        self.witness_window + self.short_lease()
    }

    /// Returns how long after its first response to a new scheduler a witness has to respond again. It has then not
    /// ended in time for an earlier scheduler to do without it.
    pub(crate) fn vote_final_after(&self) -> Duration {
        self.witness_end_window() + self.lease_slack
    }

    /// Returns the lease that a scheduler grants while only witnesses confirm it.
    pub(crate) fn short_lease(&self) -> Duration {
        self.lease.min(self.unconfirmed_lease)
    }

    /// Returns how long a scheduler that can no longer confirm its election continues to renew the leases of what runs,
    /// if witnesses confirm it. Its short leases then last as long as full ones that were granted for
    /// `unconfirmed_renewal`, and no longer, since the next scheduler waits for those.
    pub fn unconfirmed_limit(&self) -> Duration {
        let shortened_by = self.lease.millis() - self.short_lease().millis();
        self.unconfirmed_renewal + Duration::from_millis(shortened_by)
    }
}
