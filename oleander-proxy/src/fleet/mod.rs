//! The proxy's view of the fleet, which the VM's agent sends.

pub mod subscription;
pub mod view;
