//! Which connection of an instance serves a statement, and which one gives way.
//!
//! A connection belongs to one workspace for its life. An instance accepts few
//! connections, and each new one takes a slot for a while, so an idle connection
//! is closed only when another workspace needs its place, or when it has been idle for long and
//! the pool holds more than `PoolOptions::keep_open`: the connections of a VM that loses power count at the instance for a
//! while, and the next home of the instance needs some at once.

use std::collections::VecDeque;

use oleander_core::ids::WorkspaceId;
use oleander_core::time::Span;
use oleander_core::time::Time;

/// The time for which no further connection is tried after an instance has refused one: a tenth of
/// the time for which the connections of a lost VM count.
const REFUSED_PAUSE: Span = Span::from_millis(300);

/// The same where no connection is open, so that nothing can be served without one.
const EMPTY_PAUSE: Span = Span::from_millis(60);

/// The time after which an idle connection counts as little used: many times that in which a new one
/// opens.
const IDLE_TIME: Span = Span::from_millis(1_000);

/// `SettingsHash` tells apart the sessions' values that a connection holds.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct SettingsHash(pub u64);

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

/// `PoolOptions` are the bounds of a pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolOptions {
    /// The connections that may be open.
    pub max_open: u32,
    /// The connections up to which idle ones are kept.
    pub keep_open: u32,
}

/// `Pool` holds the idle connections of one instance and counts all of them.
#[derive(Debug)]
pub struct Pool<L> {
    idle: VecDeque<Idle<L>>,
    open: u32,
    options: PoolOptions,
    refused: Option<Refused>,
}

/// `Refused` says that the instance accepted no more than the connections that were open then.
#[derive(Clone, Copy, Debug)]
struct Refused {
    open: u32,
    until: Time,
}

#[derive(Debug)]
struct Idle<L> {
    workspace: WorkspaceId,
    settings_hash: SettingsHash,
    link: L,
    since: Time,
}

impl<L> Default for Pool<L> {
    fn default() -> Self {
        Self { idle: VecDeque::new(), open: 0, options: PoolOptions::default(), refused: None }
    }
}

impl<L> Pool<L> {
    /// Changes the bounds.
    pub fn set_options(&mut self, options: PoolOptions) {
        self.options = options;
    }

    /// Gets the connections that may be open now.
    pub fn max_open(&self, now: Time) -> u32 {
        match self.refused {
            Some(refused) if self.is_refused(now) => refused.open.min(self.options.max_open),
            _ => self.options.max_open,
        }
    }

    /// Takes in that the instance accepts no more connections; no other is tried for a while.
    pub fn record_refusal(&mut self, now: Time) {
        let pause = if self.open == 0 { EMPTY_PAUSE } else { REFUSED_PAUSE };
        self.refused = Some(Refused { open: self.open, until: now + pause });
    }

    /// Takes a connection for a statement of `workspace`.
    ///
    /// A connection that holds the session's values already goes first, then the latest used.
    /// A new connection counts from now on; `record_closed` takes it out.
    pub fn pick(
        &mut self,
        now: Time,
        workspace: WorkspaceId,
        settings_hash: SettingsHash,
    ) -> Pick<L> {
        let same = |idle: &Idle<L>| idle.workspace == workspace;
        let exact =
            self.idle.iter().rposition(|idle| same(idle) && idle.settings_hash == settings_hash);
        let found = exact.or_else(|| self.idle.iter().rposition(same));
        if let Some(idle) = found.and_then(|at| self.idle.remove(at)) {
            return Pick::Reuse(idle.link);
        }
        if self.open < self.max_open(now) {
            self.open += 1;
            return Pick::Open { close: None };
        }
        match self.take_surplus() {
            // The place of the closed connection passes to the new one.
            Some(close) => Pick::Open { close: Some(close) },
            None => Pick::Full,
        }
    }

    /// Takes a connection back that is no longer in use. Gets one to close if more are open than
    /// are kept and one has been idle for long.
    pub fn put(
        &mut self,
        now: Time,
        workspace: WorkspaceId,
        settings_hash: SettingsHash,
        link: L,
    ) -> Option<L> {
        self.idle.push_back(Idle { workspace, settings_hash, link, since: now });
        if self.open <= self.options.keep_open {
            return None;
        }
        // Connections come back in the order of time.
        let is_old = self.idle.front().is_some_and(|idle| IDLE_TIME <= now.since(idle.since));
        let oldest = if is_old { self.idle.pop_front() } else { None };
        self.open -= u32::from(oldest.is_some());
        oldest.map(|idle| idle.link)
    }

    /// Takes in that a connection in use has been closed.
    pub fn record_closed(&mut self) {
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

    fn is_refused(&self, now: Time) -> bool {
        self.refused.is_some_and(|refused| now < refused.until)
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
