//! Failures of commands and their exit codes.

use derive_more::{Display, Error};

/// Reason why a command failed. The exit codes are part of the interface (docs/OPERATIONS.md).
#[derive(Debug, Display, Error)]
pub(crate) enum Failure {
    /// Exit code 2: the command line is invalid.
    #[display("{why}")]
    Usage { why: String },
    /// Exit code 3: a file is unreadable or invalid, a request was refused, or nothing was found; nothing was changed.
    #[display("{why}")]
    Refused { why: String },
    /// Exit code 4: another change was applied first; nothing was changed.
    #[display("{why}")]
    Conflict { why: String },
    /// Exit code 5: no box responded, or the outcome is unknown; retrying is safe.
    #[display("{why}")]
    Unavailable { why: String },
    /// Exit code 6: the job ended without success.
    #[display("{why}")]
    JobEnded { why: String },
    /// Exit code 7: the job has not ended yet, or something still runs in an evacuated availability zone.
    #[display("{why}")]
    Pending { why: String },
}

impl Failure {
    pub(crate) fn exit_code(&self) -> u8 {
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
