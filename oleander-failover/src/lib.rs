//! Failure detection, promotion and acknowledgement of replicated writes.
//!
//! A `Supervisor` on each home of a database pings the instances, orders a
//! promotion when the primary is gone and leads returning instances back. An
//! `AckTracker` says when a write is safe from promotions. Both are plain
//! structs: time and answers are passed in, and what is to be done comes out.

pub mod acks;
pub mod detector;
pub mod keeper;
pub mod messages;
pub mod options;
pub mod promoter;
pub mod supervisor;
mod vacancy;

/// Gets the number of instances that make a majority of `size`.
pub fn majority(size: usize) -> usize {
    size / 2 + 1
}
