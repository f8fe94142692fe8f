//! Identifiers, each a type of its own, so that they can't be mixed up.

use std::{fmt, str::FromStr, sync::Arc};

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::Duration;

/// Longest identifier, in bytes.
const MAX_ID_BYTES: usize = 64;

/// Error of parsing an identifier from text.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{text:?} is no {kind}: allowed are 1 to {MAX_ID_BYTES} characters of a-z, A-Z, 0-9, '-' and '_'")]
pub struct IdError {
    /// Kind of identifier that was expected, such as `class id`.
    pub kind: &'static str,
    /// Rejected text; a long one may be truncated to `MAX_ID_BYTES` characters.
    pub text: String,
}

fn check_id(kind: &'static str, text: &str) -> Result<Arc<str>, IdError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if text.is_empty() || text.len() > MAX_ID_BYTES || !text.chars().all(allowed) {
        return Err(IdError { kind, text: text.chars().take(MAX_ID_BYTES).collect() });
    }
    Ok(Arc::from(text))
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;
            fn from_str(text: &str) -> Result<Self, IdError> {
                check_id($kind, text).map($name)
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;
            fn try_from(text: String) -> Result<Self, IdError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0.to_string()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

text_id!(
    /// Identifier of a customer, a tenant that may have guarantees.
    CustomerId,
    "customer id"
);
text_id!(
    /// Identifier of a class of jobs, such as `labelling` or `archive`.
    ClassId,
    "class id"
);
text_id!(
    /// Identifier of an availability zone.
    AvailabilityZoneId,
    "availability zone id"
);
text_id!(
    /// Identifier of a rack of workers, unique within its availability zone.
    RackId,
    "rack id"
);
text_id!(
    /// Identifier of a backend server, the service that runs tasks on one worker.
    BackendServerId,
    "backend server id"
);
text_id!(
    /// Identifier of an entry box. The order of these ids decides which box plans.
    BoxId,
    "box id"
);
text_id!(
    /// Identifier of a request, chosen by the caller and unique within its customer.
    RequestId,
    "request id"
);
text_id!(
    /// Nonce of one `apply`, by which its outcome can be determined after the response was lost.
    ApplyId,
    "apply id"
);

/// Incarnation of a process of a box or backend server: the wall-clock time of its start, in milliseconds since the
/// Unix epoch. A later incarnation has a higher number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Display)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Ticket of a job: the box that accepted it, the incarnation of that box, and a serial number.
///
/// Only the process that issued a ticket may send the first start for it, so that a job isn't started twice while the
/// platform is unreachable. Written as `box.incarnation.serial`, with the incarnation in hexadecimal.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct JobId {
    /// Box that accepted the job.
    pub minted_by: BoxId,
    /// Incarnation of that box.
    pub incarnation: Incarnation,
    /// Serial number, which rises with each ticket of the incarnation. It is at least the incarnation's age in
    /// milliseconds when the ticket was issued, so that the ticket's age can be bounded.
    pub serial: u64,
}

impl JobId {
    /// Returns an upper bound of the ticket's age at a wall-clock time in milliseconds since the Unix epoch, apart from
    /// clock skew.
    pub fn age_at(&self, wall_ms: u64) -> Duration {
        Duration::from_millis(wall_ms.saturating_sub(self.incarnation.0.saturating_add(self.serial)))
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}.{}", self.minted_by, self.incarnation.0, self.serial)
    }
}

impl fmt::Debug for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for JobId {
    type Err = IdError;
    fn from_str(text: &str) -> Result<Self, IdError> {
        let error = || IdError { kind: "job id (box.incarnation.serial)", text: text.to_owned() };
        let mut parts = text.split('.');
        let (Some(minted_by), Some(incarnation), Some(serial), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(error());
        };
        Ok(JobId {
            minted_by: minted_by.parse()?,
            incarnation: Incarnation(u64::from_str_radix(incarnation, 16).map_err(|_| error())?),
            serial: serial.parse().map_err(|_| error())?,
        })
    }
}

impl TryFrom<String> for JobId {
    type Error = IdError;
    fn try_from(text: String) -> Result<Self, IdError> {
        text.parse()
    }
}

impl From<JobId> for String {
    fn from(id: JobId) -> String {
        id.to_string()
    }
}
