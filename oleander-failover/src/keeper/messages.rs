//! What a keeper is told, what it wants done, and its pace.

use oleander_core::events::Event;
use oleander_core::ids::InstanceKey;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Term;
use oleander_core::time::Span;
use smallvec::SmallVec;

/// The instances of a database that are kept on the stack.
pub const INLINE_INSTANCES: usize = 4;

/// `KeeperOptions` paces a keeper.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeeperOptions {
    /// The time between two beats at the primary.
    pub interval: Span,
    /// The time between two beats while the primary is in doubt.
    pub alarm: Span,
    /// The time for which the primary must have been silent before it is replaced.
    pub silence: Span,
    /// The time for which the primary must have been silent if its machine says that it does not run.
    pub gone: Span,
    /// The beats in a row that must have failed before the primary is replaced.
    pub misses: u32,
    /// The time for which a planned change of primary waits for VMs that do not answer.
    pub handover: Span,
    /// The time after which an instance is asked again to stop receiving.
    pub repeat: Span,
    /// The time within which all replicas must have stopped receiving.
    pub stopping: Span,
    /// The time within which an instance must lead after an accepted order.
    pub taking: Span,
    /// The time for which a primary must keep the lead after an order that may have come upon an
    /// earlier one of another keeper, before that one counts as overtaken.
    pub confirm: Span,
    /// The time between a promotion given up and the next one.
    pub retry: Span,
    /// The time after which an order to receive again that was not answered cannot take effect.
    pub doubt: Span,
}

impl Default for KeeperOptions {
    fn default() -> Self {
        Self {
            interval: Span::from_millis(200),
            alarm: Span::from_millis(100),
            // Longer than a round trip between regions with a lost packet.
            silence: Span::from_millis(700),
            // Three beats: a program that starts anew at once is not passed over.
            gone: Span::from_millis(300),
            misses: 2,
            // With a promotion that waits for a silent VM, well within the time that instances leave.
            handover: Span::from_millis(2_500),
            repeat: Span::from_millis(400),
            stopping: Span::from_millis(3_000),
            taking: Span::from_millis(4_000),
            // Twice the longest time that the platform takes to carry out an order, about a second.
            confirm: Span::from_millis(2_000),
            retry: Span::from_millis(500),
            // Instances drop a connection after 3 s without a sign of the far side.
            doubt: Span::from_millis(3_500),
        }
    }
}

/// `RecordState` is what the record of a duty says, on which a new keeper builds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RecordState {
    /// No order is in doubt and the replicas receive; the instance leads.
    Settled(InstanceKey),
    /// No order is in doubt, but replicas may have been stopped.
    #[default]
    Unsettled,
    /// An order to promote the instance was about to be sent, and nothing more is known.
    Ordered(InstanceKey),
}

/// `ListedInstance` is an instance as the directory names it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListedInstance {
    /// The instance.
    pub key: InstanceKey,
    /// `true` while it leaves.
    pub leaving: bool,
    /// `true` if it holds itself for the primary.
    pub primary: bool,
}

/// `ProbeResult` is what came of a question to an instance whether it leads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeResult {
    /// It leads, and its log has reached the point.
    Primary(LogPoint),
    /// It is a replica.
    Replica,
    /// It answered, but not on the question.
    Inconclusive,
    /// It did not answer in time.
    NoAnswer,
    /// It does not run: its machine answered that nothing listens.
    NotRunning,
}

/// `OrderOutcome` is what came of a promotion order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The platform accepted it.
    Accepted,
    /// The platform refused it; its token is dead.
    Rejected,
    /// The platform did nothing.
    NotRun,
    /// It is unknown whether or when it is executed.
    Unknown,
}

/// `Input` is what a keeper is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// The instances of the database.
    Instances(SmallVec<[ListedInstance; INLINE_INSTANCES]>),
    /// The answer to `Action::Probe`.
    Probed(InstanceKey, ProbeResult),
    /// The answer to `Action::StopReplication`: what the replica has received; `None` if it did not answer.
    ReplicationStopped(InstanceKey, Option<LogPoint>),
    /// The answer to `Action::ResumeReplication`: `true` if the replica answered, so that no such order is on
    /// its way any more.
    ReplicationResumed(InstanceKey, bool),
    /// The answer to `Action::CheckVms`: `true` if all VMs answered.
    VmsChecked(bool),
    /// The answer to `Action::AcquireToken`; `None` if no token could be had.
    TokenAcquired(Option<u64>),
    /// The answer to `Action::InformVms`: no VM goes by an older record any more.
    VmsInformed(u64),
    /// The answer to `Action::OrderPromotion`.
    PromotionOrdered(OrderOutcome),
}

/// `Action` is what a keeper wants done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Asks an instance whether it leads.
    Probe(InstanceKey),
    /// Asks whether all VMs answer.
    CheckVms,
    /// Gets a new fencing token by writing the duty's record without a primary.
    AcquireToken {
        /// The instance that the next order will name, so that a later keeper can repeat it.
        ordered: Option<InstanceKey>,
    },
    /// Waits until no VM goes by a record from before the one of this token.
    InformVms(u64),
    /// Stops a replica from receiving, up to the term.
    StopReplication(InstanceKey, Term),
    /// Lets a replica receive again.
    ResumeReplication(InstanceKey),
    /// Orders the promotion of an instance.
    OrderPromotion {
        /// The instance.
        instance: InstanceKey,
        /// The fencing token.
        token: u64,
    },
    /// Writes an event to the log.
    LogEvent {
        /// The event.
        event: Event,
        /// The instance that it concerns.
        instance: Option<InstanceKey>,
        /// The term that it concerns.
        term: Term,
        /// Why.
        reason: &'static str,
    },
}
