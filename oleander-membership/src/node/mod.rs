//! All decisions of one agent about the fleet: roster, liveness, currency, shares, configuration.
//!
//! The shell carries out the actions and feeds the results back. Random numbers are passed in.

mod configuration;
mod gossip;
mod ownership;
mod platform;

use std::collections::BTreeMap;

use oleander_core::hash;
use oleander_core::ids::Revision;
use oleander_core::ids::VmId;
use oleander_core::time::Span;
use oleander_core::time::Time;

use crate::acks::Acks;
use crate::active_config::ActiveConfig;
use crate::active_config::Candidate;
use crate::claims::Claims;
use crate::currency::Currency;
use crate::currency::Held;
use crate::head::Head;
use crate::liveness::Liveness;
use crate::member::Member;
use crate::member::MemberState;
use crate::messages::MemberNews;
use crate::messages::MemberRequest;
use crate::roster::Roster;
use crate::shares::DEFAULT_SHARES;
use crate::shares::ShareMap;
use crate::shares::ShareOwner;

pub use self::configuration::CheckResult;
pub use self::ownership::SharePlan;
pub use self::platform::ListedVm;
pub use self::platform::StoreState;

/// The key for which the watchers of the store are chosen.
const WATCHER_KEY: u64 = 0x7761_7463_6865_7273;

/// The number of VMs for which there is one more watcher.
const VMS_PER_WATCHER: usize = 64;

/// `NodeOptions` are the times and sizes by which an agent decides.
#[derive(Clone, Copy, Debug)]
pub struct NodeOptions {
    /// The number of shares, fixed for the life of the fleet.
    pub shares: u16,
    /// The time for which a read of the store counts, for the configuration and for shares.
    pub window: Span,
    /// The time added when waiting out another VM's window, for clocks that run apart.
    pub skew: Span,
    /// The time for which the VM list must not name a VM before its shares are taken.
    pub grace: Span,
    /// The same for a VM that the list has not named so far.
    pub unlisted: Span,
    /// The time between heartbeats.
    pub heartbeat_interval: Span,
    /// The peers that get a heartbeat in a round.
    pub fanout: usize,
    /// The peers that are told at once of a new revision.
    pub push_fanout: usize,
    /// The time between a watcher's reads of the store.
    pub read_interval: Span,
    /// The age of the latest known read after which any VM reads the store itself.
    pub probe: Span,
    /// The time without a sign of life after which a VM is suspected.
    pub suspect: Span,
    /// The time after the start during which a VM claims no more than its part of the VM list.
    pub settle: Span,
    /// The least number of VMs that watch the store.
    pub watchers: usize,
}

impl Default for NodeOptions {
    fn default() -> Self {
        Self {
            shares: DEFAULT_SHARES,
            window: Span::from_millis(4_500),
            skew: Span::from_millis(500),
            grace: Span::from_secs(10),
            unlisted: Span::from_secs(120),
            heartbeat_interval: Span::from_millis(500),
            fanout: 1,
            push_fanout: 3,
            read_interval: Span::from_secs(1),
            probe: Span::from_millis(2_500),
            suspect: Span::from_secs(7),
            settle: Span::from_secs(5),
            watchers: 3,
        }
    }
}

/// `Action` is what the shell is to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a request to a peer and feed its reply back.
    Send {
        /// The receiver.
        to: VmId,
        /// The request.
        request: MemberRequest,
    },
    /// Read head and shares from the store, feed them back, and commit the plan if there is one.
    ReadStore,
    /// Read the VM list and feed it back.
    ReadList,
    /// Read the registrations from the store and feed them back.
    ReadRoster,
    /// Read the bodies of this head that are missing, and feed them back.
    ReadBodies(Head),
    /// Check a configuration and feed the result back.
    Check(Candidate),
    /// Register again, for this life of the VM has been removed; then start anew.
    Rejoin,
    /// Stop in an orderly way, for the platform says that this VM leaves.
    Leave,
}

/// `Node` is the state of one agent.
#[derive(Clone, Debug)]
pub struct Node {
    options: NodeOptions,
    own: Member,
    started: Time,
    roster: Roster,
    liveness: Liveness,
    currency: Currency,
    claims: Claims,
    acks: Acks,
    config: ActiveConfig,
    listed: BTreeMap<VmId, platform::Listed>,
    departed: BTreeMap<VmId, Time>,
    absent: BTreeMap<VmId, Time>,
    live: usize,
    list_read: Time,
    next_read: Time,
    next_ask: Time,
    next_commit: Time,
    next_tend: Time,
    next_sync: Time,
    mismatched: Option<Time>,
    fetching: Option<(Revision, Time)>,
    delayed: Option<(Head, Time)>,
    left: bool,
}

