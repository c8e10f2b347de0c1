//! Admission and fairness at a home of one database.
//!
//! A home owns a part of each instance's slots and connections, queues the
//! requests that entry VMs forward to it and decides which one starts next.

pub mod estimate;
pub mod fair;
pub mod pool;
pub mod queue;
pub mod request;
pub mod slots;
pub mod transactions;
