//! Many agents' decisions over a fake network and a fake store, in virtual time.

use std::collections::HashMap;
use std::time::Instant;

use hdrhistogram::Histogram;
use oleander_core::ids::Incarnation;
use oleander_core::ids::Revision;
use oleander_core::ids::VmId;
use oleander_core::places::Place;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::timers::TimerQueue;
use oleander_membership::active_config::Candidate;
use oleander_membership::head::BodyHash;
use oleander_membership::head::Head;
use oleander_membership::member::Member;
use oleander_membership::member::MemberState;
use oleander_membership::messages::MemberReply;
use oleander_membership::messages::MemberRequest;
use oleander_membership::messages::SectionCopy;
use oleander_membership::node::Action;
use oleander_membership::node::CheckResult;
use oleander_membership::node::ListedVm;
use oleander_membership::node::Node;
use oleander_membership::node::NodeOptions;
use oleander_membership::node::SharePlan;
use oleander_membership::node::StoreState;
use oleander_membership::patch::Patch;
use oleander_membership::shares::ShareMap;
use oleander_peer::codec;
use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng as _;
use rand_chacha::rand_core::SeedableRng as _;

use crate::experiments::config_spread::document;
use crate::experiments::config_spread::platform::Platform;
use crate::experiments::config_spread::platform::STORE_TIME;
use crate::experiments::config_spread::traffic::Traffic;
use crate::experiments::config_spread::traffic::new_histogram;

/// The regions of the fleet.
const REGIONS: usize = 3;

/// The time of a message within a region, one way.
const NEAR: Span = Span::from_micros(750);

/// The time of a message between regions, one way.
const FAR: Span = Span::from_millis(10);

/// The time of the check of a configuration, for each VM of the fleet that the sections serve.
const CHECK_TIME_PER_VM: Span = Span::from_micros(100);

/// The greatest random part of a message's time.
const JITTER: Span = Span::from_millis(2);

/// `FleetOptions` is the size of a fleet and its policy.
#[derive(Clone, Copy, Debug)]
pub struct FleetOptions {
    /// The number of VMs.
    pub vms: usize,
    /// The options of the decisions.
    pub node: NodeOptions,
    /// Set if sections travel whole.
    pub whole: bool,
}

impl FleetOptions {
    /// Makes the options of the policy as it is.
    pub fn new(vms: usize) -> Self {
        let shares = u16::try_from(vms.next_power_of_two() * 2).unwrap_or(u16::MAX).max(64);
        Self { vms, node: NodeOptions { shares, ..NodeOptions::default() }, whole: false }
    }
}

/// `Fleet` is the agents, their network and the store.
pub struct Fleet {
    /// The cost so far.
    pub traffic: Traffic,
    /// The times from each commit until the revision was in force, over all VMs.
    pub spread: Histogram<u64>,
    /// Set once a VM that is not cut off has lost currency.
    pub lost_currency: bool,
    pub(super) options: FleetOptions,
    pub(super) now: Time,
    pub(super) nodes: Vec<Node>,
    numbers: HashMap<VmId, usize>,
    pub(super) known: Vec<(Revision, u64)>,
    pub(super) cut: Vec<bool>,
    pub(super) queue: TimerQueue<Event>,
    pub(super) rng: ChaCha8Rng,
    pub(super) store: Platform,
}

/// `Event` is what happens at a time.
pub(super) enum Event {
    Round { vm: usize },
    Request { from: usize, to: usize, asked: Time, request: MemberRequest },
    Reply { to: usize, asked: Time, reply: MemberReply },
    Read { vm: usize, asked: Time },
    State { vm: usize, state: Box<StoreState> },
    Commit { vm: usize, plan: Box<SharePlan>, stored: u64 },
    Bodies { vm: usize, head: Head },
    Checked { vm: usize, candidate: Candidate },
    Notice { vm: usize },
}

