//! The urgency of requests, and which of them a home admits.

use serde::Deserialize;
use serde::Serialize;

use crate::time::Span;

/// `Level` is the urgency of a request; 0 is the most urgent and is served first.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Level(pub u8);

impl Level {
    /// The number of levels.
    pub const COUNT: usize = 8;

    /// The most urgent level.
    pub const FIRST: Level = Level(0);

    /// The least urgent level.
    pub const LAST: Level = Level(Self::COUNT as u8 - 1);

    /// Combines the priorities of a route and a workspace; a step of either counts alike, and what
    /// is beyond the last level belongs to it.
    pub fn from_priorities(route: u8, workspace: u8) -> Self {
        Self(route.saturating_add(workspace)).min(Self::LAST)
    }

    /// Returns the index of the level in an array of `COUNT` elements.
    pub fn index(self) -> usize {
        usize::from(self.min(Self::LAST).0)
    }
}

impl std::fmt::Display for Level {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// The bits of a `Horizon` that hold the time.
const OPENS_BITS: u32 = 5;

/// The largest code of a time in a `Horizon`.
const MAX_CODE: u64 = (1 << OPENS_BITS) - 1;

/// The number of codes for times in steps of `SHORT_STEP`; the others are `LONG_STEP` apart.
const SHORT_CODES: u64 = 20;

const SHORT_STEP: Span = Span::from_millis(50);
const LONG_STEP: Span = Span::from_millis(800);

/// `Horizon` states which levels a home admits now and when the next one opens. It takes one byte
/// in each reply of a home, since bytes between regions are dear.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Horizon(u8);

impl Horizon {
    /// The horizon of a home that admits all levels.
    pub const OPEN: Horizon = Horizon(Level::LAST.0 << OPENS_BITS);

    /// Creates the horizon of a home that admits `lowest` and higher-priority levels, and the next
    /// level after `opens`, which is rounded up to steps of 50 ms below 1 s and of 800 ms beyond,
    /// and is at most 9.8 s.
    pub fn new(lowest: Level, opens: Span) -> Self {
        let lowest = lowest.min(Level::LAST);
        if lowest == Level::LAST {
            return Self::OPEN;
        }
        let short = opens.0.div_ceil(SHORT_STEP.0);
        let beyond = opens.saturating_sub(SHORT_STEP.times(SHORT_CODES));
        let code = short.min(SHORT_CODES + beyond.0.div_ceil(LONG_STEP.0)).min(MAX_CODE);
        Self(lowest.0 << OPENS_BITS | code as u8)
    }

    /// Returns the lowest-priority level that is admitted.
    pub fn lowest(self) -> Level {
        Level(self.0 >> OPENS_BITS)
    }

    /// Returns the time after which the level after `lowest` is admitted.
    pub fn opens(self) -> Span {
        let code = u64::from(self.0) & MAX_CODE;
        let long = code.saturating_sub(SHORT_CODES);
        Span(SHORT_STEP.times(code - long).0 + LONG_STEP.times(long).0)
    }
}

impl Default for Horizon {
    fn default() -> Self {
        Self::OPEN
    }
}
