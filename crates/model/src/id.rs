//! Identifiers, each a type of its own so that none can stand in another's place.

use std::{fmt, str::FromStr, sync::Arc};

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::Duration;

/// Longest identifier, in bytes.
const MAX_ID_LEN: usize = 64;

/// Why a text is no identifier.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{text:?} is no {kind}: allowed are 1 to {MAX_ID_LEN} characters of a-z, A-Z, 0-9, '-' and '_'")]
pub struct IdError {
    /// What the text was meant to name.
    pub kind: &'static str,
    /// The text as given.
    pub text: String,
}

fn check_id(kind: &'static str, text: &str) -> Result<Arc<str>, IdError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if text.is_empty() || text.len() > MAX_ID_LEN || !text.chars().all(allowed) {
        return Err(IdError { kind, text: text.chars().take(MAX_ID_LEN).collect() });
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
            /// The identifier as text.
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
    /// A customer (brief: a tenant that may hold a guarantee).
    CustomerId,
    "customer id"
);
text_id!(
    /// A class of jobs, such as `labelling` or `archive`.
    ClassId,
    "class id"
);
text_id!(
    /// An availability zone.
    AvailabilityZoneId,
    "availability zone id"
);
text_id!(
    /// A rack of workers inside an availability zone.
    RackId,
    "rack id"
);
text_id!(
    /// A backend server: the service that runs tasks on one worker.
    BackendServerId,
    "backend server id"
);
text_id!(
    /// An entry box; the order of these ids decides which box plans.
    BoxId,
    "box id"
);
text_id!(
    /// The caller's own name for its request, unique within its customer.
    RequestId,
    "request id"
);
text_id!(
    /// A nonce of one `apply`, by which a lost answer is settled.
    ApplyId,
    "apply id"
);

/// One life of a process, of a box or of a backend server: wall-clock milliseconds at its start, higher for later lives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Display)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// A job's ticket: the box that accepted it, that box's incarnation, and a serial number.
///
/// Only the process that minted a ticket may make the first start for it, which is what keeps a
/// job from being started twice while the platform cannot be asked. Written as
/// `box.incarnation.serial`, the incarnation in hexadecimal.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct JobId {
    /// The box that accepted the job.
    pub minted_by: BoxId,
    /// The life of that box.
    pub incarnation: Incarnation,
    /// Rises with each ticket of that life, and is at least the life's age in milliseconds when the
    /// ticket was minted, so that the ticket's own age can be bounded.
    pub serial: u64,
}

impl JobId {
    /// The ticket's age at a wall-clock time, never too low but for the skew between clocks.
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
        let bad = || IdError { kind: "job id (box.incarnation.serial)", text: text.to_owned() };
        let mut parts = text.split('.');
        let (Some(minted_by), Some(incarnation), Some(serial), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(bad());
        };
        Ok(JobId {
            minted_by: minted_by.parse()?,
            incarnation: Incarnation(u64::from_str_radix(incarnation, 16).map_err(|_| bad())?),
            serial: serial.parse().map_err(|_| bad())?,
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
