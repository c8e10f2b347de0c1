//! Reads and writes of the store and reads of the VM list, on behalf of the state machine.

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
use crate::shared::Shared;
use crate::shared::SingleFlight;

/// The delay between two attempts to register.
const REGISTER_RETRY_DELAY: Span = Span::from_millis(250);

/// The maximum number of reads and commits of the share record in one run of `read_store`.
const MAX_COMMIT_ATTEMPTS: usize = 8;

/// Registers this VM and creates its state machine, or passes it the new incarnation if it exists.
/// Retries until the store answers.
pub async fn join(shared: &Arc<Shared>) -> Vec<Action> {
    loop {
        match try_join(shared).await {
            Ok(actions) => {
                record_store_answer(shared);
                return actions;
            }
            Err(error) => record_store_failure(shared, &error),
        }
        shared.timers.sleep(REGISTER_RETRY_DELAY).await;
    }
}

/// Registers again after this incarnation was removed. Does nothing if that is already under way.
pub async fn rejoin(shared: &Arc<Shared>) -> Vec<Action> {
    let Some(_flight) = SingleFlight::try_start(shared, |s| &s.joining) else { return Vec::new() };
    join(shared).await
}

/// Reads the configuration head and the share record, and commits a new share record if the state
/// machine plans one. Does nothing if a read is already under way.
pub async fn read_store(shared: &Arc<Shared>) -> Vec<Action> {
    let Some(_flight) = SingleFlight::try_start(shared, |s| &s.reading) else { return Vec::new() };
    let mut actions = Vec::new();
    for _ in 0..MAX_COMMIT_ATTEMPTS {
        match read_and_commit(shared, &mut actions).await {
            Ok(CommitProgress::Done) => break,
            Ok(CommitProgress::Retry) => {}
            Err(error) => {
                record_store_failure(shared, &error);
                return actions;
            }
        }
    }
    record_store_answer(shared);
    actions
}

/// Reads all registrations. A failed read is ignored.
pub async fn read_roster(shared: &Arc<Shared>) -> Vec<Action> {
    let Ok((revision, members)) = registration::read_members(&shared.store).await else {
        return Vec::new();
    };
    let actions = shared.with_node(|node, now| node.on_roster_read(now, revision.0, members));
    shared.notify();
    actions.unwrap_or_default()
}

/// Reads the VM list. Does nothing if a read is already under way or if the read fails.
pub async fn read_list(shared: &Arc<Shared>) -> Vec<Action> {
    let Some(_flight) = SingleFlight::try_start(shared, |s| &s.listing) else { return Vec::new() };
    let Ok(records) = shared.vm_list.fetch().await else { return Vec::new() };
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

/// Reads the section bodies of `head` that are missing locally.
pub async fn read_bodies(shared: &Arc<Shared>, head: &Head) -> Vec<Action> {
    let missing = shared.with_node(|node, _| node.config().missing(&head.sections));
    let mut bodies = Vec::new();
    for section in missing.unwrap_or_default() {
        match configuration::read_body(&shared.store, section.hash).await {
            Ok(Some(text)) => bodies.push(text),
            // The body has been replaced in the meantime; the next read finds the newer head.
            Ok(None) => return vec![Action::ReadStore],
            Err(error) => {
                record_store_failure(shared, &error);
                return Vec::new();
            }
        }
    }
    shared.with_node(|node, _| node.on_bodies_read(head, &bodies)).unwrap_or_default()
}

/// Returns the highest store revision of the configuration head and the share record that a read
/// has found; 0 if none has.
pub fn last_read_revision(shared: &Shared) -> u64 {
    let last = lock(&shared.last_read);
    last.head_revision.max(last.state.shares_revision)
}

/// `Departure` is the outcome of an attempt to leave the fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Departure {
    /// The registration was deleted.
    Left,
    /// The share record still names this incarnation, or it or the registration changed during the
    /// attempt.
    Postponed,
}

/// Deletes the registration of this incarnation, provided that the stored share record does not
/// name it at the moment of the commit.
///
/// The local copy of the record may be out of date: a share may have been assigned to this VM
/// since.
pub async fn depart(shared: &Arc<Shared>) -> Result<Departure> {
    let Some(own) = shared.with_node(|node, _| node.own().clone()) else {
        return Ok(Departure::Left);
    };
    let state = read_state(shared, shared.now()).await?;
    let owner = ShareOwner { vm: own.vm, incarnation: own.incarnation };
    if state.shares.owners.iter().flatten().any(|other| *other == owner) {
        return Ok(Departure::Postponed);
    }
    let unchanged = expect_revision(keys::SHARES, state.shares_revision);
    let expected = vec![expect_registration(&own.name, own.incarnation.0), unchanged];
    let writes = vec![Write::Delete { key: keys::vm(&own.name) }];
    match shared.store.commit(Commit { expected, writes }).await? {
        CommitOutcome::Committed(_) => Ok(Departure::Left),
        CommitOutcome::Conflict => Ok(Departure::Postponed),
    }
}

/// Deletes the registration of this incarnation, even if it still owns shares.
pub async fn unregister(shared: &Arc<Shared>) -> Result<()> {
    let Some(own) = shared.with_node(|node, _| node.own().clone()) else { return Ok(()) };
    let commit = Commit {
        expected: vec![expect_registration(&own.name, own.incarnation.0)],
        writes: vec![Write::Delete { key: keys::vm(&own.name) }],
    };
    shared.store.commit(commit).await.map(|_| ())
}

