//! Queued and started requests of a home.

use oleander_core::ids::WorkspaceId;
use oleander_core::time::Span;
use oleander_core::time::Time;
use strum::EnumCount;

use crate::home::urgency::Urgency;

/// `Ticket` identifies a request in a queue. The caller chooses it and never reuses it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// `Class` is the kind of a request, which determines where it can run. Each class has its own fair
/// queue.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, EnumCount)]
pub enum Class {
    /// A statement, commit or rollback of an open transaction, which uses the transaction's
    /// connection.
    Transaction,
    /// A write, a read of the latest data or the start of a transaction, which only the primary
    /// serves.
    Write,
    /// A read that any of several instances may serve.
    Read,
}

/// `QueuedRequest` is a request that waits to start.
#[derive(Clone, Copy, Debug)]
pub struct QueuedRequest {
    /// The ticket of the request.
    pub ticket: Ticket,
    /// The workspace charged with the cost.
    pub workspace: WorkspaceId,
    /// The workspace's weight in fair queueing, 1 or more.
    pub weight: u32,
    /// The cost in queue units, 1 or more.
    pub cost: u32,
    /// The time by which the request has to be answered.
    pub deadline: Time,
    /// The kind of request.
    pub class: Class,
}

/// `StartedRequest` is a request that the caller has to run now.
#[derive(Clone, Copy, Debug)]
pub struct StartedRequest {
    /// The request as it was queued.
    pub request: QueuedRequest,
    /// The urgency it was queued with.
    pub urgency: Urgency,
    /// The ordinal of the instance to run on; its slot is taken until `HomeQueue::finish`.
    pub ordinal: u8,
    /// The time spent in the queue.
    pub queued: Span,
}
