//! Messages between agents about instances, and the inputs and actions of a supervisor.

use oleander_core::events::Event;
use oleander_core::ids::InstanceId;
use oleander_core::terms::InstanceStatus;
use oleander_core::terms::Term;
use serde::Deserialize;
use serde::Serialize;

/// `FailoverRequest` is a request from one agent to another about an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum FailoverRequest {
    /// Asks for a second opinion: the receiver pings the instance once.
    Opinion {
        /// The instance that does not answer the sender.
        instance: InstanceId,
    },
    /// Announces that a promotion has finished.
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
    /// The receiver does not know the instance.
    Unknown,
    /// The announcement was received.
    Noted,
}

/// `Rank` is the order in which the homes of a database act on a lost primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rank {
    /// The first home; it acts at once.
    First,
    /// The second home; it gives the first one `Options::stagger` to act.
    Second,
}

/// `Step` is a request to an instance during a promotion or a rejoin.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Fences the instance.
    Fence,
    /// Makes the instance primary.
    Promote,
    /// Makes the instance follow the primary.
    Follow,
}

/// `StepResult` is the outcome of a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StepResult {
    /// The instance carried out the step; the status is from after it.
    Done(InstanceStatus),
    /// The instance refused the term.
    Refused,
    /// There was no answer; the step may have been carried out.
    Failed,
}

/// `Input` is an event that a supervisor handles. Ordinals are those of the database's instances.
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
    /// A peer announced that the instance is primary at a term.
    PrimaryAnnounced(u8, Term),
    /// A step at a term was answered or timed out.
    StepFinished {
        /// The instance.
        ordinal: u8,
        /// The step.
        step: Step,
        /// The term of the step.
        term: Term,
        /// The outcome of the step.
        result: StepResult,
    },
}

/// `Action` is an operation that the supervisor's owner has to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Pings an instance; the outcome is `Input::Answered` or `Input::Missed`.
    Ping(u8),
    /// Asks peers in other zones for their opinion on an instance; each answer is an
    /// `Input::Opinion`.
    AskOpinion(u8),
    /// Runs a step on an instance; the outcome is an `Input::StepFinished`.
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
    /// The event.
    pub event: Event,
    /// The ordinal of the instance; `None` if the event does not concern a single one.
    pub ordinal: Option<u8>,
    /// The term that the event concerns.
    pub term: Term,
    /// The cause; empty if the event has none.
    pub reason: &'static str,
}
