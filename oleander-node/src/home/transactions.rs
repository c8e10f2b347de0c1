//! The open transactions of a VM's homes, between their statements.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use oleander_core::ids::Incarnation;
use oleander_core::ids::TransactionId;
use oleander_core::ids::VmId;
use oleander_core::time::Span;
use oleander_core::time::Time;

use super::backend::Backend;
use super::instance::InstanceHome;

/// `OpenTransaction` is a transaction with the connection that it keeps.
///
/// Dropping it closes the connection, which rolls the transaction back.
pub struct OpenTransaction {
    /// The home of the instance.
    pub home: Arc<InstanceHome>,
    /// The workspace.
    pub workspace: String,
    /// The time for which the transaction may rest.
    pub rest: Span,
    /// `true` once a write has run in it.
    pub wrote: bool,
    backend: Option<Backend>,
}

/// `Transactions` holds the open transactions that are resting.
pub struct Transactions {
    vm: VmId,
    incarnation: Incarnation,
    resting: Mutex<HashMap<TransactionId, Resting>>,
}

struct Resting {
    transaction: OpenTransaction,
    until: Time,
}

impl OpenTransaction {
    /// Makes a transaction that keeps the connection.
    pub fn new(home: Arc<InstanceHome>, workspace: String, rest: Span, backend: Backend) -> Self {
        Self { home, workspace, rest, wrote: false, backend: Some(backend) }
    }

    /// Gets the connection; `None` once it was taken.
    pub fn backend(&mut self) -> Option<&mut Backend> {
        self.backend.as_mut()
    }
}

impl Drop for OpenTransaction {
    fn drop(&mut self) {
        if let Some(backend) = self.backend.take() {
            self.home.release_transaction(&self.workspace, backend);
        }
    }
}

impl Transactions {
    /// Makes an empty table for this life of the process.
    pub fn new(vm: VmId, incarnation: Incarnation) -> Self {
        Self { vm, incarnation, resting: Mutex::default() }
    }

    /// Draws the name of a new transaction.
    pub fn name(&self) -> TransactionId {
        TransactionId { home: self.vm, incarnation: self.incarnation, serial: rand::random() }
    }

    /// Puts a transaction aside until its next statement.
    pub fn rest(&self, id: TransactionId, transaction: OpenTransaction, now: Time) {
        let until = now + transaction.rest;
        self.lock().insert(id, Resting { transaction, until });
    }

    /// Takes a transaction for its next statement; `None` if it has ended.
    pub fn take(&self, id: TransactionId) -> Option<OpenTransaction> {
        self.lock().remove(&id).map(|resting| resting.transaction)
    }

    /// Takes the transactions that have rested for too long.
    pub fn take_expired(&self, now: Time) -> Vec<OpenTransaction> {
        let mut resting = self.lock();
        let expired: Vec<TransactionId> =
            resting.iter().filter(|(_, it)| it.until <= now).map(|(id, _)| *id).collect();
        expired.iter().filter_map(|id| resting.remove(id)).map(|it| it.transaction).collect()
    }

    /// Takes all transactions, as at the end of the process.
    pub fn take_all(&self) -> Vec<OpenTransaction> {
        self.lock().drain().map(|(_, it)| it.transaction).collect()
    }

    /// Gets the number of resting transactions.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Returns `true` if no transaction rests.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<TransactionId, Resting>> {
        self.resting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
