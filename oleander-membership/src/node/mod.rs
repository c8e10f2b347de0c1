//! The state machine of one agent: roster, liveness, currency, shares and configuration.
//!
//! It does no I/O. The caller executes the returned actions, feeds the results back and passes in
//! the time and random numbers.

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
use crate::currency::HeldVersions;
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

/// The rendezvous key by which the watchers of the store are chosen: "watchers" in ASCII.
const WATCHER_KEY: u64 = 0x7761_7463_6865_7273;

/// One watcher is added for each group of this many VMs.
const VMS_PER_WATCHER: usize = 64;

/// `NodeOptions` holds the timeouts, intervals and sizes of an agent.
#[derive(Clone, Copy, Debug)]
pub struct NodeOptions {
    /// The number of shares; it must not change while the fleet exists.
    pub shares: u16,
    /// How long a read of the store stays valid for the configuration and for own shares.
    pub window: Span,
    /// The margin for clock drift that is added when waiting for another VM's `window` to end.
    pub skew: Span,
    /// How long a VM must be missing from the VM list before its shares are reclaimed.
    pub grace: Span,
    /// How long a VM that the list has never contained must be missing before its shares are
    /// reclaimed. Also the time after which a VM that left the roster is taken to have stopped.
    pub unlisted: Span,
    /// The time between two rounds of heartbeats.
    pub heartbeat_interval: Span,
    /// The number of peers that get a heartbeat in each round.
    pub fanout: usize,
    /// The number of peers that get an immediate heartbeat about a new configuration revision or a
    /// change of this VM's own registration.
    pub push_fanout: usize,
    /// The interval at which a watcher reads the store.
    pub read_interval: Span,
    /// The age of the latest known read beyond which a VM that is no watcher reads the store.
    pub probe: Span,
    /// The time without a sign of life after which a VM is suspected to be down.
    pub suspect: Span,
    /// The time after its start during which this VM, as a watcher, assigns each VM no more than an
    /// equal part of the shares. Also the wait after an owner declined to hand over any.
    pub settle: Span,
    /// The number of watchers in a small fleet; large fleets have more.
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

/// `Action` is an operation that the caller must execute for the node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a request to a peer and pass its reply to `Node::on_reply`.
    Send {
        /// The receiver.
        to: VmId,
        /// The request.
        request: MemberRequest,
    },
    /// Read the configuration head and the share record from the store, pass them to
    /// `Node::on_store_read`, and commit the result of `Node::plan` if there is one.
    ReadStore,
    /// Read the platform's VM list and pass it to `Node::on_list_read`.
    ReadList,
    /// Read the registrations from the store and pass them to `Node::on_roster_read`.
    ReadRoster,
    /// Read the section bodies of this head that are missing locally and pass them to
    /// `Node::on_bodies_read`.
    ReadBodies(Head),
    /// Validate a configuration and pass the result to `Node::on_checked`.
    Check(Candidate),
    /// Register again under a new incarnation, because this one was removed or a later one is
    /// known, and pass it to `Node::rejoin`.
    Rejoin,
    /// Shut down gracefully, because the platform is removing this VM.
    Leave,
}

/// `Node` is the state machine of one agent.
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
    listed: BTreeMap<VmId, platform::ListEntry>,
    /// The time at which each former member disappeared from the roster.
    departed: BTreeMap<VmId, Time>,
    /// The time at which each absent voter was first missing from the roster.
    absent_voters: BTreeMap<VmId, Time>,
    /// The number of VMs in the last VM list that were not leaving.
    live_count: usize,
    /// The time of the last read of the VM list that was not ignored.
    list_read_at: Time,
    /// The time before which `poll_store` does not read the store again.
    next_read: Time,
    /// The time before which this VM asks no owner for shares.
    next_ask: Time,
    /// The time before which no further read is made to commit hand-overs.
    next_commit: Time,
    /// The time of the next update of `absent_voters`.
    next_absent_check: Time,
    /// The time before which no whole roster is fetched again.
    next_sync: Time,
    /// The time since which the rosters of peers have differed from the own one.
    mismatch_since: Option<Time>,
    /// The revision being fetched and the time at which the fetch is considered failed.
    fetching: Option<(Revision, Time)>,
    /// The head whose bodies this VM will read from the store, and the time of that read.
    pending_head: Option<(Head, Time)>,
    leaving: bool,
}

impl Node {
    /// Creates the state of the agent of `own`, which must be registered in the store.
    ///
    /// Before it answers any peer it must be given a read of the store made after the
    /// registration, so that it knows at least what an earlier incarnation knew.
    pub fn new(now: Time, own: Member, options: NodeOptions) -> Self {
        let owner = ShareOwner { vm: own.vm, incarnation: own.incarnation };
        let mut roster = Roster::default();
        roster.merge(MemberNews::Present(own.clone()));
        Self {
            options,
            own,
            started: now,
            roster,
            liveness: Liveness::default(),
            currency: Currency::default(),
            claims: Claims::new(owner),
            acks: Acks::default(),
            config: ActiveConfig::default(),
            listed: BTreeMap::new(),
            departed: BTreeMap::new(),
            absent_voters: BTreeMap::new(),
            live_count: 0,
            list_read_at: Time(0),
            next_read: now,
            next_ask: now,
            next_commit: now,
            next_absent_check: now,
            next_sync: now,
            mismatch_since: None,
            fetching: None,
            pending_head: None,
            leaving: false,
        }
    }

