//! The counts of a run.

use oleander_core::time::Span;

/// `Outcome` counts the reads of a run by their result.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    /// The number of reads.
    pub(crate) reads: u64,
    /// The number of reads that a replica answered.
    pub(crate) from_replicas: u64,
    /// The number of reads that some replica could have answered in time.
    pub(crate) eligible: u64,
    /// The number of accepted answers that lacked a write that the session had seen, or were older
    /// than the read allows.
    pub(crate) stale: u64,
    /// The number of answers discarded because they were not proven to be recent enough.
    pub(crate) discarded: u64,
    /// The number of reads answered within the deadline.
    pub(crate) timely: u64,
    /// The latencies of all reads, also of refused ones; ascending once the run has ended.
    pub(crate) latencies: Vec<Span>,
}

impl Outcome {
    /// Returns the number of reads answered by replicas in proportion to the eligible reads.
    pub(crate) fn eligible_ratio(&self) -> f64 {
        self.from_replicas as f64 / self.eligible.max(1) as f64
    }

    /// Returns a quantile of the latencies in milliseconds; zero if there are none.
    pub(crate) fn latency_ms(&self, quantile: f64) -> f64 {
        let at = ((self.latencies.len() as f64 - 1.0) * quantile) as usize;
        self.latencies.get(at).map_or(0.0, |span| span.as_secs_f64() * 1e3)
    }
}
