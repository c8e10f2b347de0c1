//! The open transactions of a VM's homes, between their statements.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use oleander_core::ids::Incarnation;
use oleander_core::ids::TransactionId;
use oleander_core::ids::VmId;
use oleander_core::time::Time;

use super::instance::InstanceHome;
use super::open::OpenTransaction;

/// `Transactions` holds the open transactions that are resting.
pub struct Transactions {
    vm: VmId,
    incarnation: Incarnation,
    resting: Mutex<HashMap<TransactionId, Resting>>,
}

struct Resting {
    home: Arc<InstanceHome>,
    transaction: OpenTransaction,
    until: Time,
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

    /// Puts a transaction of a home aside until its next statement.
    pub fn rest(
        &self,
        id: TransactionId,
        home: Arc<InstanceHome>,
        transaction: OpenTransaction,
        now: Time,
    ) {
        let until = now + transaction.rest;
        self.lock().insert(id, Resting { home, transaction, until });
    }

    /// Takes a transaction for its next statement; `None` if it has ended.
    pub fn take(&self, id: TransactionId) -> Option<(Arc<InstanceHome>, OpenTransaction)> {
        self.lock().remove(&id).map(|resting| (resting.home, resting.transaction))
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
