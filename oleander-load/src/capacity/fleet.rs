//! A simulated fleet of membership nodes, driven in virtual time.
//!
//! The network and the store have no latency, so the simulation measures work and traffic but not
//! delays. Commits of one round compete, and one of them succeeds.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Instant;

use oleander_core::hash;
use oleander_core::ids::Incarnation;
use oleander_core::ids::Revision;
use oleander_core::ids::VmId;
use oleander_core::places::Place;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_membership::head::BodyHash;
use oleander_membership::head::Edit;
use oleander_membership::head::EditOutcome;
use oleander_membership::head::Head;
use oleander_membership::member::Member;
use oleander_membership::member::MemberState;
use oleander_membership::messages::MemberReply;
use oleander_membership::messages::MemberRequest;
use oleander_membership::messages::RosterCopy;
use oleander_membership::node::Action;
use oleander_membership::node::CheckResult;
use oleander_membership::node::ListedVm;
use oleander_membership::node::Node;
use oleander_membership::node::NodeOptions;
use oleander_membership::node::StoreState;
use oleander_membership::shares::ShareMap;
use oleander_membership::shares::ShareOwner;
use oleander_peer::codec;
use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;

/// The number of availability zones of the fleet.
const ZONES: usize = 8;

/// `Counters` are totals over all nodes of a fleet.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    /// The number of calls between VMs.
    pub calls: u64,
    /// The number of bytes in the frames that VMs sent.
    pub bytes: u64,
    /// The number of reads of the store.
    pub reads: u64,
    /// The number of commits to the store, including those that conflicted.
    pub commits: u64,
    /// The time that the nodes' decision code took, in nanoseconds.
    pub nanos: u64,
}

/// `Fleet` simulates the nodes of a fleet and their store.
#[derive(Debug)]
pub struct Fleet {
    /// The membership nodes of all VMs, including stopped ones.
    pub nodes: Vec<Node>,
    /// The totals since the caller last reset them.
    pub counters: Counters,
    /// The virtual time.
    pub now: Time,
    indices: HashMap<VmId, usize>,
    alive: Vec<bool>,
    /// Says for each node whether the store holds its registration.
    registered: Vec<bool>,
    head: Head,
    bodies: HashMap<BodyHash, String>,
    shares: ShareMap,
    store_revision: u64,
    random_state: u64,
    /// The actions to perform: the node, the action and the hops of the edit that led to it.
    pending: VecDeque<(usize, Action, u32)>,
    /// The nodes that read the store in the present round and may commit a plan.
    planners: Vec<usize>,
    /// The hops after which each node put a revision into force in the present round; 0 for none.
    hops: Vec<u32>,
}

impl Fleet {
    /// Creates a fleet of `count` VMs that know each other and own all shares.
    pub fn new(count: usize, seed: u64) -> Self {
        let options = NodeOptions { shares: shares_for(count), ..NodeOptions::default() };
        let members: Vec<Member> = (0..count).map(member).collect();
        let copy = RosterCopy { members: members.clone(), removed: Vec::new() };
        let shares = assign_shares(&members, options.shares);
        let start = Time(options.window.0 * 10);
        let join = |member: &Member| {
            let mut node = Node::new(start, member.clone(), options);
            node.on_reply(start, start, MemberReply::Roster(copy.clone()), seed);
            node.learn_shares(start, shares.clone());
            node
        };
        let nodes: Vec<Node> = members.iter().map(join).collect();
        Self {
            indices: members.iter().enumerate().map(|(index, member)| (member.vm, index)).collect(),
            alive: vec![true; count],
            registered: vec![true; count],
            nodes,
            counters: Counters::default(),
            now: start,
            head: Head::default(),
            bodies: HashMap::new(),
            shares,
            store_revision: 1,
            random_state: seed,
            pending: VecDeque::new(),
            planners: Vec::new(),
            hops: vec![0; count],
        }
    }

