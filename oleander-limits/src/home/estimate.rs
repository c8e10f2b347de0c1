//! Estimates service times from those of completed requests.

use oleander_core::time::Span;

/// The service time assumed before the first request has completed.
const INITIAL_SERVICE: Span = Span::from_millis(5);
/// The number of samples over which the moving average extends: a new sample has the weight 1/16.
const AVERAGE_WINDOW: u64 = 16;

/// The number of mean deviations added to the average to cover nearly all requests.
const DEVIATION_FACTOR: u64 = 2;

/// `ServiceEstimate` is a moving average of the service time per unit of cost.
#[derive(Clone, Copy, Debug)]
pub struct ServiceEstimate {
    mean: Span,
    /// The moving average of the distance between a sample and the mean.
    deviation: Span,
    /// The number of samples so far, at most `AVERAGE_WINDOW`.
    samples: u64,
}

impl ServiceEstimate {
    /// Records that a request of `cost` units took `service`.
    pub fn record(&mut self, cost: u32, service: Span) {
        let sample = service.0 / u64::from(cost.max(1));
        // The first samples form a plain mean, so that the initial value loses its weight quickly.
        self.samples = (self.samples + 1).min(AVERAGE_WINDOW);
        let average = |old: Span, new: u64| (old.0 * (self.samples - 1) + new) / self.samples;
        let deviation = average(self.deviation, sample.abs_diff(self.mean.0));
        self.mean = Span(average(self.mean, sample));
        self.deviation = Span(deviation);
    }

    /// Returns the time within which one slot serves `cost` units with high probability.
    pub fn service_time(&self, cost: u64) -> Span {
        (self.mean + self.deviation.times(DEVIATION_FACTOR)).times(cost)
    }

    /// Returns the time in which `servers` slots together serve `cost` units, or `Span::MAX` if
    /// there are none.
    pub fn drain_time(&self, cost: u64, servers: u32) -> Span {
        self.mean.times(cost).0.checked_div(u64::from(servers)).map_or(Span::MAX, Span)
    }
}

impl Default for ServiceEstimate {
    fn default() -> Self {
        Self { mean: INITIAL_SERVICE, deviation: Span::ZERO, samples: 0 }
    }
}
