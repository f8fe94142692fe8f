//! Time limits of the steps that a job goes through.

use model::Duration;

/// Time limits of a [`crate::Coordinator`]. `docs/design/0002-gang-commit.md` gives the reasons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Time within which all reservations of a gang must be confirmed.
    pub reserve_wait: Duration,
    /// Time after which a reservation expires; longer than `reserve_wait` plus a call.
    pub reserve_ttl: Duration,
    /// Time within which all members must be armed.
    pub start_wait: Duration,
    /// Time after which a lease expires without a renewal. It is long, since an expiry costs hours of work; the
    /// leases of a box that has failed are adopted much sooner.
    pub lease_ttl: Duration,
    /// Interval between renewals of leases.
    pub renew_every: Duration,
    /// Time after which an unanswered `go`, stop, adoption or fetch is sent again.
    pub resend_every: Duration,
    /// Time that a stop waits for members that do not respond.
    pub stop_wait: Duration,
    /// Longest time to find out whether a failed start of a request that may run only once has run it; after that the
    /// outcome is unknown.
    pub doubt_limit: Duration,
    /// Time that a preempted gang has to write its checkpoints.
    pub checkpoint_wait: Duration,
    /// Time during which the answer of a finished gang is requested.
    pub fetch_wait: Duration,
    /// Wait after the first failed attempt; doubles with each further one.
    pub backoff: Duration,
    /// Longest wait before another attempt, without the offset that spreads retries.
    pub backoff_max: Duration,
    /// Number of failed runs, or of successive early losses, after which the job itself is treated as faulty.
    pub max_failures: u32,
    /// Time from the start of a run within which the loss of a backend server counts as a failed start of the job. It
    /// is the length of a lease, after which a loss is detected at the latest, and 10 s.
    pub early_loss: Duration,
    /// Time for which an ended job is kept.
    pub retention: Duration,
    /// Longest time in the queue, after which a job ends; well before backend servers remove fenced tickets.
    pub max_wait: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            reserve_wait: Duration::from_secs(2),
            reserve_ttl: Duration::from_secs(6),
            start_wait: Duration::from_secs(2),
            lease_ttl: Duration::from_secs(90),
            renew_every: Duration::from_secs(30),
            resend_every: Duration::from_secs(1),
            stop_wait: Duration::from_secs(5),
            doubt_limit: Duration::from_secs(180),
            checkpoint_wait: Duration::from_secs(30),
            fetch_wait: Duration::from_secs(600),
            backoff: Duration::from_millis(200),
            backoff_max: Duration::from_secs(20),
            max_failures: 3,
            early_loss: Duration::from_secs(100),
            retention: Duration::from_secs(3600),
            max_wait: Duration::from_secs(24 * 3600),
        }
    }
}
