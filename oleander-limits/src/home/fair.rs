//! Weighted deficit round robin between workspaces.

use std::collections::HashMap;
use std::collections::VecDeque;

use oleander_core::ids::WorkspaceId;

use crate::home::queue::Ticket;

/// The entries of one flow that are tried when the first cannot be placed.
const LOOK_AHEAD: usize = 4;
/// The flows that one call visits at most; the next call goes on from there.
const MAX_VISITS: usize = 256;

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
/// An idle workspace has no state, so the size follows the waiting requests.
#[derive(Debug, Default)]
pub struct FairQueue {
    flows: HashMap<WorkspaceId, Flow>,
    ring: VecDeque<WorkspaceId>,
    cost: u64,
    weight: u64,
    largest: u32,
}

/// `Flow` is the backlog of one workspace.
///
/// A turn starts with a credit of weight × the largest cost and ends once the
/// credit is spent; what the last request took beyond it is owed to the next turn.
#[derive(Debug)]
struct Flow {
    items: VecDeque<Item>,
    weight: u32,
    cost: u64,
    credit: i64,
}

impl FairQueue {
    /// Adds a request to the flow of its workspace.
    pub fn push(&mut self, workspace: WorkspaceId, weight: u32, item: Item) {
        let flow = self.flows.entry(workspace).or_insert_with(|| {
            self.ring.push_back(workspace);
            self.weight += u64::from(weight);
            Flow { items: VecDeque::new(), weight, cost: 0, credit: 0 }
        });
        self.weight = self.weight - u64::from(flow.weight) + u64::from(weight);
        self.largest = self.largest.max(item.cost);
        flow.weight = weight;
        flow.items.push_back(item);
        flow.cost += u64::from(item.cost);
        self.cost += u64::from(item.cost);
    }

    /// Takes the next request in fair order that `place` finds a place for.
    ///
    /// A flow whose first requests have no place keeps its turn's credit and
    /// does not hold up the others.
    pub fn pop<P>(&mut self, mut place: impl FnMut(Ticket) -> Option<P>) -> Option<(Ticket, P)> {
        let visits = self.ring.len().min(MAX_VISITS);
        for _ in 0..visits {
            let workspace = *self.ring.front()?;
            let flow = self.flows.get_mut(&workspace)?;
            if flow.credit <= 0 {
                flow.credit += i64::from(self.largest) * i64::from(flow.weight);
            }
            if let Some((at, found)) = flow.first_placed(&mut place) {
                return self.take(workspace, at).map(|item| (item.ticket, found));
            }
            self.ring.rotate_left(1);
        }
        None
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
            self.close(workspace);
        }
        true
    }

    /// Gets the waiting cost of all workspaces.
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// Gets the cost that is served before a new request of `workspace` under fair turns.
    pub fn cost_ahead(&self, workspace: WorkspaceId, weight: u32) -> u64 {
        let own = self.flows.get(&workspace).map_or(0, |flow| flow.cost);
        let known = self.flows.contains_key(&workspace);
        let weights = self.weight + if known { 0 } else { u64::from(weight) };
        // In the time that the own backlog takes, the others get at most their weights' part.
        (own * weights / u64::from(weight.max(1))).min(self.cost)
    }

    /// Returns `true` if nothing waits.
    pub fn is_empty(&self) -> bool {
        self.ring.is_empty()
    }

    fn take(&mut self, workspace: WorkspaceId, at: usize) -> Option<Item> {
        let flow = self.flows.get_mut(&workspace)?;
        let item = flow.items.remove(at)?;
        flow.cost -= u64::from(item.cost);
        flow.credit -= i64::from(item.cost);
        self.cost -= u64::from(item.cost);
        if flow.items.is_empty() {
            self.close(workspace);
        } else if flow.credit <= 0 {
            self.ring.rotate_left(1);
        }
        Some(item)
    }

    fn close(&mut self, workspace: WorkspaceId) {
        if let Some(flow) = self.flows.remove(&workspace) {
            self.weight -= u64::from(flow.weight);
        }
        if self.ring.front() == Some(&workspace) {
            self.ring.pop_front();
        } else {
            self.ring.retain(|other| *other != workspace);
        }
    }
}

impl Flow {
    fn first_placed<P>(&self, place: &mut impl FnMut(Ticket) -> Option<P>) -> Option<(usize, P)> {
        self.items
            .iter()
            .take(LOOK_AHEAD)
            .enumerate()
            .find_map(|(at, item)| place(item.ticket).map(|found| (at, found)))
    }
}
