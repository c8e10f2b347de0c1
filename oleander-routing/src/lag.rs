//! Replication lag: the time by which a replica is behind the primary.

use oleander_core::terms::Position;
use oleander_core::time::Span;

use crate::samples::Samples;
use crate::samples::StatusAt;

/// The weight of a new measurement in the mean, as a divisor (1/8).
const MEAN_WEIGHT: u64 = 8;
/// The weight of a new measurement in the deviation, as a divisor (1/4).
const DEVIATION_WEIGHT: u64 = 4;

/// `Lag` is a moving estimate of one replica's replication delay.
///
/// It keeps a smoothed mean and deviation, like the round-trip time estimator of TCP.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Lag {
    mean: Span,
    /// The smoothed distance between a measurement and the mean.
    deviation: Span,
    /// Whether at least one delay was recorded.
    measured: bool,
}

impl Lag {
    /// Adds a measured delay to the estimate.
    pub fn record(&mut self, delay: Span) {
        if !self.measured {
            *self = Self { mean: delay, deviation: Span(delay.0 / 4), measured: true };
            return;
        }
        let error = Span(self.mean.0.abs_diff(delay.0));
        self.deviation = smoothed(self.deviation, error, DEVIATION_WEIGHT);
        self.mean = smoothed(self.mean, delay, MEAN_WEIGHT);
    }

    /// Returns a delay within which the replica has probably caught up: the mean and twice the
    /// deviation. Returns `None` before the first measurement.
    pub fn estimate(&self) -> Option<Span> {
        self.measured.then(|| self.mean + self.deviation.times(2))
    }
}

/// Computes a replica's delay at the time of its status from samples of the primary's position.
///
/// Returns `None` if the samples do not reach back to the replica's position or are of another
/// term.
pub fn delay(samples: &Samples, observed: StatusAt) -> Option<Span> {
    if samples.term() != Some(observed.status.point.term) {
        return None;
    }
    let position = observed.status.point.position;
    if samples.first_at_or_after(Position(position.0.saturating_add(1))).is_none() {
        return Some(Span::ZERO);
    }
    samples.last_at_or_before(position).map(|time| observed.requested_at.since(time))
}

/// Returns the moving average after the measurement `new`, whose weight is 1/`weight`.
fn smoothed(old: Span, new: Span, weight: u64) -> Span {
    Span((old.0.saturating_mul(weight - 1).saturating_add(new.0)) / weight)
}
