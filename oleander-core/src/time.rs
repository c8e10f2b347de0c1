//! Monotonic time and spans of time.

use serde::Deserialize;
use serde::Serialize;

/// `Time` is a monotonic time in microseconds since a start that the shell chose.
///
/// Values of different processes cannot be compared.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Time(pub u64);

/// `Span` is a length of time in microseconds.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Span(pub u64);

impl Span {
    /// The empty span.
    pub const ZERO: Span = Span(0);
    /// The longest span.
    pub const MAX: Span = Span(u64::MAX);

    /// Makes a span of `count` microseconds.
    pub const fn from_micros(count: u64) -> Self {
        Self(count)
    }

    /// Makes a span of `count` milliseconds.
    pub const fn from_millis(count: u64) -> Self {
        Self(count.saturating_mul(1_000))
    }

    /// Makes a span of `count` seconds.
    pub const fn from_secs(count: u64) -> Self {
        Self(count.saturating_mul(1_000_000))
    }

    /// Gets the whole milliseconds of the span.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Gets the span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Gets the span as the standard library's duration.
    pub const fn duration(self) -> std::time::Duration {
        std::time::Duration::from_micros(self.0)
    }

    /// Subtracts `other`, with zero as the least result.
    pub const fn saturating_sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }

    /// Multiplies the span by `factor`.
    pub const fn times(self, factor: u64) -> Span {
        Span(self.0.saturating_mul(factor))
    }
}

impl Time {
    /// Gets the span since `earlier`; zero if `earlier` is later.
    pub const fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl std::ops::Add<Span> for Time {
    type Output = Time;

    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl std::ops::Add for Span {
    type Output = Span;

    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}
