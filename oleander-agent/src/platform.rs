//! Calls to the store and the VM list.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use oleander_core::events::Event;
use oleander_core::ids::VmId;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_membership::head::Head;
use oleander_membership::member::Member;
use oleander_membership::member::MemberState;
use oleander_membership::node::Action;
use oleander_membership::node::ListedVm;
use oleander_membership::node::Node;
use oleander_membership::node::SharePlan;
use oleander_membership::node::StoreState;
use oleander_membership::shares::ShareOwner;
use oleander_runtime::logs::Field;
use oleander_store::configuration;
use oleander_store::errors::Result;
use oleander_store::errors::decode_error;
use oleander_store::keys;
use oleander_store::registration;
use oleander_store::store::Commit;
use oleander_store::store::CommitOutcome;
use oleander_store::store::Entry;
use oleander_store::store::Expectation;
use oleander_store::store::StoreRevision;
use oleander_store::store::Write;
use oleander_store::vms::VmState;

use crate::lock::lock;
use crate::shared::Busy;
use crate::shared::Shared;

/// The time between two attempts to register.
const REGISTER_PAUSE: Span = Span::from_millis(250);

/// The commits that follow one read of the store at most.
const COMMIT_ATTEMPTS: usize = 8;

/// Registers this VM and makes its decisions. Waits for as long as the store is down.
pub async fn join(shared: &Arc<Shared>) -> Vec<Action> {
    loop {
        match try_join(shared).await {
            Ok(actions) => {
                store_answered(shared);
                return actions;
            }
            Err(error) => store_failed(shared, &error),
        }
        shared.timers.sleep(REGISTER_PAUSE).await;
    }
}

/// Registers again after this life was removed.
pub async fn rejoin(shared: &Arc<Shared>) -> Vec<Action> {
    let Some(_busy) = Busy::begin(shared, |shared| &shared.joining) else { return Vec::new() };
    join(shared).await
}

/// Reads head and shares, and commits the plan of shares if there is one.
pub async fn read_store(shared: &Arc<Shared>) -> Vec<Action> {
    let Some(_busy) = Busy::begin(shared, |shared| &shared.reading) else { return Vec::new() };
    let mut actions = Vec::new();
    for _ in 0..COMMIT_ATTEMPTS {
        match read_and_commit(shared, &mut actions).await {
            Ok(Round::Done) => break,
            Ok(Round::Again) => {}
            Err(error) => {
                store_failed(shared, &error);
                return actions;
            }
        }
    }
    store_answered(shared);
    actions
}

/// Reads the registrations.
pub async fn read_roster(shared: &Arc<Shared>) -> Vec<Action> {
    let Ok((stored, members)) = registration::read_members(&shared.store).await else {
        return Vec::new();
    };
    let actions = shared.with_node(|node, now| node.on_roster_read(now, stored.0, members));
    shared.notify();
    actions.unwrap_or_default()
}

/// Reads the VM list.
pub async fn read_list(shared: &Arc<Shared>) -> Vec<Action> {
    let Some(_busy) = Busy::begin(shared, |shared| &shared.listing) else { return Vec::new() };
    let Ok(records) = shared.list.fetch().await else { return Vec::new() };
    let entry = |record: &oleander_store::vms::VmRecord| ListedVm {
        vm: VmId::from_name(&record.name),
        state: match record.state {
            VmState::Live => MemberState::Alive,
            VmState::Leaving => MemberState::Leaving,
        },
    };
    let list: Vec<ListedVm> = records.iter().map(entry).collect();
    shared.with_node(|node, now| node.on_list_read(now, &list)).unwrap_or_default()
}

/// Reads the bodies of `head` that are missing.
pub async fn read_bodies(shared: &Arc<Shared>, head: &Head) -> Vec<Action> {
    let missing = shared.with_node(|node, _| node.config().missing(&head.sections));
    let mut bodies = Vec::new();
    for part in missing.unwrap_or_default() {
        match configuration::read_body(&shared.store, part.hash).await {
            Ok(Some(text)) => bodies.push(text),
            // The body was replaced meanwhile; the next read finds the newer head.
            Ok(None) => return vec![Action::ReadStore],
            Err(error) => {
                store_failed(shared, &error);
                return Vec::new();
            }
        }
    }
    shared.with_node(|node, _| node.on_bodies_read(head, &bodies)).unwrap_or_default()
}

/// Gets the latest revision of head and shares that a read has found.
pub fn read_revision(shared: &Shared) -> u64 {
    let last = lock(&shared.last_read);
    last.head.max(last.state.shares_revision)
}

/// `Departure` is the outcome of an attempt to leave the fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Departure {
    /// The registration is gone.
    Left,
    /// The record of shares still names this life, or changed meanwhile.
    HoldsShares,
}

/// Deletes the registration of this life if the record of shares, as it is at that moment, names it nowhere.
///
/// This VM's own knowledge of the record may be old: a share may have been on its way here.
pub async fn depart(shared: &Arc<Shared>) -> Result<Departure> {
    let Some(own) = shared.with_node(|node, _| node.own().clone()) else {
        return Ok(Departure::Left);
    };
    let state = read_state(shared, shared.now()).await?;
    let life = ShareOwner { vm: own.vm, incarnation: own.incarnation };
    if state.shares.owners.iter().flatten().any(|owner| *owner == life) {
        return Ok(Departure::HoldsShares);
    }
    let unchanged = expect(keys::SHARES, state.shares_revision);
    let expected = vec![registered(&own.name, own.incarnation.0), unchanged];
    let writes = vec![Write::Delete { key: keys::vm(&own.name) }];
    match shared.store.commit(Commit { expected, writes }).await? {
        CommitOutcome::Committed(_) => Ok(Departure::Left),
        CommitOutcome::Conflict => Ok(Departure::HoldsShares),
    }
}

