//! The homes of instances, which own their connections and slots and run the statements that entry
//! VMs forward.
//!
//! The home of an instance is the one VM that its statements are sent to, so that a single queue
//! controls all of its slots.
//!
//! `registry` finds or creates the home of an instance, `instance` admits and runs statements,
//! `slots` queues them, `overload` times the return of refused ones, `connections` is the pool of connections, `open` is a transaction with its
//! connection, `transactions` holds transactions between their statements, and `upstream` is one
//! connection with its session state. `caller` tells a home that nobody waits for a statement any more,
//! and `measure` how well instances answer.

pub mod caller;
pub mod connections;
pub mod instance;
pub mod measure;
pub mod open;
mod overload;
pub mod registry;
pub mod slots;
pub mod transactions;
pub mod upstream;
pub mod warmup;
