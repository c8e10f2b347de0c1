//! The limit on statements to an instance that warms up after its start.
//!
//! All VMs together send such an instance no more statements than a rate and a small burst. The
//! instance is a party of its own at the rate limiter, whose bound holds over all VMs.
//!
//! A VM learns of a restart from the directory. A VM without contact to the store learns of none,
//! so that a home also judges by its connections: they show for how long the same process of the
//! instance has been running, see `ProcessProof`.

use oleander_core::hash;
use oleander_core::ids::InstanceKey;
use oleander_core::ids::WorkspaceId;
use oleander_core::time::Span;
use oleander_core::time::Time;

use crate::rates::tokens::Limit;

/// Keeps the parties of instances apart from workspaces, whose identifiers are hashes of names.
const PARTY_SALT: u64 = 0x7761_726d_7570;

/// The divisor of the rate that gives the burst: a quarter of a second's requests.
const BURST_DIVISOR: u32 = 4;

/// Returns the party of an instance at the rate limiter. It is the same for all its incarnations.
pub fn party(instance: InstanceKey) -> WorkspaceId {
    WorkspaceId(hash::combine(hash::mix(PARTY_SALT), instance.0))
}

/// Returns the limit of an instance that accepts `rate` requests a second while it warms up.
pub fn limit(rate: u32) -> Limit {
    Limit { rate, burst: (rate / BURST_DIVISOR).max(1) }
}

/// `Registration` is what the directory says about the start of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Registration {
    /// Tells the incarnations of the instance apart.
    pub life: u64,
    /// The time for which the instance still warms up, from when the registration was written.
    pub warmup: Span,
}

/// Returns the time until which an instance is cold; `None` if it is warm.
///
/// `former` is the registration that this VM knew before, with the result for it. The time counts
/// from when this VM first saw the value, which is no earlier than when it was written.
pub fn cold_until(
    now: Time,
    former: Option<(Registration, Option<Time>)>,
    registration: Registration,
) -> Option<Time> {
    match former {
        Some((known, until)) if known == registration => until,
        _ => (registration.warmup != Span::ZERO).then(|| now + registration.warmup),
    }
}

/// Returns `true` if a statement to an instance needs a token of the instance's party.
///
/// `synced_at` is the time at which the VM's view of the directory was last known to be complete,
/// `view_needed` the result of `ProcessProof::view_needed`.
pub fn needs_token(
    now: Time,
    cold_until: Option<Time>,
    synced_at: Time,
    view_needed: Time,
) -> bool {
    cold_until.is_some_and(|until| now < until) || synced_at < view_needed
}

/// `ProcessProof` records how recent a view has to be to show the process of an instance that a
/// home's connections lead to.
///
/// While a connection stays open, the process behind it is the same. Once none is left, the next
/// one may lead to a process that has just started. Instances register before they accept
/// connections, so that a view that was complete after the connection had been opened shows them.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessProof {
    view_needed: Time,
    /// `true` while an open connection leads to the process that `view_needed` is about.
    is_shown: bool,
}

impl ProcessProof {
    /// Records that a connection is about to be opened and no other one is open.
    pub fn record_alone(&mut self) {
        self.is_shown = false;
    }

    /// Records that a connection has been opened.
    pub fn record_opened(&mut self, now: Time) {
        if !std::mem::replace(&mut self.is_shown, true) {
            self.view_needed = self.view_needed.max(now);
        }
    }

    /// Records that the instance closed a connection, or did not accept one, and that no idle
    /// connection is left that it has not closed.
    pub fn record_lost(&mut self, now: Time) {
        self.view_needed = self.view_needed.max(now);
        self.is_shown = false;
    }

    /// Returns the time from which a view of the directory shows the process that the connections
    /// lead to.
    pub fn view_needed(&self) -> Time {
        self.view_needed
    }
}
