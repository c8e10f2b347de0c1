//! How far a replica is behind the primary in time.

use oleander_core::terms::Position;
use oleander_core::time::Span;

use crate::samples::Samples;
use crate::samples::StatusAt;

/// The weight of a new measurement in the mean, as a divisor.
const MEAN_WEIGHT: u64 = 8;
/// The weight of a new measurement in the deviation, as a divisor.
const DEVIATION_WEIGHT: u64 = 4;

/// `Lag` is a running estimate of one replica's delay, as TCP keeps of a round trip.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Lag {
    mean: Span,
    deviation: Span,
    known: bool,
}

impl Lag {
    /// Takes a measured delay in.
    pub fn record(&mut self, delay: Span) {
        if !self.known {
            *self = Self { mean: delay, deviation: Span(delay.0 / 4), known: true };
            return;
        }
        let error = Span(self.mean.0.abs_diff(delay.0));
        self.deviation = smoothed(self.deviation, error, DEVIATION_WEIGHT);
        self.mean = smoothed(self.mean, delay, MEAN_WEIGHT);
    }

    /// Gets the delay within which the replica is likely to have caught up; `None` before any measurement.
    pub fn likely(&self) -> Option<Span> {
        self.known.then(|| self.mean + self.deviation.times(2))
    }
}

/// Measures a replica's delay at the time of its status, from samples of the primary.
///
/// Gets `None` if the samples do not reach back to the replica's position or are of another term.
pub fn delay(samples: &Samples, known: StatusAt) -> Option<Span> {
    if samples.term() != Some(known.status.point.term) {
        return None;
    }
    let position = known.status.point.position;
    if samples.reached(Position(position.0.saturating_add(1))).is_none() {
        return Some(Span::ZERO);
    }
    samples.left(position).map(|left| known.requested_at.since(left))
}

fn smoothed(old: Span, new: Span, weight: u64) -> Span {
    Span((old.0.saturating_mul(weight - 1).saturating_add(new.0)) / weight)
}
