//! Failover and acknowledgement in virtual time, over the real decision structs.
//!
//! A small fleet of two homes and one witness watches one group of three
//! instances. Writes arrive at a steady rate; a fault strikes; at the end each
//! acknowledged write must be in the primary's history exactly once.

pub mod cost;
pub mod network;
pub mod scenarios;
pub mod simulation;
pub mod tables;

pub use tables::run;
