//! Passes this VM's rate shares and the workspaces' limits from each new view to the limiter.
//!
//! The owner of a share lends parts of the rates to other VMs. Such a loan may still be in use
//! after the share has passed to another owner, which therefore waits for its end.

use std::sync::Arc;

use oleander_core::events::Event;
use oleander_core::ids::VmId;
use oleander_core::ids::WorkspaceId;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_limits::rates::owner::LOAN_EXPIRY_WAIT;
use oleander_limits::rates::tokens::Limit;
use oleander_membership::leased::LeasedMember;
use oleander_ports::store::StoreRevision;
use oleander_runtime::logs::Field;
use oleander_runtime::logs::Journal;
use tokio::sync::watch;

use crate::fleet::Fleet;
use crate::fleet::View;
use crate::home::warmup::WarmupParties;
use crate::rates::Rates;

/// The interval at which the shares are extended or ended while the view does not change.
const SHARES_INTERVAL: Span = Span::from_millis(250);

/// The interval at which a starting VM checks whether it may use its shares yet.
const START_INTERVAL: Span = Span::from_millis(25);

/// Passes the shares and limits of each new view to the limiter, until dropped.
///
/// `applied` receives the state after each view that the limiter has been given.
pub async fn follow(
    fleet: Arc<Fleet>,
    rates: Rates,
    journal: Journal,
    applied: watch::Sender<AppliedView>,
) {
    let mut changes = fleet.changes();
    let mut share_changes = fleet.share_changes();
    let mut former: Option<Arc<View>> = None;
    let mut parties = WarmupParties::default();
    let mut owners = Vec::new();
    let mut state = ShareState::Unused;
    // Loans of VMs that handed shares over while this one was starting may be in use until then.
    let mut lent_until = Time(0);
    let mut moved_at = Time(0);
    let mut lost_at = None;
    loop {
        let view = fleet.view();
        let is_same = |part: fn(&View, &View) -> bool| {
            former.as_ref().is_some_and(|former| part(former, &view))
        };
        let (now, until) = (fleet.now(), fleet.shares_until());
        let new_roster = !is_same(|former, view| Arc::ptr_eq(&former.roster, &view.roster));
        let mut wait = LOAN_EXPIRY_WAIT;
        if new_roster {
            let place = &fleet.settings.place;
            let distance = |member: &LeasedMember| (member.vm(), member.place.distance(place));
            rates.set_distances(view.roster.present().map(distance));
            let former_owners = std::mem::replace(&mut owners, fleet.share_owners(&view.roster));
            if let Some(former) = &former {
                // Loans of a VM whose lease has ended may run for `LOAN_EXPIRY_WAIT`. A VM that
                // leaves has written in its record for how long its loans run.
                let lent = view.roster.loan_wait(&former.roster, LOAN_EXPIRY_WAIT);
                wait = lent.unwrap_or_default();
                lent_until = lent_until.max(lent.map_or(Time(0), |lent| now + lent));
                let is_lost = lost_shares(fleet.vm, &former_owners, &owners);
                if is_lost && state == ShareState::InUse {
                    lost_at = Some(now);
                }
                if is_lost || lent.is_some() {
                    moved_at = now;
                }
            } else {
                moved_at = now;
            }
        }
        let start = fleet.shares_from().map(|from| from.max(lent_until));
        match (state, start) {
            // All loans of earlier owners have ended, so that the shares need no further wait.
            (ShareState::Unused, Some(start)) if now < until && start <= now => {
                rates.activate_shares(&owners, until, start);
                state = ShareState::InUse;
                journal.record(Event::SharesActive, &[]);
            }
            (ShareState::Ended, _) if now < until => {
                rates.set_shares(&owners, until, wait);
                state = ShareState::InUse;
                journal.record(Event::SharesActive, &[]);
            }
            // Other owners are asked for tokens from the first view on.
            (ShareState::Unused | ShareState::Ended, _) if new_roster => {
                rates.suspend_shares(&owners);
            }
            (ShareState::Unused | ShareState::Ended, _) => {}
            (ShareState::InUse, _) if now < until => rates.set_shares(&owners, until, wait),
            (ShareState::InUse, _) => {
                rates.suspend_shares(&owners);
                state = ShareState::Ended;
                let fields = [
                    Field::text("active", fleet.shares_from().is_some()),
                    Field::text("draining", fleet.is_draining()),
                    Field::millis("leased", fleet.leased_until().since(now)),
                    Field::millis("current", fleet.current_until().since(now)),
                ];
                journal.record(Event::SharesSuspended, &fields);
            }
        }
        let new_snapshot = !is_same(|former, view| Arc::ptr_eq(&former.snapshot, &view.snapshot));
        let new_instances =
            !is_same(|former, view| Arc::ptr_eq(&former.instances, &view.instances));
        let new_parties = (new_snapshot || new_instances) && parties.update(&view);
        if new_snapshot || new_parties {
            rates.set_limits(limits_of(&view).into_iter().chain(parties.limits()));
        }
        applied.send_replace(AppliedView {
            revision: view.revision,
            moved_at,
            lent_until,
            lost_at,
        });
        former = Some(view);
        let interval = if state == ShareState::Unused { START_INTERVAL } else { SHARES_INTERVAL };
        tokio::select! {
            changed = changes.changed() => if changed.is_err() { return },
            changed = share_changes.changed() => if changed.is_err() { return },
            () = fleet.timers.sleep(interval) => {}
        }
    }
}

/// `AppliedView` is the state of the limiter after it has been given a view.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AppliedView {
    /// The revision of the view.
    pub revision: StoreRevision,
    /// The time at which this VM last saw that shares may have moved away from their owner. What
    /// happened before its first view is unknown.
    pub moved_at: Time,
    /// The time until which loans of VMs that stopped being owners may be in use.
    pub lent_until: Time,
    /// The time at which this VM last lost shares that it used; its own loans of them go on.
    pub lost_at: Option<Time>,
}

/// `ShareState` says whether this VM uses the shares that the roster assigns to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ShareState {
    /// Not used since the process started.
    Unused,
    /// In use.
    InUse,
    /// No longer used: other VMs may have taken them over and lent from them.
    Ended,
}

/// Returns `true` if the VM owned a share in `former` that it does not own now.
fn lost_shares(vm: VmId, former: &[Option<VmId>], owners: &[Option<VmId>]) -> bool {
    former.iter().zip(owners).any(|(former, owner)| *former == Some(vm) && owner != former)
}

fn limits_of(view: &View) -> Vec<(WorkspaceId, Limit)> {
    let workspaces = view.snapshot.workspaces.iter().map(|(_, workspace)| &workspace.name);
    workspaces
        .filter_map(|name| {
            let id = WorkspaceId::from_name(name);
            let rate = view.snapshot.rate(id)?;
            Some((id, Limit { rate: rate.rate, burst: rate.burst }))
        })
        .collect()
}
