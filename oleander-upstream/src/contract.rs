//! What the proxy assumes of a database instance, kept in one place.
//!
//! Each instance answers these statements over the PostgreSQL wire protocol.
//! Besides, the proxy relies on the following:
//!
//! - A promotion writes a record of its own term, so that the point of a
//!   primary carries the primary's term, and a point names the term of the last
//!   record applied, not the term promised.
//! - A statement on a connection without a workspace fails or sees no rows.
//! - An instance that drops history closes the connections open at that time,
//!   so that a status answered on a connection holds for later reads on it.
//! - A fenced instance commits nothing, also in transactions that were open.

/// Asks for the status: columns `role` (text: `primary`, `replica` or
/// `fenced`), `term`, `position`, `fence` and `start` (bigint each).
pub const STATUS_SQL: &str = "SELECT role, term, position, fence, start FROM oleander_status()";

/// Promises to serve no term lower than `$1` (bigint); answers as the status does.
///
/// Fails with SQLSTATE `55000` if the instance has promised to that term or a higher one.
pub const FENCE_SQL: &str = "SELECT role, term, position, fence, start FROM oleander_fence($1)";

/// Makes the instance primary at term `$1` (bigint), to which it must be fenced; answers as the status does.
pub const PROMOTE_SQL: &str = "SELECT role, term, position, fence, start FROM oleander_promote($1)";

/// Makes the instance follow the primary of term `$1` (bigint), dropping history that the primary lacks.
pub const FOLLOW_SQL: &str = "SELECT role, term, position, fence, start FROM oleander_follow($1)";

/// Sets the workspace `$1` (text) for the statements that follow on the connection.
pub const WORKSPACE_SQL: &str = "SELECT set_config('oleander.workspace', $1, false)";

/// Clears all state of the connection.
pub const RESET_SQL: &str = "DISCARD ALL";

/// Asks for nothing; shows that the connection answers.
pub const PING_SQL: &str = "SELECT 1";

/// Opens a transaction.
pub const BEGIN_SQL: &str = "BEGIN";

/// Commits a transaction.
pub const COMMIT_SQL: &str = "COMMIT";

/// Rolls a transaction back.
pub const ROLLBACK_SQL: &str = "ROLLBACK";

/// The SQLSTATE of a write that reached an instance which is not primary.
pub const READ_ONLY_STATE: &str = "25006";

/// The SQLSTATE of a connection refused for want of connections.
pub const TOO_MANY_CONNECTIONS_STATE: &str = "53300";

/// The SQLSTATE of a fence or promotion at a term that is not allowed.
pub const WRONG_TERM_STATE: &str = "55000";
