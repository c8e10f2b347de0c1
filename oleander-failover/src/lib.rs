//! Failure detection, promotion and acknowledgement of replicated writes.
//!
//! Each database has a first and a second home, which are the VMs responsible
//! for it. A `Supervisor` on each home pings the instances, promotes a replica
//! when the primary is lost and makes returning instances follow the primary.
//! Where the platform promotes instances, a `Keeper` takes its place. An
//! `AckTracker` tells when a write survives promotions. All are state machines
//! without I/O: the caller passes in the time and events and runs the actions
//! that they return.

pub mod acks;
pub mod detector;
pub mod keeper;
pub mod messages;
pub mod options;
pub mod promoter;
pub mod supervisor;
mod primary_loss;

/// Returns the smallest number of instances that is a majority of `size`.
pub fn majority(size: usize) -> usize {
    size / 2 + 1
}
