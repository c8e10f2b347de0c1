//! The VM's own record in the store, bound to a lease, and the start of the use of its shares.

use std::sync::Arc;

use oleander_core::events::Event;
use oleander_core::ids::VmId;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_limits::rates::owner::LOAN_EXPIRY_WAIT;
use oleander_membership::leased::LeasedMember;
use oleander_peer::client::PeerClient;
use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use oleander_ports::sources::Sources;
use oleander_ports::store::Commit;
use oleander_ports::store::CommitOutcome;
use oleander_ports::store::KeyValue;
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

/// The time of a lease. Shares are used as long at most without the store, so it is near the time for
/// which the configuration counts as current; a lost VM is out of the fleet after as long.
const LEASE: Span = Span::from_millis(4_000);

/// The renewals in the time of a lease, so that three may fail in a row.
const RENEWALS: u64 = 4;

/// The longest wait for the first view before the VM's record is written without it.
const FIRST_VIEW: Span = Span::from_millis(500);

/// The pause before another VM is asked again whether it knows of this one: many VMs may be
/// starting, each within moments.
const JOINED_PAUSE: Span = Span::from_millis(50);

/// The time within which another VM must say whether it knows of this one.
const JOINED_LIMIT: Span = Span::from_millis(1_000);

/// `Held` is the lease that this VM's records are bound to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Held {
    /// The lease.
    pub lease: LeaseId,
    /// The revision at which the VM's own record was written.
    pub joined: StoreRevision,
}

/// `Leaseholder` keeps the VM's record in the store.
pub struct Leaseholder {
    /// Told until when the lease runs.
    pub fleet: Arc<Fleet>,
    /// The store.
    pub store: Arc<dyn KeyValue>,
    /// Where the record stands.
    pub sources: Sources,
    /// Calls to other VMs.
    pub peers: PeerClient,
    /// Records what changes.
    pub journal: Journal,
    /// The number of this life of the process.
    pub life: u64,
    /// The rates, of which a VM that leaves says what it has lent.
    pub rates: Rates,
    /// Told of the present lease.
    pub held: watch::Sender<Option<Held>>,
}

impl Leaseholder {
    /// Keeps the record until the VM is stopping, then takes it back.
    pub async fn run(self) {
        let mut draining = self.fleet.draining();
        let mut backoff = Backoff::default();
        loop {
            tokio::select! {
                held = self.hold() => {
                    self.held.send_replace(None);
                    self.fleet.set_join_revision(StoreRevision(0));
                    self.fleet.set_inactive();
                    if held.is_err() {
                        self.fleet.timers.sleep(backoff.pause()).await;
                    } else {
                        backoff = Backoff::default();
                    }
                }
                () = drained(&mut draining) => break,
            }
        }
        self.leave().await;
    }

    /// Takes a lease and renews it until it is lost.
    async fn hold(&self) -> Result<(), StoreError> {
        let time = Span(LEASE.0.max(self.fleet.settings.lease.0));
        let asked = self.fleet.now();
        let lease = self.store.grant(time).await?;
        self.fleet.set_leased_until(asked + time);
        let former = self.former().await;
        let joined = self.write(None, lease).await?;
        self.fleet.set_join_revision(joined);
        self.held.send_replace(Some(Held { lease, joined }));
        let renewing = self.renew(lease, time);
        let activating = async {
            self.activate(joined, former).await;
            std::future::pending::<()>().await;
        };
        tokio::select! {
            lost = renewing => lost,
            () = activating => Ok(()),
        }
    }

    async fn renew(&self, lease: LeaseId, time: Span) -> Result<(), StoreError> {
        let pace = Span(time.0 / RENEWALS);
        let mut failing = false;
        loop {
            self.fleet.timers.sleep(pace).await;
            let asked = self.fleet.now();
            match self.store.renew(lease).await {
                Ok(()) => {
                    self.fleet.set_leased_until(asked + time);
                    failing = false;
                }
                Err(StoreError::LeaseEnded) => return Ok(()),
                // The lease may still run; the next renewal tells.
                Err(error) => {
                    if !std::mem::replace(&mut failing, true) {
                        let left = self.fleet.leased_until().since(self.fleet.now());
                        let fields = [Field::text("reason", error), Field::millis("leased", left)];
                        self.journal.record(Event::StoreUnreachable, &fields);
                    }
                }
            }
        }
    }

