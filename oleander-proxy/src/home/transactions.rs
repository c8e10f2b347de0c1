//! Work of open transactions, each on a connection of its own.

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

use crate::home::admission::Place;
use crate::home::admission::Started;
use crate::home::database::Home;
use crate::home::database::Job;
use crate::home::single::Fault;
use crate::home::single::Tries;
use crate::home::table::Open;
use crate::home::table::Sender;

impl Home {
    /// Opens a transaction on the primary.
    pub(crate) async fn begin(&self, job: &Job, seen: &[SeenPoint]) -> Result<WorkAnswer, Refusal> {
        self.wait_for_room(job).await?;
        let mut tries = Tries::new(Effect::Begin);
        loop {
            let started = self.admission.enter(self.entrant(job, Place::Primary)).await?;
            self.recheck(job)?;
            match self.begin_on(started.ordinal, job).await {
                Ok((connection, status)) => {
                    reads::check_primary(&status, Access::Write, seen)?;
                    let open = self.insert(job, started.ordinal, status, connection)?;
                    started.keep_connection();
                    let seen = SeenPoint { point: status.point, durable: false };
                    let queued = started.queued;
                    let answer = self.answer(
                        job,
                        open.ordinal,
                        Rows::default(),
                        seen,
                        Role::Primary,
                        queued,
                    );
                    return Ok(WorkAnswer { transaction: Some(open.id), ..answer });
                }
                Err(fault) => {
                    drop(started);
                    self.next_try(&mut tries, job, fault).await?;
                }
            }
        }
    }

    /// Runs a statement in an open transaction.
    pub(crate) async fn in_transaction(
        &self,
        job: &Job,
        transaction: TransactionId,
        statement: &Statement,
    ) -> Result<WorkAnswer, Refusal> {
        let (open, started) = self.enter_transaction(job, transaction).await?;
        let mut lease = self.lease(&open, started.clone())?;
        let outcome = match lease.connection.as_mut() {
            Some(connection) => connection.execute(statement, self.instant(job.deadline)).await,
            None => return Err(transaction_gone()),
        };
        match outcome {
            Ok(rows) => {
                lease.give_back();
                let seen = SeenPoint { point: open.began, durable: false };
                let answer =
                    self.answer(job, open.ordinal, rows, seen, Role::Primary, started.queued);
                Ok(WorkAnswer { transaction: Some(open.id), ..answer })
            }
            Err(error) => Err(lease.fail(&error, Effect::InTransaction)),
        }
    }

    /// Commits a transaction and waits until its acknowledgement mode is satisfied.
    pub(crate) async fn commit(
        &self,
        job: &Job,
        transaction: TransactionId,
    ) -> Result<WorkAnswer, Refusal> {
        let (open, started) = self.enter_transaction(job, transaction).await?;
        let mut lease = self.lease(&open, started.clone())?;
        let outcome = match lease.connection.as_mut() {
            Some(connection) => connection.commit(self.instant(job.deadline)).await,
            None => return Err(transaction_gone()),
        };
        let status = match outcome {
            Ok(status) => status,
            Err(error) => return Err(lease.fail(&error, Effect::Commit)),
        };
        lease.end_clean();
        let queued = started.queued;
        drop(started);
        let durable = self.acks.confirm(open.ordinal, status.point, job.deadline).await?;
        let seen = SeenPoint { point: status.point, durable };
        Ok(self.answer(job, open.ordinal, Rows::default(), seen, Role::Primary, queued))
    }

    /// Rolls a transaction back.
    pub(crate) async fn rollback(
        &self,
        job: &Job,
        transaction: TransactionId,
    ) -> Result<WorkAnswer, Refusal> {
        let (open, started) = self.enter_transaction(job, transaction).await?;
        let mut lease = self.lease(&open, started.clone())?;
        if let Some(connection) = lease.connection.as_mut() {
            // Without an answer the connection is closed, which rolls back as well.
            let _ = connection.rollback(self.instant(job.deadline)).await;
        }
        lease.end_clean();
        let seen = SeenPoint { point: open.began, durable: false };
        Ok(self.answer(job, open.ordinal, Rows::default(), seen, Role::Primary, started.queued))
    }

