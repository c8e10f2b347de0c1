//! Passes the store's changes on between the VMs of a region.
//!
//! In each region two VMs are its watchers (`LeasedRoster::watchers`), in different availability zones
//! if there are several, and the others follow one of these. `StoreWatch` says whether both call the
//! store, or the second one only when the first is lost. So the calls to the store grow with the
//! number of regions and not with the number of VMs.
//! An answer says how long ago its view was known to be complete. A follower counts that from the
//! sending of its own question, so that no delay on the way makes a view seem newer than it is.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use oleander_core::ids::VmId;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_membership::leased::LeasedMember;
use oleander_peer::client::PeerClient;
use oleander_peer::messages::FollowReply;
use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use oleander_peer::messages::StoreChange;
use oleander_peer::messages::StoreContent;
use oleander_ports::store::Change;
use oleander_ports::store::Changes;
use oleander_ports::store::Entry;
use oleander_ports::store::StoreRevision;
use rand::seq::IteratorRandom as _;
use smallvec::SmallVec;

use super::delta::Delta;
use super::store_copy::StoreCopy;
use crate::fleet::Fleet;
use crate::settings::StoreWatch;

/// The number of VMs of a region that watch the store: the second takes over from a first one that
/// is lost or has lost the store.
pub const WATCHERS: usize = 2;

/// The longest wait for a change in the answer to a follower.
const FOLLOW_WAIT: Span = Span::from_millis(1_000);

/// The time for an answer beyond its wait.
const FOLLOW_SLACK: Span = Span::from_millis(300);

/// The age from which on the view of a watcher is too old to follow it: longer than one watch call
/// waits, so that the watcher has probably lost the store.
const MAX_AGE: Span = Span::from_millis(2_000);

/// The time for which a VM outside the watchers is followed, once these have lost the store.
const ADOPTION_TIME: Span = Span::from_millis(3_000);

/// The number of VMs that are asked for their view when the watchers and the store do not answer.
const ADOPTION_ATTEMPTS: usize = 3;

/// The size of the values in one answer, well below the limit of a frame; a follower that lacks
/// more reads the store.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// `Feed` answers followers and follows other VMs.
pub struct Feed {
    fleet: Arc<Fleet>,
    peers: PeerClient,
    copy: Mutex<StoreCopy>,
    /// The VM that is followed in place of the watchers, and until when.
    adopted: Mutex<Option<(VmId, Time)>>,
}

/// `ValueForm` is the form in which large values are sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ValueForm {
    /// As deltas to the previous values, if the receiver should have these.
    Deltas,
    /// Whole.
    Whole,
}

/// `Followed` is what a watcher has told: the changes, and a time at which a view with them was
/// complete.
#[derive(Clone, Debug)]
pub struct Followed {
    /// The VM that has answered.
    pub vm: VmId,
    /// The changes after the revision that was asked for.
    pub changes: Changes,
    /// The latest time at which no other change existed.
    pub synced: Time,
}

impl Feed {
    /// Creates a feed with an empty copy.
    pub fn new(fleet: Arc<Fleet>, peers: PeerClient) -> Self {
        Self { fleet, peers, copy: Mutex::default(), adopted: Mutex::default() }
    }

    /// Returns the copy of the store, which the VM's follower keeps up to date.
    pub fn copy(&self) -> MutexGuard<'_, StoreCopy> {
        self.copy.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the VMs that this one may follow, in order; none if it has to watch the store.
    pub fn sources(&self) -> SmallVec<[VmId; WATCHERS]> {
        let fleet = &self.fleet;
        if let Some((vm, until)) = *self.lock_adopted()
            && fleet.now() < until
        {
            return SmallVec::from_slice(&[vm]);
        }
        let place = &fleet.settings.place;
        let roster = &fleet.view().roster;
        let weight = |member: &LeasedMember| match fleet.settings.watch {
            StoreWatch::Pair => 0,
            StoreWatch::Standby => member.cpu,
        };
        let mut watchers: SmallVec<[VmId; WATCHERS]> = roster
            .watchers(&place.region, weight, |vm| vm == fleet.vm || fleet.is_up(vm))
            .into_iter()
            .take(WATCHERS)
            .collect();
        let rank = watchers.iter().position(|vm| *vm == fleet.vm);
        match (fleet.settings.watch, rank) {
            (StoreWatch::Pair, Some(_)) => watchers.clear(),
            (StoreWatch::Pair, None) => watchers
                .sort_by_key(|vm| roster.member(*vm).map(|member| member.place.distance(place))),
            (StoreWatch::Standby, rank) => watchers.truncate(rank.unwrap_or(WATCHERS)),
        }
        watchers
    }

    /// Returns `true` if the second of `sources` is a standby: it starts to watch the store only once
    /// the first is lost, and has no recent view until then.
    pub fn has_standby(&self, sources: &[VmId]) -> bool {
        self.fleet.settings.watch == StoreWatch::Standby && sources.len() == WATCHERS
    }

    /// Asks the VMs in turn for the changes after a revision. Returns `None` if none of them has a
    /// recent view.
    pub async fn follow(&self, sources: &[VmId], after: StoreRevision) -> Option<Followed> {
        self.ask(sources, after, FOLLOW_WAIT).await
    }

    /// Asks the VMs in turn for the changes after a revision that they have now.
    pub async fn recheck(&self, sources: &[VmId], after: StoreRevision) -> Option<Followed> {
        self.ask(sources, after, Span::ZERO).await
    }

