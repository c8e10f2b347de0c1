//! Runs transactions, each of which holds its own connection until it ends.

use std::sync::Arc;
use std::sync::Mutex;

use oleander_core::events::Event;
use oleander_core::ids::InstanceId;
use oleander_core::ids::TransactionId;
use oleander_core::statement::Access;
use oleander_core::statement::Rows;
use oleander_core::statement::Statement;
use oleander_core::terms::InstanceStatus;
use oleander_core::terms::Role;
use oleander_core::time::Span;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_peer::messages::WorkAnswer;
use oleander_routing::admit;
use oleander_routing::admit::Currency;
use oleander_routing::reads;
use oleander_routing::retry::Effect;
use oleander_runtime::logs::Field;
use oleander_session::token::SeenPoint;
use oleander_upstream::connection::Connection;
use oleander_upstream::errors::Error;

use crate::home::admission::SlotGuard;
use crate::home::admission::Target;
use crate::home::database::Home;
use crate::home::database::Job;
use crate::home::single::AttemptFailure;
use crate::home::single::Attempts;
use crate::home::table::OpenTransaction;
use crate::home::table::TransactionOwner;

impl Home {
    /// Opens a transaction on the primary.
    ///
    /// # Errors
    ///
    /// Returns a refusal if too many transactions are open, no attempt succeeded, or the
    /// primary's history lacks points in `seen`.
    pub(crate) async fn begin(&self, job: &Job, seen: &[SeenPoint]) -> Result<WorkAnswer, Refusal> {
        self.wait_for_capacity(job).await?;
        let mut attempts = Attempts::new(Effect::Begin);
        loop {
            let slot = self.admission.acquire(self.admission_request(job, Target::Primary)).await?;
            self.recheck(job)?;
            match self.attempt_begin(slot.ordinal, job).await {
                Ok((connection, status)) => {
                    reads::check_primary(&status, Access::Write, seen)?;
                    let open = self.insert(job, slot.ordinal, status, connection)?;
                    slot.keep_connection();
                    let seen = SeenPoint { point: status.point, durable: false };
                    let queued = slot.queued;
                    let answer = self.work_answer(
                        job,
                        open.ordinal,
                        Rows::default(),
                        seen,
                        Role::Primary,
                        queued,
                    );
                    return Ok(WorkAnswer { transaction: Some(open.id), ..answer });
                }
                Err(failure) => {
                    drop(slot);
                    self.retry_or_fail(&mut attempts, job, failure).await?;
                }
            }
        }
    }

    /// Runs a statement in an open transaction.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the transaction is not open, belongs to another client or is running
    /// another statement, or if the statement fails. A statement that the instance rejected leaves
    /// the transaction open; any other failure at the instance ends it.
    pub(crate) async fn in_transaction(
        &self,
        job: &Job,
        transaction: TransactionId,
        statement: &Statement,
    ) -> Result<WorkAnswer, Refusal> {
        let (open, slot) = self.enter_transaction(job, transaction).await?;
        let mut guard = self.take_connection(&open, slot.clone())?;
        let outcome = match guard.connection.as_mut() {
            Some(connection) => connection.execute(statement, self.to_instant(job.deadline)).await,
            None => return Err(transaction_gone()),
        };
        match outcome {
            Ok(rows) => {
                guard.keep_open();
                let seen = SeenPoint { point: open.start_point, durable: false };
                let answer =
                    self.work_answer(job, open.ordinal, rows, seen, Role::Primary, slot.queued);
                Ok(WorkAnswer { transaction: Some(open.id), ..answer })
            }
            Err(error) => Err(guard.fail(&error, Effect::InTransaction)),
        }
    }

    /// Commits a transaction and waits for the replication that the database requires.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the transaction is not open or belongs to another client, if the commit
    /// fails, or if its replication is not confirmed before the deadline.
    pub(crate) async fn commit(
        &self,
        job: &Job,
        transaction: TransactionId,
    ) -> Result<WorkAnswer, Refusal> {
        let (open, slot) = self.enter_transaction(job, transaction).await?;
        let mut guard = self.take_connection(&open, slot.clone())?;
        let outcome = match guard.connection.as_mut() {
            Some(connection) => connection.commit(self.to_instant(job.deadline)).await,
            None => return Err(transaction_gone()),
        };
        let status = match outcome {
            Ok(status) => status,
            Err(error) => return Err(guard.fail(&error, Effect::Commit)),
        };
        guard.finish();
        let queued = slot.queued;
        drop(slot);
        let durable = self.acks.confirm(open.ordinal, status.point, job.deadline).await?;
        let seen = SeenPoint { point: status.point, durable };
        Ok(self.work_answer(job, open.ordinal, Rows::default(), seen, Role::Primary, queued))
    }

