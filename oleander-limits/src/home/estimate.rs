//! Estimates of service time, from what finished requests took.

use oleander_core::time::Span;

/// The service time assumed before the first request has finished.
const INITIAL_SERVICE: Span = Span::from_millis(5);
/// One over the weight of a new sample in the moving average.
const AVERAGE_WINDOW: u64 = 16;

/// The mean deviations that are added to the average to cover nearly all requests.
const DEVIATION_FACTOR: u64 = 2;

/// `ServiceEstimate` is a moving average of the service time of one unit of cost.
#[derive(Clone, Copy, Debug)]
pub struct ServiceEstimate {
    mean: Span,
    deviation: Span,
    samples: u64,
}

impl ServiceEstimate {
    /// Takes in that a request of `cost` units was served in `service`.
    pub fn record(&mut self, cost: u32, service: Span) {
        let sample = service.0 / u64::from(cost.max(1));
        // The first samples count as a plain mean, so that the initial value is soon forgotten.
        self.samples = (self.samples + 1).min(AVERAGE_WINDOW);
        let average = |old: Span, new: u64| (old.0 * (self.samples - 1) + new) / self.samples;
        let deviation = average(self.deviation, sample.abs_diff(self.mean.0));
        self.mean = Span(average(self.mean, sample));
        self.deviation = Span(deviation);
    }

    /// Gets the time within which one server nearly always serves `cost` units.
    pub fn service_time(&self, cost: u64) -> Span {
        (self.mean + self.deviation.times(DEVIATION_FACTOR)).times(cost)
    }

    /// Gets the time in which `servers` servers together serve `cost` units; longest if there are none.
    pub fn drain_time(&self, cost: u64, servers: u32) -> Span {
        self.mean.times(cost).0.checked_div(u64::from(servers)).map_or(Span::MAX, Span)
    }
}

impl Default for ServiceEstimate {
    fn default() -> Self {
        Self { mean: INITIAL_SERVICE, deviation: Span::ZERO, samples: 0 }
    }
}
