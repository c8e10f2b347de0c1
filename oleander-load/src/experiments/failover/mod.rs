//! Failover and acknowledgement of writes, with the production state machines in virtual time.
//!
//! Two homes and one witness monitor a group of three instances. Writes arrive at a constant rate
//! while faults are injected. At the end each acknowledged write must be in the primary's history,
//! and no write may be there more than once.

pub mod cost;
pub mod network;
pub mod scenarios;
pub mod simulation;
pub mod tables;

pub use tables::run;