impl Node {
    /// Makes the state of the agent of `own`, whose registration is in the store.
    ///
    /// It must be given a read of the store that followed the registration before it answers any
    /// peer: what an earlier life knew must not be forgotten.
    pub fn new(now: Time, own: Member, options: NodeOptions) -> Self {
        let life = ShareOwner { vm: own.vm, incarnation: own.incarnation };
        let mut roster = Roster::default();
        roster.merge(MemberNews::Present(own.clone()));
        Self {
            options,
            own,
            started: now,
            roster,
            liveness: Liveness::default(),
            currency: Currency::default(),
            claims: Claims::new(life),
            acks: Acks::default(),
            config: ActiveConfig::default(),
            listed: BTreeMap::new(),
            departed: BTreeMap::new(),
            absent: BTreeMap::new(),
            live: 0,
            list_read: Time(0),
            next_read: now,
            next_ask: now,
            next_commit: now,
            next_tend: now,
            next_sync: now,
            mismatched: None,
            fetching: None,
            delayed: None,
            left: false,
        }
    }

    /// Starts a new life: what was owned in the former one is owned no more.
    pub fn rejoin(&mut self, now: Time, own: Member) {
        let life = ShareOwner { vm: own.vm, incarnation: own.incarnation };
        self.roster.merge(MemberNews::Present(own.clone()));
        self.own = own;
        self.started = now;
        self.claims = Claims::new(life);
        self.left = false;
    }

    /// Gets this VM.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Gets the options.
    pub fn options(&self) -> &NodeOptions {
        &self.options
    }

    /// Gets the roster.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Gets the configuration in force.
    pub fn config(&self) -> &ActiveConfig {
        &self.config
    }

    /// Gets the members with this VM's suspicions.
    pub fn members(&self, now: Time) -> Vec<Member> {
        let judge = |member: &Member| {
            let mut member = member.clone();
            if member.state == MemberState::Alive && self.is_suspect(now, member.vm) {
                member.state = MemberState::Suspect;
            }
            member
        };
        self.roster.members().map(judge).collect()
    }

    /// Gets the record of shares, in which own shares that must not be used have no owner.
    pub fn usable_map(&self, now: Time) -> ShareMap {
        self.claims.usable_map(now)
    }

    /// Gets the record of shares.
    pub fn shares(&self) -> &ShareMap {
        self.claims.map()
    }

    /// Gets the time up to which this VM is current.
    pub fn current_until(&self, now: Time) -> Time {
        self.currency.current_until(self.options.window, self.majority(now), self.held())
    }

    /// Gets the time up to which this VM may use its shares.
    pub fn shares_until(&self, now: Time) -> Time {
        let voters = self.claims.map().voters.iter().copied();
        let majority = self.liveness.majority(now, self.own.vm, voters);
        self.currency.shares_until(self.options.window, majority, self.held())
    }

    /// Returns `true` if this VM is to read the store for others.
    pub fn is_watcher(&self, now: Time) -> bool {
        let count = self.options.watchers + self.roster.len() / VMS_PER_WATCHER;
        // The rank by rendezvous hashing; there is no need to order all VMs for it.
        let score = |vm: VmId| hash::combine(WATCHER_KEY, vm.0);
        let own = score(self.own.vm);
        let mut ahead =
            self.roster.ids().filter(|vm| own < score(*vm) && !self.is_suspect(now, *vm));
        ahead.nth(count - 1).is_none()
    }

    /// Gets the place of this VM in the order in which VMs read the bodies of `revision`. The
    /// order differs from one revision to the next, so that all watchers share the work.
    fn reader_rank(&self, now: Time, revision: Revision) -> u64 {
        let able = self.roster.ids().filter(|vm| !self.is_suspect(now, *vm));
        let mut ranked = hash::rendezvous(WATCHER_KEY, able, |vm| vm.0);
        ranked.truncate(self.options.watchers + self.roster.len() / VMS_PER_WATCHER);
        let order = hash::rendezvous(revision.0, ranked.iter().copied(), |vm| vm.0);
        let place = order.iter().position(|vm| *vm == self.own.vm);
        place.unwrap_or(order.len()) as u64
    }

    /// Gets the time since the latest read of the store that this VM knows of.
    pub fn reading_age(&self, now: Time) -> Span {
        self.currency.age(now)
    }

    fn is_suspect(&self, now: Time, vm: VmId) -> bool {
        vm != self.own.vm && self.liveness.is_suspect(now, vm, self.options.suspect)
    }

    fn majority(&self, now: Time) -> Option<Time> {
        // VMs that left lately still count, for others may not have heard that they left.
        self.liveness.majority(now, self.own.vm, self.roster.ids().chain(self.departed_lately(now)))
    }

    fn departed_lately(&self, now: Time) -> impl Iterator<Item = VmId> + '_ {
        let is_late = move |at: Time| now.since(at) < self.options.unlisted;
        self.departed.iter().filter(move |(_, at)| is_late(**at)).map(|(vm, _)| *vm)
    }

    fn held(&self) -> Held {
        Held { revision: self.config.seen(), shares: self.claims.map().version }
    }

    /// The time that a new owner waits for a former one that did not hand over.
    fn wait(&self) -> Span {
        self.options.window + self.options.skew
    }
}
