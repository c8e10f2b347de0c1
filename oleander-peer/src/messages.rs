//! The requests and replies of the peer protocol.

use oleander_core::budget::HeldBytes;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceId;
use oleander_core::ids::RequestId;
use oleander_core::ids::Revision;
use oleander_core::ids::TransactionId;
use oleander_core::ids::VmId;
use oleander_core::ids::WorkspaceId;
use oleander_core::level::Horizon;
use oleander_core::level::Level;
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
use oleander_session::report::InstanceReport;
use oleander_session::token::SeenPoint;
use oleander_session::work::HomeAnswer;
use oleander_session::work::HomeRequest;
use serde::Deserialize;
use serde::Serialize;
use strum::IntoStaticStr;

/// `Request` is the request of a stream, sent as its only frame. The names of its kinds label the
/// counters of messages (`traffic`).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Request {
    /// The proxy that received a caller's request asks the home of the database to run it.
    Work(WorkRequest),
    /// The VM that a caller is connected to asks the home of an instance to run a statement of the
    /// caller's session.
    Home(Box<HomeRequest>),
    /// A home asks the keeper of a database for the log point of its primary.
    Primary(DatabaseId),
    /// A VM that has joined the fleet asks the receiver to apply the store's changes up to the
    /// revision of the join. The reply is sent once they are applied.
    Joined {
        /// The revision at which the VM joined.
        revision: u64,
        /// The VM that joined, if the record of its previous process was still in the store, so
        /// that no other VM owned its shares in the meantime; `None` otherwise.
        former: Option<VmId>,
    },
    /// A keeper announces that it is about to replace the primary of a database.
    Withdrawn {
        /// The database.
        database: DatabaseId,
        /// The store revision at which the keeper's record no longer names a primary.
        revision: u64,
    },
    /// A VM that cannot reach the store asks whether the receiver accepts callers.
    Ready,
    /// A proxy sends another a request about shared rate limits.
    Limit {
        /// The asking VM.
        from: VmId,
        /// The request.
        request: LimitRequest,
    },
    /// An agent sends another a request about membership, shares or the configuration.
    Member(MemberRequest),
    /// An agent sends another a request about the failover of instances.
    Failover(FailoverRequest),
    /// A proxy subscribes to the views of its agent. The stream carries one `Reply::View` for each
    /// view.
    Subscribe(SubscribeRequest),
    /// A proxy reports its state to its agent.
    Report(ProxyReport),
    /// The operator tool requests the state of a process.
    Status,
    /// The operator tool requests recent log events.
    Events,
    /// The operator tool asks a VM to drain.
    Drain,
    /// A VM asks another for the store's changes.
    Follow {
        /// The revision up to which the asking VM has them.
        after: u64,
        /// The longest time for which the receiver may wait for a change.
        wait: Span,
        /// `true` for an answer without deltas.
        whole: bool,
    },
    /// A VM that does not reach the store asks another to pass a call on.
    Store(StoreCall),
    /// As `Withdrawn`, sent to VMs that answer with the commits that they have confirmed.
    Withdraw {
        /// The database.
        database: DatabaseId,
        /// The store revision at which the keeper's record no longer names a primary.
        revision: u64,
    },
}

/// `StoreCall` is a call to the store that a VM passes on. Leases are given by number and era.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum StoreCall {
    /// Creates a lease; the answer does not tell the TTL that applies. Sent by earlier builds, which
    /// go by the TTL that they request.
    Grant {
        /// The time after which it ends without renewal.
        ttl: Span,
    },
    /// Renews a lease; the answer does not tell the TTL that applies. Sent by earlier builds.
    Renew {
        /// The number of the lease.
        number: i64,
        /// The era in which it was granted.
        era: u64,
    },
    /// Ends a lease.
    Revoke {
        /// The number of the lease.
        number: i64,
        /// The era in which it was granted.
        era: u64,
    },
    /// Reads a key.
    Read {
        /// The key.
        key: String,
    },
    /// Writes keys if others have the expected revisions.
    Commit {
        /// The keys with their revisions; 0 for a key that must be absent.
        expected: Vec<(String, u64)>,
        /// The keys with their values.
        puts: Vec<(String, Vec<u8>)>,
        /// The lease of the written keys.
        lease: Option<(i64, u64)>,
    },
    /// Creates a lease, as `Grant` does; sent to VMs that answer with the TTL that applies.
    #[strum(serialize = "grant")]
    GrantLease {
        /// The requested TTL.
        ttl: Span,
    },
    /// Renews a lease, as `Renew` does; sent to VMs that answer with the TTL that applies.
    #[strum(serialize = "renew")]
    RenewLease {
        /// The number of the lease.
        number: i64,
        /// The era in which it was granted.
        era: u64,
    },
}

