//! How a command ends: its exit code says which kind of failure it was.

use derive_more::{Display, Error};

/// Why a command failed. The codes are part of the interface (docs/OPERATIONS.md).
#[derive(Debug, Display, Error)]
pub(crate) enum Failure {
    /// Exit code 2: the command line cannot be understood.
    #[display("{why}")]
    Usage { why: String },
    /// Exit code 3: a file or a request was refused; nothing was changed.
    #[display("{why}")]
    Refused { why: String },
    /// Exit code 4: somebody else's change came first; nothing was changed.
    #[display("{why}")]
    Conflict { why: String },
    /// Exit code 5: no box answered, or it cannot be told what happened; asking again is safe.
    #[display("{why}")]
    Unavailable { why: String },
    /// Exit code 6: the job ended other than done.
    #[display("{why}")]
    JobEnded { why: String },
    /// Exit code 7: the job is not over yet, or something still runs in an evacuated availability zone.
    #[display("{why}")]
    Pending { why: String },
}

impl Failure {
    /// The exit code.
    pub(crate) fn code(&self) -> u8 {
        match self {
            Failure::Usage { .. } => 2,
            Failure::Refused { .. } => 3,
            Failure::Conflict { .. } => 4,
            Failure::Unavailable { .. } => 5,
            Failure::JobEnded { .. } => 6,
            Failure::Pending { .. } => 7,
        }
    }
}
