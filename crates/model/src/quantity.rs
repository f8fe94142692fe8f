//! Durations, moments, revisions and rates, with their units in the type.

use std::{
    fmt,
    iter::Sum,
    ops::{Add, AddAssign, Sub},
    str::FromStr,
};

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Error of parsing a quantity, digest or keyword from text.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{text:?} is no {kind}: allowed is {allowed}")]
pub struct QuantityError {
    /// Kind of value that was expected, such as `duration`.
    pub kind: &'static str,
    /// Rejected text.
    pub text: String,
    /// Description of the accepted form.
    pub allowed: &'static str,
}

/// Span of time, in whole milliseconds. Sums stop at the longest span, since spans may come from outside.
///
/// Parsed from a whole number with the unit `ms`, `s`, `m` or `h`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Duration(u64);

impl Duration {
    /// Span of zero milliseconds.
    pub const ZERO: Duration = Duration(0);

    /// Creates a span from milliseconds.
    pub const fn from_millis(ms: u64) -> Duration {
        Duration(ms)
    }

    /// Creates a span from seconds.
    pub const fn from_secs(s: u64) -> Duration {
        Duration(s.saturating_mul(1000))
    }

    /// Returns the span in milliseconds.
    pub const fn millis(self) -> u64 {
        self.0
    }

    /// Returns the span in seconds, with fraction.
    pub fn secs_f64(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    /// Returns the span multiplied by `factor`, rounded down; zero if the factor is negative.
    pub fn scaled(self, factor: f64) -> Duration {
        Duration((self.0 as f64 * factor).max(0.0) as u64)
    }
}

impl Add for Duration {
    type Output = Duration;
    fn add(self, other: Duration) -> Duration {
        Duration(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Duration {
    fn add_assign(&mut self, other: Duration) {
        *self = *self + other;
    }
}

impl Sum for Duration {
    fn sum<I: Iterator<Item = Duration>>(spans: I) -> Duration {
        spans.fold(Duration::ZERO, Duration::add)
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
        let error = || QuantityError {
            kind: "duration",
            text: text.to_owned(),
            allowed: "a whole number with the unit ms, s, m or h",
        };
        let split = text.find(|c: char| !c.is_ascii_digit()).ok_or_else(error)?;
        let (number, unit) = text.split_at(split);
        let number: u64 = number.parse().map_err(|_| error())?;
        let factor = match unit {
            "ms" => 1,
            "s" => 1000,
            "m" => 60_000,
            "h" => 3_600_000,
            _ => return Err(error()),
        };
        number.checked_mul(factor).map(Duration).ok_or_else(error)
    }
}

/// Point in time on the monotonic clock of one process, in milliseconds since an origin of that process.
///
/// Moments of two processes must not be compared; only durations are sent to other processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize, Display)]
#[serde(transparent)]
#[display("t+{_0}ms")]
pub struct Moment(u64);

impl Moment {
    /// Origin of the clock.
    pub const ZERO: Moment = Moment(0);

    /// Creates the moment `ms` milliseconds after the origin.
    pub const fn from_millis(ms: u64) -> Moment {
        Moment(ms)
    }

    /// Returns the milliseconds since the origin.
    pub const fn millis(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`; zero if `earlier` is later than this moment.
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

/// Revision of the operators' configuration, which rises by one with each change, or of the coordination store, which
/// rises with each write; 0 before the first.
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
    /// Returns the following revision.
    pub fn next(self) -> Revision {
        Revision(self.0.saturating_add(1))
    }
}

/// Rate in events per second. Parsed from a positive number with the unit `/s`.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize, Display)]
#[serde(transparent)]
#[display("{_0}/s")]
pub struct Rate(pub f64);

impl FromStr for Rate {
    type Err = QuantityError;
    fn from_str(text: &str) -> Result<Self, QuantityError> {
        let error =
            || QuantityError { kind: "rate", text: text.to_owned(), allowed: "a positive number with the unit /s" };
        let number = text.strip_suffix("/s").ok_or_else(error)?;
        let number: f64 = number.parse().map_err(|_| error())?;
        if !number.is_finite() || number <= 0.0 {
            return Err(error());
        }
        Ok(Rate(number))
    }
}