/// Deletes the registration of this life, whatever it owns.
pub async fn unregister(shared: &Arc<Shared>) -> Result<()> {
    let Some(own) = shared.with_node(|node, _| node.own().clone()) else { return Ok(()) };
    let commit = Commit {
        expected: vec![registered(&own.name, own.incarnation.0)],
        writes: vec![Write::Delete { key: keys::vm(&own.name) }],
    };
    shared.store.commit(commit).await.map(|_| ())
}

enum Round {
    Done,
    Again,
}

async fn try_join(shared: &Arc<Shared>) -> Result<Vec<Action>> {
    let incarnation = registration::register(&shared.store, &shared.registration).await?;
    let (stored, members) = registration::read_members(&shared.store).await?;
    let state = read_state(shared, shared.now()).await?;
    let own = shared.registration.clone().member(StoreRevision(incarnation.0));
    let known = shared.with_node(|node, now| node.rejoin(now, own.clone()));
    let mut actions = Vec::new();
    if known.is_none() {
        let now = shared.now();
        let mut node = Node::new(now, own.clone(), shared.settings.node_options());
        // The node is not seen by peers before it has this.
        actions.extend(node.on_store_read(now, state));
        shared.set_node(node);
    }
    let fields = [Field::text("vm", &own.name), Field::number("incarnation", incarnation.0)];
    shared.record(Event::VmJoined, &fields);
    let entropy = rand::random();
    shared.with_node(|node, now| {
        actions.extend(node.on_roster_read(now, stored.0, members));
        actions.extend(node.push(now, entropy));
    });
    actions.extend([Action::ReadList, Action::ReadStore]);
    Ok(actions)
}

async fn read_and_commit(shared: &Arc<Shared>, actions: &mut Vec<Action>) -> Result<Round> {
    let asked = shared.now();
    let state = read_state(shared, asked).await?;
    let planned = shared.with_node(|node, now| {
        let version = node.shares().version;
        let (present, stored) = (state.shares.clone(), state.shares_revision);
        actions.extend(node.on_store_read(now, state));
        let plan = node.plan(now, &present).map(|plan| commit(node, &plan, stored));
        (plan, version != node.shares().version)
    });
    let Some((plan, moved)) = planned else { return Ok(Round::Done) };
    if moved {
        shared.notify();
    }
    let Some(plan) = plan else { return Ok(Round::Done) };
    match shared.store.commit(plan).await? {
        CommitOutcome::Committed(_) => {}
        // Another VM was faster, or a registration has changed.
        CommitOutcome::Conflict => actions.push(Action::ReadRoster),
    }
    Ok(Round::Again)
}

/// Reads head and shares; the store sends each only if it has changed since the last read.
async fn read_state(shared: &Shared, asked: Time) -> Result<StoreState> {
    let mut read = lock(&shared.last_read).clone();
    let known = [expect(keys::HEAD, read.head), expect(keys::SHARES, read.state.shares_revision)];
    let found = shared.store.look(&known).await?.unwrap_or_default();
    for Entry { key, revision, .. } in found.entries {
        if key == keys::HEAD && revision.0 != read.head {
            let entry = read_entry(shared, &key).await?;
            read.state.head = configuration::parse_head(&entry)?;
            read.head = entry.revision.0;
        } else if key == keys::SHARES && revision.0 != read.state.shares_revision {
            let entry = read_entry(shared, &key).await?;
            read.state.shares = serde_json::from_slice(&entry.value)
                .map_err(|_| decode_error("malformed record of shares"))?;
            read.state.shares_revision = entry.revision.0;
        }
    }
    // What was read after the look is only newer.
    let state = StoreState { asked, ..read.state.clone() };
    *lock(&shared.last_read) = read;
    Ok(state)
}

async fn read_entry(shared: &Shared, key: &str) -> Result<Entry> {
    let reading = shared.store.read(key).await?;
    reading.entries.into_iter().next().ok_or(decode_error("a key has vanished"))
}

fn expect(key: &str, revision: u64) -> Expectation {
    Expectation { key: key.to_owned(), revision: StoreRevision(revision) }
}

fn commit(node: &Node, plan: &SharePlan, stored: u64) -> Commit {
    let value = serde_json::to_vec(&plan.next).unwrap_or_default();
    let mut commit = Commit {
        expected: vec![expect(keys::SHARES, stored)],
        writes: vec![Write::Put { key: keys::SHARES.to_owned(), value }],
    };
    for life in &plan.removed {
        // A VM that has come back since then keeps its registration, and the commit fails.
        let Some(Member { name, .. }) = node.roster().member(life.vm) else { continue };
        commit.expected.push(registered(name, life.incarnation.0));
        commit.writes.push(Write::Delete { key: keys::vm(name) });
    }
    commit
}

fn registered(name: &str, incarnation: u64) -> Expectation {
    expect(&keys::vm(name), incarnation)
}

fn store_failed(shared: &Shared, error: &oleander_store::errors::Error) {
    if !shared.unreachable.swap(true, Ordering::AcqRel) {
        shared.record(Event::StoreUnreachable, &[Field::text("reason", error)]);
    }
}

fn store_answered(shared: &Shared) {
    if shared.unreachable.swap(false, Ordering::AcqRel) {
        shared.record(Event::StoreReachable, &[]);
    }
}
