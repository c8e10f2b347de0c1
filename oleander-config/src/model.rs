//! The data model of a validated configuration document.

use oleander_core::places::Place;
use oleander_core::statement::Access;
use oleander_core::time::Span;
use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;

/// The number of bytes in a key hash (SHA-256).
pub const KEY_HASH_BYTES: usize = 32;

/// `Section` is a part of the document that is stored, edited and owned separately.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Section {
    /// Workspaces, their keys and weights.
    Workspaces,
    /// Rate limits of workspaces.
    Rates,
    /// Databases and their instances.
    Upstreams,
    /// Routes from requests to databases.
    Routes,
}

/// `Document` is a complete configuration whose references have been validated.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Document {
    /// The workspaces, in the order of the document.
    pub workspaces: Vec<Workspace>,
    /// The rate limits, at most one per workspace; a workspace without one is not limited.
    pub rates: Vec<Rate>,
    /// The database groups.
    pub upstreams: Vec<Database>,
    /// The routes.
    pub routes: Vec<Route>,
    /// The time for which an open transaction may be idle before it is ended; `None` leaves
    /// the limit to the home.
    pub tx_idle: Option<Span>,
}

/// `Workspace` is a tenant with its keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Workspace {
    /// The unique name.
    pub name: String,
    /// The keys that are currently granted.
    pub keys: Vec<Key>,
    /// The weight in fair queueing; at least 1.
    pub weight: u32,
    /// The kinds of requests that its routes refer to.
    pub kinds: Vec<Kind>,
    /// The priority of its requests; 0 is the highest.
    pub priority: u8,
    /// The regions in which its requests may run; empty if all are allowed.
    pub regions: Vec<String>,
}

/// `Key` is a granted API key. Only its hash is stored.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Key {
    /// The name by which operators withdraw the key; unique in the workspace.
    pub name: String,
    /// The SHA-256 digest of the key.
    pub hash: KeyHash,
}

/// `KeyHash` is the SHA-256 digest of a caller's key.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct KeyHash(pub [u8; KEY_HASH_BYTES]);

/// `Kind` is a kind of request, such as an order or a report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Kind {
    /// The name, unique in the workspace; routes refer to it.
    pub name: String,
    /// The weight of answered requests in the metrics; at least 1.
    pub weight: u32,
}

/// `Rate` is the rate limit of a workspace, in total over all VMs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rate {
    /// The name of the workspace.
    pub workspace: String,
    /// The sustained rate in requests per second; at least 1.
    pub rate: u32,
    /// The number of requests that may arrive at once; at least 1.
    pub burst: u32,
}

/// `Acknowledge` states when a write is acknowledged to the caller.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Acknowledge {
    /// When a majority of the instances has the write.
    #[default]
    Replicated,
    /// When the primary has the write; a promotion may lose it.
    Primary,
}

/// `Database` is a database group: one primary and its replicas.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Database {
    /// The unique name.
    pub name: String,
    /// When a write is acknowledged to the caller.
    pub acknowledge: Acknowledge,
    /// The maximum number of statements that one instance runs at a time, over all VMs.
    pub slots: u32,
    /// The maximum number of connections to one instance, over all VMs.
    pub connections: u32,
    /// `true` while the database is being removed: it gets no new work.
    pub leaving: bool,
    /// The instances. An instance's index is its ordinal.
    pub instances: Vec<Instance>,
    /// The limit on requests to an instance that is warming up; `None` if there is none.
    pub warmup: Option<Warmup>,
}

/// `Warmup` limits the requests to an instance that has started recently.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Warmup {
    /// The maximum number of requests per second to one instance, over all VMs; at least 1.
    pub rate: u32,
}

/// `Instance` is one server of a database group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Instance {
    /// The name, unique in the database.
    pub name: String,
    /// The IP address and port.
    pub address: String,
    /// The region and availability zone.
    pub place: Place,
    /// `true` while the instance is being removed: it gets no new work.
    pub leaving: bool,
}

/// `Route` maps matching requests to a database.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// The unique name.
    pub name: String,
    /// The requests that the route applies to.
    pub matcher: Matcher,
    /// The name of the database.
    pub database: String,
    /// Whether the statements read or write, and whether a write is idempotent.
    pub access: Access,
    /// The name of the kind of request, for weights and metrics.
    pub kind: String,
    /// Who may use the route.
    pub audience: Audience,
    /// The maximum age of the data that a read returns; `None` requires only what the session has
    /// seen.
    pub max_age: Option<Span>,
    /// The time within which the caller needs the answer.
    pub deadline: Span,
    /// The cost of a request in rate limit tokens and in fair queueing; at least 1.
    pub cost: u32,
    /// The consistency guarantee of reads.
    pub consistency: Consistency,
    /// The response time after which an answer loses value to the caller. At most the deadline
    /// unless one request takes several statements.
    pub target_latency: Span,
    /// The priority of its requests; 0 is the highest.
    pub priority: u8,
    /// The regions in which its requests may run; empty if all are allowed.
    pub regions: Vec<String>,
}

/// `Consistency` states which commits a read of a route must see.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Consistency {
    /// The session's own commits, and all commits older than the route's `max_age`.
    #[default]
    Session,
    /// All commits older than the route's `max_age`.
    Bounded,
    /// All commits; only the primary serves such a read.
    Primary,
}

/// `Matcher` selects the requests that a route applies to.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Matcher {
    /// Requests to `/v1/statements` with this statement class.
    Class(String),
    /// Sessions that are opened with this database name.
    Session(String),
    /// Requests to an HTTP method and path of the route's own.
    Path {
        /// The method, in upper case.
        method: String,
        /// The complete path, starting with `/`.
        path: String,
    },
}

impl std::fmt::Display for Matcher {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Matcher::Class(class) => write!(f, "class {class}"),
            Matcher::Session(name) => write!(f, "session {name}"),
            Matcher::Path { method, path } => write!(f, "{method} {path}"),
        }
    }
}

/// `Audience` states who may use a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Audience {
    /// Anyone, without a key. Requests are charged to the named workspace.
    Open(String),
    /// Every workspace, with a key.
    Keyed,
    /// The named workspaces, with a key.
    Only(Vec<String>),
}
