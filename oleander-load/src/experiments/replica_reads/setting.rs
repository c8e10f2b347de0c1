//! The parameters of a run: deployment sizes, acknowledgement mode, lag, policy and scenario.

use oleander_core::places::Distance;
use oleander_core::time::Span;
use strum::Display;
use strum::EnumIter;

/// `Setting` holds the parameters of one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setting {
    pub(crate) user: User,
    pub(crate) acknowledge: Acknowledge,
    /// The lag of the replicas in milliseconds.
    pub(crate) lag: u64,
    pub(crate) policy: Policy,
    pub(crate) scenario: Scenario,
}

/// `Scenario` is the behaviour of the sessions and replicas during a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display, EnumIter)]
pub(crate) enum Scenario {
    /// Sessions pause for one second on average between requests.
    #[strum(serialize = "calm sessions")]
    Calm,
    /// Fewer sessions, which pause for 200 ms on average, so that most reads closely follow a
    /// write.
    #[strum(serialize = "busy sessions")]
    Busy,
    /// The nearest replica stops applying the log for a quarter of the run.
    #[strum(serialize = "a stalled replica")]
    Stalled,
}

impl Scenario {
    /// Returns the mean pause of a session between an answer and its next request.
    pub(crate) fn pause(self) -> Span {
        match self {
            Scenario::Calm | Scenario::Stalled => Span::from_secs(1),
            Scenario::Busy => Span::from_millis(200),
        }
    }
}

/// `User` selects the deployment whose sizes and load a run simulates.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display, EnumIter)]
pub(crate) enum User {
    /// Bakery databases: two slots per instance, 20 ms one way between regions.
    Magnolia,
    /// Repair ledgers: three slots per instance, 10 ms one way between regions.
    Fraser,
}

/// `Acknowledge` is the condition for acknowledging a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display, EnumIter)]
pub(crate) enum Acknowledge {
    /// A majority of the instances is known to hold the write.
    #[strum(serialize = "by a majority")]
    Replicated,
    /// The primary holds the write.
    #[strum(serialize = "by the primary")]
    Primary,
}

/// `Policy` is the method of choosing the instance for a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Policy {
    /// The production policy, `GroupView::choose`.
    ExpectedCost,
    /// Baseline: every read goes to the primary.
    PrimaryOnly,
    /// Baseline: the replica with the shortest queue, and then the primary if the answer is stale.
    ReplicaNoWait,
}

impl User {
    /// Returns the number of slots that each of the two homes has on every instance.
    pub(crate) fn slots(self) -> [usize; 2] {
        match self {
            User::Magnolia => [1, 1],
            User::Fraser => [2, 1],
        }
    }

    /// Returns the round-trip time over a distance.
    pub(crate) fn round_trip(self, distance: Distance) -> Span {
        match (distance, self) {
            (Distance::Zone, _) => Span::from_micros(500),
            (Distance::Region, _) => Span::from_millis(3),
            (Distance::Remote, User::Magnolia) => Span::from_millis(40),
            (Distance::Remote, User::Fraser) => Span::from_millis(20),
        }
    }

    /// Returns the mean execution time of a statement.
    pub(crate) fn service(self) -> Span {
        match self {
            User::Magnolia => Span::from_millis(4),
            User::Fraser => Span::from_millis(6),
        }
    }

    /// Returns the number of requests per second.
    pub(crate) fn load(self) -> u64 {
        match self {
            User::Magnolia => 240,
            User::Fraser => 280,
        }
    }
}
