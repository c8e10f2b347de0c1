//! The compiled form of a document, with the lookup tables that request processing needs.

use std::collections::HashMap;

use la_arena::Arena;
use la_arena::Idx;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::Revision;
use oleander_core::ids::WorkspaceId;
use oleander_core::level::Level;
use oleander_core::time::Span;

use crate::model::Database;
use crate::model::Document;
use crate::model::KeyHash;
use crate::model::Matcher;
use crate::model::Rate;
use crate::model::Route;
use crate::model::Workspace;

/// `WorkspaceIdx` is the index of a workspace in `Snapshot::workspaces`, valid for one snapshot.
pub type WorkspaceIdx = Idx<Workspace>;
/// `DatabaseIdx` is the index of a database in `Snapshot::databases`, valid for one snapshot.
pub type DatabaseIdx = Idx<Database>;
/// `RouteIdx` is the index of a route in `Snapshot::routes`, valid for one snapshot.
pub type RouteIdx = Idx<Route>;

/// `Snapshot` is an accepted revision of the configuration, indexed for lookups.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// The revision under which the document was accepted.
    pub revision: Revision,
    /// The workspaces, in the order of the document.
    pub workspaces: Arena<Workspace>,
    /// The databases, in the order of the document.
    pub databases: Arena<Database>,
    /// The routes, in the order of the document.
    pub routes: Arena<Route>,
    /// The time for which an open transaction may be idle before it is ended; `None` leaves
    /// the limit to the home.
    pub tx_idle: Option<Span>,
    /// The lowest-priority level that a request may have.
    pub lowest_level: Level,
    /// The highest priority of a route; 0 if there is none.
    first_priority: u8,
    keys: HashMap<KeyHash, WorkspaceIdx>,
    rates: HashMap<WorkspaceId, Rate>,
    workspace_ids: HashMap<WorkspaceId, WorkspaceIdx>,
    database_ids: HashMap<DatabaseId, DatabaseIdx>,
    matchers: HashMap<Matcher, RouteIdx>,
}

impl Snapshot {
    /// Compiles a validated document.
    pub fn new(revision: Revision, document: Document) -> Self {
        let priorities = document.routes.iter().map(|route| route.priority);
        let first_priority = priorities.min().unwrap_or(0);
        let route = document.routes.iter().map(|route| route.priority).max();
        let workspace = document.workspaces.iter().map(|workspace| workspace.priority).max();
        let lowest_level = Level::from_priorities(route.unwrap_or(0), workspace.unwrap_or(0));
        let tx_idle = document.tx_idle;
        let mut snapshot =
            Self { revision, tx_idle, lowest_level, first_priority, ..Self::default() };
        for workspace in document.workspaces {
            snapshot.add_workspace(workspace);
        }
        for rate in document.rates {
            snapshot.rates.insert(WorkspaceId::from_name(&rate.workspace), rate);
        }
        for database in document.upstreams {
            let id = DatabaseId::from_name(&database.name);
            let idx = snapshot.databases.alloc(database);
            snapshot.database_ids.insert(id, idx);
        }
        for route in document.routes {
            let matcher = route.matcher.clone();
            let idx = snapshot.routes.alloc(route);
            snapshot.matchers.insert(matcher, idx);
        }
        snapshot
    }

    /// Returns the workspace that holds the key with this hash; `None` if no key has it.
    pub fn workspace_of_key(&self, hash: &KeyHash) -> Option<WorkspaceIdx> {
        self.keys.get(hash).copied()
    }

    /// Returns the workspace with this identifier; `None` if it is not configured.
    pub fn workspace(&self, id: WorkspaceId) -> Option<&Workspace> {
        self.workspace_ids.get(&id).map(|idx| &self.workspaces[*idx])
    }

    /// Returns the rate limit of a workspace; `None` if it is not limited.
    pub fn rate(&self, id: WorkspaceId) -> Option<&Rate> {
        self.rates.get(&id)
    }

    /// Returns the database with this identifier; `None` if it is not configured.
    pub fn database(&self, id: DatabaseId) -> Option<&Database> {
        self.database_ids.get(&id).map(|idx| &self.databases[*idx])
    }

    /// Returns the route with this matcher; `None` if no route has it.
    pub fn route(&self, matcher: &Matcher) -> Option<&Route> {
        self.matchers.get(matcher).map(|idx| &self.routes[*idx])
    }

    /// Returns the priority level of requests on a route by a workspace.
    pub fn level(&self, route: &Route, workspace: WorkspaceId) -> Level {
        let priority = self.workspace(workspace).map_or(0, |workspace| workspace.priority);
        Level::from_priorities(route.priority, priority)
    }

    /// Returns the priority level of requests on a route among those of one workspace. The most
    /// urgent routes of the configuration have the first level.
    pub fn route_level(&self, route: &Route) -> Level {
        Level::from_priorities(route.priority.saturating_sub(self.first_priority), 0)
    }

    fn add_workspace(&mut self, workspace: Workspace) {
        let id = WorkspaceId::from_name(&workspace.name);
        let hashes: Vec<KeyHash> = workspace.keys.iter().map(|key| key.hash).collect();
        let idx = self.workspaces.alloc(workspace);
        self.workspace_ids.insert(id, idx);
        for hash in hashes {
            self.keys.insert(hash, idx);
        }
    }
}