    /// Continues under the new incarnation in `own`; shares of the former one are given up.
    pub fn rejoin(&mut self, now: Time, own: Member) {
        let owner = ShareOwner { vm: own.vm, incarnation: own.incarnation };
        self.roster.merge(MemberNews::Present(own.clone()));
        self.own = own;
        self.started = now;
        self.claims = Claims::new(owner);
        self.leaving = false;
    }

    /// Returns the record of this VM.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Returns the options that the node was created with.
    pub fn options(&self) -> &NodeOptions {
        &self.options
    }

    /// Returns the roster that this VM shares with its peers, without its own suspicions.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns the configuration in force on this VM.
    pub fn config(&self) -> &ActiveConfig {
        &self.config
    }

    /// Returns the members, with `MemberState::Suspect` for those that this VM suspects to be
    /// down.
    pub fn members(&self, now: Time) -> Vec<Member> {
        let with_suspicion = |member: &Member| {
            let mut member = member.clone();
            if member.state == MemberState::Alive && self.is_suspect(now, member.vm) {
                member.state = MemberState::Suspect;
            }
            member
        };
        self.roster.members().map(with_suspicion).collect()
    }

    /// Returns the share record with own shares that must not be used now shown without an owner.
    pub fn usable_map(&self, now: Time) -> ShareMap {
        self.claims.usable_map(now)
    }

    /// Returns the latest known share record.
    pub fn shares(&self) -> &ShareMap {
        self.claims.map()
    }

    /// Returns the time until which this VM is current and may serve requests; `Time(0)` if it has
    /// never seen a read of the store.
    pub fn current_until(&self, now: Time) -> Time {
        self.currency.current_until(self.options.window, self.majority(now), self.held())
    }

    /// Returns the time until which this VM may use its own shares; `Time(0)` if it has never seen
    /// a read of the store.
    pub fn shares_until(&self, now: Time) -> Time {
        let voters = self.claims.map().voters.iter().copied();
        let majority = self.liveness.majority(now, self.own.vm, voters);
        self.currency.shares_until(self.options.window, majority, self.held())
    }

    /// Returns `true` if this VM is one of those that read the store regularly for the fleet.
    pub fn is_watcher(&self, now: Time) -> bool {
        let count = self.options.watchers + self.roster.len() / VMS_PER_WATCHER;
        // Counts the VMs with a higher rendezvous score, which avoids sorting all of them.
        let score = |vm: VmId| hash::combine(WATCHER_KEY, vm.0);
        let own = score(self.own.vm);
        let mut ahead =
            self.roster.ids().filter(|vm| own < score(*vm) && !self.is_suspect(now, *vm));
        ahead.nth(count - 1).is_none()
    }

    /// Returns the rank of this VM in the order in which the watchers read the bodies of
    /// `revision`; VMs that are no watchers come last. The order differs between revisions, so
    /// that the watchers share the work.
    fn reader_rank(&self, now: Time, revision: Revision) -> u64 {
        let able = self.roster.ids().filter(|vm| !self.is_suspect(now, *vm));
        let mut ranked = hash::rendezvous(WATCHER_KEY, able, |vm| vm.0);
        ranked.truncate(self.options.watchers + self.roster.len() / VMS_PER_WATCHER);
        let order = hash::rendezvous(revision.0, ranked.iter().copied(), |vm| vm.0);
        let rank = order.iter().position(|vm| *vm == self.own.vm);
        rank.unwrap_or(order.len()) as u64
    }

    /// Returns the age of the latest read of the store by any VM that is known here; `Span::MAX`
    /// if none is.
    pub fn reading_age(&self, now: Time) -> Span {
        self.currency.age(now)
    }

    fn is_suspect(&self, now: Time, vm: VmId) -> bool {
        vm != self.own.vm && self.liveness.is_suspect(now, vm, self.options.suspect)
    }

    /// Returns the time since which more than half of the VMs have been heard.
    fn majority(&self, now: Time) -> Option<Time> {
        // VMs that left recently still count, because others may not know yet that they left.
        self.liveness.majority(
            now,
            self.own.vm,
            self.roster.ids().chain(self.recently_departed(now)),
        )
    }

    /// Returns the VMs that disappeared from the roster less than `unlisted` ago.
    fn recently_departed(&self, now: Time) -> impl Iterator<Item = VmId> + '_ {
        let is_recent = move |at: Time| now.since(at) < self.options.unlisted;
        self.departed.iter().filter(move |(_, at)| is_recent(**at)).map(|(vm, _)| *vm)
    }

    /// Returns the versions of the state that this VM has.
    fn held(&self) -> HeldVersions {
        HeldVersions { revision: self.config.seen(), shares: self.claims.map().version }
    }

    /// Returns how long a new owner waits before it uses a share that the former owner did not
    /// hand over: the former owner's right to use it has ended by then.
    fn reclaim_wait(&self) -> Span {
        self.options.window + self.options.skew
    }
}