    /// Runs rounds until `span` of virtual time has passed.
    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.round();
        }
    }

    /// Advances the time by one heartbeat interval and runs a round of all running nodes.
    pub fn round(&mut self) {
        self.now = self.now + NodeOptions::default().heartbeat_interval;
        self.hops.fill(0);
        for index in 0..self.nodes.len() {
            if self.alive[index] {
                let random = self.next_random();
                let actions = self.run_timed(index, |node, now| node.round(now, random));
                self.enqueue(index, actions, 0);
                self.run_pending();
            }
        }
        self.commit_plans();
    }

    /// Publishes `text` as the section `workspaces`.
    pub fn publish(&mut self, text: &str) {
        let section = "workspaces".to_owned();
        let edit = Edit {
            base: self.head.hash(&section),
            section,
            hash: BodyHash::of(text),
            change: oleander_core::ids::ChangeId(self.next_random()),
        };
        if let EditOutcome::Next(head) = self.head.edit(&edit) {
            self.head = head;
            self.bodies.insert(edit.hash, text.to_owned());
        }
    }

    /// Returns the number of running nodes at which the published revision is not in force.
    pub fn outdated_nodes(&self) -> usize {
        let running = self.nodes.iter().zip(&self.alive).filter(|(_, alive)| **alive);
        running.filter(|(node, _)| node.config().revision() < self.head.revision).count()
    }

    /// Returns the revision that was published last.
    pub fn published(&self) -> Revision {
        self.head.revision
    }

    /// Returns the maximum number of hops after which a node put a revision into force in the last
    /// round.
    pub fn max_hops(&self) -> u32 {
        self.hops.iter().copied().max().unwrap_or(0)
    }

    /// Stops the VMs of one zone and removes them from the VM list.
    pub fn stop_zone(&mut self) {
        for index in (0..self.alive.len()).step_by(ZONES) {
            self.alive[index] = false;
        }
    }

    /// Returns the number of shares whose owners are stopped.
    pub fn orphaned_shares(&self) -> usize {
        let owners = self.shares.owners.iter().flatten();
        owners.filter(|owner| !self.alive[self.indices[&owner.vm]]).count()
    }

    /// Returns the size of the share record in the store, in bytes.
    pub fn share_bytes(&self) -> usize {
        serde_json::to_vec(&self.shares).map_or(0, |bytes| bytes.len())
    }

    /// Returns the number of nodes that watch the store on behalf of the others.
    pub fn watchers(&self) -> usize {
        self.nodes.iter().filter(|node| node.is_watcher(self.now)).count()
    }

    fn next_random(&mut self) -> u64 {
        self.random_state = hash::mix(self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15));
        self.random_state
    }

    fn run_timed<T>(&mut self, index: usize, event: impl FnOnce(&mut Node, Time) -> T) -> T {
        let start = Instant::now();
        let result = event(&mut self.nodes[index], self.now);
        self.counters.nanos += start.elapsed().as_nanos() as u64;
        result
    }

    fn enqueue(&mut self, index: usize, actions: Vec<Action>, hops: u32) {
        self.pending.extend(actions.into_iter().map(|action| (index, action, hops)));
    }

    fn run_pending(&mut self) {
        while let Some((index, action, hops)) = self.pending.pop_front() {
            self.perform(index, action, hops);
        }
    }

    fn perform(&mut self, index: usize, action: Action, hops: u32) {
        match action {
            Action::Send { to, request } => self.send(index, to, request, hops),
            Action::ReadStore => self.read_store(index, hops),
            Action::ReadList => {
                let list = self.list();
                let actions = self.run_timed(index, |node, now| node.on_list_read(now, &list));
                self.enqueue(index, actions, hops);
            }
            Action::ReadRoster => self.read_roster(index, hops),
            Action::ReadBodies(head) => {
                self.counters.reads += 1;
                let bodies: Vec<String> = self.bodies.values().cloned().collect();
                let actions = self.run_timed(index, |node, _| node.on_bodies_read(&head, &bodies));
                self.enqueue(index, actions, hops);
            }
            Action::Check(candidate) => {
                let random = self.next_random();
                let (accepted, actions) = self.run_timed(index, |node, now| {
                    node.on_checked(now, candidate, CheckResult::Valid, random)
                });
                if accepted {
                    self.hops[index] = hops + 1;
                }
                self.enqueue(index, actions, hops + 1);
            }
            Action::Rejoin | Action::Leave => {}
        }
    }

    fn send(&mut self, index: usize, to: VmId, request: MemberRequest, hops: u32) {
        let target = self.indices[&to];
        self.counters.calls += 1;
        self.counters.bytes += frame_len(&Request::Member(request.clone()));
        if !self.alive[target] {
            return;
        }
        let random = self.next_random();
        let (reply, actions) =
            self.run_timed(target, |node, now| node.on_request(now, request, random));
        self.enqueue(target, actions, hops);
        self.counters.bytes += frame_len(&Reply::Member(reply.clone()));
        let random = self.next_random();
        let actions = self.run_timed(index, |node, now| node.on_reply(now, now, reply, random));
        self.enqueue(index, actions, hops);
    }

    fn read_store(&mut self, index: usize, hops: u32) {
        self.counters.reads += 1;
        let state = StoreState {
            asked: self.now,
            head: self.head.clone(),
            shares: self.shares.clone(),
            shares_revision: self.store_revision,
        };
        let actions = self.run_timed(index, |node, now| node.on_store_read(now, state));
        self.enqueue(index, actions, hops);
        if !self.planners.contains(&index) {
            self.planners.push(index);
        }
    }

    fn read_roster(&mut self, index: usize, hops: u32) {
        self.counters.reads += 1;
        let registered = (0..self.nodes.len()).filter(|index| self.registered[*index]);
        let (members, store_revision) = (registered.map(member).collect(), self.store_revision);
        let actions =
            self.run_timed(index, |node, now| node.on_roster_read(now, store_revision, members));
        self.enqueue(index, actions, hops);
    }

    /// Commits the plans of the nodes that read the store. The first commit succeeds, the others
    /// conflict, and all of these nodes read the store again and repeat until none has a plan.
    fn commit_plans(&mut self) {
        let mut planners = std::mem::take(&mut self.planners);
        loop {
            let present = self.shares.clone();
            let mut plans = Vec::new();
            for index in planners {
                let plan = self.run_timed(index, |node, now| node.plan(now, &present));
                plans.extend(plan.map(|plan| (index, plan)));
            }
            let Some((winner, first)) = plans.first() else { break };
            let winner = *winner;
            self.shares = first.next.clone();
            self.store_revision += 1;
            self.counters.commits += plans.len() as u64;
            let removed: Vec<usize> =
                first.removed.iter().map(|owner| self.indices[&owner.vm]).collect();
            for index in &removed {
                self.registered[*index] = false;
            }
            planners = plans.into_iter().map(|(index, _)| index).collect();
            for index in planners.clone() {
                self.read_store(index, 0);
            }
            if !removed.is_empty() {
                self.read_roster(winner, 0);
            }
            self.run_pending();
            self.planners.clear();
        }
    }

    fn list(&self) -> Vec<ListedVm> {
        let running = self.nodes.iter().zip(&self.alive).filter(|(_, alive)| **alive);
        running.map(|(node, _)| ListedVm { vm: node.own().vm, state: MemberState::Alive }).collect()
    }
}

/// Returns the number of shares for a fleet of `count` VMs: the next power of two from twice the
/// count.
pub fn shares_for(count: usize) -> u16 {
    (2 * count).next_power_of_two() as u16
}

fn frame_len(message: &impl serde::Serialize) -> u64 {
    codec::encode(message).map_or(0, |frame| frame.len() as u64)
}

fn member(index: usize) -> Member {
    let name = format!("vm-{index}");
    let zone = index % ZONES;
    let address =
        |port: u16| SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], port));
    Member {
        vm: VmId::from_name(&name),
        name,
        incarnation: Incarnation(1),
        place: Place { region: format!("region-{}", zone % 3), zone: format!("zone-{zone}") },
        agent: address(7_001),
        proxy: address(7_002),
        state: MemberState::Alive,
    }
}

fn assign_shares(members: &[Member], count: u16) -> ShareMap {
    let owner = |share: u16| {
        let member = &members[usize::from(share) % members.len()];
        Some(ShareOwner { vm: member.vm, incarnation: member.incarnation })
    };
    ShareMap { version: 1, owners: (0..count).map(owner).collect(), ..ShareMap::default() }
}
