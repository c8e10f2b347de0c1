//! Selects the pooled connection that serves a statement, and the idle connection to close for a
//! new one.
//!
//! A connection belongs to one workspace for its lifetime. An instance accepts few connections, and
//! opening one occupies a slot for a while. An idle connection is therefore closed only if another
//! workspace needs its place, or if it has been idle for `IDLE_TIME` and the pool holds more than
//! `PoolOptions::keep_open` connections. That bound exists because the connections of a VM that
//! loses power continue to count at the instance for a while, and the next home of the instance
//! needs some at once.

use std::collections::VecDeque;

use oleander_core::ids::WorkspaceId;
use oleander_core::level::Level;
use oleander_core::time::Span;
use oleander_core::time::Time;

/// The time for which no further connection is opened after the instance refused one: a tenth of
/// the time for which it counts the connections of a lost VM.
const REFUSED_PAUSE: Span = Span::from_millis(300);

/// The same pause if no connection is open; it is shorter because nothing can be served without
/// one.
const EMPTY_PAUSE: Span = Span::from_millis(60);

/// The idle time after which a connection counts as little used; many times the time it takes to
/// open one.
const IDLE_TIME: Span = Span::from_millis(1_000);

/// `SettingsHash` is a hash of the session settings that a connection holds.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct SettingsHash(pub u64);

/// `Pick` is the result of selecting a connection for a statement.
#[derive(Debug, Eq, PartialEq)]
pub enum Pick<C> {
    /// Use this idle connection.
    Reuse(C),
    /// Open a new connection.
    Open {
        /// The idle connection to close first, or `None` if the pool has room for another.
        close: Option<C>,
    },
    /// All connections are in use.
    Full,
}

/// `PoolOptions` are the bounds of a pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolOptions {
    /// The maximum number of open connections.
    pub max_open: u32,
    /// The number of open connections up to which idle ones are not closed.
    pub keep_open: u32,
}

/// `Pool` holds the idle connections of one instance and counts all open ones.
#[derive(Debug)]
pub struct Pool<C> {
    idle: VecDeque<Idle<C>>,
    open: u32,
    options: PoolOptions,
    refused: Option<Refused>,
}

/// `Refused` records that the instance accepted no more than `open` connections; none is opened
/// beyond them before `until`.
#[derive(Clone, Copy, Debug)]
struct Refused {
    open: u32,
    until: Time,
}

#[derive(Debug)]
struct Idle<C> {
    workspace: WorkspaceId,
    /// The level of the statement that used the connection last.
    level: Level,
    settings_hash: SettingsHash,
    connection: C,
    idle_since: Time,
}

impl<C> Default for Pool<C> {
    fn default() -> Self {
        Self { idle: VecDeque::new(), open: 0, options: PoolOptions::default(), refused: None }
    }
}

impl<C> Pool<C> {
    /// Replaces the bounds.
    pub fn set_options(&mut self, options: PoolOptions) {
        self.options = options;
    }

    /// Returns the maximum number of open connections at `now`, lower than configured for a while
    /// after a refusal.
    pub fn max_open(&self, now: Time) -> u32 {
        match self.refused {
            Some(refused) if self.is_refused(now) => refused.open.min(self.options.max_open),
            _ => self.options.max_open,
        }
    }

    /// Records that the instance refused a connection. The pool opens no further one until a pause
    /// has passed.
    pub fn record_refusal(&mut self, now: Time) {
        let pause = if self.open == 0 { EMPTY_PAUSE } else { REFUSED_PAUSE };
        self.refused = Some(Refused { open: self.open, until: now + pause });
    }

