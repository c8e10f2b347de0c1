//! Refusals at the entry under overload: by the horizons of homes, and with spread return times.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use oleander_core::ids::InstanceKey;
use oleander_core::ids::WorkspaceId;
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
use oleander_routing::horizon::Returns;
use oleander_runtime::metrics::Metrics;
use oleander_session::work::HomeRequest;
use smallvec::SmallVec;

use crate::fleet::Fleet;
use crate::fleet::Instance;

/// `EntryHorizons` holds what this VM has learned from homes in their replies.
pub struct EntryHorizons {
    state: Mutex<State>,
    /// Counts the requests refused here and those sent as probes.
    metrics: Metrics,
}

#[derive(Default)]
struct State {
    horizons: Horizons,
    returns: Returns,
}

impl EntryHorizons {
    /// Creates an empty set.
    pub fn new(metrics: Metrics) -> Self {
        Self { state: Mutex::default(), metrics }
    }

    /// Records the horizon in a home's reply and, from a refusal, the time of the return.
    pub fn record(
        &self,
        now: Time,
        request: &HomeRequest,
        horizon: Horizon,
        refusal: Option<&Refusal>,
    ) {
        let instance = InstanceKey::from_name(&request.instance);
        let mut state = self.lock();
        state.horizons.record(now, instance, horizon);
        let booked = refusal.filter(|refusal| {
            matches!(refusal.code, RefusalCode::QueueFull | RefusalCode::DeadlineExceeded)
        });
        if let Some(retry_after) = booked.and_then(|refusal| refusal.retry_after) {
            state.returns.record(now, return_key(request), now + retry_after, instance);
        }
    }

    /// Removes the instances whose homes do not admit the request. If a home has told a request of
    /// the workspace and level to return now, its instance comes first.
    ///
    /// # Errors
    /// Fails with verdict `NotRun` if no home admits it.
    pub fn admit(
        &self,
        now: Time,
        request: &HomeRequest,
        instances: &mut SmallVec<[Instance; 4]>,
    ) -> Result<(), Refusal> {
        let State { horizons, returns } = &mut *self.lock();
        let level = request.level;
        let keys = instances.iter().map(|instance| instance.key);
        let is_candidate = |key| keys.clone().any(|candidate| candidate == key);
        if let Some(key) = returns.take(now, return_key(request), is_candidate) {
            instances.retain(|instance| {
                instance.key == key || horizons.admits(now, instance.key, level)
            });
            instances.sort_by_key(|instance| instance.key != key);
            return Ok(());
        }
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
                // When it returns, it is sent to the home, which books a time if it refuses as well.
                if let Some(instance) = instances.first() {
                    returns.record(now, return_key(request), now + retry_after, instance.key);
                }
                let detail = "entry: the homes admit only requests of higher priority now";
                Err(Refusal::not_run(RefusalCode::QueueFull, detail).with_retry_after(retry_after))
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn return_key(request: &HomeRequest) -> (WorkspaceId, Level) {
    (WorkspaceId::from_name(&request.workspace), request.level)
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
    let lowest = fleet.view().snapshot.lowest_level;
    let spread = horizon::spread_return(level, lowest, rand::random());
    let beyond = refusal.retry_after.unwrap_or(Span::ZERO).saturating_sub(MIN_RETURN);
    refusal.with_retry_after(spread + beyond)
}
