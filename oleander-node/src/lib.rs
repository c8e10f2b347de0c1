//! The node of one VM: session entry, instance homes, keepers and control in one process.
//!
//! The store, the databases and the platform are reached through the traits of
//! `oleander_ports`.
//!
//! `entry` serves the sessions of callers, decides on admission and routes each
//! statement to the home of an instance. A home, in `home`, is the VM that owns
//! the connections and slots of an instance. `keeper` watches primaries and
//! replaces them. `control` follows the store and holds this VM's lease. They share
//! a `fleet::Fleet`, which holds the view of the store.

pub mod charges;
pub mod control;
pub mod eligibility;
pub mod entry;
pub mod fleet;
pub mod home;
pub mod keeper;
pub mod node;
pub mod peers;
pub mod primaries;
pub mod rates;
pub mod settings;
pub mod status;
