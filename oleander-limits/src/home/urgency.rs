//! The urgency of requests and the order that results from it.

use oleander_core::level::Level;
use oleander_core::time::Time;

/// `Urgency` determines which of the waiting requests is served first.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Urgency {
    /// The priority level.
    pub level: Level,
    /// The time by which the answer is wanted; an answer after it is late but still of use until
    /// the deadline. `None` if only the deadline counts.
    pub target: Option<Time>,
}

/// `Standing` is the place of a request among those of its level.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Standing {
    /// The request can probably be answered by its target time, or has none.
    #[default]
    InTime,
    /// The request can probably no longer be answered by its target time.
    Late,
}

/// `Rank` is the order in which requests are served; the lowest is served first.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// The priority level.
    pub level: Level,
    /// The place among the requests of the level.
    pub standing: Standing,
}

impl Rank {
    /// The rank served last.
    pub const LAST: Rank = Rank { level: Level::LAST, standing: Standing::Late };

    /// Returns all ranks in the order in which they are served.
    pub fn all() -> impl Iterator<Item = Rank> {
        let levels = (0..=Level::LAST.0).map(Level);
        levels.flat_map(|level| {
            [Standing::InTime, Standing::Late].map(|standing| Rank { level, standing })
        })
    }
}
