//! Keepers: for each database one VM at a time has the duty to watch the primary and to replace it.
//!
//! `duties` takes and releases duties through the keeper records in the store. `watcher` runs one
//! duty: it feeds the state machine of `oleander_failover::keeper` and executes its actions.
//! `notify` tells the other VMs that a primary is withdrawn, `links` holds the connections to the
//! instances, and `members` what the record says of those that may have acknowledged commits.

pub mod duties;
pub mod notify;
pub mod links;
mod members;
pub mod watcher;
