//! Orders the candidates of reads by how well the instances answer, and limits retries.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use oleander_core::events::Event;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceKey;
use oleander_core::time::Span;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_routing::budget::RetryBudget;
use oleander_routing::budget::RetryOptions;
use oleander_routing::outliers::Cause;
use oleander_routing::outliers::Change;
use oleander_routing::outliers::Finding;
use oleander_routing::outliers::Outliers;
use oleander_runtime::logs::Field;
use oleander_runtime::logs::Journal;
use oleander_runtime::metrics::Metrics;
use oleander_runtime::metrics::with_labels;
use oleander_runtime::timer::TimerService;
use oleander_session::report::InstanceReport;
use oleander_session::work::HomeRequest;
use smallvec::SmallVec;

use crate::fleet::Instance;
use crate::fleet::View;

/// The part of the remaining time that a probe may take, so that the read can still be served by
/// another instance.
const PROBE_DIVISOR: u64 = 4;

/// The budget for retries that add load to a database. With 28 requests a second, the rate of one
/// VM of the load that it was designed for, it allows less than a fifth of them in any 2 s.
const RETRY_OPTIONS: RetryOptions =
    RetryOptions { deposit: 140, capacity: 2, refill: Span::from_secs(2) };

/// `ReadOutliers` holds what this VM knows of the instances that it sends reads to.
pub struct ReadOutliers {
    timers: TimerService,
    journal: Journal,
    metrics: Metrics,
    state: Mutex<State>,
}

struct State {
    outliers: Outliers,
    budget: RetryBudget,
}

/// `ReadPlan` is the plan of one read.
#[derive(Default)]
pub struct ReadPlan {
    /// The instances of the database.
    group: SmallVec<[InstanceKey; 4]>,
    /// The ejected instance that the read probes first; `None` once it has been sent there.
    probe: Option<InstanceKey>,
}

/// `SentRead` counts a read as sent until it is dropped.
pub struct SentRead<'a> {
    outliers: &'a ReadOutliers,
    key: InstanceKey,
    is_probe: bool,
}

impl ReadOutliers {
    /// Creates the state of a VM that has sent no reads yet.
    pub fn new(timers: TimerService, journal: Journal, metrics: Metrics) -> Self {
        let budget = RetryBudget::new(RETRY_OPTIONS, timers.now());
        let state = State { outliers: Outliers::default(), budget };
        Self { timers, journal, metrics, state: Mutex::new(state) }
    }

    /// Puts the candidates of a read in the order in which it tries them.
    pub fn plan(
        &self,
        view: &View,
        database: DatabaseId,
        candidates: &mut SmallVec<[Instance; 4]>,
    ) -> ReadPlan {
        let group: SmallVec<[InstanceKey; 4]> =
            view.instances_of(database).map(|instance| instance.key).collect();
        let keys: SmallVec<[InstanceKey; 4]> =
            candidates.iter().map(|candidate| candidate.key).collect();
        let plan = self.lock().outliers.plan(self.timers.now(), &group, &keys);
        let place = |key| plan.order.iter().position(|other| *other == key);
        candidates.sort_by_key(|candidate| place(candidate.key));
        if plan.probe.is_some() {
            // The probe has little time. If no other instance can run the read, the probed one gets
            // what is left.
            candidates.extend(candidates.first().cloned());
        }
        for change in plan.changes {
            self.log_change(view, change);
        }
        ReadPlan { group, probe: plan.probe }
    }

