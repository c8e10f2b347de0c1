//! The steps of a promotion and what is known at each.

use oleander_core::ids::InstanceKey;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Term;
use oleander_core::time::Time;
use smallvec::SmallVec;

use super::messages::INLINE_INSTANCES;

/// `Phase` is the step that a keeper is at.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Phase {
    /// Asks the primary whether it leads.
    Watching,
    /// Waits until it is known whether all VMs answer.
    Reaching,
    /// Waits for the record that names no primary.
    Claiming { planned: bool },
    /// Waits until no VM goes by an older record.
    Informing { planned: bool, token: u64 },
    /// Waits for all replicas to stop receiving.
    Stopping(Stopping),
    /// Waits for the record that names the instance to promote; `again` is the next attempt.
    Proposing { instance: InstanceKey, again: Option<Time>, until: Time },
    /// Waits for a record that no longer names an instance whose promotion was given up.
    Clearing { again: Option<Time> },
    /// Waits for the platform's answer; `resend` is the next attempt.
    Ordering { instance: InstanceKey, token: u64, resend: Option<Time> },
    /// Waits for the instance to lead.
    Taking(Taking),
}

#[derive(Clone, Debug, PartialEq)]
pub(super) struct Stopping {
    pub(super) planned: bool,
    pub(super) term: Term,
    pub(super) since: Time,
    pub(super) asked: Time,
    pub(super) stopped: SmallVec<[(InstanceKey, LogPoint); INLINE_INSTANCES]>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Taking {
    pub(super) instance: InstanceKey,
    pub(super) since: Time,
    pub(super) until: Time,
    /// `true` if an earlier order for another instance may have been executed just before.
    pub(super) confirm: bool,
    /// `true` once the instance was seen to follow after the order was accepted.
    pub(super) followed: bool,
    /// `true` once it was seen to lead.
    pub(super) led: bool,
}

/// `Doubt` is an order that may still take effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Doubt {
    pub(super) instance: InstanceKey,
    /// `true` if orders for other instances may take effect, too.
    pub(super) mixed: bool,
    /// `true` if a later order for the instance was refused or had no effect.
    pub(super) refused: bool,
}

impl Doubt {
    /// Makes the doubt about an order of an earlier keeper, and those before it.
    pub(super) fn inherited(instance: InstanceKey) -> Self {
        Self { instance, mixed: true, refused: false }
    }

    /// Gets the instance that the order names.
    pub(super) fn instance(self) -> InstanceKey {
        self.instance
    }
}
