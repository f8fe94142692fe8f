//! Times, revisions and rates, with their units in the type.

use std::{
    fmt,
    ops::{Add, Sub},
    str::FromStr,
};

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Why a text is no quantity.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{text:?} is no {kind}: allowed is {allowed}")]
pub struct QuantityError {
    /// What the text was meant to give.
    pub kind: &'static str,
    /// The text as given.
    pub text: String,
    /// The accepted form.
    pub allowed: &'static str,
}

/// A span of time in whole milliseconds.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Default,
    Serialize,
    Deserialize,
    derive_more::Add,
    derive_more::AddAssign,
    derive_more::Sum,
)]
#[serde(transparent)]
pub struct Duration(u64);

impl Duration {
    /// No time at all.
    pub const ZERO: Duration = Duration(0);

    /// A span of whole milliseconds.
    pub const fn from_millis(ms: u64) -> Duration {
        Duration(ms)
    }

    /// A span of whole seconds.
    pub const fn from_secs(s: u64) -> Duration {
        Duration(s * 1000)
    }

    /// The span in milliseconds.
    pub const fn millis(self) -> u64 {
        self.0
    }

    /// The span in seconds, with fraction.
    pub fn secs_f64(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    /// The span times a factor, rounded down; never negative.
    pub fn scaled(self, factor: f64) -> Duration {
        Duration((self.0 as f64 * factor).max(0.0) as u64)
    }
}

impl From<Duration> for std::time::Duration {
    fn from(span: Duration) -> std::time::Duration {
        std::time::Duration::from_millis(span.0)
    }
}

impl fmt::Display for Duration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0 >= 1000 && self.0.is_multiple_of(1000) {
            return write!(f, "{}s", self.0 / 1000);
        }
        write!(f, "{}ms", self.0)
    }
}

impl FromStr for Duration {
    type Err = QuantityError;
    fn from_str(text: &str) -> Result<Self, QuantityError> {
        let bad = || QuantityError {
            kind: "duration",
            text: text.to_owned(),
            allowed: "a whole number with the unit ms, s, m or h",
        };
        let split = text.find(|c: char| !c.is_ascii_digit()).ok_or_else(bad)?;
        let (number, unit) = text.split_at(split);
        let number: u64 = number.parse().map_err(|_| bad())?;
        let factor = match unit {
            "ms" => 1,
            "s" => 1000,
            "m" => 60_000,
            "h" => 3_600_000,
            _ => return Err(bad()),
        };
        number.checked_mul(factor).map(Duration).ok_or_else(bad)
    }
}

/// A point on one process's monotonic clock, in milliseconds since an origin of its own.
///
/// Moments of two processes are never compared; only durations cross a border.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize, Display)]
#[serde(transparent)]
#[display("t+{_0}ms")]
pub struct Moment(u64);

impl Moment {
    /// The clock's origin.
    pub const ZERO: Moment = Moment(0);

    /// The moment so many milliseconds after the origin.
    pub const fn from_millis(ms: u64) -> Moment {
        Moment(ms)
    }

    /// Milliseconds since the origin.
    pub const fn millis(self) -> u64 {
        self.0
    }

    /// The time since `earlier`, zero when that lies ahead.
    pub fn since(self, earlier: Moment) -> Duration {
        Duration(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Moment {
    type Output = Moment;
    fn add(self, span: Duration) -> Moment {
        Moment(self.0.saturating_add(span.0))
    }
}

impl Sub<Duration> for Moment {
    type Output = Moment;
    fn sub(self, span: Duration) -> Moment {
        Moment(self.0.saturating_sub(span.0))
    }
}

/// The revision of the operators' configuration: 0 before the first, then rising by one.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Default,
    Serialize,
    Deserialize,
    Display,
    derive_more::FromStr,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// The revision that follows.
    pub fn next(self) -> Revision {
        Revision(self.0 + 1)
    }
}

/// Events per second.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize, Display)]
#[serde(transparent)]
#[display("{_0}/s")]
pub struct Rate(pub f64);

impl FromStr for Rate {
    type Err = QuantityError;
    fn from_str(text: &str) -> Result<Self, QuantityError> {
        let bad =
            || QuantityError { kind: "rate", text: text.to_owned(), allowed: "a positive number with the unit /s" };
        let number = text.strip_suffix("/s").ok_or_else(bad)?;
        let number: f64 = number.parse().map_err(|_| bad())?;
        if !number.is_finite() || number <= 0.0 {
            return Err(bad());
        }
        Ok(Rate(number))
    }
}