    /// Records that a read is sent to an instance. If it is a probe, its time limit is shortened.
    pub fn start(
        &self,
        plan: &mut ReadPlan,
        key: InstanceKey,
        request: &mut HomeRequest,
    ) -> SentRead<'_> {
        let is_probe = plan.probe.take() == Some(key);
        if is_probe {
            let limit = Span(request.patience.0 / PROBE_DIVISOR);
            request.limit = limit.min(request.limit);
        }
        self.lock().outliers.record_sent(self.timers.now(), key);
        SentRead { outliers: self, key, is_probe }
    }

    /// Records a report of the home of an instance.
    pub fn record_report(&self, key: InstanceKey, report: InstanceReport) {
        self.lock().outliers.record_reply(self.timers.now(), key, report);
    }

    /// Records how a read ended; `refusal` is `None` if it was served.
    pub fn finish(
        &self,
        sent: &SentRead<'_>,
        view: &View,
        plan: &ReadPlan,
        refusal: Option<&Refusal>,
    ) {
        let SentRead { key, is_probe, .. } = *sent;
        let now = self.timers.now();
        let mut state = self.lock();
        let outliers = &mut state.outliers;
        match refusal {
            None => outliers.record_answered(key),
            Some(refusal) if is_full(refusal) => outliers.record_full(now, key),
            Some(_) => {}
        }
        if !is_probe {
            return;
        }
        let change = match refusal {
            None => outliers.record_probe_answered(now, key, &plan.group),
            Some(refusal) if is_failure(refusal) => {
                outliers.record_probe_failed(now, key);
                None
            }
            // The home did not send the read to the instance.
            Some(_) => None,
        };
        drop(state);
        if let Some(change) = change {
            self.log_change(view, change);
        }
    }

    /// Records the first attempt of a request, which earns a part of a retry.
    pub fn record_first(&self) {
        self.lock().budget.deposit();
    }

    /// Returns `true` if a refused request may be sent to `next`, another instance.
    ///
    /// Retries that add load need the budget, and after the refusal of a full instance the other one
    /// must have had room for the last read that it got.
    pub fn may_retry(&self, refusal: &Refusal, next: InstanceKey) -> bool {
        let now = self.timers.now();
        let mut state = self.lock();
        let is_full = is_full(refusal);
        let adds_load =
            is_full || matches!(refusal.code, RefusalCode::Timeout | RefusalCode::UpstreamError);
        (!is_full || state.outliers.has_room(now, next)) && (!adds_load || state.budget.take(now))
    }

    /// Returns the ejected instances as metrics text, one line each with the cause.
    pub fn text(&self, view: &View) -> String {
        let ejected = self.lock().outliers.ejected();
        let line = |(key, cause): (InstanceKey, Cause)| {
            let (name, cause) = (instance_name(view, key), cause.to_string());
            let labels = [("instance", name), ("cause", cause.as_str())];
            format!("{} 1\n", with_labels("ejected", &labels))
        };
        ejected.into_iter().map(line).collect()
    }

    fn log_change(&self, view: &View, change: Change) {
        match change {
            Change::Ejected { key, finding: Finding { cause, own, median, reads }, span } => {
                let fields = [
                    Field::text("instance", instance_name(view, key)),
                    Field::text("cause", cause),
                    Field::number("own", own),
                    Field::number("median", median),
                    Field::number("reads", u64::from(reads)),
                    Field::millis("span", span),
                ];
                self.journal.record(Event::InstanceEjected, &fields);
                self.metrics.count(&format!("instance.ejected.{cause}"), 1);
            }
            Change::Reinstated { key, cause, span } => {
                let fields = [
                    Field::text("instance", instance_name(view, key)),
                    Field::text("cause", cause),
                    Field::millis("span", span),
                ];
                self.journal.record(Event::InstanceReinstated, &fields);
                self.metrics.count("instance.reinstated", 1);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for SentRead<'_> {
    fn drop(&mut self) {
        self.outliers.lock().outliers.record_ended(self.key);
    }
}

/// Returns the name of an instance; empty if it has been removed.
fn instance_name(view: &View, key: InstanceKey) -> &str {
    view.instances.get(&key).map_or("", |instance| instance.entry.instance.as_str())
}

/// Returns `true` if the instance or its home had no room.
fn is_full(refusal: &Refusal) -> bool {
    matches!(refusal.code, RefusalCode::QueueFull | RefusalCode::DeadlineExceeded)
}

/// Returns `true` if a probe shows that the instance still fails.
fn is_failure(refusal: &Refusal) -> bool {
    matches!(
        refusal.code,
        RefusalCode::Timeout
            | RefusalCode::UpstreamError
            | RefusalCode::UpstreamLost
            | RefusalCode::UpstreamUnavailable
    )
}
