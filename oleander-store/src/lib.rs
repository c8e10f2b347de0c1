//! Adapters to the platform: the key-value store and the list of VMs.

pub mod configuration;
pub mod errors;
pub mod keys;
pub mod registration;
pub mod store;
pub mod vms;
pub mod watch;
mod http;
mod json;
