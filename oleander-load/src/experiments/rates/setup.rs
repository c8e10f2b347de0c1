//! The parameters of the simulated fleet, and the outcome of its requests.

use oleander_core::time::Span;

/// The one-way delay of a message between two VMs.
pub(super) const LATENCY: Span = Span::from_millis(20);
/// The number of VMs of the fleet.
pub(super) const VMS: usize = 9;

/// `Outcome` counts the requests and messages under one policy.
#[derive(Clone, Debug, Default)]
pub(super) struct Outcome {
    pub(super) offered: u64,
    pub(super) refused: u64,
    pub(super) wrongful: u64,
    /// The time that each request waited for its decision. The fractions policy counts a request
    /// that was not admitted as zero.
    pub(super) waits: Vec<Span>,
    pub(super) messages: u64,
    /// Whether each request of a run was admitted.
    pub(super) admitted: Vec<bool>,
}

impl Outcome {
    /// Counts the requests that were refused, and those of them that the ideal bucket admitted.
    pub(super) fn count_refusals(&mut self, ideal: &[bool]) {
        self.offered = ideal.len() as u64;
        let pairs = || self.admitted.iter().zip(ideal);
        self.refused = self.admitted.iter().filter(|admitted| !**admitted).count() as u64;
        self.wrongful = pairs().filter(|(admitted, ideal)| !**admitted && **ideal).count() as u64;
    }

    /// Adds the counts and waits of another run.
    pub(super) fn add(&mut self, other: Outcome) {
        self.offered += other.offered;
        self.refused += other.refused;
        self.wrongful += other.wrongful;
        self.messages += other.messages;
        self.waits.extend(other.waits);
    }

    /// Returns the proportion of the requests that were refused.
    pub(super) fn refused_share(&self) -> f64 {
        self.refused as f64 / self.offered.max(1) as f64
    }

    /// Returns the proportion of the requests that were refused wrongfully.
    pub(super) fn wrongful_share(&self) -> f64 {
        self.wrongful as f64 / self.offered.max(1) as f64
    }

    /// Returns a quantile of the waits; zero if there are none.
    pub(super) fn wait_quantile(&mut self, quantile: f64) -> Span {
        self.waits.sort_unstable();
        let at = (self.waits.len() as f64 * quantile) as usize;
        self.waits.get(at.min(self.waits.len().saturating_sub(1))).copied().unwrap_or_default()
    }
}
