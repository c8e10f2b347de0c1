//! Types shared by all crates of oleanderrudder.
//!
//! The crate defines identifiers, log positions, time, refusals, statements and event numbers. It
//! does no I/O, reads no clock and draws no random numbers.

pub mod budget;
pub mod events;
pub mod hash;
pub mod ids;
pub mod level;
pub mod line;
pub mod places;
pub mod statement;
pub mod terms;
pub mod time;
pub mod timers;
pub mod verdict;
