//! Messages between agents about instances, and those of a supervisor.

use oleander_core::events::Event;
use oleander_core::ids::InstanceId;
use oleander_core::terms::InstanceStatus;
use oleander_core::terms::Term;
use serde::Deserialize;
use serde::Serialize;

/// `FailoverRequest` is what one agent asks another about an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum FailoverRequest {
    /// Asks for a second opinion: the receiver pings the instance once.
    Opinion {
        /// The instance that does not answer the asker.
        instance: InstanceId,
    },
    /// Tells that a promotion has finished.
    Promoted {
        /// The new primary.
        instance: InstanceId,
        /// The new term.
        term: Term,
    },
}

/// `FailoverReply` is the answer to a `FailoverRequest`.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum FailoverReply {
    /// The instance answered the receiver with this status.
    Reachable(InstanceStatus),
    /// The instance did not answer the receiver.
    Unreachable,
    /// The receiver cannot tell, for it does not know the instance.
    Unknown,
    /// The news was taken in.
    Noted,
}

/// `Rank` is the order in which the homes of a database act.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rank {
    /// Acts at once.
    First,
    /// Waits for the first home.
    Second,
}

/// `Step` is one request of a promotion or a rejoin to an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Fences the instance.
    Fence,
    /// Makes the instance primary.
    Promote,
    /// Makes the instance follow the primary.
    Follow,
}

/// `StepResult` is what came of a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StepResult {
    /// It was done; the status is from after it.
    Done(InstanceStatus),
    /// The instance refused the term.
    Refused,
    /// There was no answer; it may have been done.
    Failed,
}

/// `Input` is what a supervisor is told. Ordinals are those of the database's instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// The rank of this home has changed.
    RankChanged(Rank),
    /// An instance answered a ping.
    Answered(u8, InstanceStatus),
    /// An instance did not answer a ping in time.
    Missed(u8),
    /// A peer in another zone gave its opinion on an instance.
    Opinion(u8, FailoverReply),
    /// A peer said that the instance is primary at a term.
    PrimaryAnnounced(u8, Term),
    /// A step at a term has ended.
    StepFinished {
        /// The instance.
        ordinal: u8,
        /// The step.
        step: Step,
        /// The term of the step.
        term: Term,
        /// What came of it.
        result: StepResult,
    },
}

/// `Action` is what a supervisor wants done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Pings an instance, to be answered by `Answered` or `Missed`.
    Ping(u8),
    /// Asks peers in other zones for their opinion on an instance, to be answered by `Opinion`.
    AskOpinion(u8),
    /// Runs a step on an instance, to be answered by `StepFinished`.
    Run {
        /// The instance.
        ordinal: u8,
        /// The step.
        step: Step,
        /// The term of the step.
        term: Term,
    },
    /// Writes an event to the log.
    Record(Record),
}

/// `Record` is an event for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Record {
    /// The number of the event.
    pub event: Event,
    /// The instance, where the event concerns one.
    pub ordinal: Option<u8>,
    /// The term, where the event concerns one.
    pub term: Term,
    /// Why, for events that have a reason.
    pub reason: &'static str,
}
