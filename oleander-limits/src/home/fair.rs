//! Weighted fair queueing between workspaces by start tags.
//!
//! The first request of each workspace has a start tag in virtual time: the cost served for the
//! workspace so far, divided by its weight. The request with the lowest tag is served next. A
//! workspace within its fair share therefore waits only for the running requests, while a busier
//! one waits for its own backlog. A workspace may save a limited amount of unused service as
//! credit, so that a short burst is served at once if it stays within its fair share.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;

use oleander_core::ids::WorkspaceId;

use crate::home::request::Ticket;

/// The virtual time of one unit of cost at weight 1.
const VIRTUAL_UNIT: u64 = 1 << 20;
/// The virtual time that a workspace may save as credit while it uses less than its fair share.
const MAX_CREDIT: u64 = 8 * VIRTUAL_UNIT;
/// The maximum number of requests of one flow to try if the first cannot be placed.
const MAX_LOOK_AHEAD: usize = 4;
/// The maximum number of flows tried by one call to `pop`.
const MAX_FLOWS_VISITED: usize = 256;
/// The number of idle flows kept before any are considered for removal.
const MIN_IDLE_FLOWS: usize = 64;

/// `Item` is a request in a flow.
#[derive(Clone, Copy, Debug)]
pub struct Item {
    /// The ticket of the request.
    pub ticket: Ticket,
    /// The cost in queue units, 1 or more.
    pub cost: u32,
}

/// `FairQueue` holds one flow for each workspace with waiting requests.
///
/// The state of an idle workspace is dropped once virtual time has passed its tag, so memory use
/// follows the number of waiting requests.
#[derive(Debug, Default)]
pub struct FairQueue {
    flows: HashMap<WorkspaceId, Flow>,
    /// The flows with waiting requests, ordered by start tag.
    order: BTreeSet<(u64, WorkspaceId)>,
    /// The highest start tag served so far.
    virtual_time: u64,
    /// The total cost of the waiting requests.
    queued_cost: u64,
    /// The total weight of the flows with waiting requests.
    active_weight: u64,
}

/// `Flow` is the queue of one workspace.
#[derive(Debug, Default)]
struct Flow {
    items: VecDeque<Item>,
    weight: u32,
    /// The total cost of the flow's waiting requests.
    cost: u64,
    /// The virtual time at which the flow's first request starts.
    start_tag: u64,
}

impl FairQueue {
    /// Appends a request to the flow of its workspace.
    pub fn push(&mut self, workspace: WorkspaceId, weight: u32, item: Item) {
        let flow = self.flows.entry(workspace).or_default();
        if flow.items.is_empty() {
            // A workspace served beyond its fair share keeps its later tag; an idle one gets
            // limited credit.
            flow.start_tag = flow.start_tag.max(self.virtual_time.saturating_sub(MAX_CREDIT));
            self.order.insert((flow.start_tag, workspace));
        } else {
            self.active_weight -= u64::from(flow.weight);
        }
        flow.weight = weight;
        self.active_weight += u64::from(weight);
        flow.items.push_back(item);
        flow.cost += u64::from(item.cost);
        self.queued_cost += u64::from(item.cost);
    }

    /// Removes and returns the next request in fair order for which `place` returns a place.
    ///
    /// A flow whose first requests cannot be placed keeps its tag and does not block other flows.
    pub fn pop<P>(&mut self, mut place: impl FnMut(Ticket) -> Option<P>) -> Option<(Ticket, P)> {
        let flows = &self.flows;
        let (workspace, index, placed) =
            self.order.iter().take(MAX_FLOWS_VISITED).find_map(|(_, workspace)| {
                let (index, placed) = flows.get(workspace)?.first_placed(&mut place)?;
                Some((*workspace, index, placed))
            })?;
        let item = self.take(workspace, index)?;
        Some((item.ticket, placed))
    }

    /// Removes a request. Returns `true` if it was waiting in this queue.
    pub fn remove(&mut self, workspace: WorkspaceId, ticket: Ticket) -> bool {
        let Some(flow) = self.flows.get_mut(&workspace) else { return false };
        let Some(index) = flow.items.iter().position(|item| item.ticket == ticket) else {
            return false;
        };
        let Some(item) = flow.items.remove(index) else { return false };
        flow.cost -= u64::from(item.cost);
        self.queued_cost -= u64::from(item.cost);
        if flow.items.is_empty() {
            self.order.remove(&(flow.start_tag, workspace));
            self.active_weight -= u64::from(flow.weight);
            self.drop_idle();
        }
        true
    }

    /// Returns the total cost of the waiting requests.
    pub fn cost(&self) -> u64 {
        self.queued_cost
    }

    /// Returns the cost served in fair order before a new request of `workspace`.
    pub fn cost_ahead(&self, workspace: WorkspaceId, weight: u32) -> u64 {
        let flow = self.flows.get(&workspace).filter(|flow| !flow.items.is_empty());
        let own = flow.map_or(0, |flow| flow.cost);
        let weights = self.active_weight + if flow.is_some() { 0 } else { u64::from(weight) };
        // While the workspace's own backlog is served, the other flows receive at most the service
        // that corresponds to their weights.
        (own * weights / u64::from(weight.max(1))).min(self.queued_cost)
    }

    /// Returns `true` if no request waits.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Removes a request that starts now and advances the virtual time and the flow's start tag.
    fn take(&mut self, workspace: WorkspaceId, index: usize) -> Option<Item> {
        let flow = self.flows.get_mut(&workspace)?;
        let item = flow.items.remove(index)?;
        flow.cost -= u64::from(item.cost);
        self.queued_cost -= u64::from(item.cost);
        self.order.remove(&(flow.start_tag, workspace));
        self.virtual_time = self.virtual_time.max(flow.start_tag);
        flow.start_tag += u64::from(item.cost) * VIRTUAL_UNIT / u64::from(flow.weight.max(1));
        if flow.items.is_empty() {
            self.active_weight -= u64::from(flow.weight);
            self.drop_idle();
        } else {
            self.order.insert((flow.start_tag, workspace));
        }
        Some(item)
    }

    /// Drops idle flows whose tags virtual time has passed, once there are many idle flows.
    fn drop_idle(&mut self) {
        if self.flows.len() < 2 * self.order.len() + MIN_IDLE_FLOWS {
            return;
        }
        if self.order.is_empty() {
            // With no request waiting, all workspaces start again with equal tags.
            self.flows.clear();
            return;
        }
        let min_tag = self.virtual_time.saturating_sub(MAX_CREDIT);
        self.flows.retain(|_, flow| !flow.items.is_empty() || min_tag < flow.start_tag);
    }
}

impl Flow {
    /// Returns the index and place of the first request that can be placed, out of the first
    /// `MAX_LOOK_AHEAD`.
    fn first_placed<P>(&self, place: &mut impl FnMut(Ticket) -> Option<P>) -> Option<(usize, P)> {
        self.items
            .iter()
            .take(MAX_LOOK_AHEAD)
            .enumerate()
            .find_map(|(index, item)| place(item.ticket).map(|placed| (index, placed)))
    }
}
