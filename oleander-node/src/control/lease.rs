//! Keeps this VM's own record in the store under a lease, and enables its shares once it has
//! joined.

use std::sync::Arc;

use oleander_core::events::Event;
use oleander_core::ids::VmId;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_failover::keeper::RULES_VERSION;
use oleander_limits::rates::owner::LOAN_EXPIRY_WAIT;
use oleander_membership::leased::LEASE_RULES;
use oleander_membership::leased::LeasedMember;
use oleander_peer::client::PeerClient;
use oleander_peer::messages::EarlierUse;
use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use oleander_ports::sources::Sources;
use oleander_ports::store::Commit;
use oleander_ports::store::CommitOutcome;
use oleander_ports::store::KeyValueStore;
use oleander_ports::store::LeaseGrant;
use oleander_ports::store::LeaseId;
use oleander_ports::store::StoreError;
use oleander_ports::store::StoreRevision;
use oleander_ports::store::Write;
use oleander_runtime::logs::Field;
use oleander_runtime::logs::Journal;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::Backoff;
use super::apply;
use crate::fleet::Fleet;
use crate::rates::Rates;

/// The longest wait for the first view; the VM's record is then written without it.
const FIRST_VIEW_WAIT: Span = Span::from_millis(500);

/// The pause before a VM that did not confirm the join is told of it again; short, since each of
/// many VMs that start at once needs only a moment.
const JOIN_RETRY_PAUSE: Span = Span::from_millis(50);

/// The time within which another VM must answer that it knows of the join.
const JOIN_TIMEOUT: Span = Span::from_millis(1_000);

/// `HeldLease` is the lease that this VM's records are bound to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// The identifier of the lease in the store.
    pub lease: LeaseId,
    /// The revision at which the VM's own record was written under the lease.
    pub join_revision: StoreRevision,
}

/// `Leaseholder` holds the VM's lease and keeps the VM's record in the store.
pub struct Leaseholder {
    /// Receives the expiry of the lease and whether the VM may use its shares.
    pub fleet: Arc<Fleet>,
    /// The store that grants the lease.
    pub store: Arc<dyn KeyValueStore>,
    /// Gives the key of the record.
    pub sources: Sources,
    /// Tells other VMs that this one has joined.
    pub peers: PeerClient,
    /// Logs failed calls to the store, and when all other VMs know of the join.
    pub journal: Journal,
    /// The random number of this process, which tells it from earlier ones of the same VM.
    pub life: u64,
    /// Tells for how long loans of this VM run, which a leaving VM writes into its record.
    pub rates: Rates,
    /// Receives the current lease; `None` while there is none.
    pub held_lease: watch::Sender<Option<HeldLease>>,
}

impl Leaseholder {
    /// Keeps the record until the VM is draining, then marks it as leaving.
    pub async fn run(self) {
        let mut draining = self.fleet.draining();
        let mut backoff = Backoff::default();
        loop {
            tokio::select! {
                ended = self.hold_lease() => {
                    self.held_lease.send_replace(None);
                    // Nothing of this VM goes by the lease any more, also if it was to run for longer.
                    self.fleet.set_leased_until(Time(0));
                    self.fleet.set_join_revision(StoreRevision(0));
                    self.fleet.disable_shares();
                    if ended.is_err() {
                        self.fleet.timers.sleep(backoff.next_pause()).await;
                    } else {
                        backoff = Backoff::default();
                    }
                }
                () = drain_started(&mut draining) => break,
            }
        }
        self.mark_leaving().await;
    }

    /// Acquires a lease, and renews it until it has ended. The record is written meanwhile, since a
    /// short lease might end before.
    ///
    /// Returns `Ok` if the store reports the lease as ended.
    ///
    /// # Errors
    /// Fails if the lease cannot be acquired or the record cannot be written.
    async fn hold_lease(&self) -> Result<(), StoreError> {
        let requested = self.fleet.settings.lease_ttl();
        let asked = self.fleet.now();
        let LeaseGrant { lease, ttl } = self.store.grant(requested).await?;
        let fields = [
            Field::number("lease", lease.number.unsigned_abs()),
            Field::millis("asked", requested),
            Field::millis("applied", ttl),
        ];
        self.journal.record(Event::LeaseGranted, &fields);
        tokio::select! {
            lost = self.renew(lease, asked, ttl) => lost,
            displaced = self.register(lease) => displaced,
        }
    }

    /// Writes the record under the lease, and enables the shares once all other VMs know of it.
    ///
    /// Returns `Ok` if the store no longer holds the record.
    ///
    /// # Errors
    /// Fails if the record cannot be written.
    async fn register(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.wait_for_first_view().await;
        let former = self.former_owner();
        if self.may_have_predecessor() {
            self.fleet.note_predecessor();
        }
        let join_revision = self.write_record(None, lease).await?;
        self.fleet.set_join_revision(join_revision);
        self.held_lease.send_replace(Some(HeldLease { lease, join_revision }));
        let activating = async {
            self.announce_and_enable(join_revision, former).await;
            std::future::pending::<()>().await;
        };
        tokio::select! {
            () = activating => {}
            () = self.wait_displaced(join_revision) => {}
        }
        Ok(())
    }