/// `CommitProgress` states whether `read_store` must read the store again.
enum CommitProgress {
    Done,
    Retry,
}

async fn try_join(shared: &Arc<Shared>) -> Result<Vec<Action>> {
    let incarnation = registration::register(&shared.store, &shared.registration).await?;
    let (revision, members) = registration::read_members(&shared.store).await?;
    let state = read_state(shared, shared.now()).await?;
    let own = shared.registration.clone().into_member(StoreRevision(incarnation.0));
    let rejoined = shared.with_node(|node, now| node.rejoin(now, own.clone()));
    let mut actions = Vec::new();
    if rejoined.is_none() {
        let now = shared.now();
        let mut node = Node::new(now, own.clone(), shared.settings.node_options());
        // Must precede `set_node`: the node may answer peers only after it was given a read of the
        // store.
        actions.extend(node.on_store_read(now, state));
        shared.set_node(node);
    }
    let fields = [Field::text("vm", &own.name), Field::number("incarnation", incarnation.0)];
    shared.record(Event::VmJoined, &fields);
    let entropy = rand::random();
    shared.with_node(|node, now| {
        actions.extend(node.on_roster_read(now, revision.0, members));
        actions.extend(node.push(now, entropy));
    });
    actions.extend([Action::ReadList, Action::ReadStore]);
    Ok(actions)
}

async fn read_and_commit(
    shared: &Arc<Shared>,
    actions: &mut Vec<Action>,
) -> Result<CommitProgress> {
    let asked = shared.now();
    let state = read_state(shared, asked).await?;
    let planned = shared.with_node(|node, now| {
        let version = node.shares().version;
        let (shares, shares_revision) = (state.shares.clone(), state.shares_revision);
        actions.extend(node.on_store_read(now, state));
        let plan = node.plan(now, &shares).map(|plan| commit(node, &plan, shares_revision));
        (plan, version != node.shares().version)
    });
    let Some((plan, shares_changed)) = planned else { return Ok(CommitProgress::Done) };
    if shares_changed {
        shared.notify();
    }
    let Some(plan) = plan else { return Ok(CommitProgress::Done) };
    match shared.store.commit(plan).await? {
        CommitOutcome::Committed(_) => {}
        // Another VM has changed the share record, or a registration has changed.
        CommitOutcome::Conflict => actions.push(Action::ReadRoster),
    }
    Ok(CommitProgress::Retry)
}

/// Reads the configuration head and the share record. Fetches the value of each only if its
/// revision differs from the last read.
async fn read_state(shared: &Shared, asked: Time) -> Result<StoreState> {
    let mut read = lock(&shared.last_read).clone();
    let known = [
        expect_revision(keys::HEAD, read.head_revision),
        expect_revision(keys::SHARES, read.state.shares_revision),
    ];
    let found = shared.store.compare_revisions(&known).await?.unwrap_or_default();
    for Entry { key, revision, .. } in found.entries {
        if key == keys::HEAD && revision.0 != read.head_revision {
            let entry = read_entry(shared, &key).await?;
            read.state.head = configuration::parse_head(&entry)?;
            read.head_revision = entry.revision.0;
        } else if key == keys::SHARES && revision.0 != read.state.shares_revision {
            let entry = read_entry(shared, &key).await?;
            read.state.shares = serde_json::from_slice(&entry.value)
                .map_err(|_| decode_error("malformed share record"))?;
            read.state.shares_revision = entry.revision.0;
        }
    }
    // `asked` remains valid for values fetched after the comparison: they are only newer.
    let state = StoreState { asked, ..read.state.clone() };
    *lock(&shared.last_read) = read;
    Ok(state)
}

async fn read_entry(shared: &Shared, key: &str) -> Result<Entry> {
    let reading = shared.store.read(key).await?;
    reading.entries.into_iter().next().ok_or(decode_error("a key was deleted between two reads"))
}

fn expect_revision(key: &str, revision: u64) -> Expectation {
    Expectation { key: key.to_owned(), revision: StoreRevision(revision) }
}

/// Builds the commit that writes the planned share record, if its stored revision is still
/// `shares_revision`, and deletes the registrations of the removed owners.
fn commit(node: &Node, plan: &SharePlan, shares_revision: u64) -> Commit {
    let value = serde_json::to_vec(&plan.next).unwrap_or_default();
    let mut commit = Commit {
        expected: vec![expect_revision(keys::SHARES, shares_revision)],
        writes: vec![Write::Put { key: keys::SHARES.to_owned(), value }],
    };
    for owner in &plan.removed {
        // If the VM has registered again since, the commit fails and its registration stays.
        let Some(Member { name, .. }) = node.roster().member(owner.vm) else { continue };
        commit.expected.push(expect_registration(name, owner.incarnation.0));
        commit.writes.push(Write::Delete { key: keys::vm(name) });
    }
    commit
}

/// Expects the registration of a VM to be that of `incarnation`, which is its store revision.
fn expect_registration(name: &str, incarnation: u64) -> Expectation {
    expect_revision(&keys::vm(name), incarnation)
}

/// Logs the start of an outage of the store, once for each outage.
fn record_store_failure(shared: &Shared, error: &oleander_store::errors::Error) {
    if !shared.store_unreachable.swap(true, Ordering::AcqRel) {
        shared.record(Event::StoreUnreachable, &[Field::text("reason", error)]);
    }
}

/// Logs the end of an outage of the store.
fn record_store_answer(shared: &Shared) {
    if shared.store_unreachable.swap(false, Ordering::AcqRel) {
        shared.record(Event::StoreReachable, &[]);
    }
}
