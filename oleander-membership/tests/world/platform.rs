//! The fake store and the fake VM list of the platform.

use std::collections::BTreeMap;

use oleander_core::ids::VmId;
use oleander_core::time::Time;
use oleander_membership::member::Member;
use oleander_membership::member::MemberState;
use oleander_membership::node::ListedVm;
use oleander_membership::node::Node;
use oleander_membership::node::SharePlan;
use oleander_membership::node::StoreState;
use oleander_membership::shares::ShareMap;

use super::Event;
use super::RunNumber;
use super::World;
use super::options;

/// `FakeStore` is the store, with the contents of the VM list.
pub struct FakeStore {
    pub up: bool,
    /// Clears `ShareMap::reclaimed` in each read, so that new owners do not wait. The test must
    /// detect this fault.
    pub forgets_reclaimed: bool,
    /// Whether the VM list contains each VM.
    pub listed: Vec<bool>,
    /// The store revision, incremented by each write.
    revision: u64,
    shares: ShareMap,
    /// The store revision of the share record.
    stored: u64,
    /// The store revision of each VM's registration, which is the incarnation of its agent.
    registered: BTreeMap<usize, u64>,
}

#[derive(Clone)]
pub enum StoreCall {
    ReadState { asked: Time },
    ReadRoster,
    Register,
    Commit { plan: SharePlan, stored: u64 },
}

/// `StoreAnswer` is the answer to a `StoreCall`; `Failed` also stands for a lost answer.
pub enum StoreAnswer {
    State(StoreState),
    Roster { stored: u64, registered: Vec<(usize, u64)> },
    Registered { incarnation: u64, state: StoreState },
    Committed,
    Failed,
}

impl FakeStore {
    pub fn new(count: usize) -> Self {
        Self {
            up: true,
            forgets_reclaimed: false,
            listed: vec![true; count],
            revision: 1,
            shares: ShareMap::default(),
            stored: 0,
            registered: BTreeMap::new(),
        }
    }

    fn run(&mut self, vm: usize, call: StoreCall) -> StoreAnswer {
        match call {
            StoreCall::ReadState { asked } => {
                StoreAnswer::State(StoreState { asked, ..self.state() })
            }
            StoreCall::ReadRoster => {
                let registered = self.registered.iter().map(|(vm, revision)| (*vm, *revision));
                StoreAnswer::Roster { stored: self.revision, registered: registered.collect() }
            }
            StoreCall::Register => {
                self.revision += 1;
                self.registered.insert(vm, self.revision);
                let incarnation = self.revision;
                StoreAnswer::Registered { incarnation, state: self.state() }
            }
            StoreCall::Commit { plan, stored } => self.commit(plan, stored),
        }
    }

    fn state(&self) -> StoreState {
        let mut shares = self.shares.clone();
        if self.forgets_reclaimed {
            shares.reclaimed.clear();
        }
        StoreState { shares, shares_revision: self.stored, ..StoreState::default() }
    }

    fn commit(&mut self, plan: SharePlan, stored: u64) -> StoreAnswer {
        let find = |vm: VmId| {
            self.registered.iter().find(|(index, _)| VmId::from_name(&format!("vm-{index}")) == vm)
        };
        let removed: Option<Vec<usize>> = plan
            .removed
            .iter()
            .map(|owner| {
                let (index, revision) = find(owner.vm)?;
                (*revision == owner.incarnation.0).then_some(*index)
            })
            .collect();
        let Some(removed) = removed.filter(|_| stored == self.stored) else {
            return StoreAnswer::Failed;
        };
        self.revision += 1;
        self.stored = self.revision;
        self.shares = plan.next;
        self.registered.retain(|index, _| !removed.contains(index));
        StoreAnswer::Committed
    }
}

impl World {
    pub fn call(&mut self, vm: usize, call: StoreCall) {
        let run = self.vms[vm].run;
        // Some calls are slow, so a commit may take effect long after the caller timed out.
        let max = if self.draw(20) == 0 { 3_000 } else { 20 };
        self.after(1, max, Event::Call { vm, run, call });
    }

    pub fn store_call(&mut self, vm: usize, run: RunNumber, call: StoreCall) {
        let reaches = self.store.up && self.links.store[vm];
        let answer = if reaches { self.store.run(vm, call) } else { StoreAnswer::Failed };
        let is_lost = reaches && !self.faults_off && self.draw(10) == 0;
        let answer = if is_lost { StoreAnswer::Failed } else { answer };
        self.after(1, 20, Event::Answer { vm, run, answer });
    }

    pub fn store_answer(&mut self, index: usize, answer: StoreAnswer) {
        let now = self.vms[index].local(self.now);
        match answer {
            StoreAnswer::State(state) => self.state_read(index, now, state),
            StoreAnswer::Roster { stored, registered } => {
                let members = self.members(&registered);
                let node = self.vms[index].node.as_mut();
                let actions = node.map(|node| node.on_roster_read(now, stored, members));
                self.act(index, actions.unwrap_or_default());
            }
            StoreAnswer::Registered { incarnation, state } => {
                self.registered(index, now, incarnation, state);
            }
            StoreAnswer::Committed => {
                self.call(index, StoreCall::ReadState { asked: now });
                self.call(index, StoreCall::ReadRoster);
            }
            StoreAnswer::Failed => {
                self.vms[index].reading = false;
                if self.vms[index].joining {
                    self.call(index, StoreCall::Register);
                } else {
                    self.call(index, StoreCall::ReadRoster);
                }
            }
        }
    }

    pub fn join(&mut self, index: usize) {
        if !self.vms[index].joining {
            self.vms[index].joining = true;
            self.call(index, StoreCall::Register);
        }
    }

    pub fn read_list(&mut self, index: usize) {
        if !self.links.list[index] {
            return;
        }
        let listed = (0..self.vms.len()).filter(|vm| self.store.listed[*vm]);
        let entry = |vm: usize| ListedVm {
            vm: VmId::from_name(&self.vms[vm].name),
            state: MemberState::Alive,
        };
        let list: Vec<ListedVm> = listed.map(entry).collect();
        let now = self.vms[index].local(self.now);
        let actions = self.vms[index].node.as_mut().map(|node| node.on_list_read(now, &list));
        self.act(index, actions.unwrap_or_default());
    }

    fn state_read(&mut self, index: usize, now: Time, state: StoreState) {
        self.vms[index].reading = false;
        let Some(node) = self.vms[index].node.as_mut() else { return };
        let (present, stored) = (state.shares.clone(), state.shares_revision);
        let actions = node.on_store_read(now, state);
        let plan = node.plan(now, &present);
        self.act(index, actions);
        if let Some(plan) = plan {
            self.call(index, StoreCall::Commit { plan, stored });
        }
    }

    fn registered(&mut self, index: usize, now: Time, incarnation: u64, state: StoreState) {
        self.vms[index].joining = false;
        let own = self.vms[index].member(incarnation);
        match self.vms[index].node.as_mut() {
            Some(node) => node.rejoin(now, own),
            None => {
                let mut node = Node::new(now, own, options());
                // `asked` is `Time(0)` because the read has no known start, so it makes nothing
                // current.
                let actions = node.on_store_read(now, state);
                self.vms[index].node = Some(node);
                self.act(index, actions);
            }
        }
        self.read_list(index);
        self.call(index, StoreCall::ReadRoster);
    }

    fn members(&self, registered: &[(usize, u64)]) -> Vec<Member> {
        registered.iter().map(|(vm, revision)| self.vms[*vm].member(*revision)).collect()
    }
}
