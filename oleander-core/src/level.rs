//! The urgency of requests.

use serde::Deserialize;
use serde::Serialize;

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