impl Fleet {
    /// Makes a fleet whose VMs know each other.
    pub fn new(seed: u64, options: FleetOptions) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let members: Vec<Member> = (0..options.vms).map(member).collect();
        let list: Vec<ListedVm> = members
            .iter()
            .map(|member| ListedVm { vm: member.vm, state: MemberState::Alive })
            .collect();
        let mut queue = TimerQueue::new();
        let mut nodes = Vec::new();
        for (vm, own) in members.iter().enumerate() {
            let mut node = Node::new(Time(0), own.clone(), options.node);
            node.on_roster_read(Time(0), members.len() as u64, members.clone());
            node.on_list_read(Time(0), &list);
            nodes.push(node);
            queue.schedule(
                Time(rng.next_u64() % options.node.heartbeat_interval.0),
                Event::Round { vm },
            );
        }
        let mut fleet = Self {
            traffic: Traffic::new(options.vms),
            spread: new_histogram(),
            lost_currency: false,
            options,
            now: Time(0),
            nodes,
            numbers: members.iter().enumerate().map(|(vm, member)| (member.vm, vm)).collect(),
            known: vec![Default::default(); options.vms],
            cut: vec![false; options.vms],
            queue,
            rng,
            store: Platform {
                up: true,
                head: Head::default(),
                texts: Vec::new(),
                shares: ShareMap::default(),
                stored: 0,
                published: Time(0),
                edits: 0,
            },
        };
        fleet.store_first_document();
        fleet
    }

    /// Gets the time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Runs for `span`.
    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(due) = self.queue.next_due().filter(|due| *due <= end) {
            self.now = due;
            let Some(event) = self.queue.pop_due(due) else { break };
            self.handle(event);
        }
        self.now = end;
    }

    /// Publishes an edit of one section; watchers are told.
    pub fn publish(&mut self) {
        self.store.edits += 1;
        let at = (self.store.edits % document::SECTIONS.len() as u64) as usize;
        self.edit(at);
        self.store.published = self.now;
        self.traffic.write();
        for vm in 0..self.nodes.len() {
            if self.nodes[vm].is_watcher(self.now) && !self.cut[vm] {
                let delay = STORE_TIME + self.way(vm, 0);
                self.queue.schedule(self.now + delay, Event::Notice { vm });
            }
        }
    }

    /// Cuts a VM off from its peers and from the store.
    pub fn cut(&mut self, vm: usize) {
        self.cut[vm] = true;
    }

    /// Ends the cut of a VM.
    pub fn heal(&mut self, vm: usize) {
        self.cut[vm] = false;
    }

    /// Sets whether the store answers.
    pub fn set_store(&mut self, up: bool) {
        self.store.up = up;
    }

    /// Returns `true` if the VM is current.
    pub fn is_current(&self, vm: usize) -> bool {
        self.now < self.nodes[vm].current_until(self.now)
    }

    /// Returns `true` if the VM is current and may use its shares.
    pub fn serves(&self, vm: usize) -> bool {
        self.is_current(vm) && self.now < self.nodes[vm].shares_until(self.now)
    }

    /// Gets the number of VMs that watch the store.
    pub fn watchers(&self) -> usize {
        self.nodes.iter().filter(|node| node.is_watcher(self.now)).count()
    }

    /// Gets the encoded size of what one VM keeps.
    pub fn state_bytes(&self) -> usize {
        let node = &self.nodes[0];
        let size = |frame: oleander_peer::errors::Result<bytes::Bytes>| {
            frame.map_or(0, |frame| frame.len())
        };
        size(codec::encode(&node.roster().copy()))
            + size(codec::encode(node.shares()))
            + size(codec::encode(&node.config().copy(&[])))
            // A time of last life and one of first knowledge for each VM.
            + node.roster().len() * 2 * (size_of::<VmId>() + size_of::<Time>())
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Round { vm } => self.round(vm),
            Event::Request { from, to, asked, request } => self.request(from, to, asked, request),
            Event::Reply { to, asked, reply } => {
                let entropy = self.rng.next_u64();
                self.decide(to, |node, now| node.on_reply(now, asked, reply, entropy));
            }
            Event::Notice { vm } => self.act(vm, vec![Action::ReadStore]),
            Event::Read { vm, asked } => self.read(vm, asked),
            Event::State { vm, state } => self.state(vm, *state),
            Event::Commit { vm, plan, stored } => self.commit(vm, *plan, stored),
            Event::Bodies { vm, head } => {
                let texts = self.store.texts.clone();
                self.decide(vm, |node, _| node.on_bodies_read(&head, &texts));
            }
            Event::Checked { vm, candidate } => self.checked(vm, candidate),
        }
    }

    fn round(&mut self, vm: usize) {
        let entropy = self.rng.next_u64();
        self.decide(vm, |node, now| node.round(now, entropy));
        if !self.cut[vm]
            && 0 < self.store.stored
            && !self.is_current(vm)
            && Time(10_000_000) < self.now
        {
            self.lost_currency = true;
        }
        let next = self.now + self.options.node.heartbeat_interval;
        self.queue.schedule(next, Event::Round { vm });
    }

    fn request(&mut self, from: usize, to: usize, asked: Time, request: MemberRequest) {
        let entropy = self.rng.next_u64();
        let start = Instant::now();
        let (mut reply, actions) = self.nodes[to].on_request(self.now, request, entropy);
        self.traffic.decide(start.elapsed());
        if self.options.whole
            && let MemberReply::Sections(copy) = &mut reply
        {
            let spread = self.nodes[to].config();
            copy.sections
                .iter_mut()
                .for_each(|section| make_whole(section, |hash| spread.body(hash)));
        }
        self.act(to, actions);
        if self.cut[from] || self.cut[to] {
            return;
        }
        self.traffic.message(to, from, &Reply::Member(reply.clone()));
        let due = self.now + self.way(to, from);
        self.queue.schedule(due, Event::Reply { to: from, asked, reply });
    }

    fn checked(&mut self, vm: usize, candidate: Candidate) {
        let revision = candidate.revision;
        let entropy = self.rng.next_u64();
        let before = self.nodes[vm].config().revision();
        self.decide(vm, |node, now| node.on_checked(now, candidate, CheckResult::Valid, entropy).1);
        let is_latest = revision == self.store.head.revision && Revision(1) < revision;
        if before < revision && is_latest && 0 < self.store.edits {
            self.spread.saturating_record(self.now.since(self.store.published).0.max(1));
        }
    }

    pub(super) fn decide(
        &mut self,
        vm: usize,
        decide: impl FnOnce(&mut Node, Time) -> Vec<Action>,
    ) {
        let start = Instant::now();
        let actions = decide(&mut self.nodes[vm], self.now);
        self.traffic.decide(start.elapsed());
        self.act(vm, actions);
    }

    pub(super) fn act(&mut self, vm: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, request } => self.send(vm, to, request),
                Action::ReadStore => {
                    let due = self.now + STORE_TIME + self.way(vm, 0);
                    self.queue.schedule(due, Event::Read { vm, asked: self.now });
                }
                Action::ReadBodies(head) => {
                    let missing = self.nodes[vm].config().missing(&head.sections);
                    let length =
                        |hash| self.store.texts.iter().find(|text| BodyHash::of(text) == hash);
                    let lengths: Vec<u64> = missing
                        .iter()
                        .filter_map(|part| length(part.hash))
                        .map(|text| text.len() as u64)
                        .collect();
                    lengths.into_iter().for_each(|length| self.traffic.read(vm, length));
                    let due = self.now + STORE_TIME + self.way(vm, 0) + self.way(vm, 0);
                    self.queue.schedule(due, Event::Bodies { vm, head });
                }
                Action::Check(candidate) => {
                    let due = self.now + CHECK_TIME_PER_VM.times(self.options.vms as u64);
                    self.queue.schedule(due, Event::Checked { vm, candidate });
                }
                // Nothing joins or leaves here, and the VM list names everyone.
                Action::ReadList | Action::ReadRoster | Action::Rejoin | Action::Leave => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: VmId, request: MemberRequest) {
        let Some(to) = self.numbers.get(&to).copied() else { return };
        if self.cut[from] || self.cut[to] {
            return;
        }
        self.traffic.message(from, to, &Request::Member(request.clone()));
        let due = self.now + self.way(from, to);
        self.queue.schedule(due, Event::Request { from, to, asked: self.now, request });
    }

    /// Gets the time of a message; the store stands in the region of VM 0.
    pub(super) fn way(&mut self, from: usize, to: usize) -> Span {
        let base = if from % REGIONS == to % REGIONS { NEAR } else { FAR };
        base + Span(self.rng.next_u64() % JITTER.0)
    }
}

fn make_whole<'a>(section: &mut SectionCopy, find: impl FnOnce(BodyHash) -> Option<&'a str>) {
    if let Some(text) = find(section.head.hash) {
        section.patch = Patch::Whole(text.to_owned());
    }
}

fn member(vm: usize) -> Member {
    let name = format!("vm-{vm:03}");
    let region = format!("region-{}", vm % REGIONS);
    let zone = format!("{region}-{}", vm / REGIONS % REGIONS);
    let address =
        |port: u16| std::net::SocketAddr::from(([10, 0, (vm / 250) as u8, (vm % 250) as u8], port));
    Member {
        vm: VmId::from_name(&name),
        name,
        incarnation: Incarnation(vm as u64 + 1),
        place: Place { region, zone },
        agent: address(7_001),
        proxy: address(7_002),
        state: MemberState::Alive,
    }
}
