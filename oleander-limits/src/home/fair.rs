//! Weighted fair queueing between workspaces by start tags.
//!
//! Each workspace's first request has a start tag in virtual time: the cost
//! that the workspace was served before, divided by its weight. The lowest tag
//! is served next, so that a workspace within its part waits for the running
//! requests only, while a busy one waits for its own backlog. What a workspace
//! leaves unused it may use a little later, so that a short burst of one
//! within its part is served at once.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;

use oleander_core::ids::WorkspaceId;

use crate::home::request::Ticket;

/// The virtual time of one unit of cost at weight 1.
const VIRTUAL_UNIT: u64 = 1 << 20;
/// The virtual time that a workspace may save while it asks for less than its part.
const MAX_CREDIT: u64 = 8 * VIRTUAL_UNIT;
/// The entries of one flow that are tried when the first cannot be placed.
const MAX_LOOK_AHEAD: usize = 4;
/// The flows that one call visits at most.
const MAX_FLOWS_VISITED: usize = 256;
/// The idle flows that are kept without looking whether they are still needed.
const MIN_IDLE_FLOWS: usize = 64;

/// `Item` is an entry of a flow.
#[derive(Clone, Copy, Debug)]
pub struct Item {
    /// The request.
    pub ticket: Ticket,
    /// The cost in queue units, 1 or more.
    pub cost: u32,
}

/// `FairQueue` holds a flow for each workspace with waiting requests.
///
/// The state of an idle workspace is dropped once virtual time has passed its
/// tag, so that the size follows the waiting requests.
#[derive(Debug, Default)]
pub struct FairQueue {
    flows: HashMap<WorkspaceId, Flow>,
    order: BTreeSet<(u64, WorkspaceId)>,
    virtual_time: u64,
    cost: u64,
    weight: u64,
}

/// `Flow` is the backlog of one workspace.
#[derive(Debug, Default)]
struct Flow {
    items: VecDeque<Item>,
    weight: u32,
    cost: u64,
    start_tag: u64,
}

impl FairQueue {
    /// Adds a request to the flow of its workspace.
    pub fn push(&mut self, workspace: WorkspaceId, weight: u32, item: Item) {
        let flow = self.flows.entry(workspace).or_default();
        if flow.items.is_empty() {
            // A workspace that was served ahead waits its turn; an idle one saves a small claim.
            flow.start_tag = flow.start_tag.max(self.virtual_time.saturating_sub(MAX_CREDIT));
            self.order.insert((flow.start_tag, workspace));
        } else {
            self.weight -= u64::from(flow.weight);
        }
        flow.weight = weight;
        self.weight += u64::from(weight);
        flow.items.push_back(item);
        flow.cost += u64::from(item.cost);
        self.cost += u64::from(item.cost);
    }

    /// Takes the next request in fair order that `place` finds a place for.
    ///
    /// A flow whose first requests have no place keeps its tag and does not
    /// hold up the others.
    pub fn pop<P>(&mut self, mut place: impl FnMut(Ticket) -> Option<P>) -> Option<(Ticket, P)> {
        let flows = &self.flows;
        let (workspace, at, found) =
            self.order.iter().take(MAX_FLOWS_VISITED).find_map(|(_, workspace)| {
                let (at, found) = flows.get(workspace)?.first_placed(&mut place)?;
                Some((*workspace, at, found))
            })?;
        let item = self.take(workspace, at)?;
        Some((item.ticket, found))
    }

    /// Removes a request. Returns `true` if it was waiting in this queue.
    pub fn remove(&mut self, workspace: WorkspaceId, ticket: Ticket) -> bool {
        let Some(flow) = self.flows.get_mut(&workspace) else { return false };
        let Some(at) = flow.items.iter().position(|item| item.ticket == ticket) else {
            return false;
        };
        let Some(item) = flow.items.remove(at) else { return false };
        flow.cost -= u64::from(item.cost);
        self.cost -= u64::from(item.cost);
        if flow.items.is_empty() {
            self.order.remove(&(flow.start_tag, workspace));
            self.weight -= u64::from(flow.weight);
            self.drop_idle();
        }
        true
    }

    /// Gets the waiting cost of all workspaces.
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// Gets the cost that is served before a new request of `workspace` in fair order.
    pub fn cost_ahead(&self, workspace: WorkspaceId, weight: u32) -> u64 {
        let flow = self.flows.get(&workspace).filter(|flow| !flow.items.is_empty());
        let own = flow.map_or(0, |flow| flow.cost);
        let weights = self.weight + if flow.is_some() { 0 } else { u64::from(weight) };
        // In the time that the own backlog takes, the others get at most their weights' part.
        (own * weights / u64::from(weight.max(1))).min(self.cost)
    }

    /// Returns `true` if nothing waits.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    fn take(&mut self, workspace: WorkspaceId, at: usize) -> Option<Item> {
        let flow = self.flows.get_mut(&workspace)?;
        let item = flow.items.remove(at)?;
        flow.cost -= u64::from(item.cost);
        self.cost -= u64::from(item.cost);
        self.order.remove(&(flow.start_tag, workspace));
        self.virtual_time = self.virtual_time.max(flow.start_tag);
        flow.start_tag += u64::from(item.cost) * VIRTUAL_UNIT / u64::from(flow.weight.max(1));
        if flow.items.is_empty() {
            self.weight -= u64::from(flow.weight);
            self.drop_idle();
        } else {
            self.order.insert((flow.start_tag, workspace));
        }
        Some(item)
    }

    /// Drops idle flows whose tags virtual time has passed, once there are many.
    fn drop_idle(&mut self) {
        if self.flows.len() < 2 * self.order.len() + MIN_IDLE_FLOWS {
            return;
        }
        if self.order.is_empty() {
            // With nothing waiting, all workspaces start anew.
            self.flows.clear();
            return;
        }
        let least = self.virtual_time.saturating_sub(MAX_CREDIT);
        self.flows.retain(|_, flow| !flow.items.is_empty() || least < flow.start_tag);
    }
}

impl Flow {
    fn first_placed<P>(&self, place: &mut impl FnMut(Ticket) -> Option<P>) -> Option<(usize, P)> {
        self.items
            .iter()
            .take(MAX_LOOK_AHEAD)
            .enumerate()
            .find_map(|(at, item)| place(item.ticket).map(|found| (at, found)))
    }
}
