//! The checked configuration document.

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

/// `Section` is one of the parts of the document that are edited and owned apart.
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
    /// Rates and bursts.
    Rates,
    /// Databases and their instances.
    Upstreams,
    /// Routes from requests to databases.
    Routes,
}

/// `Document` is a whole configuration in which all references are known to hold.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Document {
    /// The workspaces, in the order of the document.
    pub workspaces: Vec<Workspace>,
    /// The rates, at most one a workspace; a workspace without one is not limited.
    pub rates: Vec<Rate>,
    /// The databases.
    pub upstreams: Vec<Database>,
    /// The routes.
    pub routes: Vec<Route>,
    /// The time for which an open transaction may rest; `None` leaves it to the home.
    pub tx_idle: Option<Span>,
}

/// `Workspace` is a tenant with its keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Workspace {
    /// The unique name.
    pub name: String,
    /// The keys that are granted now.
    pub keys: Vec<Key>,
    /// The weight in fair queueing; 1 or more.
    pub weight: u32,
    /// The kinds of requests and their weights.
    pub kinds: Vec<Kind>,
}

/// `Key` is a granted key, kept as its hash only.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Key {
    /// The name by which operators withdraw it, unique in the workspace.
    pub name: String,
    /// The SHA-256 of the key.
    pub hash: KeyHash,
}

/// `KeyHash` is the SHA-256 of a caller's key.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct KeyHash(pub [u8; KEY_HASH_BYTES]);

/// `Kind` is a kind of request, such as an order or a report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Kind {
    /// The name, unique in the workspace; routes refer to it.
    pub name: String,
    /// The weight with which answered requests count in the measures.
    pub weight: u32,
}

/// `Rate` is the limit of a workspace over all VMs together.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rate {
    /// The name of the workspace.
    pub workspace: String,
    /// The sustained rate in requests a second; 1 or more.
    pub rate: u32,
    /// The number of requests that may come at once; 1 or more.
    pub burst: u32,
}

/// `Acknowledge` says when a write is answered as done.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Acknowledge {
    /// Once a majority of the instances holds the write.
    #[default]
    Replicated,
    /// Once the primary holds the write; a promotion may lose it.
    Primary,
}

/// `Database` is a database group: one primary and its replicas.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Database {
    /// The unique name.
    pub name: String,
    /// When a write is acknowledged.
    pub acknowledge: Acknowledge,
    /// The statements that one instance runs at a time, over all VMs.
    pub slots: u32,
    /// The connections that one instance accepts, over all VMs.
    pub connections: u32,
    /// `true` while the database leaves: it gets no new work.
    pub leaving: bool,
    /// The instances; their order fixes the ordinals.
    pub instances: Vec<Instance>,
}

/// `Instance` is one server of a database group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Instance {
    /// The name, unique in the database.
    pub name: String,
    /// The host and port.
    pub address: String,
    /// Where the instance stands.
    pub place: Place,
    /// `true` while the instance leaves: it gets no new work.
    pub leaving: bool,
}

/// `Route` leads matching requests to a database.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// The unique name.
    pub name: String,
    /// The requests that the route takes.
    pub matcher: Matcher,
    /// The name of the database.
    pub database: String,
    /// What the statement does.
    pub access: Access,
    /// The kind of request, for weights and metrics.
    pub kind: String,
    /// Who may use the route.
    pub audience: Audience,
    /// The age of data that a read accepts; `None` asks for the session's guarantee alone.
    pub max_age: Option<Span>,
    /// The time within which the caller wants the answer.
    pub deadline: Span,
    /// The cost of a request in rate tokens and queue shares; 1 or more.
    pub cost: u32,
    /// What a read must see.
    pub consistency: Consistency,
    /// The time within which an answer has its full worth to the caller; at most the deadline
    /// unless one request takes several statements.
    pub target_latency: Span,
}

/// `Consistency` says which commits a read of a route must see.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Consistency {
    /// The session's own commits, and all commits older than the route's age.
    #[default]
    Session,
    /// All commits older than the route's age.
    Bounded,
    /// All commits; only the primary serves such a read.
    Primary,
}

/// `Matcher` says which requests a route takes.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Matcher {
    /// A statement class, sent to `/v1/statements`.
    Class(String),
    /// The database name that a session names when it opens.
    Session(String),
    /// An HTTP method and path of the route's own.
    Path {
        /// The method, in upper case.
        method: String,
        /// The whole path, starting with `/`.
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

/// `Audience` says who may use a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Audience {
    /// Anyone, without a key; the workspace named here is charged.
    Open(String),
    /// Every workspace, with a key.
    Keyed,
    /// The named workspaces, with a key.
    Only(Vec<String>),
}
