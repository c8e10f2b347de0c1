//! Which VM owns which fraction, and from when and until when this VM may use its own.

use oleander_core::hash;
use oleander_core::ids::VmId;
use oleander_core::ids::WorkspaceId;
use oleander_core::time::Span;
use oleander_core::time::Time;
use smallvec::SmallVec;

use crate::rates::owner::LOAN_EXPIRY_WAIT;
use crate::rates::tokens::FRACTIONS;
use crate::rates::tokens::Limit;
use crate::rates::tokens::Tokens;

/// The owners of a workspace that are kept on the stack.
const INLINE_OWNERS: usize = 8;

/// `FractionOwner` is a VM with the number of fractions that it owns of one workspace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FractionOwner {
    /// The owning VM.
    pub vm: VmId,
    /// The number of fractions.
    pub fractions: u32,
}

/// `Ownership` is the table of share owners with the times that bind this VM's own shares.
#[derive(Debug)]
pub struct Ownership {
    vm: VmId,
    shares: Vec<Share>,
    /// The shares over which a workspace's fractions are spread.
    groups: u32,
    until: Time,
    epoch: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Share {
    owner: Option<VmId>,
    usable: Time,
}

/// `Usable` is what this VM may use of a workspace as an owner.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usable {
    /// The number of own fractions past their wait.
    pub fractions: u32,
    /// The tokens that they have gained since, if nothing was used.
    pub level: Tokens,
    /// The time at which the next own fraction ends its wait.
    pub next: Option<Time>,
}

impl Ownership {
    /// Makes a table without owners for this VM; `groups` is the number of shares over which the
    /// fractions of a workspace are spread, which all VMs must agree on.
    pub fn new(vm: VmId, groups: u32) -> Self {
        Self { vm, shares: Vec::new(), groups, until: Time(0), epoch: 0 }
    }

    /// Replaces the owners. Own shares may be used until `until`.
    ///
    /// A share that is newly owned waits for `wait`, until every loan of an
    /// earlier owner has ended; one that was not renewed in time waits for the
    /// longest hold of a loan. Returns `true` if the time of the former table
    /// had run out, so that all own state has to start anew.
    pub fn set(&mut self, now: Time, owners: &[Option<VmId>], until: Time, wait: Span) -> bool {
        let lapsed = self.until <= now;
        let resized = owners.len() != self.shares.len();
        let anew = lapsed || resized;
        let mut changed = anew;
        self.shares.resize(owners.len(), Share::default());
        for (share, owner) in self.shares.iter_mut().zip(owners) {
            let is_own = *owner == Some(self.vm);
            // Without a time of use nothing is taken; the next table with one starts anew.
            if is_own && anew && now < until {
                share.usable = now + LOAN_EXPIRY_WAIT;
            } else if is_own && share.owner != *owner {
                share.usable = now + wait.min(LOAN_EXPIRY_WAIT);
            }
            changed |= share.owner != *owner;
            share.owner = *owner;
        }
        self.epoch += u64::from(changed);
        self.until = if lapsed { until } else { until.max(self.until) };
        anew
    }

    /// Replaces the owners as `set` does, without a wait for own shares.
    pub fn start(&mut self, now: Time, owners: &[Option<VmId>], until: Time) -> bool {
        let anew = self.set(now, owners, until, LOAN_EXPIRY_WAIT);
        for share in &mut self.shares {
            share.usable = share.usable.min(now);
        }
        anew
    }

    /// Ends the use of own shares, which other VMs may take over from now on.
    pub fn end(&mut self, now: Time) {
        self.until = self.until.min(now);
    }

    /// Gets the time until which a share that this VM owns or has owned waits or would have waited.
    pub fn usable_from(&self) -> Time {
        self.shares.iter().map(|share| share.usable).max().unwrap_or_default()
    }

    /// Gets this VM.
    pub fn vm(&self) -> VmId {
        self.vm
    }

    /// Gets the number of changes to the owners so far.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns `true` if this VM may use its own shares now.
    pub fn is_valid(&self, now: Time) -> bool {
        now < self.until
    }

    /// Gets the VMs that own fractions of `workspace`.
    pub fn owners(&self, workspace: WorkspaceId) -> SmallVec<[FractionOwner; INLINE_OWNERS]> {
        let mut owners: SmallVec<[FractionOwner; INLINE_OWNERS]> = SmallVec::new();
        for vm in self.shares_of(workspace).filter_map(|share| share.owner) {
            match owners.iter_mut().find(|owner| owner.vm == vm) {
                Some(owner) => owner.fractions += 1,
                None => owners.push(FractionOwner { vm, fractions: 1 }),
            }
        }
        owners
    }

    /// Gets what this VM may use of a workspace whose limit holds since `since`.
    pub fn usable(&self, now: Time, workspace: WorkspaceId, limit: Limit, since: Time) -> Usable {
        let mut usable = Usable::default();
        for share in self.shares_of(workspace).filter(|share| share.owner == Some(self.vm)) {
            let from = share.usable.max(since);
            if now < from {
                usable.next = Some(usable.next.map_or(from, |next| next.min(from)));
                continue;
            }
            usable.fractions += 1;
            usable.level += limit.refill(1, now.since(from)).min(limit.capacity(1));
        }
        usable
    }

    fn shares_of(&self, workspace: WorkspaceId) -> impl Iterator<Item = Share> {
        let count = self.shares.len() as u64;
        let groups = u64::from(self.groups);
        (0..u64::from(FRACTIONS)).filter_map(move |fraction| {
            let group = fraction.checked_rem(groups)?;
            let at = hash::combine(workspace.0, group).checked_rem(count)?;
            self.shares.get(at as usize).copied()
        })
    }
}
