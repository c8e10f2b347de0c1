//! The requests and replies of the peer protocol.

use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceId;
use oleander_core::ids::RequestId;
use oleander_core::ids::Revision;
use oleander_core::ids::TransactionId;
use oleander_core::ids::VmId;
use oleander_core::ids::WorkspaceId;
use oleander_core::statement::Access;
use oleander_core::statement::Rows;
use oleander_core::statement::Statement;
use oleander_core::terms::LogPoint;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::Refusal;
use oleander_failover::messages::FailoverReply;
use oleander_failover::messages::FailoverRequest;
use oleander_limits::messages::LimitReply;
use oleander_limits::messages::LimitRequest;
use oleander_membership::messages::MemberReply;
use oleander_membership::messages::MemberRequest;
use oleander_membership::messages::View;
use oleander_session::token::SeenPoint;
use oleander_session::work::HomeAnswer;
use oleander_session::work::HomeRequest;
use serde::Deserialize;
use serde::Serialize;

/// `Request` is the first frame of a stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// An entry proxy asks a home to run work on its database.
    Work(WorkRequest),
    /// An entry VM asks the home of an instance to run a statement of a session.
    Home(Box<HomeRequest>),
    /// A home asks the keeper of a database about its primary.
    Primary(DatabaseId),
    /// A VM that has joined asks the receiver to take that in: to apply the store's changes up to
    /// this revision. The answer waits until it has.
    Joined {
        /// The revision at which the VM joined.
        revision: u64,
        /// The VM, if the record of its earlier life still stood: nobody else owned its shares.
        former: Option<VmId>,
    },
    /// A keeper tells the receiver that it is about to replace the primary of a database.
    Withdrawn {
        /// The database.
        database: DatabaseId,
        /// The revision of the keeper's record that names no primary any more.
        revision: u64,
    },
    /// A VM that has lost the store asks whether the receiver takes callers.
    Ready,
    /// A proxy asks another about rate limits.
    Limit {
        /// The asking VM.
        from: VmId,
        /// What it asks.
        request: LimitRequest,
    },
    /// An agent talks to another about membership, shares and configuration.
    Member(MemberRequest),
    /// An agent talks to another about instances.
    Failover(FailoverRequest),
    /// A proxy subscribes to its agent's views; the stream carries a `Reply::View` for each.
    Subscribe(SubscribeRequest),
    /// A proxy reports to its agent.
    Report(ProxyReport),
    /// The operator tool asks for the state of a process.
    Status,
    /// The operator tool asks for recent log events.
    Events,
    /// The operator tool asks a VM to drain.
    Drain,
}

/// `Reply` is a frame that answers a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The result of work.
    Work(Result<WorkAnswer, Refusal>),
    /// The result of a session's statement.
    Home(Result<HomeAnswer, Refusal>),
    /// Whether the receiver takes callers.
    Ready(bool),
    /// What the keeper knows of the primary; `None` if it knows none.
    Primary(Option<PrimaryReport>),
    /// The receiver knows of the VM that has joined; for this time it may still use what VMs lent
    /// to it that owned shares before.
    Joined(Span),
    /// The answer about rate limits.
    Limit(LimitReply),
    /// The answer about membership.
    Member(MemberReply),
    /// The answer about an instance.
    Failover(FailoverReply),
    /// A view for the subscribed proxy.
    View(Box<View>),
    /// The state of the process as JSON.
    Status(String),
    /// Recent log events, oldest first, one JSON text each.
    Events(Vec<String>),
    /// The request was taken in and has no other answer.
    Accepted,
    /// The receiver does not serve this kind of request.
    Unsupported,
}

/// `PrimaryReport` is what the keeper of a database knows of its primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PrimaryReport {
    /// A point that the primary's log had reached.
    pub point: LogPoint,
    /// The time since the primary was asked for it.
    pub age: Span,
}

/// `WorkRequest` is a caller's request on its way to a home.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkRequest {
    /// The identifier that the entry VM chose.
    pub id: RequestId,
    /// The revision by which the entry VM decided.
    pub revision: Revision,
    /// The workspace whose key came with the request.
    pub workspace: WorkspaceId,
    /// The SHA-256 of the caller's key; `None` on a route open to all.
    pub key: Option<[u8; 32]>,
    /// The database.
    pub database: DatabaseId,
    /// The cost of the request in queue shares.
    pub cost: u32,
    /// The time that is left until the caller's deadline.
    pub remaining: Span,
    /// What is to be done.
    pub work: Work,
}

/// `Work` is what a home does for a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Work {
    /// Runs one statement by itself.
    Single {
        /// The statement.
        statement: Statement,
        /// What the statement does.
        access: Access,
        /// The log points of the database that the session has seen.
        seen: Vec<SeenPoint>,
        /// The age of data that a read accepts.
        age: Option<Span>,
    },
    /// Opens a transaction on the primary.
    Begin {
        /// The log points of the database that the session has seen.
        seen: Vec<SeenPoint>,
    },
    /// Runs a statement in an open transaction.
    InTransaction {
        /// The transaction.
        transaction: TransactionId,
        /// The statement.
        statement: Statement,
    },
    /// Commits an open transaction.
    Commit {
        /// The transaction.
        transaction: TransactionId,
    },
    /// Rolls an open transaction back.
    Rollback {
        /// The transaction.
        transaction: TransactionId,
    },
}

/// `WorkAnswer` is the result of work that ran.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkAnswer {
    /// The identifier from the request, so that a crossed answer is noticed.
    pub id: RequestId,
    /// The rows; empty for transaction control.
    pub rows: Rows,
    /// The log point that the answer proves.
    pub seen: SeenPoint,
    /// The instance that ran the work.
    pub instance: InstanceId,
    /// `true` if the instance was a replica at the time.
    pub replica: bool,
    /// The open transaction, for `Work::Begin` and statements in it.
    pub transaction: Option<TransactionId>,
    /// The time spent in the home's queue.
    pub queued: Span,
}

/// `SubscribeRequest` opens a proxy's subscription to its agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SubscribeRequest {
    /// The revision that the proxy has in force; 0 for none.
    pub revision: Revision,
    /// The proxy's own monotonic time when it sent the request; views echo it.
    pub sent: Time,
}

/// `ProxyReport` is what a proxy tells its agent after each view that changed its shares, and
/// at least every 500 milliseconds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ProxyReport {
    /// The revision in force at the proxy.
    pub revision: Revision,
    /// The requests and transactions that are still open.
    pub open: u64,
    /// `true` once the proxy drains.
    pub draining: bool,
    /// The serial number of the last view whose shares the proxy obeys: it uses no other share.
    pub view: u64,
    /// The proxy's own monotonic time when it sent the report; later views echo it.
    pub sent: Time,
}
