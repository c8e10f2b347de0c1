//! The table of open transactions of one home.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use oleander_core::ids::TransactionId;
use oleander_core::ids::WorkspaceId;
use oleander_core::terms::LogPoint;
use oleander_limits::home::request::Ticket;
use oleander_limits::home::transactions::TransactionLimits;
use oleander_limits::home::transactions::Transactions;
use oleander_upstream::connection::Connection;
use tokio::sync::Notify;

/// `TransactionTable` holds the open transactions of one home and their limits.
#[derive(Default)]
pub struct TransactionTable {
    pub(crate) state: Mutex<TableState>,
    /// Notified when a transaction ends.
    pub(crate) ended: Notify,
}

/// `TableState` is the part of a table that its lock protects: `limits` counts the transactions in
/// `open`.
#[derive(Default)]
pub(crate) struct TableState {
    pub(crate) limits: Transactions,
    pub(crate) open: HashMap<TransactionId, Arc<OpenTransaction>>,
}

/// `OpenTransaction` is an open transaction and the connection that it uses.
pub(crate) struct OpenTransaction {
    pub(crate) id: TransactionId,
    pub(crate) owner: TransactionOwner,
    pub(crate) ordinal: u8,
    /// The primary's log point when the transaction began.
    pub(crate) start_point: LogPoint,
    /// The connection; `None` while a statement runs on it or after the transaction has ended.
    pub(crate) connection: Mutex<Option<Connection>>,
}

/// `TransactionOwner` identifies the client that opened a transaction; no other may use it.
pub(crate) struct TransactionOwner {
    pub(crate) workspace: WorkspaceId,
    /// The SHA-256 hash of the API key; `None` on a route that requires no key.
    pub(crate) key: Option<[u8; 32]>,
}

impl TransactionTable {
    /// Returns the number of open transactions.
    pub fn len(&self) -> u64 {
        self.lock().open.len() as u64
    }

    /// Limits the open transactions to the home's quota of `connections` on an instance, less one.
    ///
    /// The remaining connection stays free for statements outside transactions. At least one
    /// transaction is allowed, and one workspace may hold half of the total, rounded up.
    pub fn set_limits(&self, connections: u32) {
        let total = connections.saturating_sub(1).max(1);
        let workspace = total.div_ceil(2);
        self.lock().limits.set_limits(TransactionLimits {
            total,
            workspace,
            ..TransactionLimits::default()
        });
    }

    /// Returns `true` if no transaction is open.
    pub fn is_empty(&self) -> bool {
        self.lock().open.is_empty()
    }

    /// Returns `true` if the transaction is open at this home.
    pub fn contains(&self, transaction: TransactionId) -> bool {
        self.lock().open.contains_key(&transaction)
    }

    /// Removes all transactions and closes their connections, which rolls them back.
    pub fn clear(&self) {
        let ended: Vec<Arc<OpenTransaction>> =
            self.lock().open.drain().map(|(_, open)| open).collect();
        drop(ended);
    }

    pub(crate) fn find(&self, transaction: TransactionId) -> Option<Arc<OpenTransaction>> {
        self.lock().open.get(&transaction).cloned()
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl OpenTransaction {
    /// Returns the ticket that identifies the transaction in `TableState::limits`.
    pub(crate) fn ticket(&self) -> Ticket {
        Ticket(self.id.serial)
    }

    pub(crate) fn lock_connection(&self) -> MutexGuard<'_, Option<Connection>> {
        self.connection.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
