//! The VM's shares and the limits of workspaces, from each new view to the limiter.

use std::sync::Arc;

use oleander_core::events::Event;
use oleander_core::ids::WorkspaceId;
use oleander_core::time::Span;
use oleander_limits::rates::tokens::Limit;
use oleander_ports::store::StoreRevision;
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
    let mut former: Option<Arc<View>> = None;
    let mut owners = Vec::new();
    let mut started = false;
    loop {
        let view = fleet.view();
        let is_same = |part: fn(&View, &View) -> bool| {
            former.as_ref().is_some_and(|former| part(former, &view))
        };
        if !is_same(|former, view| Arc::ptr_eq(&former.roster, &view.roster)) {
            owners = view.roster.owners();
        }
        let until = fleet.shares_until();
        if fleet.now() < until {
            let from = fleet.active_from();
            if started {
                rates.set_shares(&owners, until);
            } else if from.is_some_and(|from| from <= fleet.now()) {
                // Whatever earlier owners lent has ended.
                rates.start_shares(&owners, until);
                started = true;
                journal.record(Event::SharesActive, &[]);
            }
        }
        if !is_same(|former, view| Arc::ptr_eq(&former.snapshot, &view.snapshot)) {
            rates.set_limits(limits_of(&view));
        }
        applied.send_replace(view.revision);
        former = Some(view);
        tokio::select! {
            changed = changes.changed() => if changed.is_err() { return },
            () = fleet.timers.sleep(if started { SHARES_INTERVAL } else { START_INTERVAL }) => {}
        }
    }
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