    /// Rolls a transaction back.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the transaction is not open or belongs to another client.
    pub(crate) async fn rollback(
        &self,
        job: &Job,
        transaction: TransactionId,
    ) -> Result<WorkAnswer, Refusal> {
        let (open, slot) = self.enter_transaction(job, transaction).await?;
        let mut guard = self.take_connection(&open, slot.clone())?;
        if let Some(connection) = guard.connection.as_mut() {
            // If the rollback gets no answer, the connection is closed, which also rolls back.
            let _ = connection.rollback(self.to_instant(job.deadline)).await;
        }
        guard.finish();
        let seen = SeenPoint { point: open.start_point, durable: false };
        Ok(self.work_answer(job, open.ordinal, Rows::default(), seen, Role::Primary, slot.queued))
    }

    /// Ends the transactions that exceed the maximum age or idle time.
    pub(crate) fn end_overdue(&self) {
        let now = self.context.timers.now();
        let overdue = self.transactions.lock().limits.overdue(now);
        for (ticket, reason) in overdue {
            let open = self
                .transactions
                .lock()
                .open
                .values()
                .find(|open| open.ticket() == ticket)
                .cloned();
            if let Some(open) = open {
                self.end(&open, &reason.to_string());
            }
        }
    }

    /// Ends the transactions whose API key was withdrawn.
    pub(crate) fn end_withdrawn(&self) {
        let view = self.context.fleet.load_full();
        let open: Vec<Arc<OpenTransaction>> =
            self.transactions.lock().open.values().cloned().collect();
        for open in open {
            let key = open.owner.key.map(oleander_config::model::KeyHash);
            // Only the key is checked here; a VM that is not current refuses the statements anyway.
            if admit::recheck(&view.snapshot, Currency::Current, open.owner.workspace, key.as_ref())
                .is_err()
            {
                self.end(&open, "key withdrawn");
            }
        }
    }

    /// Waits until the limits allow the workspace to open a transaction.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the verdict "not run" if that takes more than half of the time left
    /// until the deadline.
    async fn wait_for_capacity(&self, job: &Job) -> Result<(), Refusal> {
        let started = self.context.timers.now();
        let limit = started + Span(job.deadline.since(started).0 / 2);
        loop {
            let ended = self.transactions.ended.notified();
            let now = self.context.timers.now();
            let capacity = self.transactions.lock().limits.check(now, job.request.workspace);
            if capacity.is_ok() || limit <= now {
                return capacity;
            }
            tokio::select! {
                () = ended => {}
                () = self.context.timers.sleep_until(limit) => {}
            }
        }
    }

    async fn attempt_begin(
        &self,
        ordinal: u8,
        job: &Job,
    ) -> Result<(Connection, InstanceStatus), AttemptFailure> {
        let requested_at = self.context.timers.now();
        let connected = self.connect(ordinal, job).await;
        let mut connection =
            connected.map_err(|error| self.fail(ordinal, &error, None, Effect::Begin))?;
        match connection.begin(&job.workspace, self.to_instant(job.deadline)).await {
            Ok(status) => {
                self.observe_status(ordinal, status, requested_at);
                Ok((connection, status))
            }
            Err(error) => Err(self.fail(ordinal, &error, Some(connection), Effect::Begin)),
        }
    }

    /// Adds a transaction to the table. Fails if the limits allow no further one.
    fn insert(
        &self,
        job: &Job,
        ordinal: u8,
        status: InstanceStatus,
        connection: Connection,
    ) -> Result<Arc<OpenTransaction>, Refusal> {
        let id = TransactionId {
            home: self.context.vm,
            incarnation: self.context.incarnation,
            serial: rand::random(),
        };
        let open = Arc::new(OpenTransaction {
            id,
            owner: TransactionOwner { workspace: job.request.workspace, key: job.request.key },
            ordinal,
            start_point: status.point,
            connection: Mutex::new(Some(connection)),
        });
        let now = self.context.timers.now();
        let mut table = self.transactions.lock();
        table.limits.open(now, open.ticket(), job.request.workspace)?;
        table.limits.end_statement(now, open.ticket());
        table.open.insert(id, open.clone());
        Ok(open)
    }

