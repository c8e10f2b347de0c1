//! Admission and fair queueing at a home of one database.
//!
//! A home is a VM that runs requests to a database on behalf of the entry VMs, which forward them.
//! It has a quota of the slots and connections of each instance, queues the requests and decides
//! which one starts next.

pub mod calendar;
mod drops;
pub mod estimate;
pub mod fair;
mod levels;
pub mod pool;
pub mod queue;
pub mod request;
pub mod slots;
pub mod transactions;
pub mod urgency;
pub mod warmup;
