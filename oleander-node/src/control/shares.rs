//! The VM's shares and the limits of workspaces, from each new view to the limiter.

use std::sync::Arc;

use oleander_core::events::Event;
use oleander_core::ids::WorkspaceId;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_limits::rates::owner::LOAN_EXPIRY_WAIT;
use oleander_limits::rates::tokens::Limit;
use oleander_ports::store::StoreRevision;
use oleander_runtime::logs::Field;
use oleander_runtime::logs::Journal;
use tokio::sync::watch;

use crate::fleet::Fleet;
use crate::fleet::View;
use crate::rates::Rates;

/// The time between two looks at the rates' shares when nothing has changed.
const SHARES_INTERVAL: Span = Span::from_millis(250);

/// The time between two looks at whether this VM may use its shares yet.
const START_INTERVAL: Span = Span::from_millis(25);

/// Gives the limiter the shares and limits of each new view.
pub async fn follow(
    fleet: Arc<Fleet>,
    rates: Rates,
    journal: Journal,
    applied: watch::Sender<StoreRevision>,
) {
    let mut changes = fleet.changes();
    let mut activity = fleet.activity();
    let mut former: Option<Arc<View>> = None;
    let mut owners = Vec::new();
    let mut shares = Shares::Unused;
    // Until then loans run of VMs that handed shares over while this one was starting.
    let mut lent_until = Time(0);
    loop {
        let view = fleet.view();
        let is_same = |part: fn(&View, &View) -> bool| {
            former.as_ref().is_some_and(|former| part(former, &view))
        };
        let (now, until) = (fleet.now(), fleet.shares_until());
        let moved = !is_same(|former, view| Arc::ptr_eq(&former.roster, &view.roster));
        let mut wait = LOAN_EXPIRY_WAIT;
        if moved {
            owners = view.roster.owners();
            if let Some(former) = &former {
                // Loans of a VM that is gone run for the whole hold; one that leaves knows better.
                wait = view.roster.loan_wait(&former.roster, LOAN_EXPIRY_WAIT);
                lent_until = lent_until.max(now + wait);
            }
        }
        let may_start = fleet.active_from().is_some_and(|from| from.max(lent_until) <= now);
        match shares {
            // Whatever earlier owners lent has ended.
            Shares::Unused if now < until && may_start => {
                rates.activate_shares(&owners, until);
                shares = Shares::Used;
                journal.record(Event::SharesActive, &[]);
            }
            Shares::Ended if now < until => {
                rates.set_shares(&owners, until, wait);
                shares = Shares::Used;
                journal.record(Event::SharesActive, &[]);
            }
            // What others grant may be used from the first view on.
            Shares::Unused | Shares::Ended if moved => rates.suspend_shares(&owners),
            Shares::Unused | Shares::Ended => {}
            Shares::Used if now < until => rates.set_shares(&owners, until, wait),
            Shares::Used => {
                rates.suspend_shares(&owners);
                shares = Shares::Ended;
                let fields = [
                    Field::text("active", fleet.active_from().is_some()),
                    Field::text("draining", fleet.is_draining()),
                    Field::millis("leased", fleet.leased_until().since(now)),
                    Field::millis("current", fleet.current_until().since(now)),
                ];
                journal.record(Event::SharesSuspended, &fields);
            }
        }
        if !is_same(|former, view| Arc::ptr_eq(&former.snapshot, &view.snapshot)) {
            rates.set_limits(limits_of(&view));
        }
        applied.send_replace(view.revision);
        former = Some(view);
        let pause = if shares == Shares::Unused { START_INTERVAL } else { SHARES_INTERVAL };
        tokio::select! {
            changed = changes.changed() => if changed.is_err() { return },
            changed = activity.changed() => if changed.is_err() { return },
            () = fleet.timers.sleep(pause) => {}
        }
    }
}

/// `Shares` says how this VM stands to the shares that the roster gives it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Shares {
    /// Not used in this life of the process.
    Unused,
    /// In use.
    Used,
    /// No longer used: others may have them, and have lent of them.
    Ended,
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