    /// Checks that the transaction belongs to the client and takes a slot for its next statement.
    async fn enter_transaction(
        &self,
        job: &Job,
        transaction: TransactionId,
    ) -> Result<(Arc<OpenTransaction>, Arc<SlotGuard>), Refusal> {
        let open = self.transactions.find(transaction).ok_or_else(transaction_gone)?;
        if open.owner.workspace != job.request.workspace || open.owner.key != job.request.key {
            // The answer is the same as for an unknown transaction, so that a client cannot probe
            // for the identifiers of others.
            return Err(transaction_gone());
        }
        let target = Target::Instance(open.ordinal);
        let slot = self.admission.acquire(self.admission_request(job, target)).await?;
        self.recheck(job)?;
        Ok((open, slot))
    }

    /// Takes the transaction's connection for one statement. Fails if another statement is running
    /// or the transaction has ended.
    fn take_connection<'a>(
        &'a self,
        open: &'a Arc<OpenTransaction>,
        slot: Arc<SlotGuard>,
    ) -> Result<ConnectionGuard<'a>, Refusal> {
        let Some(connection) = open.lock_connection().take() else {
            let detail = "another statement of the transaction is running";
            return Err(Refusal::not_run(RefusalCode::BadRequest, detail));
        };
        let now = self.context.timers.now();
        if !self.transactions.lock().limits.begin_statement(now, open.ticket()) {
            return Err(transaction_gone());
        }
        Ok(ConnectionGuard { home: self, open, slot, connection: Some(connection) })
    }

    /// Ends a transaction and closes its connection, which rolls it back. Logs the reason.
    fn end(&self, open: &OpenTransaction, reason: &str) {
        if self.remove_transaction(open) {
            let instance = InstanceId { database: self.id, ordinal: open.ordinal };
            let fields = [
                Field::text("transaction", open.id),
                Field::text("database", &self.name),
                Field::number("instance", instance.ordinal),
                Field::text("reason", reason),
            ];
            self.context.journal.record(Event::TransactionEnded, &fields);
            drop(open.lock_connection().take());
        }
    }

    /// Removes a transaction from the table. Returns `false` if it had already ended.
    fn remove_transaction(&self, open: &OpenTransaction) -> bool {
        let mut table = self.transactions.lock();
        table.limits.close(open.ticket());
        let was_open = table.open.remove(&open.id).is_some();
        drop(table);
        if was_open {
            self.admission.release_connection(open.ordinal);
            self.transactions.ended.notify_waiters();
        }
        was_open
    }
}

/// `ConnectionGuard` holds a transaction's connection while a statement runs.
///
/// Dropping it without calling one of its methods ends the transaction: the caller has gone during
/// a statement, so the state of the connection is unknown.
struct ConnectionGuard<'a> {
    home: &'a Home,
    open: &'a OpenTransaction,
    slot: Arc<SlotGuard>,
    connection: Option<Connection>,
}

impl ConnectionGuard<'_> {
    /// Returns the connection and leaves the transaction open for its next statement.
    fn keep_open(mut self) {
        let now = self.home.context.timers.now();
        if self.home.transactions.lock().limits.end_statement(now, self.open.ticket()) {
            *self.open.lock_connection() = self.connection.take();
        }
        // If the transaction has ended in the meantime, the drop closes the connection.
    }

    /// Ends the transaction and returns its connection to the pool.
    fn finish(mut self) {
        self.home.remove_transaction(self.open);
        if let (Some(connection), Some(pool)) =
            (self.connection.take(), self.home.pool(self.open.ordinal))
        {
            pool.put_back(connection);
        }
    }

    /// Converts an error to a refusal and ends the transaction.
    ///
    /// The transaction stays open if the error left its connection clean, as when the instance only
    /// rejected the statement.
    fn fail(mut self, error: &Error, effect: Effect) -> Refusal {
        if effect == Effect::InTransaction && error.leaves_connection_clean() {
            let refusal = Refusal { code: error.code(), ..error.refusal() };
            self.keep_open();
            return refusal;
        }
        let mut connection = self.connection.take();
        if let Some(connection) = &mut connection {
            connection.attach(self.slot.clone());
        }
        let failure = self.home.fail(self.open.ordinal, error, connection, effect);
        let outcome = oleander_routing::retry::outcome(failure.cut, effect);
        Refusal { code: outcome.code, verdict: outcome.verdict, ..failure.refusal }
    }
}

impl Drop for ConnectionGuard<'_> {
    fn drop(&mut self) {
        if let Some(connection) = &mut self.connection {
            connection.attach(self.slot.clone());
        }
        if self.connection.take().is_some() || self.open.lock_connection().is_none() {
            self.home.remove_transaction(self.open);
        }
    }
}

fn transaction_gone() -> Refusal {
    Refusal::not_run(RefusalCode::TransactionGone, "the transaction is unknown, ended or expired")
}
