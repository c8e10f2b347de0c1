//! Decides whether an instance may run a statement: instances that leave or are in an availability
//! zone under evacuation may not.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceKey;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;

use crate::fleet::Fleet;
use crate::fleet::Instance;
use crate::fleet::View;
use crate::settings::NodeSettings;

/// The `retry_after` of a refusal because of an evacuation if another instance can take over:
/// roughly the duration of a promotion.
const SWITCHOVER_RETRY_AFTER: Span = Span::from_millis(600);

/// The `retry_after` of a refusal because of an evacuation if no instance can take over: it ends
/// when the operator ends the evacuation, which nobody can foresee.
const EVACUATION_RETRY_AFTER: Span = Span::from_millis(2_000);

/// `StatementKind` tells whether a statement starts new work at an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StatementKind {
    /// A statement outside a transaction, or the first one of a transaction.
    New,
    /// A further statement of an open transaction.
    InTransaction,
}

/// `Obstacle` is the reason why an instance may not run a statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Obstacle {
    /// The instance is in an availability zone under evacuation.
    Evacuated,
    /// The instance is about to shut down.
    Leaving,
}

/// `Rules` decide on the instances of one database, from this VM's knowledge at one moment.
#[derive(Clone, Debug)]
pub struct Rules<'a> {
    /// The view of the store.
    pub view: &'a View,
    /// The time limits.
    pub settings: &'a NodeSettings,
    /// The primary of the database; `None` while it is unknown or being replaced.
    pub primary: Option<InstanceKey>,
    /// The current time.
    pub now: Time,
}

impl Rules<'_> {
    /// Returns the reason why the instance may not run a statement; `None` if it may.
    ///
    /// A leaving primary serves until its role is handed over, but no longer than the drain window.
    /// Statements of open transactions may run on leaving instances, and for the transaction window
    /// on evacuated ones.
    pub fn obstacle(&self, instance: &Instance, kind: StatementKind) -> Option<Obstacle> {
        if let Some(learned) = self.view.evacuated.get(&instance.entry.zone) {
            let window = self.settings.evacuation_window();
            if kind == StatementKind::New || window <= self.now.since(*learned) {
                return Some(Obstacle::Evacuated);
            }
        }
        let leaving_since = instance.leaving_since.filter(|_| kind == StatementKind::New)?;
        let is_serving = Some(instance.key) == self.primary
            && self.now.since(leaving_since) < self.settings.drain_window();
        (!is_serving).then_some(Obstacle::Leaving)
    }

    /// Returns the refusal of a statement for an instance of the database in an evacuated zone.
    pub fn evacuation_refusal(&self, database: DatabaseId) -> Refusal {
        let mut instances = self.view.instances_of(database);
        let has_others =
            instances.any(|instance| self.obstacle(instance, StatementKind::New).is_none());
        let retry_after = if has_others { SWITCHOVER_RETRY_AFTER } else { EVACUATION_RETRY_AFTER };
        let detail = "the availability zone of the instance is under evacuation";
        Refusal::not_run(RefusalCode::UpstreamUnavailable, detail).with_retry_after(retry_after)
    }
}

/// Returns the refusal of a statement that the instance may not run because of an evacuation; `None`
/// if none prevents it.
pub fn evacuation_refusal(
    fleet: &Fleet,
    instance: &Instance,
    kind: StatementKind,
) -> Option<Refusal> {
    let view = fleet.view();
    if view.evacuated.is_empty() {
        return None;
    }
    let rules = Rules {
        view: &view,
        settings: &fleet.settings,
        primary: fleet.primary(instance.database),
        now: fleet.now(),
    };
    let is_evacuated = rules.obstacle(instance, kind) == Some(Obstacle::Evacuated);
    is_evacuated.then(|| rules.evacuation_refusal(instance.database))
}

/// Shortens the transaction window of evacuations that `view` has and `former` lacks, as they may
/// have been requested at any time since `synced`, when `former` was last known to be complete.
pub fn shorten_window(
    view: &mut View,
    former: &View,
    synced: Time,
    now: Time,
    settings: &NodeSettings,
) {
    let late = now.since(synced).saturating_sub(settings.half_evacuation());
    if late == Span::ZERO {
        return;
    }
    let is_new = |zone: &str| !former.evacuated.contains_key(zone);
    if view.evacuated.keys().any(|zone| is_new(zone)) {
        let evacuated = Arc::make_mut(&mut view.evacuated).iter_mut();
        for (_, learned) in evacuated.filter(|(zone, _)| is_new(zone)) {
            *learned = Time(learned.0.saturating_sub(late.0));
        }
    }
}

/// `EvacuationCounts` are the numbers of statements refused because of evacuations.
#[derive(Debug, Default)]
pub struct EvacuationCounts {
    /// Statements of this VM's callers that no instance could run.
    pub at_entry: AtomicU64,
    /// Statements refused by this VM's homes; the entry VM may have tried other instances.
    pub at_home: AtomicU64,
}
