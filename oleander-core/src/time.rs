//! Monotonic time and durations.

use serde::Deserialize;
use serde::Serialize;

/// `Time` is a monotonic time in microseconds since an origin that the process chose.
///
/// Values of different processes must not be compared.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Time(pub u64);

/// `Span` is a duration in microseconds.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Span(pub u64);

impl Span {
    /// The empty span.
    pub const ZERO: Span = Span(0);
    /// The longest span.
    pub const MAX: Span = Span(u64::MAX);

    /// Creates a span of `count` microseconds.
    pub const fn from_micros(count: u64) -> Self {
        Self(count)
    }

    /// Creates a span of `count` milliseconds; saturates at `Span::MAX`.
    pub const fn from_millis(count: u64) -> Self {
        Self(count.saturating_mul(1_000))
    }

    /// Creates a span of `count` seconds; saturates at `Span::MAX`.
    pub const fn from_secs(count: u64) -> Self {
        Self(count.saturating_mul(1_000_000))
    }

    /// Returns the span in milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Converts the span to a `std::time::Duration`.
    pub const fn duration(self) -> std::time::Duration {
        std::time::Duration::from_micros(self.0)
    }

    /// Subtracts `other`; the result is zero if `other` is longer.
    pub const fn saturating_sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }

    /// Multiplies the span by `factor`; saturates at `Span::MAX`.
    pub const fn times(self, factor: u64) -> Span {
        Span(self.0.saturating_mul(factor))
    }
}

impl Time {
    /// Returns the span since `earlier`; zero if `earlier` is later.
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

impl std::fmt::Display for Span {
    /// Formats the span in the largest of the units `s`, `ms` and `us` that represents it exactly.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if self.0.is_multiple_of(1_000_000) {
            write!(f, "{}s", self.0 / 1_000_000)
        } else if self.0.is_multiple_of(1_000) {
            write!(f, "{}ms", self.0 / 1_000)
        } else {
            write!(f, "{}us", self.0)
        }
    }
}

impl std::str::FromStr for Span {
    type Err = ParseSpanError;

    /// Parses a whole number followed by the unit `ms` or `s`, such as `500ms` or `2s`.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.bytes().take_while(u8::is_ascii_digit).count();
        let (number, unit) = text.split_at(digits);
        if number.is_empty() {
            return Err(ParseSpanError::NoNumber);
        }
        let micros: u64 = match unit {
            "ms" => 1_000,
            "s" => 1_000_000,
            "" => return Err(ParseSpanError::NoUnit),
            _ => return Err(ParseSpanError::UnknownUnit),
        };
        let count: u64 = number.parse().map_err(|_| ParseSpanError::TooLong)?;
        count.checked_mul(micros).map(Span).ok_or(ParseSpanError::TooLong)
    }
}

/// `ParseSpanError` is the reason why a text is not a valid span.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ParseSpanError {
    /// The text does not start with a whole number.
    NoNumber,
    /// The number has no unit.
    NoUnit,
    /// The unit is neither `ms` nor `s`.
    UnknownUnit,
    /// The span does not fit in 64 bits of microseconds.
    TooLong,
}

impl std::fmt::Display for ParseSpanError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            ParseSpanError::NoNumber => "a duration starts with a whole number, such as 500ms",
            ParseSpanError::NoUnit => "a duration needs a unit, ms or s",
            ParseSpanError::UnknownUnit => "the unit of a duration is ms or s",
            ParseSpanError::TooLong => "the duration is too long",
        })
    }
}

impl std::error::Error for ParseSpanError {}
