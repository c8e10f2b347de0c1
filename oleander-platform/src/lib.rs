//! Adapters to the platform: the key-value store and the list of VMs.

pub mod vms;
