//! An open transaction and its connection.

use std::sync::Arc;

use oleander_core::level::Level;
use oleander_core::time::Span;

use super::connections::ConnectionPool;
use super::connections::DetachedConnection;
use super::connections::PooledConnection;
use super::slots::InstanceSlots;
use super::upstream::UpstreamConnection;

/// The time limit for rolling back a transaction, after which its connection is closed instead.
const ROLLBACK_LIMIT: Span = Span::from_millis(500);

/// `OpenTransaction` is a transaction with the connection reserved for it.
///
/// Dropping it closes the connection, unless the transaction has ended by a commit or `roll_back`: the
/// connection then goes back to the pool.
pub struct OpenTransaction {
    /// The name of the workspace that the connection belongs to.
    pub workspace: String,
    /// The time for which the transaction may stay idle between statements.
    pub rest: Span,
    /// `true` once a write has run in the transaction.
    pub wrote: bool,
    level: Level,
    pool: Arc<ConnectionPool>,
    slots: InstanceSlots,
    connection: Option<UpstreamConnection>,
}

impl OpenTransaction {
    /// Reserves the connection for a transaction; it counts in `slots` until the drop.
    pub(super) fn new(pooled: PooledConnection, slots: InstanceSlots, rest: Span) -> Self {
        let DetachedConnection { pool, workspace, level, connection } = pooled.detach();
        Self { workspace, rest, wrote: false, level, pool, slots, connection: Some(connection) }
    }

    /// Returns the connection; `None` only during the drop.
    pub fn connection(&mut self) -> Option<&mut UpstreamConnection> {
        self.connection.as_mut()
    }

    /// Rolls back the transaction and returns its connection to the pool. A connection whose state is
    /// not known is closed at once.
    pub async fn roll_back(mut self) {
        let pool = self.pool.clone();
        let Some(connection) = self.connection().filter(|connection| connection.is_known()) else {
            return;
        };
        // If this fails, the connection is closed, which rolls back the transaction as well.
        let _ = pool.timers().within(ROLLBACK_LIMIT, connection.roll_back()).await;
    }
}

impl Drop for OpenTransaction {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.put_back(&self.workspace, self.level, connection);
            self.slots.release_connection();
        }
    }
}
