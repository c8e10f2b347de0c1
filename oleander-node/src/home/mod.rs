//! The home of instances: it owns their connections and slots and runs what entry VMs forward.
//!
//! One VM is the home of an instance, so that one queue knows all of its slots.
//! `registry` finds or makes the home of an instance, `instance` admits and runs
//! statements, `connections` lends connections to them, `transactions` keeps what
//! is open between them, and `backend` is one connection with the session state
//! that it carries.

pub mod backend;
mod connections;
pub mod instance;
pub mod registry;
pub mod slots;
pub mod transactions;
