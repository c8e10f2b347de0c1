//! Inputs, actions and options of a keeper.

use oleander_core::events::Event;
use oleander_core::ids::InstanceKey;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Term;
use oleander_core::time::Span;
use oleander_core::time::Time;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

/// The number of instances of a database up to which lists of them need no allocation.
pub const INLINE_INSTANCES: usize = 4;

/// `KeeperOptions` holds the intervals and limits of a keeper.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeeperOptions {
    /// The time between two probes of a healthy primary.
    pub probe_interval: Span,
    /// The time between two probes while the primary is silent or a promoted instance is awaited,
    /// and the time until an order that the platform did not run is sent again.
    pub suspect_interval: Span,
    /// The time for which the primary must have been silent before it is replaced.
    pub silence_limit: Span,
    /// The time for which the primary must have been silent before it is replaced, if its machine
    /// answers that it does not run.
    pub not_running_limit: Span,
    /// The number of probes that must have failed since the primary last answered before it is
    /// replaced. `not_running_limit` applies once as many in a row found it not running.
    pub misses: u32,
    /// The time for which the replacement of a leaving primary waits for VMs that do not answer.
    pub handover_limit: Span,
    /// The time after which an unanswered order to stop replication or a failed write of the record
    /// is repeated.
    pub repeat_interval: Span,
    /// The time within which all replicas must have stopped replication.
    pub stop_limit: Span,
    /// The time within which an instance must answer as primary after the platform has accepted its
    /// promotion.
    pub takeover_limit: Span,
    /// The time after an accepted order until a primary that answers counts as final, if an order
    /// for another instance may have been executed just before.
    pub confirm_time: Span,
    /// The time between an abandoned promotion and the next attempt.
    pub retry_delay: Span,
    /// The time after which the directory lists each instance that runs and reaches the store: the
    /// time by which entries are back after an outage of the store. A primary whose entry is missing
    /// for longer is replaced although it answers.
    pub listing_limit: Span,
    /// The time after which the directory no longer lists the start of an instance that has ended,
    /// even if entries did not expire during a short outage of the store.
    pub entry_ttl: Span,
    /// The time after which an unanswered order to resume replication can no longer take effect.
    pub resume_limit: Span,
    /// The time after which a promotion order without an answer can no longer take effect. `None`
    /// if the platform rejects an order whose token is lower than one that it has seen, so that a
    /// later order ends an earlier one.
    pub order_expiry: Option<Span>,
}

impl Default for KeeperOptions {
    fn default() -> Self {
        Self {
            probe_interval: Span::from_millis(200),
            suspect_interval: Span::from_millis(100),
            // Longer than a round trip between regions with a lost packet.
            silence_limit: Span::from_millis(700),
            // Three probes, so that a process that restarts at once is not replaced.
            not_running_limit: Span::from_millis(300),
            misses: 2,
            // Together with a promotion that waits for a silent VM, this stays well within the time
            // for which instances are announced as leaving.
            handover_limit: Span::from_millis(2_500),
            repeat_interval: Span::from_millis(400),
            stop_limit: Span::from_millis(3_000),
            takeover_limit: Span::from_millis(4_000),
            // Twice the longest time that the platform takes to carry out an order, about a second.
            confirm_time: Span::from_millis(2_000),
            retry_delay: Span::from_millis(500),
            listing_limit: Span::from_millis(2_000),
            entry_ttl: Span::from_millis(6_600),
            // Instances close a connection after 3 s without a sign of the peer.
            resume_limit: Span::from_millis(3_500),
            order_expiry: None,
        }
    }
}

/// `RecordState` is what the keeper record says when a new keeper takes over.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RecordState {
    /// The instance is primary, no order is unresolved and the replicas receive.
    Settled(InstanceKey),
    /// As `Settled`, but an earlier order for the same instance may still be executed.
    SettledUnanswered(InstanceKey),
    /// No order is unresolved, but replicas may still be stopped.
    #[default]
    Unsettled,
    /// The promotion of the instance may have been ordered; the outcome is unknown.
    Ordered(InstanceKey),
    /// The store was restored from a copy. The record may be outdated, and the promotion of any
    /// instance may have been ordered since.
    Restored,
}

/// `ListedInstance` is an instance as the directory lists it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListedInstance {
    /// The instance.
    pub key: InstanceKey,
    /// Distinguishes the starts of the instance: every start has another value.
    pub life: u64,
    /// `true` while the instance is about to shut down.
    pub leaving: bool,
    /// `true` while the availability zone of the instance is under evacuation.
    pub evacuated: bool,
    /// `true` if the instance reports itself as primary.
    pub primary: bool,
    /// The number of routes that need the primary and allow it to be in the instance's region.
    pub allowing_routes: u32,
}

impl ListedInstance {
    /// Returns `true` if the instance is to serve as primary for longer: it does not leave, and its
    /// zone is not evacuated.
    pub fn stays(&self) -> bool {
        !self.leaving && !self.evacuated
    }
}

