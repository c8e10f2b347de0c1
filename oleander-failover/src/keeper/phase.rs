//! The phases of a promotion and their state.

use oleander_core::ids::InstanceKey;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Term;
use oleander_core::time::Time;
use smallvec::SmallVec;

use super::messages::INLINE_INSTANCES;

/// `Phase` is the current step of a keeper. `planned` is `true` if the primary is replaced because
/// it leaves, not because it is silent.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Phase {
    /// Probes the primary; no promotion runs.
    Watching,
    /// Probes all instances to find the one that leads the latest term, as the record may be
    /// outdated.
    Scanning(Scan),
    /// Waits for the check whether all VMs answer, before a planned promotion.
    CheckingVms,
    /// Waits for the write of the record without a primary.
    AcquiringToken { planned: bool },
    /// Waits until no VM uses an older record.
    InformingVms { planned: bool, token: u64 },
    /// Waits for all replicas to stop receiving.
    StoppingReplicas(StoppingReplicas),
    /// Waits for the write of the record that names the instance to promote. A failed write is
    /// repeated at `retry_at`; without an unresolved order the promotion is abandoned at `until`.
    RecordingChoice { instance: InstanceKey, retry_at: Option<Time>, until: Time },
    /// Waits for the write of the record that no longer names the instance of an abandoned
    /// promotion. A failed write is repeated at `retry_at`.
    ClearingRecord { retry_at: Option<Time> },
    /// Waits for the platform's answer to an order. An order that the platform did not run is sent
    /// again at `resend_at`.
    OrderingPromotion { instance: InstanceKey, token: u64, resend_at: Option<Time> },
    /// Waits for the promoted instance to answer as primary.
    Takeover(Takeover),
}

/// `Scan` holds the instances that have answered since `since`, each with the term that it leads.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Scan {
    /// The time before which answers do not count: an order may still have been executed after
    /// them.
    pub(super) since: Time,
    pub(super) answers: SmallVec<[(InstanceKey, Option<Term>); INLINE_INSTANCES]>,
}

/// `StoppingReplicas` is the state while the keeper stops replication at all replicas.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct StoppingReplicas {
    pub(super) planned: bool,
    /// The term up to which replicas are told to stop receiving.
    pub(super) term: Term,
    /// The time at which the phase began; `KeeperOptions::stop_limit` counts from it.
    pub(super) since: Time,
    /// The time at which the replicas were last told to stop.
    pub(super) sent_at: Time,
    /// The replicas that have stopped, with the last point that each has received.
    pub(super) stopped: SmallVec<[Stopped; INLINE_INSTANCES]>,
    /// A point at or after each commit that a VM has confirmed; `None` while none is known.
    pub(super) bound: Option<LogPoint>,
    /// The greatest position of the primary that was told before the replicas were stopped.
    pub(super) mark: Option<LogPoint>,
}

/// `Stopped` is the answer of a replica that has stopped.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Stopped {
    pub(super) key: InstanceKey,
    /// The last point that it has received.
    pub(super) point: LogPoint,
    /// The time of the answer.
    pub(super) at: Time,
}

impl StoppingReplicas {
    /// Returns the last point that a replica has received; `None` unless it has stopped.
    pub(super) fn point_of(&self, key: InstanceKey) -> Option<LogPoint> {
        self.answer_of(key).map(|stopped| stopped.point)
    }

    /// Returns the answer of a replica; `None` unless it has stopped.
    pub(super) fn answer_of(&self, key: InstanceKey) -> Option<Stopped> {
        self.stopped.iter().copied().find(|stopped| stopped.key == key)
    }
}

/// `Takeover` is the state after the platform has accepted the promotion of an instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Takeover {
    pub(super) instance: InstanceKey,
    /// The time at which the platform's answer arrived.
    pub(super) since: Time,
    /// The time after which the promotion is abandoned.
    pub(super) until: Time,
    /// `true` if an earlier order for another instance may have been executed just before.
    pub(super) needs_confirmation: bool,
    /// `true` once the instance has answered as replica after the order was accepted.
    pub(super) seen_replica: bool,
    /// `true` once the instance has answered as primary after the order was accepted.
    pub(super) seen_primary: bool,
}

/// `UnresolvedOrder` is an order that may still take effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct UnresolvedOrder {
    pub(super) instance: InstanceKey,
    /// The start of the instance that was chosen; `None` if it is not known.
    pub(super) life: Option<u64>,
    /// `true` if orders for other instances may still take effect, too.
    pub(super) has_others: bool,
    /// `true` if a later order for the instance was refused or had no effect.
    pub(super) retry_failed: bool,
}

impl UnresolvedOrder {
    /// Creates the state for an order that the record names. An earlier keeper may have sent it
    /// after orders for other instances.
    pub(super) fn from_record(instance: InstanceKey) -> Self {
        Self { instance, life: None, has_others: true, retry_failed: false }
    }

    /// Returns the instance that the order promotes.
    pub(super) fn instance(self) -> InstanceKey {
        self.instance
    }
}

/// `UnansweredOrder` is an order without an answer that the platform may still execute, whatever
/// orders it has executed since.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct UnansweredOrder {
    /// The instance; `None` if it is unknown.
    pub(super) instance: Option<InstanceKey>,
    /// The time after which it can no longer take effect.
    pub(super) until: Time,
}
