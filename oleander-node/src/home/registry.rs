//! The homes of a VM, by instance.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use oleander_core::events::Event;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceKey;
use oleander_core::ids::TransactionId;
use oleander_core::time::Span;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_runtime::logs::Field;
use oleander_session::work::HomeAnswer;
use oleander_session::work::HomeRequest;
use oleander_session::work::Scope;
use oleander_session::work::Work;
use tokio::task::JoinSet;

use super::instance::HomeContext;
use super::instance::InstanceHome;
use super::instance::Ran;
use super::transactions::Transactions;
use crate::fleet::Fleet;
use crate::fleet::Instance;
use crate::fleet::View;

/// The time between two looks for transactions that have rested for too long.
const SWEEP_INTERVAL: Span = Span::from_millis(500);

/// `Homes` runs what entry VMs forward.
pub struct Homes {
    fleet: Arc<Fleet>,
    parts: Arc<HomeContext>,
    transactions: Transactions,
    table: Mutex<HashMap<InstanceKey, Entry>>,
}

struct Entry {
    home: Arc<InstanceHome>,
    life: u64,
    address: SocketAddr,
}

impl Homes {
    /// Makes an empty table.
    pub fn new(fleet: Arc<Fleet>, parts: HomeContext, transactions: Transactions) -> Self {
        Self { fleet, parts: Arc::new(parts), transactions, table: Mutex::default() }
    }

    /// Runs a statement.
    pub async fn run(&self, request: &HomeRequest) -> Result<HomeAnswer, Refusal> {
        let now = self.fleet.now();
        let until = now + request.patience;
        if let Scope::Within(id) = request.scope {
            let Some((home, transaction)) = self.transactions.take(id) else {
                return Err(Refusal::not_run(
                    RefusalCode::TransactionGone,
                    "the transaction has ended",
                ));
            };
            let ran = home.next(transaction, request, until).await?;
            return Ok(self.rest(&home, ran, || id));
        }
        let home = self.home(request)?;
        let running = async {
            match request.scope {
                Scope::First { read_only } => {
                    let ran = home.first(request, read_only, until).await?;
                    Ok(self.rest(&home, ran, || self.transactions.name()))
                }
                _ => home.single(request, until).await,
            }
        };
        match self.fleet.timers.within(request.limit, running).await {
            Some(outcome) => outcome,
            None if request.scope == Scope::Single || request.work == Work::Commit => {
                Err(Refusal::may_have_run(RefusalCode::Timeout, "no answer in time"))
            }
            // The connection was closed before the commit, which rolls back.
            None => Err(Refusal::not_run(RefusalCode::Timeout, "no answer in time")),
        }
    }

    /// Puts a transaction that has not ended aside under its name.
    fn rest(
        &self,
        home: &Arc<InstanceHome>,
        ran: Ran,
        name: impl FnOnce() -> TransactionId,
    ) -> HomeAnswer {
        let Ran { mut answer, open } = ran;
        if let Some(transaction) = open {
            let id = name();
            self.transactions.rest(id, home.clone(), transaction, self.fleet.now());
            answer.transaction = Some(id);
        }
        answer
    }

    /// Keeps the table true to the fleet's view and ends transactions that rest, until dropped.
    pub async fn watch(&self) {
        let mut changes = self.fleet.changes();
        let mut ticks = self.fleet.timers.interval(SWEEP_INTERVAL);
        loop {
            tokio::select! {
                changed = changes.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.review();
                }
                _ = ticks.tick() => self.sweep(),
            }
        }
    }

    /// Gets the databases of which this VM is the home of an instance.
    pub fn databases(&self) -> Vec<DatabaseId> {
        let view = self.fleet.view();
        let table = self.lock();
        let mut databases: Vec<DatabaseId> = table
            .keys()
            .filter_map(|key| view.instances.get(key))
            .map(|instance| instance.database)
            .collect();
        databases.sort_unstable();
        databases.dedup();
        databases
    }

    /// Gets the number of open transactions that rest.
    pub fn resting_transactions(&self) -> usize {
        self.transactions.len()
    }

    /// Ends all open transactions and closes all connections, as at the end of the process.
    pub async fn close(&self) {
        let mut ending = JoinSet::new();
        for transaction in self.transactions.take_all() {
            ending.spawn(transaction.roll_back());
        }
        while ending.join_next().await.is_some() {}
        for entry in self.lock().values() {
            entry.home.close();
        }
    }

    fn home(&self, request: &HomeRequest) -> Result<Arc<InstanceHome>, Refusal> {
        let view = self.fleet.view();
        let key = InstanceKey::from_name(&request.instance);
        let Some(instance) = view.instances.get(&key) else {
            let detail = "home: the directory does not name the instance";
            return Err(Refusal::not_run(RefusalCode::UpstreamUnavailable, detail));
        };
        let mut table = self.lock();
        let entry = table.entry(key).or_insert_with(|| self.make(&view, instance));
        if !is_same(entry, instance) {
            entry.home.close();
            *entry = self.make(&view, instance);
        }
        Ok(entry.home.clone())
    }

    fn make(&self, view: &View, instance: &Instance) -> Entry {
        let connections = connections_of(view, instance);
        let home = Arc::new(InstanceHome::new(self.parts.clone(), instance, connections));
        Entry { home, life: instance.entry.life, address: instance.entry.address }
    }

    /// Closes the homes of instances that are gone, and the idle connections of those whose home
    /// is now another VM.
    fn review(&self) {
        let view = self.fleet.view();
        let mut table = self.lock();
        table.retain(|key, entry| {
            let Some(instance) = view.instances.get(key).filter(|it| is_same(entry, it)) else {
                entry.home.close();
                return false;
            };
            entry.home.set_size(instance.entry.slots, connections_of(&view, instance));
            let is_home = self.fleet.homes(instance).first() == Some(&self.fleet.vm);
            if !is_home || self.fleet.is_draining() {
                entry.home.close_idle();
            }
            true
        });
    }

    fn sweep(&self) {
        for transaction in self.transactions.take_expired(self.fleet.now()) {
            let fields = [
                Field::text("workspace", &transaction.workspace),
                Field::text("reason", "it rested for too long"),
                Field::millis("rest", transaction.rest),
            ];
            self.parts.links.journal.record(Event::TransactionEnded, &fields);
            tokio::spawn(transaction.roll_back());
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<InstanceKey, Entry>> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A restart under the same identifier, or another address, makes old connections worthless.
fn is_same(entry: &Entry, instance: &Instance) -> bool {
    entry.life == instance.entry.life && entry.address == instance.entry.address
}

fn connections_of(view: &View, instance: &Instance) -> u32 {
    view.snapshot.database(instance.database).map_or(1, |database| database.connections)
}
