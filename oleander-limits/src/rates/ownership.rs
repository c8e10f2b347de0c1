//! Tracks which VM owns which fraction, and the period in which this VM may use its own.

use std::collections::HashMap;

use oleander_core::hash;
use oleander_core::ids::VmId;
use oleander_core::ids::WorkspaceId;
use oleander_core::places::Distance;
use oleander_core::time::Span;
use oleander_core::time::Time;
use smallvec::SmallVec;

use crate::rates::owner::LOAN_EXPIRY_WAIT;
use crate::rates::tokens::FRACTIONS;
use crate::rates::tokens::Limit;
use crate::rates::tokens::Tokens;

/// The number of owners of a workspace stored inline without heap allocation.
const INLINE_OWNERS: usize = 8;

/// The longest wait for a newly owned share: above the time after which no earlier owner can use
/// it.
const MAX_SHARE_WAIT: Span = Span::from_secs(10);

/// `FractionOwner` is a VM and the number of fractions of one workspace that it owns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FractionOwner {
    /// The owning VM.
    pub vm: VmId,
    /// The number of fractions owned.
    pub fractions: u32,
}

/// `Ownership` is the table of share owners and the period in which this VM may use its own shares.
#[derive(Debug)]
pub struct Ownership {
    vm: VmId,
    shares: Vec<ShareState>,
    layout: ShareLayout,
    /// The time until which this VM may use its own shares.
    until: Time,
    /// Incremented by each change of the owners.
    version: u64,
    /// The distances to other VMs; those that are not listed count as remote.
    distances: HashMap<VmId, Distance>,
}

/// `ShareLayout` says over which shares the fractions of a workspace are spread. It must be the same
/// on all VMs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShareLayout {
    /// Over this number of shares, chosen by a hash of the workspace.
    Hashed(u32),
    /// Over one share of each of this number of regions: share `n` belongs to region `n % regions`.
    Regional(u32),
}

impl ShareLayout {
    /// Returns the share of a fraction of a workspace, of `count` shares; `None` if the layout has
    /// no place for it.
    fn share(self, workspace: WorkspaceId, fraction: u32, count: usize) -> Option<usize> {
        let count = count as u64;
        let index = match self {
            ShareLayout::Hashed(groups) => {
                let group = fraction.checked_rem(groups)?;
                hash::combine(workspace.0, u64::from(group)).checked_rem(count)?
            }
            ShareLayout::Regional(regions) => {
                let region = u64::from(fraction.checked_rem(regions)?);
                let regions = u64::from(regions);
                let row = hash::combine(workspace.0, region).checked_rem(count / regions)?;
                row * regions + region
            }
        };
        Some(index as usize)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct ShareState {
    owner: Option<VmId>,
    /// The time from which this VM may use the share while it owns it.
    usable_from: Time,
}

/// `Usable` describes the fractions of a workspace that this VM may use as an owner.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usable {
    /// The number of own fractions that have become usable.
    pub fractions: u32,
    /// The tokens that these fractions have gained since they became usable, if none were spent.
    pub level: Tokens,
    /// The time at which the next own fraction becomes usable, or `None` if none is waiting.
    pub next: Option<Time>,
}

impl Ownership {
    /// Creates a table without owners.
    pub fn new(vm: VmId, layout: ShareLayout) -> Self {
        Self {
            vm,
            shares: Vec::new(),
            layout,
            until: Time(0),
            version: 0,
            distances: HashMap::new(),
        }
    }

    /// Replaces the owners. This VM may use its own shares until `until`.
    ///
    /// A newly owned share becomes usable after `wait`, when every loan of its previous owner has
    /// expired. If the previous table was no longer valid or has a different size, all own shares
    /// wait for `LOAN_EXPIRY_WAIT`. Returns `true` in that case; the caller then has to reset the
    /// owner state of all accounts.
    pub fn set(&mut self, now: Time, owners: &[Option<VmId>], until: Time, wait: Span) -> bool {
        let lapsed = self.until <= now;
        let resized = owners.len() != self.shares.len();
        let reset = lapsed || resized;
        let mut changed = reset;
        self.shares.resize(owners.len(), ShareState::default());
        for (share, owner) in self.shares.iter_mut().zip(owners) {
            let is_own = *owner == Some(self.vm);
            // If `until` has passed, own shares stay unusable, and the next table with a later
            // `until` resets them.
            if is_own && reset && now < until {
                share.usable_from = now + LOAN_EXPIRY_WAIT;
            } else if is_own && share.owner != *owner {
                share.usable_from = now + wait.min(MAX_SHARE_WAIT);
            }
            changed |= share.owner != *owner;
            share.owner = *owner;
        }
        self.version += u64::from(changed);
        self.until = if lapsed { until } else { until.max(self.until) };
        reset
    }

    /// Replaces the owners like `set`, but makes own shares usable at once, with the tokens gained
    /// since `from`.
    pub fn start(&mut self, now: Time, owners: &[Option<VmId>], until: Time, from: Time) -> bool {
        let reset = self.set(now, owners, until, LOAN_EXPIRY_WAIT);
        for share in &mut self.shares {
            share.usable_from = share.usable_from.min(from.min(now));
        }
        reset
    }

    /// Stops the use of own shares; other VMs may take them over from now on.
    pub fn end(&mut self, now: Time) {
        self.until = self.until.min(now);
    }

    /// Returns the latest time at which a share that this VM owns or has owned becomes or would
    /// have become usable.
    pub fn latest_usable(&self) -> Time {
        self.shares.iter().map(|share| share.usable_from).max().unwrap_or_default()
    }

    /// Replaces the distances to other VMs.
    pub fn set_distances(&mut self, distances: impl IntoIterator<Item = (VmId, Distance)>) {
        self.distances = distances.into_iter().collect();
    }

    /// Returns the distance to another VM.
    pub fn distance(&self, vm: VmId) -> Distance {
        self.distances.get(&vm).copied().unwrap_or(Distance::Remote)
    }

    /// Returns the id of this VM.
    pub fn vm(&self) -> VmId {
        self.vm
    }

    /// Returns a counter that increases with each change of the owners.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns `true` if this VM may use its own shares at `now`.
    pub fn is_valid(&self, now: Time) -> bool {
        now < self.until
    }

    /// Returns `true` if this VM may use its own shares at `now` and at least one has become usable.
    pub fn has_usable(&self, now: Time) -> bool {
        let is_usable =
            |share: &ShareState| share.owner == Some(self.vm) && share.usable_from <= now;
        self.is_valid(now) && self.shares.iter().any(is_usable)
    }

    /// Returns the VMs that own fractions of `workspace`.
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

    /// Returns the fractions of a workspace that this VM may use as an owner. None is usable before
    /// `since`, the time from which the workspace's limit applies.
    pub fn usable(&self, now: Time, workspace: WorkspaceId, limit: Limit, since: Time) -> Usable {
        let mut usable = Usable::default();
        for share in self.shares_of(workspace).filter(|share| share.owner == Some(self.vm)) {
            let from = share.usable_from.max(since);
            if now < from {
                usable.next = Some(usable.next.map_or(from, |next| next.min(from)));
                continue;
            }
            usable.fractions += 1;
            usable.level += limit.refill(1, now.since(from)).min(limit.capacity(1));
        }
        usable
    }

    /// Returns the share of each fraction of a workspace.
    fn shares_of(&self, workspace: WorkspaceId) -> impl Iterator<Item = ShareState> {
        (0..FRACTIONS).filter_map(move |fraction| {
            let index = self.layout.share(workspace, fraction, self.shares.len())?;
            self.shares.get(index).copied()
        })
    }
}
