//! Refusals at the entry under overload: by the horizons of homes, and with spread return times.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use oleander_config::snapshot::Snapshot;
use oleander_core::ids::InstanceKey;
use oleander_core::level::Horizon;
use oleander_core::level::Level;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_routing::horizon;
use oleander_routing::horizon::Admission;
use oleander_routing::horizon::Horizons;
use oleander_routing::horizon::MIN_RETURN;
use oleander_runtime::metrics::Metrics;
use smallvec::SmallVec;

use crate::fleet::Fleet;
use crate::fleet::Instance;

/// `EntryHorizons` holds the horizons that this VM has received from homes.
pub struct EntryHorizons {
    horizons: Mutex<Horizons>,
    /// Counts the requests refused here and those sent as probes.
    metrics: Metrics,
}

impl EntryHorizons {
    /// Creates an empty set.
    pub fn new(metrics: Metrics) -> Self {
        Self { horizons: Mutex::default(), metrics }
    }

    /// Records the horizon in a reply of an instance's home.
    pub fn record(&self, now: Time, instance: &str, horizon: Horizon) {
        self.lock().record(now, InstanceKey::from_name(instance), horizon);
    }

    /// Removes the instances whose homes do not admit a request of `level`.
    ///
    /// # Errors
    /// Fails with verdict `NotRun` if no home admits it.
    pub fn admit(
        &self,
        now: Time,
        instances: &mut SmallVec<[Instance; 4]>,
        level: Level,
    ) -> Result<(), Refusal> {
        let mut horizons = self.lock();
        let keys = instances.iter().map(|instance| instance.key);
        match horizons.decide(now, keys, level, rand::random()) {
            Admission::Open => {
                instances.retain(|instance| horizons.admits(now, instance.key, level));
                Ok(())
            }
            Admission::Probe(key) => {
                self.metrics.count("horizon.probes", 1);
                instances.retain(|instance| instance.key == key);
                Ok(())
            }
            Admission::Refuse(retry_after) => {
                self.metrics.count("horizon.refused", 1);
                let detail = "entry: the homes admit only requests of higher priority now";
                Err(Refusal::not_run(RefusalCode::QueueFull, detail).with_retry_after(retry_after))
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Horizons> {
        self.horizons.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the refusal of a request that was tried at several instances: the last one, with the
/// earliest time that a home has given it.
pub fn earliest_return(former: Option<&Refusal>, last: Refusal) -> Refusal {
    let former = former.and_then(|refusal| refusal.retry_after);
    let retry_after = former.into_iter().chain(last.retry_after).min();
    Refusal { retry_after, ..last }
}

/// Spreads the return of a request that was refused for its rate or because the configuration is
/// not current, if `NodeSettings::overload` is set. A longer time in the refusal is kept and spread.
pub fn spread_return(fleet: &Fleet, level: Level, refusal: Refusal) -> Refusal {
    if !fleet.settings.overload {
        return refusal;
    }
    let lowest = lowest_level(&fleet.view().snapshot);
    let spread = horizon::spread_return(level, lowest, rand::random());
    let beyond = refusal.retry_after.unwrap_or(Span::ZERO).saturating_sub(MIN_RETURN);
    refusal.with_retry_after(spread + beyond)
}

/// Returns the lowest-priority level that a request may have by the configuration.
fn lowest_level(snapshot: &Snapshot) -> Level {
    let route = snapshot.routes.iter().map(|(_, route)| route.priority).max();
    let workspace = snapshot.workspaces.iter().map(|(_, workspace)| workspace.priority).max();
    Level::from_priorities(route.unwrap_or(0), workspace.unwrap_or(0))
}