impl StoreCall {
    /// Returns `true` if the answer must tell the TTL that applies to a lease.
    pub fn asks_ttl(&self) -> bool {
        matches!(self, StoreCall::GrantLease { .. } | StoreCall::RenewLease { .. })
    }

    /// Returns `true` if a call that may have been executed can be sent once more.
    pub fn is_repeatable(&self) -> bool {
        !matches!(self, StoreCall::Commit { .. })
    }
}

/// `Reply` is a frame that answers a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The result of `Request::Work`.
    Work(Result<WorkAnswer, Refusal>),
    /// The result of `Request::Home`.
    Home(Result<HomeAnswer, Refusal>),
    /// `true` if the receiver accepts callers.
    Ready(bool),
    /// The keeper's report on the primary; `None` if it knows no primary.
    Primary(Option<PrimaryReport>),
    /// The receiver has applied the join, and tells how the shares were used before it.
    Joined(EarlierUse),
    /// The reply to `Request::Limit`.
    Limit(LimitReply),
    /// The reply to `Request::Member`.
    Member(MemberReply),
    /// The reply to `Request::Failover`.
    Failover(FailoverReply),
    /// A view for a subscribed proxy.
    View(Box<View>),
    /// The state of the process as JSON.
    Status(String),
    /// Recent log events, oldest first, one JSON text each.
    Events(Vec<String>),
    /// The request was accepted and has no other result.
    Accepted,
    /// The receiver does not serve this request.
    Unsupported,
    /// The reply to `Request::Follow`.
    Followed(FollowReply),
    /// The reply to `Request::Store`.
    Store(StoreReply),
    /// The refusal of `Request::Home` by a home that tells which levels it admits now.
    Refused(Refusal, Horizon),
    /// The result of `Request::Home` with a report on the instance, from a VM that detects outliers,
    /// and the levels that the home admits now.
    Reported(Result<HomeAnswer, Refusal>, InstanceReport, Horizon),
    /// The reply to `Request::Withdraw`.
    Withdrawn(Confirmations),
}

impl Reply {
    /// Returns `true` for an answer whose rows hold a part of this VM's budget of answers.
    pub fn holds_bytes(&self) -> bool {
        match self {
            Reply::Home(Ok(answer)) | Reply::Reported(Ok(answer), ..) => answer.held.bytes() != 0,
            _ => false,
        }
    }

    /// Lets the rows of an answer hold what this VM's budget of answers has given for them.
    pub fn hold(&mut self, held: HeldBytes) {
        if let Reply::Home(Ok(answer)) | Reply::Reported(Ok(answer), ..) = self {
            answer.held = held;
        }
    }
}

/// `Confirmations` tells which commits of a database a VM has confirmed to callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Confirmations {
    /// Identifies the run of the VM's process; a restart knows nothing of earlier ones.
    pub life: u64,
    /// `true` if the process found no record of an earlier one of its VM when it joined.
    pub first: bool,
    /// A point of the log at or after each of these commits; `None` if there are none.
    pub point: Option<LogPoint>,
}

/// `StoreReply` is the result of a call that was passed on to the store.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum StoreReply {
    /// The lease was renewed or ended.
    Done,
    /// The lease that was granted.
    Granted {
        /// The number of the lease.
        number: i64,
        /// The era of the store.
        era: u64,
    },
    /// The result of a read.
    Read {
        /// The revision of the store.
        revision: u64,
        /// The value with its revision; `None` if the key is absent.
        entry: Option<(Vec<u8>, u64)>,
    },
    /// The keys were written at this revision.
    Committed(u64),
    /// A key had another revision than expected.
    Conflict,
    /// The call failed.
    Failed(StoreFailure),
    /// The result of `StoreCall::GrantLease`.
    Leased {
        /// The number of the lease.
        number: i64,
        /// The era of the store.
        era: u64,
        /// The TTL that applies.
        ttl: Span,
    },
    /// The result of `StoreCall::RenewLease`.
    Renewed {
        /// The TTL that applies; `None` if the store did not tell.
        ttl: Option<Span>,
    },
}

/// `StoreFailure` is the reason why a call that was passed on failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum StoreFailure {
    /// The call was not executed.
    NotRun,
    /// The call may have been executed, or may still be.
    MayHaveRun,
    /// The lease has ended.
    LeaseEnded,
    /// The store rejected the call.
    Refused,
}

