//! One VM of the fleet: entry, homes and control in one process, over the product's ports.
//!
//! `entry` takes the sessions of callers, decides on admission and routes each
//! statement to the home of an instance. `home` owns the connections and slots of
//! instances. `keeper` watches primaries and replaces them. `control` follows the
//! store and keeps this VM's lease. They share a `fleet::Fleet`, which holds what
//! the VM believes.

pub mod control;
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
