//! A fleet of real membership nodes with an ideal network, driven in virtual time.
//!
//! The network delivers at once, so what it shows is work and traffic, not
//! latency. The store answers at once; commits of one round compete.

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

/// The zones of the fleet.
const ZONES: usize = 8;

/// `Tally` counts what a fleet has done.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// The calls between VMs.
    pub calls: u64,
    /// The bytes of frames that VMs sent.
    pub bytes: u64,
    /// The store's reads.
    pub reads: u64,
    /// The store's commits, with those that lost a race.
    pub commits: u64,
    /// The nanoseconds that all nodes spent on decisions.
    pub nanos: u64,
}

/// `Fleet` is the nodes with their store.
#[derive(Debug)]
pub struct Fleet {
    /// The nodes.
    pub nodes: Vec<Node>,
    /// What was counted since the last reset.
    pub tally: Tally,
    /// The time.
    pub now: Time,
    index: HashMap<VmId, usize>,
    alive: Vec<bool>,
    registered: Vec<bool>,
    head: Head,
    bodies: HashMap<BodyHash, String>,
    shares: ShareMap,
    stored: u64,
    entropy: u64,
    work: VecDeque<(usize, Action, u32)>,
    planners: Vec<usize>,
    /// The hops after which a revision came into force at each node in the present round.
    hops: Vec<u32>,
}

impl Fleet {
    /// Makes a fleet of `count` VMs that know one another and own all shares.
    pub fn new(count: usize, seed: u64) -> Self {
        let options = NodeOptions { shares: shares_for(count), ..NodeOptions::default() };
        let members: Vec<Member> = (0..count).map(member).collect();
        let copy = RosterCopy { members: members.clone(), removed: Vec::new() };
        let shares = spread_shares(&members, options.shares);
        let start = Time(options.window.0 * 10);
        let join = |member: &Member| {
            let mut node = Node::new(start, member.clone(), options);
            node.on_reply(start, start, MemberReply::Roster(copy.clone()), seed);
            node.learn_shares(start, shares.clone());
            node
        };
        let nodes: Vec<Node> = members.iter().map(join).collect();
        Self {
            index: members.iter().enumerate().map(|(at, member)| (member.vm, at)).collect(),
            alive: vec![true; count],
            registered: vec![true; count],
            nodes,
            tally: Tally::default(),
            now: start,
            head: Head::default(),
            bodies: HashMap::new(),
            shares,
            stored: 1,
            entropy: seed,
            work: VecDeque::new(),
            planners: Vec::new(),
            hops: vec![0; count],
        }
    }