/// `MemberState` is one start of an instance that may have acknowledged commits, as the keeper record
/// holds it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberState {
    /// The instance.
    pub key: InstanceKey,
    /// The start of the instance.
    pub life: u64,
    /// `true` if the instance was listed as primary last.
    pub primary: bool,
    /// `true` if the instance was listed as leaving last.
    pub leaving: bool,
    /// Whether this start of the instance runs.
    pub liveness: Liveness,
    /// A point of the primary's log that was read after the end: all that the member acknowledged
    /// lies at or before it. `None` while no such point is known.
    pub cover: Option<LogPoint>,
}

/// `Liveness` tells whether one start of an instance runs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Liveness {
    /// It runs, or may do so.
    #[default]
    Running,
    /// It did not run when it was last asked. It may run again without an entry of the directory.
    Stopped,
    /// It does not run again: the instance has left or started anew, or another has its address.
    Gone,
}

impl From<&ListedInstance> for MemberState {
    fn from(listed: &ListedInstance) -> Self {
        let ListedInstance { key, life, primary, leaving, .. } = *listed;
        Self { key, life, primary, leaving, liveness: Liveness::Running, cover: None }
    }
}

/// `MemberAnswer` is the outcome of asking a member what it has received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberAnswer {
    /// The member runs and has received the log up to this point.
    Received(LogPoint),
    /// Nothing listens at the member's address.
    NotRunning,
    /// Another instance has the member's address.
    Replaced,
    /// The member did not answer in time, or its answer tells nothing.
    NoAnswer,
}

/// `ProbeResult` is the outcome of asking an instance whether it is primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeResult {
    /// The instance is primary, and its log has reached this point.
    Primary(LogPoint),
    /// The instance is a replica.
    Replica,
    /// The instance answered, but its answer does not tell its role.
    Inconclusive,
    /// The instance did not answer in time.
    NoAnswer,
    /// The instance does not run: its machine answered that nothing listens at its address.
    NotRunning,
}

/// `OrderOutcome` is the outcome of a promotion order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The platform accepted the order.
    Accepted,
    /// The platform refused the order; its token cannot be used again.
    Rejected,
    /// The platform did not run the order, which may be sent again with the same token.
    NotRun,
    /// The order may be executed now, later or never.
    Unknown,
}

/// `Input` is an event that a keeper handles.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// The directory's present list of the database's instances.
    Instances(SmallVec<[ListedInstance; INLINE_INSTANCES]>),
    /// The last point of the log of an instance that has answered a probe as primary, and the time
    /// before the probe was sent. Comes before the `Probed` of the same probe.
    Reached(InstanceKey, LogPoint, Time),
    /// The answer to `Action::Probe`.
    Probed(InstanceKey, ProbeResult),
    /// The answer to `Action::CheckMember`.
    MemberChecked(InstanceKey, MemberAnswer),
    /// The answer to `Action::StopReplication`: the last point that the replica has received;
    /// `None` if it did not answer.
    ReplicationStopped(InstanceKey, Option<LogPoint>),
    /// The answer to `Action::ResumeReplication`: `true` if the order can no longer take effect
    /// later, because the replica answered or the order was not sent.
    ReplicationResumed(InstanceKey, bool),
    /// The answer to `Action::StepDown`: `true` if the instance has executed the order.
    SteppedDown(InstanceKey, bool),
    /// The answer to `Action::CheckVms`: `true` if all VMs answered.
    VmsChecked(bool),
    /// The answer to `Action::AcquireToken`: the fencing token; `None` if the record could not be
    /// written.
    TokenAcquired(Option<u64>),
    /// The answer to `Action::InformVms`: no VM uses an older record any more.
    VmsInformed {
        /// The token of the action.
        token: u64,
        /// A point at or after each commit that a VM has confirmed; `None` if a VM that may have
        /// confirmed one did not tell.
        confirmed: Option<LogPoint>,
        /// The greatest position that the last probe of the primary and the VMs that answered have
        /// told; `None` if none of them has.
        mark: Option<LogPoint>,
    },
    /// The answer to `Action::OrderPromotion`.
    PromotionOrdered(OrderOutcome),
}

/// `Action` is an operation that the keeper's owner has to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Asks an instance whether it is primary.
    Probe(InstanceKey),
    /// Asks a member what it has received, at its last address if the directory does not list it.
    CheckMember(InstanceKey),
    /// Checks whether all VMs answer.
    CheckVms,
    /// Writes the keeper record without a primary; the revision of the write is the fencing token.
    AcquireToken {
        /// The instance to be promoted, written into the record so that a later keeper can repeat
        /// the order; `None` if no order can take effect any more.
        ordered: Option<InstanceKey>,
    },
    /// Waits until no VM uses a record older than the one written for this token.
    InformVms(u64),
    /// Stops a replica from receiving the log, up to this term.
    StopReplication(InstanceKey, Term),
    /// Lets a replica receive the log again.
    ResumeReplication(InstanceKey),
    /// Makes an instance a replica if it still acts as the primary of a term before this one.
    StepDown(InstanceKey, Term),
    /// Orders the platform to promote an instance.
    OrderPromotion {
        /// The instance to promote.
        instance: InstanceKey,
        /// The fencing token of this order alone.
        token: u64,
    },
    /// Writes an event to the log.
    LogEvent {
        /// The event.
        event: Event,
        /// The instance that the event concerns; `None` if there is none.
        instance: Option<InstanceKey>,
        /// The term that the event concerns.
        term: Term,
        /// The cause, as written to the log.
        reason: &'static str,
    },
}
