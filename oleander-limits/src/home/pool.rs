//! Which connection of an instance serves a statement, and which one gives way.
//!
//! A connection belongs to one workspace for its life. An instance accepts few
//! connections, and each new one takes a slot for a while, so an idle connection
//! is closed only when another workspace needs its place.

use std::collections::VecDeque;

use oleander_core::ids::WorkspaceId;

/// `Mark` tells apart the sessions' values that a connection holds.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Mark(pub u64);

/// `Pick` is the connection for a statement.
#[derive(Debug, Eq, PartialEq)]
pub enum Pick<L> {
    /// This idle connection serves it.
    Reuse(L),
    /// A new connection is to be opened; `close` gives way to it.
    Open {
        /// The connection that has to be closed before.
        close: Option<L>,
    },
    /// All connections are in use.
    Full,
}

/// `Pool` holds the idle connections of one instance and counts all of them.
#[derive(Debug)]
pub struct Pool<L> {
    idle: VecDeque<Idle<L>>,
    open: u32,
}

#[derive(Debug)]
struct Idle<L> {
    workspace: WorkspaceId,
    mark: Mark,
    link: L,
}

impl<L> Default for Pool<L> {
    fn default() -> Self {
        Self { idle: VecDeque::new(), open: 0 }
    }
}

impl<L> Pool<L> {
    /// Takes a connection for a statement of `workspace`; `cap` bounds the connections.
    ///
    /// A connection that holds the session's values already goes first, then the latest used.
    /// A new connection counts from now on; `forget` takes it out.
    pub fn pick(&mut self, workspace: WorkspaceId, mark: Mark, cap: u32) -> Pick<L> {
        let same = |idle: &Idle<L>| idle.workspace == workspace;
        let exact = self.idle.iter().rposition(|idle| same(idle) && idle.mark == mark);
        let found = exact.or_else(|| self.idle.iter().rposition(same));
        if let Some(idle) = found.and_then(|at| self.idle.remove(at)) {
            return Pick::Reuse(idle.link);
        }
        if self.open < cap {
            self.open += 1;
            return Pick::Open { close: None };
        }
        match self.take_surplus() {
            // The place of the closed connection passes to the new one.
            Some(close) => Pick::Open { close: Some(close) },
            None => Pick::Full,
        }
    }

    /// Takes a connection back that is no longer in use.
    pub fn put(&mut self, workspace: WorkspaceId, mark: Mark, link: L) {
        self.idle.push_back(Idle { workspace, mark, link });
    }

    /// Takes in that a connection in use has been closed.
    pub fn forget(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Takes all idle connections out, to close them.
    pub fn drain(&mut self) -> Vec<L> {
        let links: Vec<L> = self.idle.drain(..).map(|idle| idle.link).collect();
        self.open = self.open.saturating_sub(links.len() as u32);
        links
    }

    /// Gets the number of connections, in use or idle.
    pub fn open(&self) -> u32 {
        self.open
    }

    /// Gets the number of idle connections.
    pub fn idle(&self) -> usize {
        self.idle.len()
    }

    /// Takes the least recently used connection of the workspace with most idle ones.
    fn take_surplus(&mut self) -> Option<L> {
        let count = |workspace: WorkspaceId| {
            self.idle.iter().filter(|idle| idle.workspace == workspace).count()
        };
        let most = self.idle.iter().map(|idle| count(idle.workspace)).max()?;
        let at = self.idle.iter().position(|idle| count(idle.workspace) == most)?;
        self.idle.remove(at).map(|idle| idle.link)
    }
}