    /// Ends the transactions that are too old or idle for too long.
    pub(crate) fn end_overdue(&self) {
        let now = self.context.timers.now();
        let overdue = self.transactions.lock().bounds.overdue(now);
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

    /// Ends the transactions whose key was withdrawn.
    pub(crate) fn end_withdrawn(&self) {
        let view = self.context.fleet.load_full();
        let open: Vec<Arc<Open>> = self.transactions.lock().open.values().cloned().collect();
        for open in open {
            let key = open.sender.key.map(oleander_config::model::KeyHash);
            // The key alone counts here; a VM that is not current refuses statements by itself.
            if admit::recheck(
                &view.snapshot,
                Currency::Current,
                open.sender.workspace,
                key.as_ref(),
            )
            .is_err()
            {
                self.end(&open, "key withdrawn");
            }
        }
    }

    /// Waits until the bounds let the workspace open a transaction.
    ///
    /// Fails "not run" if that takes more than half of the time left.
    async fn wait_for_room(&self, job: &Job) -> Result<(), Refusal> {
        let started = self.context.timers.now();
        let limit = started + Span(job.deadline.since(started).0 / 2);
        loop {
            let ended = self.transactions.ended.notified();
            let now = self.context.timers.now();
            let room = self.transactions.lock().bounds.check(now, job.request.workspace);
            if room.is_ok() || limit <= now {
                return room;
            }
            tokio::select! {
                () = ended => {}
                () = self.context.timers.sleep_until(limit) => {}
            }
        }
    }

    async fn begin_on(
        &self,
        ordinal: u8,
        job: &Job,
    ) -> Result<(Connection, InstanceStatus), Fault> {
        let asked = self.context.timers.now();
        let connected = self.connect(ordinal, job).await;
        let mut connection =
            connected.map_err(|error| self.fault(ordinal, &error, None, Effect::Begin))?;
        match connection.begin(&job.workspace, self.instant(job.deadline)).await {
            Ok(status) => {
                self.observe_status(ordinal, status, asked);
                Ok((connection, status))
            }
            Err(error) => Err(self.fault(ordinal, &error, Some(connection), Effect::Begin)),
        }
    }

    fn insert(
        &self,
        job: &Job,
        ordinal: u8,
        status: InstanceStatus,
        connection: Connection,
    ) -> Result<Arc<Open>, Refusal> {
        let id = TransactionId {
            home: self.context.vm,
            incarnation: self.context.incarnation,
            serial: rand::random(),
        };
        let open = Arc::new(Open {
            id,
            sender: Sender { workspace: job.request.workspace, key: job.request.key },
            ordinal,
            began: status.point,
            connection: Mutex::new(Some(connection)),
        });
        let now = self.context.timers.now();
        let mut table = self.transactions.lock();
        table.bounds.open(now, open.ticket(), job.request.workspace)?;
        table.bounds.end_statement(now, open.ticket());
        table.open.insert(id, open.clone());
        Ok(open)
    }

    /// Checks that the transaction is the sender's and takes a slot for its next statement.
    async fn enter_transaction(
        &self,
        job: &Job,
        transaction: TransactionId,
    ) -> Result<(Arc<Open>, Arc<Started>), Refusal> {
        let open = self.transactions.find(transaction).ok_or_else(transaction_gone)?;
        if open.sender.workspace != job.request.workspace || open.sender.key != job.request.key {
            // The same answer as for an unknown one, so that identifiers cannot be probed.
            return Err(transaction_gone());
        }
        let place = Place::Connected(open.ordinal);
        let started = self.admission.enter(self.entrant(job, place)).await?;
        self.recheck(job)?;
        Ok((open, started))
    }

    fn lease<'a>(
        &'a self,
        open: &'a Arc<Open>,
        started: Arc<Started>,
    ) -> Result<Lease<'a>, Refusal> {
        let Some(connection) = open.slot().take() else {
            let detail = "another statement of the transaction is running";
            return Err(Refusal::not_run(RefusalCode::BadRequest, detail));
        };
        let now = self.context.timers.now();
        if !self.transactions.lock().bounds.begin_statement(now, open.ticket()) {
            return Err(transaction_gone());
        }
        Ok(Lease { home: self, open, started, connection: Some(connection) })
    }

    /// Ends a transaction from this side; its connection is closed, which rolls it back.
    fn end(&self, open: &Open, reason: &str) {
        if self.forget(open) {
            let instance = InstanceId { database: self.id, ordinal: open.ordinal };
            let fields = [
                Field::text("transaction", open.id),
                Field::text("database", &self.name),
                Field::number("instance", instance.ordinal),
                Field::text("reason", reason),
            ];
            self.context.journal.record(Event::TransactionEnded, &fields);
            drop(open.slot().take());
        }
    }

    /// Takes a transaction out of the table. Returns `false` if it had ended before.
    fn forget(&self, open: &Open) -> bool {
        let mut table = self.transactions.lock();
        table.bounds.close(open.ticket());
        let known = table.open.remove(&open.id).is_some();
        drop(table);
        if known {
            self.admission.disconnect(open.ordinal);
            self.transactions.ended.notify_waiters();
        }
        known
    }
}

/// `Lease` holds a transaction's connection while a statement runs.
///
/// A lease that is dropped without a word ends the transaction: its caller has
/// gone in the middle of a statement, so the state of the connection is unknown.
struct Lease<'a> {
    home: &'a Home,
    open: &'a Open,
    started: Arc<Started>,
    connection: Option<Connection>,
}

impl Lease<'_> {
    /// Leaves the transaction open for its next statement.
    fn give_back(mut self) {
        let now = self.home.context.timers.now();
        if self.home.transactions.lock().bounds.end_statement(now, self.open.ticket()) {
            *self.open.slot() = self.connection.take();
        }
        // One that was ended meanwhile is closed by the drop.
    }

    /// Ends the transaction and keeps its connection for other work.
    fn end_clean(mut self) {
        self.home.forget(self.open);
        if let (Some(connection), Some(pool)) =
            (self.connection.take(), self.home.pool(self.open.ordinal))
        {
            pool.put_back(connection);
        }
    }

    /// Turns an error into the refusal; a statement that failed by itself leaves the transaction open.
    fn fail(mut self, error: &Error, effect: Effect) -> Refusal {
        if effect == Effect::InTransaction && error.leaves_connection_clean() {
            let refusal = Refusal { code: error.code(), ..error.refusal() };
            self.give_back();
            return refusal;
        }
        let mut connection = self.connection.take();
        if let Some(connection) = &mut connection {
            connection.attach(self.started.clone());
        }
        let fault = self.home.fault(self.open.ordinal, error, connection, effect);
        let outcome = oleander_routing::retry::outcome(fault.cut, effect);
        Refusal { code: outcome.code, verdict: outcome.verdict, ..fault.refusal }
    }
}

impl Drop for Lease<'_> {
    fn drop(&mut self) {
        if let Some(connection) = &mut self.connection {
            connection.attach(self.started.clone());
        }
        if self.connection.take().is_some() || self.open.slot().is_none() {
            self.home.forget(self.open);
        }
    }
}

fn transaction_gone() -> Refusal {
    Refusal::not_run(RefusalCode::TransactionGone, "the transaction is unknown, ended or expired")
}
