//! The order in which waiting requests are dropped from a full queue.

use std::collections::BTreeSet;

use oleander_core::ids::WorkspaceId;

use crate::home::request::Ticket;
use crate::home::urgency::Rank;

/// `DropKey` orders the requests of a queue by rank and then by arrival.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct DropKey {
    pub(super) rank: Rank,
    /// The number of the request in the order of arrival.
    pub(super) serial: u64,
    pub(super) ticket: Ticket,
}

/// `DropOrder` finds the request to drop: the latest of the last rank.
#[derive(Debug, Default)]
pub(super) struct DropOrder {
    all: BTreeSet<DropKey>,
    by_workspace: BTreeSet<(WorkspaceId, DropKey)>,
}

impl DropOrder {
    pub(super) fn insert(&mut self, workspace: WorkspaceId, key: DropKey) {
        self.all.insert(key);
        self.by_workspace.insert((workspace, key));
    }

    pub(super) fn remove(&mut self, workspace: WorkspaceId, key: DropKey) {
        self.all.remove(&key);
        self.by_workspace.remove(&(workspace, key));
    }

    /// Returns the request of any workspace to drop first.
    pub(super) fn last(&self) -> Option<DropKey> {
        self.all.last().copied()
    }

    /// Returns the request of the workspace to drop first.
    pub(super) fn last_of(&self, workspace: WorkspaceId) -> Option<DropKey> {
        let key = |rank, number| DropKey { rank, serial: number, ticket: Ticket(number) };
        let first = (workspace, key(Rank::default(), 0));
        let last = (workspace, key(Rank::LAST, u64::MAX));
        self.by_workspace.range(first..=last).next_back().map(|(_, key)| *key)
    }
}