    /// Selects a connection for a statement of `workspace`.
    ///
    /// Prefers idle connections that already hold the session's settings, then the most recently
    /// used one of the workspace. A new connection counts as open from now on; if opening it fails,
    /// the caller calls `record_closed`.
    pub fn pick(
        &mut self,
        now: Time,
        workspace: WorkspaceId,
        settings_hash: SettingsHash,
    ) -> Pick<C> {
        let same = |idle: &Idle<C>| idle.workspace == workspace;
        let exact =
            self.idle.iter().rposition(|idle| same(idle) && idle.settings_hash == settings_hash);
        let found = exact.or_else(|| self.idle.iter().rposition(same));
        if let Some(idle) = found.and_then(|index| self.idle.remove(index)) {
            return Pick::Reuse(idle.connection);
        }
        if self.open < self.max_open(now) {
            self.open += 1;
            return Pick::Open { close: None };
        }
        match self.take_surplus(now) {
            // The new connection takes the place of the closed one in the count.
            Some(close) => Pick::Open { close: Some(close) },
            None => Pick::Full,
        }
    }

    /// Puts back a connection that a statement of the highest level used, as `put_at_level` does.
    pub fn put(
        &mut self,
        now: Time,
        workspace: WorkspaceId,
        settings_hash: SettingsHash,
        connection: C,
    ) -> Option<C> {
        self.put_at_level(now, Level::default(), workspace, settings_hash, connection)
    }

    /// Puts back a connection that is no longer in use. Returns a connection to close if more than
    /// `keep_open` are open and the oldest idle one has been idle for `IDLE_TIME`.
    pub fn put_at_level(
        &mut self,
        now: Time,
        level: Level,
        workspace: WorkspaceId,
        settings_hash: SettingsHash,
        connection: C,
    ) -> Option<C> {
        self.idle.push_back(Idle { workspace, level, settings_hash, connection, idle_since: now });
        if self.open <= self.options.keep_open {
            return None;
        }
        // Connections are put back in order of time, so the first has been idle for the longest.
        let is_old = self.idle.front().is_some_and(|idle| IDLE_TIME <= now.since(idle.idle_since));
        let oldest = if is_old { self.idle.pop_front() } else { None };
        self.open -= u32::from(oldest.is_some());
        oldest.map(|idle| idle.connection)
    }

    /// Records that a connection in use was closed or could not be opened.
    pub fn record_closed(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Removes and returns all idle connections, for closing.
    pub fn drain(&mut self) -> Vec<C> {
        let connections: Vec<C> = self.idle.drain(..).map(|idle| idle.connection).collect();
        self.open = self.open.saturating_sub(connections.len() as u32);
        connections
    }

    /// Returns the number of open connections, idle or in use.
    pub fn open(&self) -> u32 {
        self.open
    }

    /// Returns the number of idle connections.
    pub fn idle(&self) -> usize {
        self.idle.len()
    }

    fn is_refused(&self, now: Time) -> bool {
        self.refused.is_some_and(|refused| now < refused.until)
    }

    /// Removes and returns the least recently used connection of the workspace with the most idle
    /// ones.
    ///
    /// If several levels have idle connections, only those that are little used count, or, if there
    /// is none, those of the lowest level: to open one again would take a slot from a higher level.
    fn take_surplus(&mut self, now: Time) -> Option<C> {
        let lowest = self.idle.iter().map(|idle| idle.level).max()?;
        let highest = self.idle.iter().map(|idle| idle.level).min()?;
        let is_old = |idle: &Idle<C>| IDLE_TIME <= now.since(idle.idle_since);
        let any_old = self.idle.iter().any(is_old);
        let counts = |idle: &Idle<C>| {
            lowest == highest || if any_old { is_old(idle) } else { idle.level == lowest }
        };
        let count = |workspace: WorkspaceId| {
            self.idle.iter().filter(|idle| counts(idle) && idle.workspace == workspace).count()
        };
        let counted = || self.idle.iter().filter(|idle| counts(idle));
        let most = counted().map(|idle| count(idle.workspace)).max()?;
        let is_surplus = |idle: &Idle<C>| counts(idle) && count(idle.workspace) == most;
        let index = self.idle.iter().position(is_surplus)?;
        self.idle.remove(index).map(|idle| idle.connection)
    }
}
