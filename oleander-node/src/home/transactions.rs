//! The resting transactions of a VM's homes: those that are open and between two statements.

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

/// `Transactions` holds the resting transactions by identifier.
pub struct Transactions {
    vm: VmId,
    incarnation: Incarnation,
    resting: Mutex<HashMap<TransactionId, RestingTransaction>>,
}

struct RestingTransaction {
    home: Arc<InstanceHome>,
    transaction: OpenTransaction,
    expires_at: Time,
}

impl Transactions {
    /// Creates an empty table; `incarnation` distinguishes this process from earlier ones of the
    /// VM.
    pub fn new(vm: VmId, incarnation: Incarnation) -> Self {
        Self { vm, incarnation, resting: Mutex::default() }
    }

    /// Returns a random identifier for a new transaction.
    pub fn new_id(&self) -> TransactionId {
        TransactionId { home: self.vm, incarnation: self.incarnation, serial: rand::random() }
    }

    /// Stores a transaction of a home until its next statement, for no longer than its `rest`.
    pub fn insert(
        &self,
        id: TransactionId,
        home: Arc<InstanceHome>,
        transaction: OpenTransaction,
        now: Time,
    ) {
        let expires_at = now + transaction.rest;
        self.lock().insert(id, RestingTransaction { home, transaction, expires_at });
    }

    /// Takes out a transaction for its next statement; `None` if it has ended or runs a statement.
    pub fn take(&self, id: TransactionId) -> Option<(Arc<InstanceHome>, OpenTransaction)> {
        self.lock().remove(&id).map(|resting| (resting.home, resting.transaction))
    }

    /// Takes out the transactions that have rested for too long.
    pub fn take_expired(&self, now: Time) -> Vec<OpenTransaction> {
        let mut resting = self.lock();
        let expired: Vec<TransactionId> = resting
            .iter()
            .filter(|(_, entry)| entry.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        expired.iter().filter_map(|id| resting.remove(id)).map(|entry| entry.transaction).collect()
    }

    /// Takes out the transactions that may not go on at the instances of their homes.
    pub fn take_evacuated(&self) -> Vec<OpenTransaction> {
        let mut resting = self.lock();
        let ended = resting.extract_if(|_, entry| entry.home.ends_transactions());
        ended.map(|(_, entry)| entry.transaction).collect()
    }

    /// Takes out all transactions, for the end of the process.
    pub fn take_all(&self) -> Vec<OpenTransaction> {
        self.lock().drain().map(|(_, entry)| entry.transaction).collect()
    }

    /// Returns the number of resting transactions.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Returns `true` if no transaction rests.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<TransactionId, RestingTransaction>> {
        self.resting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
