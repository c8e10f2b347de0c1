//! The home duty: queues requests to a database, selects an instance for each and runs them.
//!
//! A home is a VM that runs the requests to one database. A database has two homes, and each may
//! use its own part of the slots and connections of every instance. Only the home schedules
//! requests on its part, so fairness and limits need no coordination between VMs.

pub mod acks;
pub mod admission;
pub mod database;
pub mod instances;
pub mod polls;
pub mod registry;
pub mod single;
pub mod table;
pub mod transactions;
