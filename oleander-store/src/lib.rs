//! Clients of the platform's services: the key-value store and the VM list.

pub mod configuration;
pub mod errors;
pub mod keys;
pub mod registration;
pub mod store;
pub mod vms;
pub mod watch;
mod http;
mod json;