    /// Runs rounds of heartbeats for `span`.
    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.round();
        }
    }

    /// Runs one round of all nodes.
    pub fn round(&mut self) {
        self.now = self.now + NodeOptions::default().heartbeat_interval;
        self.hops.fill(0);
        for at in 0..self.nodes.len() {
            if self.alive[at] {
                let draw = self.draw();
                let actions = self.timed(at, |node, now| node.round(now, draw));
                self.queue(at, actions, 0);
                self.drain();
            }
        }
        self.compete();
    }

    /// Publishes a new text of the section `workspaces`.
    pub fn publish(&mut self, text: &str) {
        let section = "workspaces".to_owned();
        let edit = Edit {
            base: self.head.hash(&section),
            section,
            hash: BodyHash::of(text),
            change: oleander_core::ids::ChangeId(self.draw()),
        };
        if let EditOutcome::Next(head) = self.head.edit(&edit) {
            self.head = head;
            self.bodies.insert(edit.hash, text.to_owned());
        }
    }

    /// Gets the number of nodes that run and do not have the published revision in force.
    pub fn behind(&self) -> usize {
        let running = self.nodes.iter().zip(&self.alive).filter(|(_, alive)| **alive);
        running.filter(|(node, _)| node.config().revision() < self.head.revision).count()
    }

    /// Gets the published revision.
    pub fn published(&self) -> Revision {
        self.head.revision
    }

    /// Gets the most hops that the published revision took in the last round.
    pub fn most_hops(&self) -> u32 {
        self.hops.iter().copied().max().unwrap_or(0)
    }

    /// Stops the VMs of one zone and takes them off the VM list.
    pub fn lose_zone(&mut self) {
        for at in (0..self.alive.len()).step_by(ZONES) {
            self.alive[at] = false;
        }
    }

    /// Gets the number of shares whose owners do not run.
    pub fn orphans(&self) -> usize {
        let owners = self.shares.owners.iter().flatten();
        owners.filter(|owner| !self.alive[self.index[&owner.vm]]).count()
    }

    /// Gets the bytes of the record of shares in the store.
    pub fn share_bytes(&self) -> usize {
        serde_json::to_vec(&self.shares).map_or(0, |bytes| bytes.len())
    }

    /// Gets the number of VMs that are to read the store for others.
    pub fn watchers(&self) -> usize {
        self.nodes.iter().filter(|node| node.is_watcher(self.now)).count()
    }

    fn draw(&mut self) -> u64 {
        self.entropy = hash::mix(self.entropy.wrapping_add(0x9e37_79b9_7f4a_7c15));
        self.entropy
    }

    fn timed<T>(&mut self, at: usize, event: impl FnOnce(&mut Node, Time) -> T) -> T {
        let start = Instant::now();
        let result = event(&mut self.nodes[at], self.now);
        self.tally.nanos += start.elapsed().as_nanos() as u64;
        result
    }

    fn queue(&mut self, at: usize, actions: Vec<Action>, hops: u32) {
        self.work.extend(actions.into_iter().map(|action| (at, action, hops)));
    }

    fn drain(&mut self) {
        while let Some((at, action, hops)) = self.work.pop_front() {
            self.perform(at, action, hops);
        }
    }

    fn perform(&mut self, at: usize, action: Action, hops: u32) {
        match action {
            Action::Send { to, request } => self.send(at, to, request, hops),
            Action::ReadStore => self.read_store(at, hops),
            Action::ReadList => {
                let list = self.list();
                let actions = self.timed(at, |node, now| node.on_list_read(now, &list));
                self.queue(at, actions, hops);
            }
            Action::ReadRoster => self.read_roster(at, hops),
            Action::ReadBodies(head) => {
                self.tally.reads += 1;
                let bodies: Vec<String> = self.bodies.values().cloned().collect();
                let actions = self.timed(at, |node, _| node.on_bodies_read(&head, &bodies));
                self.queue(at, actions, hops);
            }
            Action::Check(candidate) => {
                let draw = self.draw();
                let (accepted, actions) = self.timed(at, |node, now| {
                    node.on_checked(now, candidate, CheckResult::Valid, draw)
                });
                if accepted {
                    self.hops[at] = hops + 1;
                }
                self.queue(at, actions, hops + 1);
            }
            Action::Rejoin | Action::Leave => {}
        }
    }

    fn send(&mut self, at: usize, to: VmId, request: MemberRequest, hops: u32) {
        let target = self.index[&to];
        self.tally.calls += 1;
        self.tally.bytes += frame(&Request::Member(request.clone()));
        if !self.alive[target] {
            return;
        }
        let draw = self.draw();
        let (reply, actions) = self.timed(target, |node, now| node.on_request(now, request, draw));
        self.queue(target, actions, hops);
        self.tally.bytes += frame(&Reply::Member(reply.clone()));
        let draw = self.draw();
        let actions = self.timed(at, |node, now| node.on_reply(now, now, reply, draw));
        self.queue(at, actions, hops);
    }

    fn read_store(&mut self, at: usize, hops: u32) {
        self.tally.reads += 1;
        let state = StoreState {
            asked: self.now,
            head: self.head.clone(),
            shares: self.shares.clone(),
            shares_revision: self.stored,
        };
        let actions = self.timed(at, |node, now| node.on_store_read(now, state));
        self.queue(at, actions, hops);
        if !self.planners.contains(&at) {
            self.planners.push(at);
        }
    }

    fn read_roster(&mut self, at: usize, hops: u32) {
        self.tally.reads += 1;
        let registered = (0..self.nodes.len()).filter(|at| self.registered[*at]);
        let (members, stored) = (registered.map(member).collect(), self.stored);
        let actions = self.timed(at, |node, now| node.on_roster_read(now, stored, members));
        self.queue(at, actions, hops);
    }

    /// Lets the nodes that read the store commit their plans; of each race one wins and the
    /// others read again.
    fn compete(&mut self) {
        let mut planners = std::mem::take(&mut self.planners);
        loop {
            let present = self.shares.clone();
            let mut plans = Vec::new();
            for at in planners {
                let plan = self.timed(at, |node, now| node.plan(now, &present));
                plans.extend(plan.map(|plan| (at, plan)));
            }
            let Some((winner, first)) = plans.first() else { break };
            let winner = *winner;
            self.shares = first.next.clone();
            self.stored += 1;
            self.tally.commits += plans.len() as u64;
            let removed: Vec<usize> =
                first.removed.iter().map(|owner| self.index[&owner.vm]).collect();
            for at in &removed {
                self.registered[*at] = false;
            }
            planners = plans.into_iter().map(|(at, _)| at).collect();
            for at in planners.clone() {
                self.read_store(at, 0);
            }
            if !removed.is_empty() {
                self.read_roster(winner, 0);
            }
            self.drain();
            self.planners.clear();
        }
    }

    fn list(&self) -> Vec<ListedVm> {
        let running = self.nodes.iter().zip(&self.alive).filter(|(_, alive)| **alive);
        running.map(|(node, _)| ListedVm { vm: node.own().vm, state: MemberState::Alive }).collect()
    }
}

/// Gets the number of shares for a fleet: a power of two, at least twice the VMs.
pub fn shares_for(count: usize) -> u16 {
    (2 * count).next_power_of_two() as u16
}

fn frame(message: &impl serde::Serialize) -> u64 {
    codec::encode(message).map_or(0, |frame| frame.len() as u64)
}

fn member(at: usize) -> Member {
    let name = format!("vm-{at}");
    let zone = at % ZONES;
    let address = |port: u16| SocketAddr::from(([10, 0, (at / 250) as u8, (at % 250) as u8], port));
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

fn spread_shares(members: &[Member], count: u16) -> ShareMap {
    let owner = |share: u16| {
        let member = &members[usize::from(share) % members.len()];
        Some(ShareOwner { vm: member.vm, incarnation: member.incarnation })
    };
    ShareMap { version: 1, owners: (0..count).map(owner).collect(), ..ShareMap::default() }
}
