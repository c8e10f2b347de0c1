//! Settings of failure detection and promotion.

use oleander_core::time::Span;

/// `Options` holds the intervals and limits of detection and promotion.
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
    /// The number of pings missed in a row after which an instance counts as unreachable.
    pub misses: u32,
    /// Whether a peer in another zone must confirm that the primary is unreachable.
    pub witness: Witness,
    /// The time after which opinions are asked for again.
    pub opinion_interval: Span,
    /// The time for which an opinion stays valid.
    pub opinion_age: Span,
    /// The time that the second home gives the first one to act.
    pub stagger: Span,
    /// The time after which an instance is promoted if all instances answer and none is primary.
    pub no_primary_limit: Span,
    /// The time after which an instance that stays fenced above the primary's term causes a new
    /// promotion.
    pub fenced_ahead_limit: Span,
    /// The time for which a promotion waits for the remaining instances once a majority is fenced.
    pub gather_limit: Span,
    /// The time after which a promotion is abandoned.
    pub promotion_limit: Span,
    /// The time between two promotions; the second home waits three times as long after an
    /// abandoned one.
    pub retry_interval: Span,
    /// The time between two requests to an instance to follow the primary.
    pub rejoin_interval: Span,
}

/// `Witness` tells whether a second opinion on an unreachable instance is needed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Witness {
    /// A peer in another zone must confirm that the instance is unreachable.
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
            no_primary_limit: Span::from_millis(500),
            fenced_ahead_limit: Span::from_secs(2),
            gather_limit: Span::from_millis(50),
            promotion_limit: Span::from_millis(1_000),
            retry_interval: Span::from_millis(300),
            rejoin_interval: Span::from_millis(500),
        }
    }
}
