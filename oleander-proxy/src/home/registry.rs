//! The homes of this VM: they start and stop as shares change hands.

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

/// `Homes` holds the homes of this VM, one for each part of a database that it has.
pub struct Homes {
    context: HomeContext,
    state: Mutex<State>,
    view_completed: Notify,
}

#[derive(Default)]
struct State {
    homes: HashMap<HomeKey, Arc<Home>>,
    retiring: Vec<Arc<Home>>,
    /// The number of the last view that was taken in.
    latest_view: u64,
    /// The number of the last view whose shares are obeyed.
    completed_view: u64,
}

/// `HomeKey` is a part of a database.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct HomeKey {
    database: DatabaseId,
    part: u32,
}

impl Homes {
    /// Makes an empty set.
    pub fn new(context: HomeContext) -> Self {
        Self { context, state: Mutex::default(), view_completed: Notify::new() }
    }

    /// Starts, configures and retires homes as the view asks.
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

    /// Runs work at the right home of this VM.
    pub async fn run(&self, request: WorkRequest) -> Result<WorkAnswer, Refusal> {
        self.select_home(&request).ok_or_else(admission::not_a_home)?.run(request).await
    }

    /// Gets the names of the databases of which this VM is a home.
    pub fn names(&self) -> Vec<String> {
        let mut names: Vec<String> =
            self.lock().homes.values().map(|home| home.name.clone()).collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Gets the number of open transactions.
    pub fn open_transactions(&self) -> u64 {
        let state = self.lock();
        state.homes.values().chain(&state.retiring).map(|home| home.transactions.len()).sum()
    }

    /// Gets the number of the last view whose shares this proxy obeys.
    pub fn completed_view(&self) -> u64 {
        self.lock().completed_view
    }

    /// Waits until another view is obeyed.
    pub async fn view_completed(&self) {
        self.view_completed.notified().await;
    }

    /// Does what time alone asks for: ends overdue transactions and closes retired homes.
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

    /// Closes all homes at once, with what runs in them.
    pub fn close_all(&self) {
        let mut state = self.lock();
        for home in state.homes.values().chain(&state.retiring) {
            home.close();
        }
        state.homes.clear();
        state.retiring.clear();
    }

    /// Gets the parts that the view gives to this VM.
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

    /// Picks the home for a request: the one that holds its transaction, or the one with the shorter queue.
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
            // Any home of the database can say that the transaction has gone.
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
