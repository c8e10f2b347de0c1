//! Limits open transactions, so that they cannot occupy all connections of a home.

use std::collections::HashMap;

use oleander_core::ids::WorkspaceId;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use smallvec::SmallVec;
use strum::Display;

use crate::home::request::Ticket;

/// `TransactionLimits` are the bounds on open transactions of one home.
#[derive(Clone, Copy, Debug)]
pub struct TransactionLimits {
    /// The maximum number of open transactions.
    pub total: u32,
    /// The maximum number of open transactions of one workspace.
    pub workspace: u32,
    /// The maximum duration of a transaction.
    pub age: Span,
    /// The maximum time without a statement.
    pub idle: Span,
}

impl Default for TransactionLimits {
    fn default() -> Self {
        Self { total: 8, workspace: 2, age: Span::from_secs(30), idle: Span::from_secs(5) }
    }
}

/// `Overdue` is the reason why a transaction has to end.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Overdue {
    /// The transaction has been open for longer than `TransactionLimits::age`.
    Age,
    /// The transaction has had no statement for longer than `TransactionLimits::idle`.
    Idle,
}

/// `Transactions` counts the open transactions of one home.
#[derive(Debug, Default)]
pub struct Transactions {
    limits: TransactionLimits,
    open: HashMap<Ticket, OpenTransaction>,
    counts: HashMap<WorkspaceId, u32>,
}

#[derive(Clone, Copy, Debug)]
struct OpenTransaction {
    workspace: WorkspaceId,
    opened: Time,
    /// The time at which the last statement began or ended.
    last_used: Time,
    /// Whether a statement waits or runs; the transaction is not idle meanwhile.
    has_statement: bool,
}

impl Transactions {
    /// Creates an empty set with these limits.
    pub fn new(limits: TransactionLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Replaces the limits. Transactions beyond them stay open until they end.
    pub fn set_limits(&mut self, limits: TransactionLimits) {
        self.limits = limits;
    }

    /// Opens a transaction, identified by a ticket of the caller's choice.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the verdict "not run" if the home or the workspace has too many open
    /// transactions.
    pub fn open(
        &mut self,
        now: Time,
        transaction: Ticket,
        workspace: WorkspaceId,
    ) -> Result<(), Refusal> {
        self.check(now, workspace)?;
        *self.counts.entry(workspace).or_default() += 1;
        let open = OpenTransaction { workspace, opened: now, last_used: now, has_statement: true };
        self.open.insert(transaction, open);
        Ok(())
    }

    /// Checks whether a transaction of `workspace` could be opened now.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the verdict "not run" if the home or the workspace has too many open
    /// transactions.
    pub fn check(&self, now: Time, workspace: WorkspaceId) -> Result<(), Refusal> {
        let count = self.counts.get(&workspace).copied().unwrap_or(0);
        if count < self.limits.workspace && (self.open.len() as u64) < u64::from(self.limits.total)
        {
            return Ok(());
        }
        let refusal =
            Refusal::not_run(RefusalCode::TooManyTransactions, "home: too many open transactions");
        Err(refusal.with_retry_after(self.next_end(now)))
    }

    /// Records that a statement of the transaction waits or runs. Returns `false` if the
    /// transaction is not open.
    pub fn begin_statement(&mut self, now: Time, transaction: Ticket) -> bool {
        self.touch(now, transaction, |open| open.has_statement = true)
    }

    /// Records that the statement has ended; the idle time starts here. Returns `false` if the
    /// transaction is not open.
    pub fn end_statement(&mut self, now: Time, transaction: Ticket) -> bool {
        self.touch(now, transaction, |open| open.has_statement = false)
    }

    /// Closes a transaction. Returns `false` if it was not open.
    pub fn close(&mut self, transaction: Ticket) -> bool {
        let Some(open) = self.open.remove(&transaction) else { return false };
        if let Some(count) = self.counts.get_mut(&open.workspace) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&open.workspace);
            }
        }
        true
    }

    /// Returns the transactions that have to end now; the caller rolls them back and closes them.
    pub fn overdue(&self, now: Time) -> SmallVec<[(Ticket, Overdue); 4]> {
        let overdue = self.open.iter().filter_map(|(transaction, open)| {
            self.overdue_reason(now, open).map(|reason| (*transaction, reason))
        });
        overdue.collect()
    }

    /// Returns the open transactions of a workspace, for example to end them when its key is
    /// withdrawn.
    pub fn of_workspace(&self, workspace: WorkspaceId) -> SmallVec<[Ticket; 4]> {
        let own = self.open.iter().filter(|(_, open)| open.workspace == workspace);
        own.map(|(transaction, _)| *transaction).collect()
    }

    /// Returns the number of open transactions.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns `true` if no transaction is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Applies `change` to an open transaction and restarts its idle time.
    fn touch(
        &mut self,
        now: Time,
        transaction: Ticket,
        change: impl FnOnce(&mut OpenTransaction),
    ) -> bool {
        let Some(open) = self.open.get_mut(&transaction) else { return false };
        open.last_used = now;
        change(open);
        true
    }

    fn overdue_reason(&self, now: Time, open: &OpenTransaction) -> Option<Overdue> {
        if self.limits.age <= now.since(open.opened) {
            return Some(Overdue::Age);
        }
        if !open.has_statement && self.limits.idle <= now.since(open.last_used) {
            return Some(Overdue::Idle);
        }
        None
    }

    /// Returns the time within which the oldest open transaction must end, at least 1 ms.
    fn next_end(&self, now: Time) -> Span {
        let oldest = self.open.values().map(|open| open.opened).min().unwrap_or(now);
        (oldest + self.limits.age).since(now).max(Span::from_millis(1))
    }
}