    /// Asks some VMs of the whole fleet, when neither the watchers nor the store answer. The one
    /// that answers is followed for a while.
    pub async fn follow_any(&self, after: StoreRevision) -> Option<Followed> {
        let fleet = &self.fleet;
        let view = fleet.view();
        let others = view.roster.others(fleet.vm).map(LeasedMember::vm);
        let chosen =
            others.filter(|vm| fleet.is_up(*vm)).sample(&mut rand::rng(), ADOPTION_ATTEMPTS);
        let followed = self.ask(&chosen, after, Span::ZERO).await?;
        *self.lock_adopted() = Some((followed.vm, fleet.now() + ADOPTION_TIME));
        Some(followed)
    }

    async fn ask(
        &self,
        sources: &[VmId],
        after: StoreRevision,
        mut wait: Span,
    ) -> Option<Followed> {
        for vm in sources {
            let Some(address) = self.fleet.present_address(*vm) else { continue };
            // If this VM lacks the base of a delta, it asks again for whole values.
            for whole in [false, true] {
                let request = Request::Follow { after: after.0, wait, whole };
                let asked = self.fleet.now();
                let called = self.peers.call(address, &request, wait + FOLLOW_SLACK).await;
                // After one that did not answer, the view is old already.
                wait = Span::ZERO;
                let reply = match called {
                    Ok(Reply::Followed(reply)) => reply,
                    Ok(_) => break,
                    Err(_) => {
                        self.fleet.suspect(*vm);
                        break;
                    }
                };
                if reply.revision < after.0 || MAX_AGE < reply.age {
                    break;
                }
                let synced = synced_time(asked, reply.held, reply.age);
                if let Some(changes) = decode_changes(&self.copy(), reply) {
                    return Some(Followed { vm: *vm, changes, synced });
                }
            }
        }
        None
    }

    fn lock_adopted(&self) -> MutexGuard<'_, Option<(VmId, Time)>> {
        self.adopted.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers a follower once there is a change after `after`, or at the end of its wait. Returns
    /// `None` if this VM does not know all changes or its view is too old.
    pub async fn answer(
        &self,
        after: StoreRevision,
        wait: Span,
        form: ValueForm,
    ) -> Option<FollowReply> {
        let arrived = self.fleet.now();
        let valid_for = MAX_AGE.0.checked_sub(self.fleet.view_age()?.0).map(Span)?;
        let mut changes = self.fleet.changes();
        let changed = changes.wait_for(|revision| after < *revision);
        // If this VM has lost the store, its followers are answered as soon as its view is too old, so
        // that they turn to another one.
        let wait = wait.min(FOLLOW_WAIT).min(valid_for);
        let _ = self.fleet.timers.within(wait, changed).await;
        let mut copy = self.copy();
        let found = copy.changes_after(after)?;
        let changes = encode_changes(&mut copy, found.changes, after, form);
        drop(copy);
        let age = self.fleet.view_age().filter(|age| *age <= MAX_AGE)?;
        let size: usize = changes.iter().map(size_of_change).sum();
        let held = self.fleet.now().since(arrived);
        let reply = FollowReply { revision: found.revision.0, age, held, changes };
        (size <= MAX_ANSWER_BYTES).then_some(reply)
    }
}

/// Returns the latest time at which the view in an answer is known to have been complete. The
/// question was sent at `asked`, the answer left at least `held` later, and the view was then
/// `age` old.
pub fn synced_time(asked: Time, held: Span, age: Span) -> Time {
    Time((asked + held).0.saturating_sub(age.0))
}

/// Encodes the changes after `after`, which `copy` has applied, for a follower.
pub fn encode_changes(
    copy: &mut StoreCopy,
    changes: Vec<Change>,
    after: StoreRevision,
    form: ValueForm,
) -> Vec<StoreChange> {
    let mut encode = |change| match change {
        Change::Put(Entry { key, value, revision }) => {
            let delta = match form {
                ValueForm::Deltas => copy.delta(&key, after),
                ValueForm::Whole => None,
            };
            let content = match delta {
                Some((base, Delta { bytes, hash })) => {
                    StoreContent::Delta { base: base.0, delta: bytes.to_vec(), hash }
                }
                None => StoreContent::Value(value),
            };
            StoreChange { key, content, revision: revision.0 }
        }
        Change::Deleted { key, revision } => {
            StoreChange { key, content: StoreContent::Deleted, revision: revision.0 }
        }
    };
    changes.into_iter().map(&mut encode).collect()
}

/// Decodes the changes in an answer. Returns `None` if `copy`, which has not applied them yet, lacks
/// the base of a delta.
pub fn decode_changes(copy: &StoreCopy, reply: FollowReply) -> Option<Changes> {
    let change = |StoreChange { key, content, revision }| {
        let revision = StoreRevision(revision);
        let value = match content {
            StoreContent::Deleted => return Some(Change::Deleted { key, revision }),
            StoreContent::Value(value) => value,
            StoreContent::Delta { base, delta, hash } => {
                let delta = Delta { bytes: delta.into(), hash };
                copy.apply_delta(&key, StoreRevision(base), &delta)?
            }
        };
        Some(Change::Put(Entry { key, value, revision }))
    };
    let changes = reply.changes.into_iter().map(change).collect::<Option<_>>()?;
    Some(Changes { revision: StoreRevision(reply.revision), changes })
}

fn size_of_change(change: &StoreChange) -> usize {
    match &change.content {
        StoreContent::Deleted => 0,
        StoreContent::Value(value) => value.len(),
        StoreContent::Delta { delta, .. } => delta.len(),
    }
}
