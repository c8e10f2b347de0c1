//! The home duty: queues, places and runs the work on one database.
//!
//! A database has two homes, each with a part of every instance's slots and
//! connections. A home is the only place where work on its part is ordered, so
//! fairness and limits need no agreement between VMs.

pub mod acks;
pub mod admission;
pub mod database;
pub mod instances;
pub mod polls;
pub mod registry;
pub mod single;
pub mod table;
pub mod transactions;
