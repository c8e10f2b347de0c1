//! The entry: the part of a VM that serves callers' sessions.
//!
//! It admits each operation by key, route and rate, keeps the state of each session, and forwards
//! statements to the home of an instance on this or another VM.

pub mod connections;
pub mod forward;
pub mod messages;
pub mod outliers;
pub mod overload;
pub mod places;
pub mod records;
pub mod route;
pub mod session;
pub mod shed;
pub mod start;
