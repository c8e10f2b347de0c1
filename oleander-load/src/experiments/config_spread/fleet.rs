//! The state machines of many agents, with a simulated network and store in virtual time.

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
use crate::experiments::config_spread::fake_store::FakeStore;
use crate::experiments::config_spread::fake_store::STORE_CALL_TIME;
use crate::experiments::config_spread::traffic::Traffic;
use crate::experiments::config_spread::traffic::new_histogram;

/// The number of regions of the fleet.
const REGIONS: usize = 3;

/// The one-way delay of a message within a region, without jitter.
const REGION_DELAY: Span = Span::from_micros(750);

/// The one-way delay of a message between regions, without jitter.
const REMOTE_DELAY: Span = Span::from_millis(10);

/// The time to validate a configuration, per VM of the fleet; the size of the sections grows with
/// the fleet.
const CHECK_TIME_PER_VM: Span = Span::from_micros(100);

/// The upper bound of the random part of a message's delay.
const MAX_JITTER: Span = Span::from_millis(2);

/// `FleetOptions` holds the size of a fleet and its policy.
#[derive(Clone, Copy, Debug)]
pub struct FleetOptions {
    /// The number of VMs.
    pub vms: usize,
    /// The options of the state machines.
    pub node: NodeOptions,
    /// Whether sections are sent whole instead of as differences.
    pub whole_sections: bool,
}

impl FleetOptions {
    /// Returns the options of the production policy, with at least two shares per VM.
    pub fn new(vms: usize) -> Self {
        let shares = u16::try_from(vms.next_power_of_two() * 2).unwrap_or(u16::MAX).max(64);
        Self { vms, node: NodeOptions { shares, ..NodeOptions::default() }, whole_sections: false }
    }
}

/// `Fleet` simulates the agents, their network and the store.
pub struct Fleet {
    /// The control traffic since the last reset.
    pub traffic: Traffic,
    /// The time from each publication until the revision was in force, in microseconds, of each VM.
    pub spread: Histogram<u64>,
    /// Whether a VM that is not isolated has ever lost currency.
    pub lost_currency: bool,
    pub(super) options: FleetOptions,
    pub(super) now: Time,
    pub(super) nodes: Vec<Node>,
    /// The index of each VM in `nodes`.
    indexes: HashMap<VmId, usize>,
    /// The revisions of the head and of the share record that each VM last read.
    pub(super) versions: Vec<(Revision, u64)>,
    /// Whether each VM is cut off from its peers and the store.
    pub(super) isolated: Vec<bool>,
    pub(super) queue: TimerQueue<Event>,
    pub(super) rng: ChaCha8Rng,
    pub(super) store: FakeStore,
}

/// `Event` is a scheduled event of the simulation. `asked` is the time at which a request was sent.
pub(super) enum Event {
    Round { vm: usize },
    Request { from: usize, to: usize, asked: Time, request: MemberRequest },
    Reply { to: usize, asked: Time, reply: MemberReply },
    StoreRead { vm: usize, asked: Time },
    StoreReply { vm: usize, state: Box<StoreState> },
    Commit { vm: usize, plan: Box<SharePlan>, shares_revision: u64 },
    BodiesRead { vm: usize, head: Head },
    Checked { vm: usize, candidate: Candidate },
    WatchNotification { vm: usize },
}

