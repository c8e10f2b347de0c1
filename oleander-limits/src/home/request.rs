//! What waits for a home's slots and what starts.

use oleander_core::ids::WorkspaceId;
use oleander_core::time::Span;
use oleander_core::time::Time;
use strum::EnumCount;

/// `Ticket` names one request in a queue; the caller chooses it and never uses it twice.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// `Class` tells apart what can run where; each class has its own fair queue.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, EnumCount)]
pub enum Class {
    /// A statement, commit or rollback of an open transaction; it keeps the transaction's connection.
    Transaction,
    /// A write, a read of the latest data or the start of a transaction; only the primary serves it.
    Write,
    /// A read that one of several instances may serve.
    Read,
}

/// `QueuedRequest` is a request in the queue.
#[derive(Clone, Copy, Debug)]
pub struct QueuedRequest {
    /// The name of the request.
    pub ticket: Ticket,
    /// The workspace to which the service is charged.
    pub workspace: WorkspaceId,
    /// The workspace's weight in fair queueing, 1 or more.
    pub weight: u32,
    /// The cost in queue units, 1 or more.
    pub cost: u32,
    /// The time by which the answer is wanted.
    pub deadline: Time,
    /// What the request needs.
    pub class: Class,
}

/// `Start` tells the caller to run a request now.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// The request.
    pub request: QueuedRequest,
    /// The ordinal of the instance; its slot is taken until `HomeQueue::finish`.
    pub ordinal: u8,
    /// The time spent in the queue.
    pub queued: Span,
}
