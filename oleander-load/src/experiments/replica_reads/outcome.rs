//! What a run counts.

use oleander_core::time::Span;

/// `Outcome` counts what became of the reads.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    /// The reads that came.
    pub(crate) reads: u64,
    /// The reads that a replica answered.
    pub(crate) by_replica: u64,
    /// The reads that some replica could have answered in time.
    pub(crate) eligible: u64,
    /// The answers handed out that lacked what the session had seen or were too old.
    pub(crate) stale: u64,
    /// The answers thrown away because they did not prove enough.
    pub(crate) discarded: u64,
    /// The reads answered within the deadline.
    pub(crate) timely: u64,
    /// The times of the answers, in order once the run has ended.
    pub(crate) latencies: Vec<Span>,
}

impl Outcome {
    /// Gets the part of the eligible reads that replicas answered.
    pub(crate) fn eligible_share(&self) -> f64 {
        self.by_replica as f64 / self.eligible.max(1) as f64
    }

    /// Gets a quantile of the latencies in milliseconds.
    pub(crate) fn latency_ms(&self, quantile: f64) -> f64 {
        let at = ((self.latencies.len() as f64 - 1.0) * quantile) as usize;
        self.latencies.get(at).map_or(0.0, |span| span.as_secs_f64() * 1e3)
    }
}
