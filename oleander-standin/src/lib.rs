//! Small stand-ins for the platform's store, its list of VMs and its database groups.
//!
//! Each listens on a free port of 127.0.0.1 and has switches for the faults
//! that the real services have. They are fakes at the interfaces for tests,
//! experiments and the demo; they hold everything in memory.

pub mod admin;
pub mod relay;
pub mod group;
pub mod http;
pub mod platform;
pub mod store;
pub mod vms;
