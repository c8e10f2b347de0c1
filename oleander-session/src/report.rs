//! What a home reports on an instance with each reply.

use oleander_core::time::Span;
use serde::Deserialize;
use serde::Serialize;

/// `InstanceReport` summarises the reads of an instance that its home has run lately, for all entry
/// VMs together.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct InstanceReport {
    /// The number of reads that were answered or failed.
    pub ended: u32,
    /// The number of these that failed by a fault of the instance.
    pub failed: u32,
    /// The median service time of the answered ones; zero if there are none.
    pub service: Span,
    /// The time for which reads were sent to the instance and none was answered; zero if the last one
    /// was answered.
    pub silent: Span,
}
