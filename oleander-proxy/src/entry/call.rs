//! A caller's request and its answer, independent of HTTP.

use oleander_config::model::KeyHash;
use oleander_config::model::Matcher;
use oleander_core::ids::TransactionId;
use oleander_core::statement::Rows;
use oleander_core::statement::Statement;
use oleander_core::time::Span;

/// `Call` is a caller's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The hash of the API key sent with the request; `None` if there was none.
    pub key: Option<KeyHash>,
    /// The path or statement class that determines the route.
    pub matcher: Matcher,
    /// The requested action.
    pub action: CallAction,
    /// The session tokens as received, not yet decoded.
    pub tokens: Vec<String>,
    /// The time for which the caller waits, at most the route's deadline, which applies if `None`.
    pub deadline: Option<Span>,
}

/// `CallAction` is the action that a caller requests.
#[derive(Clone, Debug, PartialEq)]
pub enum CallAction {
    /// A statement outside transactions.
    Single(Statement),
    /// The start of a transaction.
    Begin,
    /// A statement in an open transaction.
    InTransaction(TransactionId, Statement),
    /// The commit of an open transaction.
    Commit(TransactionId),
    /// The rollback of an open transaction.
    Rollback(TransactionId),
}

/// `CallAnswer` is the result of a request that ran.
#[derive(Clone, Debug, PartialEq)]
pub struct CallAnswer {
    /// The rows; empty for the begin, commit or rollback of a transaction.
    pub rows: Rows,
    /// The encoded session token, which includes this request.
    pub session: String,
    /// `true` if a replica served the request.
    pub replica: bool,
    /// The transaction that the request opened or ran in; `None` if none is open now.
    pub transaction: Option<TransactionId>,
}