    /// Writes the VM's record, whatever stands there from an earlier life.
    ///
    /// A VM that leaves names the time for which others may use what it lent.
    async fn write(&self, lent: Option<Span>, lease: LeaseId) -> Result<StoreRevision, StoreError> {
        let settings = &self.fleet.settings;
        let member = LeasedMember {
            name: settings.name.clone(),
            place: settings.place.clone(),
            peers: settings.peers,
            life: self.life,
            leaving: lent.is_some(),
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

    /// Gets this VM if its shares are still those of its earlier life: a record that says that the
    /// VM leaves has passed them on to others, who may have lent them.
    async fn former(&self) -> Option<VmId> {
        let mut changes = self.fleet.changes();
        let viewed = changes.wait_for(|revision| *revision != StoreRevision(0));
        // Without a view nothing is known of an earlier life.
        self.fleet.timers.within(FIRST_VIEW, viewed).await?.ok()?;
        let own = self.fleet.vm;
        self.fleet.view().roster.may_own(own).then_some(own)
    }

    /// Starts the use of own shares once every VM that may have owned them knows of this one.
    ///
    /// A VM that does not answer stops using its shares by itself once it has not heard from the
    /// store for the time of currency.
    async fn activate(&self, joined: StoreRevision, former: Option<VmId>) {
        let mut changes = self.fleet.changes();
        if changes.wait_for(|revision| joined <= *revision).await.is_err() {
            return;
        }
        let since = self.fleet.now();
        let roster = &self.fleet.view().roster;
        let others: Vec<VmId> = roster.others(self.fleet.vm).map(LeasedMember::vm).collect();
        let count = others.len();
        let mut calls = JoinSet::new();
        let request = Request::Joined { revision: joined.0, former };
        for vm in others {
            let (fleet, peers) = (self.fleet.clone(), self.peers.clone());
            calls.spawn(tell_joined(fleet, peers, vm, request.clone(), since));
        }
        let mut lent_until = self.fleet.now();
        while let Some(until) = calls.join_next().await {
            lent_until = lent_until.max(until.unwrap_or(Time(u64::MAX)));
        }
        let now = self.fleet.now();
        let longest = now + LOAN_EXPIRY_WAIT;
        // Without another VM nobody knows what was lent of the shares before.
        let is_known = former.is_some() || 0 < count;
        self.fleet.set_active(if is_known { lent_until.min(longest) } else { longest });
        let fields = [
            Field::number("joined", joined.0),
            Field::millis("waited", now.since(since)),
            Field::millis("lent", lent_until.since(now)),
        ];
        self.journal.record(Event::JoinKnown, &fields);
    }

    /// Tells the fleet that this VM leaves.
    async fn leave(&self) {
        let Some(held) = *self.held.borrow() else { return };
        let from = self.fleet.active_from();
        self.fleet.set_inactive();
        // A VM that has not used its shares yet does not know what earlier owners lent.
        let was_active = from.is_some_and(|from| from <= self.fleet.now());
        let lent = if was_active { self.rates.lent() } else { LOAN_EXPIRY_WAIT };
        if let Err(error) = self.write(Some(lent), held.lease).await {
            self.journal.record(Event::StoreUnreachable, &[Field::text("reason", error)]);
        }
    }

    /// Ends the lease, once the VM has finished what was open.
    pub async fn end(store: &dyn KeyValue, held: Option<Held>, journal: &Journal) {
        let Some(held) = held else { return };
        if let Err(error) = store.end(held.lease).await {
            // The lease ends by itself a little later.
            journal.record(Event::StoreUnreachable, &[Field::text("reason", error)]);
        }
    }
}

/// Returns once the VM is stopping.
async fn drained(draining: &mut watch::Receiver<bool>) {
    // A closed channel means that the node has gone, which is a stop too.
    let _ = draining.wait_for(|draining| *draining).await;
}

/// Waits until a VM knows of this one, or cannot use shares that are no longer its own. Gets the
/// time until which it may use what earlier owners lent to it.
async fn tell_joined(
    fleet: Arc<Fleet>,
    peers: PeerClient,
    vm: VmId,
    request: Request,
    since: Time,
) -> Time {
    let limit = since + fleet.settings.currency();
    while fleet.now() < limit {
        let Some(address) = fleet.present_address(vm) else {
            // Its lease has ended, and it counts its lease from before the store does.
            return fleet.now() + LOAN_EXPIRY_WAIT;
        };
        if let Ok(Reply::Joined(held)) = peers.call(address, &request, JOINED_LIMIT).await {
            return fleet.now() + held;
        }
        fleet.timers.sleep(JOINED_PAUSE).await;
    }
    fleet.now() + LOAN_EXPIRY_WAIT
}
