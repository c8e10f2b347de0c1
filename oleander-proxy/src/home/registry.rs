//! The homes on this VM, which start and stop as the ownership of shares changes.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use oleander_core::ids::DatabaseId;
use oleander_core::verdict::Refusal;
use oleander_peer::messages::Work;
use oleander_peer::messages::WorkAnswer;
use oleander_peer::messages::WorkRequest;
use oleander_routing::homes;
use tokio::sync::Notify;

use crate::fleet::view::FleetView;
use crate::home::admission;
use crate::home::database::Home;
use crate::home::database::HomeContext;

/// `Homes` holds the homes on this VM, one for each part of a database that the VM owns.
pub struct Homes {
    context: HomeContext,
    state: Mutex<State>,
    view_completed: Notify,
}

#[derive(Default)]
struct State {
    homes: HashMap<HomeKey, Arc<Home>>,
    /// The homes that are draining because this VM no longer owns their shares.
    retiring: Vec<Arc<Home>>,
    /// The serial number of the last view passed to `Homes::apply`.
    latest_view: u64,
    /// The serial number of the last view for which all retired homes have closed.
    completed_view: u64,
}

/// `HomeKey` identifies one of the two parts of a database's slots and connections.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct HomeKey {
    database: DatabaseId,
    part: u32,
}

impl Homes {
    /// Creates an empty set of homes.
    pub fn new(context: HomeContext) -> Self {
        Self { context, state: Mutex::default(), view_completed: Notify::new() }
    }

    /// Starts, configures and retires homes so that they match the shares in `view`.
    ///
    /// Also passes the reports on instances to the homes and ends the transactions whose key is no
    /// longer valid.
    pub fn apply(&self, view: &FleetView) {
        let assigned_parts = self.assigned_parts(view);
        let mut state = self.lock();
        let removed: Vec<HomeKey> =
            state.homes.keys().filter(|key| !assigned_parts.contains(key)).copied().collect();
        for key in removed {
            state.retire(key);
        }
        for key in assigned_parts {
            let Some(database) = view.snapshot.database(key.database) else { continue };
            match state.homes.get(&key) {
                Some(home) => home.configure(view.snapshot.revision, database),
                None => {
                    let home = Home::start(
                        self.context.clone(),
                        view.snapshot.revision,
                        database,
                        key.part,
                    );
                    state.homes.insert(key, home);
                }
            }
        }
        state.latest_view = view.serial;
        let homes: Vec<Arc<Home>> = state.homes.values().cloned().collect();
        drop(state);
        for home in homes {
            home.apply_reports(view);
            home.end_withdrawn();
        }
        self.tick();
    }

    /// Runs a request at a home on this VM.
    ///
    /// # Errors
    ///
    /// Returns a refusal with code `HomeUnreachable` if this VM is not a home of the database, and
    /// otherwise that of `Home::run`.
    pub async fn run(&self, request: WorkRequest) -> Result<WorkAnswer, Refusal> {
        self.select_home(&request).ok_or_else(admission::not_a_home)?.run(request).await
    }

    /// Returns the sorted names of the databases of which this VM is a home.
    pub fn names(&self) -> Vec<String> {
        let mut names: Vec<String> =
            self.lock().homes.values().map(|home| home.name.clone()).collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Returns the number of open transactions, including those of retiring homes.
    pub fn open_transactions(&self) -> u64 {
        let state = self.lock();
        state.homes.values().chain(&state.retiring).map(|home| home.transactions.len()).sum()
    }

    /// Returns the serial number of the last view that has taken full effect: no home uses a share
    /// that the view does not assign to this VM.
    pub fn completed_view(&self) -> u64 {
        self.lock().completed_view
    }

    /// Waits until a later view has taken full effect.
    pub async fn view_completed(&self) {
        self.view_completed.notified().await;
    }

    /// Handles expiry; called periodically and after each view.
    ///
    /// Retires all homes once the VM may no longer use its shares, ends overdue transactions and
    /// closes retired homes that have become idle.
    pub fn tick(&self) {
        let view = self.context.fleet.load_full();
        let mut state = self.lock();
        if !view.may_use_shares(self.context.timers.now()) {
            let all: Vec<HomeKey> = state.homes.keys().copied().collect();
            for key in all {
                state.retire(key);
            }
        }
        for home in state.homes.values().chain(&state.retiring) {
            home.end_overdue();
        }
        state.retiring.retain(|home| {
            let idle = home.is_idle();
            if idle {
                home.close();
            }
            !idle
        });
        if state.retiring.is_empty() && state.completed_view < state.latest_view {
            state.completed_view = state.latest_view;
            self.view_completed.notify_one();
        }
    }

    /// Closes and removes all homes immediately, without waiting for requests or transactions.
    pub fn close_all(&self) {
        let mut state = self.lock();
        for home in state.homes.values().chain(&state.retiring) {
            home.close();
        }
        state.homes.clear();
        state.retiring.clear();
    }

    /// Returns the parts that `view` assigns to this VM; none if the VM may not use its shares.
    fn assigned_parts(&self, view: &FleetView) -> Vec<HomeKey> {
        if !view.may_use_shares(self.context.timers.now()) {
            return Vec::new();
        }
        let mut assigned_parts = Vec::new();
        for (_, database) in view.snapshot.databases.iter() {
            let id = DatabaseId::from_name(&database.name);
            let shares = homes::home_shares(id, view.shares.owners.len() as u16);
            for (part, share) in (0..).zip(shares) {
                let owner = view.shares.owner(share);
                if owner.is_some_and(|owner| owner.vm == self.context.vm) {
                    assigned_parts.push(HomeKey { database: id, part });
                }
            }
        }
        assigned_parts
    }

    /// Selects the home that holds the request's transaction or, outside transactions, the one with
    /// the shortest expected wait.
    fn select_home(&self, request: &WorkRequest) -> Option<Arc<Home>> {
        let state = self.lock();
        let transaction = match &request.work {
            Work::InTransaction { transaction, .. }
            | Work::Commit { transaction }
            | Work::Rollback { transaction } => Some(transaction),
            Work::Single { .. } | Work::Begin { .. } => None,
        };
        if let Some(transaction) = transaction {
            let mut all = state.homes.values().chain(&state.retiring);
            let holder = all.find(|home| home.transactions.contains(*transaction));
            // Any home of the database can answer that the transaction does not exist.
            return holder.or_else(|| state.homes_of(request.database).next()).cloned();
        }
        state.homes_of(request.database).min_by_key(|home| home.admission.expected_wait()).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn retire(&mut self, key: HomeKey) {
        if let Some(home) = self.homes.remove(&key) {
            home.start_drain();
            self.retiring.push(home);
        }
    }

    fn homes_of(&self, database: DatabaseId) -> impl Iterator<Item = &Arc<Home>> {
        self.homes.values().filter(move |home| home.id == database)
    }
}