/// `FollowReply` holds the store's changes after a revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FollowReply {
    /// The revision up to which the changes are complete.
    pub revision: u64,
    /// The time, when the reply was made, since the view was last known to be complete. It counts
    /// from the sending of the question to the store.
    pub age: Span,
    /// The time between the arrival of the request and the reply.
    pub held: Span,
    /// The latest change of each key, oldest first.
    pub changes: Vec<StoreChange>,
}

/// `StoreChange` is a key of the store that was written or deleted.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StoreChange {
    /// The key.
    pub key: String,
    /// What the key holds since the change.
    pub content: StoreContent,
    /// The revision of the change.
    pub revision: u64,
}

/// `StoreContent` is what a changed key of the store holds.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum StoreContent {
    /// Nothing: the key was deleted.
    Deleted,
    /// This value.
    Value(Vec<u8>),
    /// A value, encoded relative to an earlier one of the key.
    Delta {
        /// The revision of the earlier value.
        base: u64,
        /// The delta, in the format of librsync.
        delta: Vec<u8>,
        /// The hash of the whole value (`oleander_core::hash::stable_hash`).
        hash: u64,
    },
}

/// `EarlierUse` tells when shares of a VM that has joined were in use before, by earlier owners or
/// as loans and grants of these, as far as one VM knows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct EarlierUse {
    /// The time for which they may still be in use.
    pub remaining: Span,
    /// The time for which they have not been in use; zero unless `remaining` is.
    pub unused: Span,
}

/// `PrimaryReport` is a keeper's latest knowledge of the log point of its database's primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PrimaryReport {
    /// The log point that the primary had reached.
    pub point: LogPoint,
    /// The time since the query that returned `point` was sent to the primary.
    pub age: Span,
}

/// `WorkRequest` is a caller's request as it is forwarded to a home.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkRequest {
    /// The identifier that the forwarding VM chose.
    pub id: RequestId,
    /// The configuration revision that the forwarding VM used.
    pub revision: Revision,
    /// The workspace of the caller's key.
    pub workspace: WorkspaceId,
    /// The SHA-256 hash of the caller's key; `None` on a route that requires no key.
    pub key: Option<[u8; 32]>,
    /// The database to run the work on.
    pub database: DatabaseId,
    /// The cost of the request in the home's fair queue.
    pub cost: u32,
    /// The priority level of the request in the home's queue.
    pub level: Level,
    /// The time until the caller's deadline when the request was forwarded.
    pub remaining: Span,
    /// The work to run.
    pub work: Work,
}

/// `Work` is the operation that a home runs for a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Work {
    /// Runs one statement outside a transaction.
    Single {
        /// The statement.
        statement: Statement,
        /// Whether the statement reads or writes.
        access: Access,
        /// The log points of the database that the session has seen.
        seen: Vec<SeenPoint>,
        /// The maximum age of the data that a read accepts; `None` for no limit by age.
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
    /// Rolls back an open transaction.
    Rollback {
        /// The transaction.
        transaction: TransactionId,
    },
}

/// `WorkAnswer` is the result of work that ran.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkAnswer {
    /// The identifier of the request, by which the caller detects the answer to another request.
    pub id: RequestId,
    /// The rows; empty for transaction control.
    pub rows: Rows,
    /// The log point that the answer reflects, which the session has seen from then on.
    pub seen: SeenPoint,
    /// The instance that ran the work.
    pub instance: InstanceId,
    /// `true` if the instance was a replica when it ran the work.
    pub replica: bool,
    /// The open transaction, after `Work::Begin` and after statements in a transaction.
    pub transaction: Option<TransactionId>,
    /// The time that the request waited in the home's queue.
    pub queued: Span,
}

/// `SubscribeRequest` opens a proxy's subscription to its agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SubscribeRequest {
    /// The configuration revision that is in force at the proxy; 0 for none.
    pub revision: Revision,
    /// The proxy's monotonic time when it sent the request; views return it.
    pub sent: Time,
}

/// `ProxyReport` is a proxy's report to its agent, sent when a view has taken full effect and
/// otherwise 250 milliseconds after the previous report was answered or failed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ProxyReport {
    /// The configuration revision that is in force at the proxy.
    pub revision: Revision,
    /// The number of open requests and transactions.
    pub open: u64,
    /// `true` once the proxy is draining.
    pub draining: bool,
    /// The serial number of the last view that has taken full effect: no home on the VM uses a
    /// share that this view does not assign to the VM.
    pub view: u64,
    /// The proxy's monotonic time when it sent the report; later views return it.
    pub sent: Time,
}
