//! The settings of a run: whose sizes, which lag, which policy.

use oleander_core::places::Distance;
use oleander_core::time::Span;
use strum::Display;
use strum::EnumIter;

/// `Setting` is one cell of the experiment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setting {
    pub(crate) user: User,
    pub(crate) acknowledge: Acknowledge,
    /// The lag of the replicas in milliseconds.
    pub(crate) lag: u64,
    pub(crate) policy: Policy,
    pub(crate) scene: Scene,
}

/// `Scene` is what makes a run harder than the plain one.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display, EnumIter)]
pub(crate) enum Scene {
    /// Sessions pause for a second between requests.
    #[strum(serialize = "calm sessions")]
    Calm,
    /// Fewer sessions, which pause for 200 ms, so most reads follow a write closely.
    #[strum(serialize = "busy sessions")]
    Busy,
    /// The nearest replica stops applying the log for a quarter of the run.
    #[strum(serialize = "a stalled replica")]
    Stalled,
}

impl Scene {
    /// Gets the mean pause of a session between an answer and its next request.
    pub(crate) fn pause(self) -> Span {
        match self {
            Scene::Calm | Scene::Stalled => Span::from_secs(1),
            Scene::Busy => Span::from_millis(200),
        }
    }
}

/// `User` is whose sizes a run takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display, EnumIter)]
pub(crate) enum User {
    /// Bakery databases: two slots an instance, 20 ms between regions.
    Magnolia,
    /// Repair ledgers: three slots an instance, 10 ms between regions.
    Fraser,
}

/// `Acknowledge` is when a write is answered as done.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display, EnumIter)]
pub(crate) enum Acknowledge {
    /// Once a majority of the instances is known to hold it.
    #[strum(serialize = "by a majority")]
    Replicated,
    /// Once the primary holds it.
    #[strum(serialize = "by the primary")]
    Primary,
}

/// `Policy` is how a read's instance is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Policy {
    /// The decision of this project.
    ExpectedCost,
    /// Baseline: every read goes to the primary.
    PrimaryOnly,
    /// Baseline: the replica with the shortest queue, then the primary if the answer is stale.
    ReplicaNoWait,
}

impl User {
    /// Gets the slots of each instance at the two homes.
    pub(crate) fn slots(self) -> [usize; 2] {
        match self {
            User::Magnolia => [1, 1],
            User::Fraser => [2, 1],
        }
    }

    /// Gets the round trip over a distance.
    pub(crate) fn round_trip(self, distance: Distance) -> Span {
        match (distance, self) {
            (Distance::Zone, _) => Span::from_micros(500),
            (Distance::Region, _) => Span::from_millis(3),
            (Distance::Remote, User::Magnolia) => Span::from_millis(40),
            (Distance::Remote, User::Fraser) => Span::from_millis(20),
        }
    }

    /// Gets the mean time that a statement runs.
    pub(crate) fn service(self) -> Span {
        match self {
            User::Magnolia => Span::from_millis(4),
            User::Fraser => Span::from_millis(6),
        }
    }

    /// Gets the requests that come in a second.
    pub(crate) fn load(self) -> u64 {
        match self {
            User::Magnolia => 240,
            User::Fraser => 280,
        }
    }
}
