//! A caller's request and its answer, free of HTTP.

use oleander_config::model::KeyHash;
use oleander_config::model::Matcher;
use oleander_core::ids::TransactionId;
use oleander_core::statement::Rows;
use oleander_core::statement::Statement;
use oleander_core::time::Span;

/// `Call` is a caller's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The hash of the key that came with the request.
    pub key: Option<KeyHash>,
    /// The form of the request, by which its route is found.
    pub matcher: Matcher,
    /// What is asked for.
    pub action: CallAction,
    /// The session tokens as the caller sent them.
    pub tokens: Vec<String>,
    /// The time for which the caller waits; the route's deadline bounds it.
    pub deadline: Option<Span>,
}

/// `CallAction` is what a caller asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum CallAction {
    /// One statement by itself.
    Single(Statement),
    /// A new transaction.
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
    /// The rows; empty for transaction control.
    pub rows: Rows,
    /// The session token after the request.
    pub session: String,
    /// `true` if a replica served the request.
    pub replica: bool,
    /// The open transaction, if there is one.
    pub transaction: Option<TransactionId>,
}
