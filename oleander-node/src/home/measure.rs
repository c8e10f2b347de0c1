//! Measures the statements that an instance's home runs.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use oleander_core::ids::InstanceKey;
use oleander_core::places::Distance;
use oleander_core::time::Span;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_routing::meter::Meter;
use oleander_routing::meter::Outcome;
use oleander_routing::meter::Running;
use oleander_routing::meter::StatementClass;
use oleander_runtime::timer::TimerService;
use oleander_session::report::InstanceReport;

/// `Meters` is the meter of all homes of a VM. Clones share it.
#[derive(Clone, Debug)]
pub struct Meters {
    timers: TimerService,
    meter: Arc<Mutex<Meter>>,
}

/// `InstanceMeter` measures the statements of one instance.
#[derive(Clone, Debug)]
pub struct InstanceMeter {
    meters: Meters,
    key: InstanceKey,
    max_round_trip: Span,
}

/// `Measurement` is one statement; dropping it counts the statement as unanswered, since its time
/// limit has passed.
struct Measurement<'a> {
    meter: &'a InstanceMeter,
    running: Option<Running>,
}

impl Meters {
    /// Creates a meter without measurements.
    pub fn new(timers: TimerService) -> Self {
        Self { timers, meter: Arc::default() }
    }

    /// Returns the meter of an instance at `distance`.
    pub fn instance(&self, key: InstanceKey, distance: Distance) -> InstanceMeter {
        InstanceMeter { meters: self.clone(), key, max_round_trip: max_round_trip(distance) }
    }

    /// Returns the report on the reads of an instance.
    pub fn report(&self, key: InstanceKey) -> InstanceReport {
        self.lock().report(self.timers.now(), key)
    }

    /// Drops what is known of an instance that was removed or has restarted.
    pub fn forget(&self, key: InstanceKey) {
        self.lock().forget(key);
    }

    fn lock(&self) -> MutexGuard<'_, Meter> {
        self.meter.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl InstanceMeter {
    /// Measures `exchange`, which sends a statement and receives its answer.
    ///
    /// # Errors
    /// Fails with the errors of `exchange`.
    pub async fn measure<T>(
        &self,
        class: StatementClass,
        exchange: impl Future<Output = Result<T, Refusal>>,
    ) -> Result<T, Refusal> {
        let running = self.meters.lock().start(self.meters.timers.now(), self.key, class);
        let mut measurement = Measurement { meter: self, running: Some(running) };
        let result = exchange.await;
        let outcome = match &result {
            Ok(_) => Outcome::Answered,
            Err(refusal) => outcome_of(refusal.code),
        };
        measurement.end(outcome);
        result
    }

    /// Records that no connection to the instance could be opened for a statement.
    pub fn record_unreachable(&self, class: StatementClass) {
        let running = self.meters.lock().start(self.meters.timers.now(), self.key, class);
        Measurement { meter: self, running: Some(running) }.end(Outcome::Unanswered);
    }
}

impl Measurement<'_> {
    fn end(&mut self, outcome: Outcome) {
        let Some(running) = self.running.take() else { return };
        let InstanceMeter { meters, max_round_trip, .. } = self.meter;
        meters.lock().end(meters.timers.now(), running, outcome, *max_round_trip);
    }
}

impl Drop for Measurement<'_> {
    fn drop(&mut self) {
        self.end(Outcome::Unanswered);
    }
}

/// Returns the longest round trip to an instance that is not the fault of the instance.
fn max_round_trip(distance: Distance) -> Span {
    match distance {
        Distance::Zone => Span::from_millis(2),
        Distance::Region => Span::from_millis(5),
        Distance::Remote => Span::from_millis(50),
    }
}

/// Returns the outcome of a statement that was sent and refused or failed. A busy instance is at
/// fault, since the home had counted a free slot; a replica that is behind is not.
fn outcome_of(code: RefusalCode) -> Outcome {
    match code {
        RefusalCode::Timeout | RefusalCode::UpstreamLost => Outcome::Unanswered,
        RefusalCode::QueueFull | RefusalCode::UpstreamUnavailable | RefusalCode::UpstreamError => {
            Outcome::Failed
        }
        _ => Outcome::Answered,
    }
}