impl Fleet {
    /// Creates a fleet whose VMs already know each other, and stores the first document.
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
            indexes: members.iter().enumerate().map(|(vm, member)| (member.vm, vm)).collect(),
            versions: vec![Default::default(); options.vms],
            isolated: vec![false; options.vms],
            queue,
            rng,
            store: FakeStore {
                up: true,
                head: Head::default(),
                bodies: Vec::new(),
                shares: ShareMap::default(),
                shares_revision: 0,
                published: Time(0),
                edits: 0,
            },
        };
        fleet.store_first_document();
        fleet
    }

    /// Returns the current virtual time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Handles the events of the next `span`.
    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(due) = self.queue.next_due().filter(|due| *due <= end) {
            self.now = due;
            let Some(event) = self.queue.pop_due(due) else { break };
            self.handle(event);
        }
        self.now = end;
    }

    /// Publishes an edit of one section; the store notifies the watchers.
    pub fn publish(&mut self) {
        self.store.edits += 1;
        let index = (self.store.edits % document::SECTIONS.len() as u64) as usize;
        self.edit(index);
        self.store.published = self.now;
        self.traffic.record_write();
        for vm in 0..self.nodes.len() {
            if self.nodes[vm].is_watcher(self.now) && !self.isolated[vm] {
                let delay = STORE_CALL_TIME + self.message_delay(vm, 0);
                self.queue.schedule(self.now + delay, Event::WatchNotification { vm });
            }
        }
    }

    /// Isolates a VM from its peers and from the store.
    pub fn isolate(&mut self, vm: usize) {
        self.isolated[vm] = true;
    }

    /// Ends the isolation of a VM.
    pub fn reconnect(&mut self, vm: usize) {
        self.isolated[vm] = false;
    }

    /// Sets whether the store answers.
    pub fn set_store(&mut self, up: bool) {
        self.store.up = up;
    }

    /// Returns `true` if the VM is current, which allows it to serve requests.
    pub fn is_current(&self, vm: usize) -> bool {
        self.now < self.nodes[vm].current_until(self.now)
    }

    /// Returns `true` if the VM is current and may use its shares.
    pub fn can_serve(&self, vm: usize) -> bool {
        self.is_current(vm) && self.now < self.nodes[vm].shares_until(self.now)
    }

    /// Returns the number of VMs that watch the store.
    pub fn watchers(&self) -> usize {
        self.nodes.iter().filter(|node| node.is_watcher(self.now)).count()
    }

    /// Returns the approximate size of one VM's membership state in bytes.
    pub fn state_bytes(&self) -> usize {
        let node = &self.nodes[0];
        let size = |frame: oleander_peer::errors::Result<bytes::Bytes>| {
            frame.map_or(0, |frame| frame.len())
        };
        size(codec::encode(&node.roster().copy()))
            + size(codec::encode(node.shares()))
            + size(codec::encode(&node.config().copy(&[])))
            // Per VM, the times at which it was last alive and at which it became known.
            + node.roster().len() * 2 * (size_of::<VmId>() + size_of::<Time>())
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Round { vm } => self.round(vm),
            Event::Request { from, to, asked, request } => self.answer(from, to, asked, request),
            Event::Reply { to, asked, reply } => {
                let entropy = self.rng.next_u64();
                self.run_node(to, |node, now| node.on_reply(now, asked, reply, entropy));
            }
            Event::WatchNotification { vm } => self.execute(vm, vec![Action::ReadStore]),
            Event::StoreRead { vm, asked } => self.read_store(vm, asked),
            Event::StoreReply { vm, state } => self.handle_store_reply(vm, *state),
            Event::Commit { vm, plan, shares_revision } => self.commit(vm, *plan, shares_revision),
            Event::BodiesRead { vm, head } => {
                let bodies = self.store.bodies.clone();
                self.run_node(vm, |node, _| node.on_bodies_read(&head, &bodies));
            }
            Event::Checked { vm, candidate } => self.finish_check(vm, candidate),
        }
    }

    fn round(&mut self, vm: usize) {
        let entropy = self.rng.next_u64();
        self.run_node(vm, |node, now| node.round(now, entropy));
        if !self.isolated[vm]
            && 0 < self.store.shares_revision
            && !self.is_current(vm)
            && Time(10_000_000) < self.now
        {
            self.lost_currency = true;
        }
        let next = self.now + self.options.node.heartbeat_interval;
        self.queue.schedule(next, Event::Round { vm });
    }

    fn answer(&mut self, from: usize, to: usize, asked: Time, request: MemberRequest) {
        let entropy = self.rng.next_u64();
        let start = Instant::now();
        let (mut reply, actions) = self.nodes[to].on_request(self.now, request, entropy);
        self.traffic.record_decision(start.elapsed());
        if self.options.whole_sections
            && let MemberReply::Sections(copy) = &mut reply
        {
            let spread = self.nodes[to].config();
            copy.sections
                .iter_mut()
                .for_each(|section| replace_patch(section, |hash| spread.body(hash)));
        }
        self.execute(to, actions);
        if self.isolated[from] || self.isolated[to] {
            return;
        }
        self.traffic.record_message(to, from, &Reply::Member(reply.clone()));
        let due = self.now + self.message_delay(to, from);
        self.queue.schedule(due, Event::Reply { to: from, asked, reply });
    }

    fn finish_check(&mut self, vm: usize, candidate: Candidate) {
        let revision = candidate.revision;
        let entropy = self.rng.next_u64();
        let before = self.nodes[vm].config().revision();
        self.run_node(vm, |node, now| {
            node.on_checked(now, candidate, CheckResult::Valid, entropy).1
        });
        let is_latest = revision == self.store.head.revision && Revision(1) < revision;
        if before < revision && is_latest && 0 < self.store.edits {
            self.spread.saturating_record(self.now.since(self.store.published).0.max(1));
        }
    }

    /// Calls the state machine of a VM, measures the call and executes the resulting actions.
    pub(super) fn run_node(
        &mut self,
        vm: usize,
        call: impl FnOnce(&mut Node, Time) -> Vec<Action>,
    ) {
        let start = Instant::now();
        let actions = call(&mut self.nodes[vm], self.now);
        self.traffic.record_decision(start.elapsed());
        self.execute(vm, actions);
    }

    pub(super) fn execute(&mut self, vm: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, request } => self.send(vm, to, request),
                Action::ReadStore => {
                    let due = self.now + STORE_CALL_TIME + self.message_delay(vm, 0);
                    self.queue.schedule(due, Event::StoreRead { vm, asked: self.now });
                }
                Action::ReadBodies(head) => {
                    let missing = self.nodes[vm].config().missing(&head.sections);
                    let length =
                        |hash| self.store.bodies.iter().find(|text| BodyHash::of(text) == hash);
                    let lengths: Vec<u64> = missing
                        .iter()
                        .filter_map(|part| length(part.hash))
                        .map(|text| text.len() as u64)
                        .collect();
                    lengths.into_iter().for_each(|length| self.traffic.record_read(vm, length));
                    let due = self.now
                        + STORE_CALL_TIME
                        + self.message_delay(vm, 0)
                        + self.message_delay(vm, 0);
                    self.queue.schedule(due, Event::BodiesRead { vm, head });
                }
                Action::Check(candidate) => {
                    let due = self.now + CHECK_TIME_PER_VM.times(self.options.vms as u64);
                    self.queue.schedule(due, Event::Checked { vm, candidate });
                }
                // No VM joins or leaves in this simulation, and the VM list is complete.
                Action::ReadList | Action::ReadRoster | Action::Rejoin | Action::Leave => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: VmId, request: MemberRequest) {
        let Some(to) = self.indexes.get(&to).copied() else { return };
        if self.isolated[from] || self.isolated[to] {
            return;
        }
        self.traffic.record_message(from, to, &Request::Member(request.clone()));
        let due = self.now + self.message_delay(from, to);
        self.queue.schedule(due, Event::Request { from, to, asked: self.now, request });
    }

    /// Draws the one-way delay of a message. The store is in the region of VM 0.
    pub(super) fn message_delay(&mut self, from: usize, to: usize) -> Span {
        let base = if from % REGIONS == to % REGIONS { REGION_DELAY } else { REMOTE_DELAY };
        base + Span(self.rng.next_u64() % MAX_JITTER.0)
    }
}

/// Replaces a section's patch by its whole text, if the text is known.
fn replace_patch<'a>(section: &mut SectionCopy, find: impl FnOnce(BodyHash) -> Option<&'a str>) {
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
