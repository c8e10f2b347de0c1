//! Settings of failure detection and promotion.

use oleander_core::time::Span;

/// `Options` paces detection and promotion.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Options {
    /// The time between two pings of the primary by the first home, and of any
    /// instance that has missed one or while there is no primary.
    pub ping_interval: Span,
    /// The time between two pings of the primary by the second home.
    pub standby_interval: Span,
    /// The time between two pings of a replica.
    pub replica_interval: Span,
    /// The time within which an instance must answer a ping.
    pub ping_limit: Span,
    /// The number of pings in a row that must be missed before an instance counts as unreachable.
    pub misses: u32,
    /// Whether a peer in another zone must confirm that the primary is gone.
    pub witness: Witness,
    /// The time after which opinions are asked for again.
    pub opinion_interval: Span,
    /// The time for which an opinion counts.
    pub opinion_age: Span,
    /// The time that the second home leaves to the first.
    pub stagger: Span,
    /// The time for which all reachable instances must be without a primary before one is promoted.
    pub orphan_limit: Span,
    /// The time after which an instance fenced above the primary's term causes a new promotion.
    pub stray_limit: Span,
    /// The time that is given to further instances once a majority is fenced.
    pub gather_limit: Span,
    /// The time after which a promotion is given up.
    pub promotion_limit: Span,
    /// The time between a promotion given up and the next one.
    pub retry_interval: Span,
    /// The time between two attempts to lead an instance back.
    pub rejoin_interval: Span,
}

/// `Witness` says whether a second opinion is needed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Witness {
    /// A peer in another zone must say the same.
    Required,
    /// The home's own pings are enough.
    Skipped,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            ping_interval: Span::from_millis(250),
            standby_interval: Span::from_millis(500),
            replica_interval: Span::from_secs(2),
            ping_limit: Span::from_millis(200),
            misses: 3,
            witness: Witness::Required,
            opinion_interval: Span::from_millis(500),
            opinion_age: Span::from_millis(1_500),
            stagger: Span::from_millis(1_200),
            orphan_limit: Span::from_millis(500),
            stray_limit: Span::from_secs(2),
            gather_limit: Span::from_millis(50),
            promotion_limit: Span::from_millis(1_000),
            retry_interval: Span::from_millis(300),
            rejoin_interval: Span::from_millis(500),
        }
    }
}
