//! The home of instances: it owns their connections and slots and runs what entry VMs forward.
//!
//! One VM is the home of an instance, so that one queue knows all of its slots.
//! `registry` finds or makes the home of an instance, `instance` admits and runs
//! statements, `connections` lends connections to them, `open` is a transaction
//! that keeps one, `transactions` holds those between their statements, and
//! `backend` is one connection with the session state that it carries.

pub mod backend;
pub mod connections;
pub mod instance;
pub mod open;
pub mod registry;
pub mod slots;
pub mod transactions;