    /// Waits until the store no longer holds the record that this process wrote at `join_revision`.
    ///
    /// An earlier write whose answer was lost may be carried out after a later one. It binds the record
    /// to its own lease, which nobody renews, or puts back the record of an earlier process.
    async fn wait_displaced(&self, join_revision: StoreRevision) {
        let mut changes = self.fleet.changes();
        loop {
            let view = self.fleet.view();
            let own = view.roster.member(self.fleet.vm).filter(|member| member.life == self.life);
            let is_held = own.is_some() && view.roster.is_present(self.fleet.vm);
            if join_revision <= view.revision && !is_held {
                let fields = [
                    Field::text("reason", "the record of this VM was replaced or removed"),
                    Field::number("at", view.revision.0),
                ];
                return self.journal.record(Event::SharesSuspended, &fields);
            }
            if changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Renews a lease that was requested at `asked` and granted for `ttl`, until it has ended.
    ///
    /// The lease counts by the TTL that applies, from the sending of the last call that the store has
    /// answered. Other VMs reckon with the requested TTL at most, so that a longer one is not used.
    /// A renewal does not wait for the answer to the one before: under a short TTL the lease would
    /// end while the store is slow.
    async fn renew(&self, lease: LeaseId, asked: Time, ttl: Span) -> Result<(), StoreError> {
        let settings = &self.fleet.settings;
        let requested = settings.lease_ttl();
        let (mut counted_from, mut ttl) = (asked, ttl.min(requested));
        self.fleet.set_leased_until(counted_from + ttl);
        let mut due = asked + settings.renewal_interval(ttl);
        let mut failing = false;
        let mut calls = JoinSet::new();
        loop {
            tokio::select! {
                () = self.fleet.timers.sleep_until(due) => {
                    let (store, sent) = (self.store.clone(), self.fleet.now());
                    calls.spawn(async move { (sent, store.renew(lease).await) });
                    due = sent + settings.renewal_interval(ttl);
                }
                Some(Ok((sent, outcome))) = calls.join_next() => match outcome {
                    Ok(applied) => {
                        failing = false;
                        // Answers may overtake each other.
                        if counted_from < sent {
                            counted_from = sent;
                            ttl = applied.map_or(ttl, |applied| applied.min(requested));
                            self.fleet.set_leased_until(sent + ttl);
                            due = due.min(sent + settings.renewal_interval(ttl));
                        }
                    }
                    Err(StoreError::LeaseEnded) => return Ok(()),
                    // The lease may still run; the next renewal will show.
                    Err(error) => {
                        if !std::mem::replace(&mut failing, true) {
                            let left = self.fleet.leased_until().since(self.fleet.now());
                            let fields =
                                [Field::text("reason", error), Field::millis("leased", left)];
                            self.journal.record(Event::StoreUnreachable, &fields);
                        }
                    }
                },
            }
        }
    }

    /// Writes the VM's record, replacing one of an earlier process.
    ///
    /// `lent` marks the VM as leaving and is the time for which others may still use its loans.
    async fn write_record(
        &self,
        lent: Option<Span>,
        lease: LeaseId,
    ) -> Result<StoreRevision, StoreError> {
        let settings = &self.fleet.settings;
        let member = LeasedMember {
            name: settings.name.clone(),
            place: settings.place.clone(),
            peers: settings.peers,
            life: self.life,
            cpu: settings.cpu_millis(),
            leaving: lent.is_some(),
            promotion: RULES_VERSION,
            leases: LEASE_RULES,
            lent,
        };
        let value = serde_json::to_vec(&member).map_err(|_| StoreError::Refused)?;
        let key = apply::vm_key(&self.sources, &settings.name);
        let commit = Commit { expected: Vec::new(), writes: vec![Write::Put { key, value }] };
        match self.store.commit(&commit, Some(lease)).await? {
            CommitOutcome::Committed(revision) => Ok(revision),
            CommitOutcome::Conflict => Err(StoreError::Refused),
        }
    }

    /// Waits up to `FIRST_VIEW_WAIT` for the first view.
    async fn wait_for_first_view(&self) {
        let mut changes = self.fleet.changes();
        let viewed = changes.wait_for(|revision| *revision != StoreRevision(0));
        // Without a view nothing is known of an earlier process.
        let _ = self.fleet.timers.within(FIRST_VIEW_WAIT, viewed).await;
    }

    /// Returns `true` unless the view shows that no earlier process of this VM has a lease.
    fn may_have_predecessor(&self) -> bool {
        let view = self.fleet.view();
        let member = view.roster.member(self.fleet.vm);
        view.revision == StoreRevision(0) || member.is_some_and(|member| member.life != self.life)
    }

    /// Returns this VM if the record of its earlier process still gives it its shares.
    ///
    /// A record that is marked as leaving has already passed them on to other VMs, which may have
    /// lent them.
    fn former_owner(&self) -> Option<VmId> {
        let own = self.fleet.vm;
        let view = self.fleet.view();
        let former = view.roster.member(own).filter(|_| view.roster.may_own(own))?;
        // With a higher rank than before, the VM gets shares that others have owned until now.
        (former.cpu == self.fleet.settings.cpu_millis()).then_some(own)
    }

    /// Enables the own shares once every VM that may have owned them knows that this one has
    /// joined.
    ///
    /// A VM that does not answer stops using its shares by itself once it has not heard from the
    /// store for `NodeSettings::currency_ttl`.
    async fn announce_and_enable(&self, join_revision: StoreRevision, former: Option<VmId>) {
        let mut changes = self.fleet.changes();
        if changes.wait_for(|revision| join_revision <= *revision).await.is_err() {
            return;
        }
        let since = self.fleet.now();
        let roster = &self.fleet.view().roster;
        let others: Vec<VmId> = roster.others(self.fleet.vm).map(LeasedMember::vm).collect();
        let count = others.len();
        let mut calls = JoinSet::new();
        let request = Request::Joined { revision: join_revision.0, former };
        for vm in others {
            let (fleet, peers) = (self.fleet.clone(), self.peers.clone());
            calls.spawn(announce_join(fleet, peers, vm, request.clone(), since));
        }
        // Shares that this VM did not own before have been in use up to now. The others were in
        // use until the end of its earlier process at the latest.
        let mut lent_until = if former.is_some() { self.fleet.started() } else { self.fleet.now() };
        while let Some(until) = calls.join_next().await {
            lent_until = lent_until.max(until.unwrap_or(Time(u64::MAX)));
        }
        let now = self.fleet.now();
        let mut longest = now + LOAN_EXPIRY_WAIT;
        let is_restored = self.fleet.view().keepers.values().any(|keeper| keeper.restored);
        if former.is_none() && is_restored {
            // VMs whose leases the store has lost may use their shares until these would have
            // ended, and this process knows none of them.
            longest = now + self.fleet.settings.settle_time();
            lent_until = longest;
        }
        // With no record of an earlier process and no other VM to ask, it is unknown what was lent
        // from the shares before.
        let is_known = former.is_some() || 0 < count;
        self.fleet.enable_shares(if is_known { lent_until.min(longest) } else { longest });
        let fields = [
            Field::number("joined", join_revision.0),
            Field::millis("waited", now.since(since)),
            Field::millis("lent", lent_until.since(now)),
        ];
        self.journal.record(Event::JoinKnown, &fields);
    }

    /// Marks the record as leaving, so that other VMs take the shares over.
    async fn mark_leaving(&self) {
        let Some(held) = *self.held_lease.borrow() else { return };
        let from = self.fleet.shares_from();
        self.fleet.disable_shares();
        let now = self.fleet.now();
        let lent = match from {
            Some(from) if from <= now => self.rates.lent_remaining(),
            // All VMs have answered, and what earlier owners have lent is in use until then.
            Some(from) => from.since(now),
            // A VM that has not answered may use shares that it owned before until its view is no
            // longer current, and its loans run on.
            None => self.fleet.settings.currency_ttl() + LOAN_EXPIRY_WAIT,
        };
        if let Err(error) = self.write_record(Some(lent), held.lease).await {
            self.journal.record(Event::StoreUnreachable, &[Field::text("reason", error)]);
        }
    }

    /// Ends the lease, which removes the record; called once no work is open any more.
    pub async fn release(store: &dyn KeyValueStore, held: Option<HeldLease>, journal: &Journal) {
        let Some(held) = held else { return };
        if let Err(error) = store.revoke(held.lease).await {
            // The lease then expires by itself.
            journal.record(Event::StoreUnreachable, &[Field::text("reason", error)]);
        }
    }
}

/// Waits until the VM is draining.
async fn drain_started(draining: &mut watch::Receiver<bool>) {
    // A closed channel means that the node is gone, which counts as a stop, too.
    let _ = draining.wait_for(|draining| *draining).await;
}

/// Tells a VM that this one has joined, until it answers or can no longer use shares that have
/// moved to this one. Returns the time until which it may use what earlier owners lent to it, or
/// last did.
async fn announce_join(
    fleet: Arc<Fleet>,
    peers: PeerClient,
    vm: VmId,
    request: Request,
    since: Time,
) -> Time {
    let limit = since + fleet.settings.currency_ttl();
    while fleet.now() < limit {
        let Some(address) = fleet.present_address(vm) else {
            // Its lease has ended. It uses its shares no longer than its lease, which it counts
            // from an earlier time than the store does.
            return fleet.now() + LOAN_EXPIRY_WAIT;
        };
        let reply = peers.call(address, &request, JOIN_TIMEOUT).await;
        if let Ok(Reply::Joined(EarlierUse { remaining, unused })) = reply {
            return Time((fleet.now() + remaining).0.saturating_sub(unused.0));
        }
        fleet.timers.sleep(JOIN_RETRY_PAUSE).await;
    }
    fleet.now() + LOAN_EXPIRY_WAIT
}
