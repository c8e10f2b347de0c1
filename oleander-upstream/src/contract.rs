//! The SQL contract between the proxy and a database instance.
//!
//! Every instance answers these statements over the PostgreSQL wire protocol.
//! The proxy also relies on the following guarantees:
//!
//! - A promotion writes a log record of its own term, so that the log point of
//!   a primary carries the primary's term. A log point names the term of the
//!   last record applied, not the term to which the instance is fenced.
//! - A statement on a connection without a workspace fails or sees no rows.
//! - An instance that discards log records closes all open connections, so that
//!   a status returned on a connection stays valid for later reads on it.
//! - A fenced instance commits nothing, not even transactions that were already
//!   open.

/// Queries the status: columns `role` (text: `primary`, `replica` or
/// `fenced`), `term`, `position`, `fence` and `start` (bigint each).
pub const STATUS_SQL: &str = "SELECT role, term, position, fence, start FROM oleander_status()";

/// Fences the instance: it serves no term lower than `$1` (bigint) from then on. Returns the
/// columns of [`STATUS_SQL`].
///
/// Fails with SQLSTATE `55000` if the instance is already fenced to that term or a higher one.
pub const FENCE_SQL: &str = "SELECT role, term, position, fence, start FROM oleander_fence($1)";

/// Makes the instance the primary of term `$1` (bigint), to which it must be fenced. Returns the
/// columns of [`STATUS_SQL`].
pub const PROMOTE_SQL: &str = "SELECT role, term, position, fence, start FROM oleander_promote($1)";

/// Makes the instance a replica of the primary of term `$1` (bigint) and discards log records that
/// the primary lacks. Returns the columns of [`STATUS_SQL`].
pub const FOLLOW_SQL: &str = "SELECT role, term, position, fence, start FROM oleander_follow($1)";

/// Sets the workspace `$1` (text) for all later statements on the connection.
pub const WORKSPACE_SQL: &str = "SELECT set_config('oleander.workspace', $1, false)";

/// Resets all session state of the connection, the workspace included.
pub const RESET_SQL: &str = "DISCARD ALL";

/// A query without effect that checks whether the connection answers.
pub const PING_SQL: &str = "SELECT 1";

/// Opens a transaction.
pub const BEGIN_SQL: &str = "BEGIN";

/// Commits a transaction.
pub const COMMIT_SQL: &str = "COMMIT";

/// Rolls a transaction back.
pub const ROLLBACK_SQL: &str = "ROLLBACK";

/// The SQLSTATE of a write on an instance that is not the primary.
pub const READ_ONLY_STATE: &str = "25006";

/// The SQLSTATE of a connection refused because the instance has reached its connection limit.
pub const TOO_MANY_CONNECTIONS_STATE: &str = "53300";

/// The SQLSTATE of a fence, promote or follow statement whose term the instance does not accept.
pub const WRONG_TERM_STATE: &str = "55000";
